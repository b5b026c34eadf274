package router

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"ebonypaddle/pkg/load"
)

// play runs the calm, the surge and the calm after it.
func (sim *loadSim) play() *loadSim {
	for p := range sim.tallies {
		sim.tallies[p] = make([][]tally, sim.domains)
		for d := range sim.domains {
			sim.tallies[p][d] = make([]tally, len(sim.classes))
		}
	}
	for _, s := range []struct {
		phase int
		d     time.Duration
	}{{warming, sim.warmFor}, {calm, simCalmFor}, {surging, sim.surgeFor}, {recovering, simRecoverFor}, {recovered, simRecoveredFor}} {
		sim.phase = s.phase
		sim.setLoads(s.phase == surging)
		if s.phase == surging {
			sim.startSurge()
		}
		sim.run(s.d)
	}
	sim.phase = warming // later requests do not count
	sim.run(2 * time.Second)
	return sim
}

// startSurge starts what goes wrong during the surge.
func (sim *loadSim) startSurge() {
	for i := range sim.sums.frozen * sim.domains {
		sim.frozen[i] = true
	}
	if !sim.replace {
		return
	}
	ids := slices.Sorted(maps.Keys(sim.backends))
	ids = slices.DeleteFunc(ids, func(id ServerID) bool { return sim.backends[id].domain != 1 })
	for i, id := range ids {
		sim.schedule(sim.surgeFor*time.Duration(i)/time.Duration(len(ids)), func() { sim.replaceServer(sim.backends[id]) })
	}
}

const (
	simDrainFor = 3 * time.Second
	simColdFor  = 2 * time.Second
)

// replaceServer drains and ends a server, and starts another one.
func (sim *loadSim) replaceServer(srv *loadServer) {
	r := serverRecord(int(srv.id), domainName(srv.domain))
	r.Rev, r.Value.Leaving = 2, true
	srv.draining = true
	sim.apply(r)
	sim.schedule(simDrainFor, func() {
		srv.ended = true
		sim.apply(Change[Server]{Name: r.Name, Rev: 3, Deleted: true})
		sim.apply(sim.addServer(srv.domain, srv.speed, simColdFor))
	})
}

func (sim *loadSim) apply(c Change[Server]) {
	for i, lb := range sim.balancers {
		if !sim.frozen[i] {
			lb.ApplyServers(sim.now, []Change[Server]{c}, false)
		}
	}
}

// instanceReport is the latest report of an instance.
type instanceReport struct {
	at       time.Time
	services []load.Service
}

// exchange passes the sums of each failure domain to its instances, and the totals
// of the others with them.
func (sim *loadSim) exchange() {
	sim.schedule(sumsInterval, sim.exchange)
	others := make([][]load.Total, sim.domains)
	for i, lb := range sim.balancers {
		if sim.frozen[i] {
			continue
		}
		services, ok := lb.LoadReport(sim.now)
		if !ok {
			return
		}
		sim.reports[i] = instanceReport{sim.now, services}
		if totals, _ := lb.LoadTotals(sim.now); others[i%sim.domains] == nil {
			others[i%sim.domains] = totals
		}
	}
	for d := range sim.domains {
		sums := load.Sums{Interval: sumsInterval}
		for i := d; i < sim.instances; i += sim.domains {
			r := sim.reports[i]
			if age := sim.now.Sub(r.at); age <= sumsMaxAge {
				sums.Age = max(sums.Age, age)
				sums.Reports++
				sums.Services = addServices(sums.Services, r.services)
			}
		}
		for o := range sim.domains {
			if o != d {
				sums.Others = append(sums.Others, others[o]...)
			}
		}
		sim.schedule(sim.sums.delay, func() { sim.deliver(d, sums) })
	}
}

// deliver passes sums to the instances of a failure domain.
func (sim *loadSim) deliver(d int, sums load.Sums) {
	sums.Age += sim.sums.delay
	for i := d; i < sim.instances; i += sim.domains {
		if sim.frozen[i] || sim.rnd.Float64() < sim.sums.lost {
			continue
		}
		s := sums
		sim.balancers[i].SetSums(sim.now, &s)
		if sim.sums.twice {
			s = sums
			sim.balancers[i].SetSums(sim.now, &s)
		}
	}
}

// addServices adds the services of a report to sums.
func addServices(sums, report []load.Service) []load.Service {
	for _, r := range report {
		i := slices.IndexFunc(sums, func(s load.Service) bool { return s.Name == r.Name })
		if i < 0 {
			i = len(sums)
			sums = append(sums, load.Service{Name: r.Name})
		}
		s := &sums[i]
		s.Demand.Add(&r.Demand)
		for _, x := range r.Servers {
			j, found := slices.BinarySearchFunc(s.Servers, x.ID, func(y load.Server, id uint64) int { return int(y.ID) - int(id) })
			if !found {
				s.Servers = slices.Insert(s.Servers, j, load.Server{ID: x.ID})
			}
			s.Servers[j].InProgress += x.InProgress
			s.Servers[j].Flows += x.Flows
		}
		for _, x := range r.Sent {
			j := slices.IndexFunc(s.Sent, func(y load.Sent) bool { return y.Domain == x.Domain })
			if j < 0 {
				j = len(s.Sent)
				s.Sent = append(s.Sent, load.Sent{Domain: x.Domain})
			}
			s.Sent[j].InProgress += x.InProgress
			s.Sent[j].Opened += x.Opened
		}
	}
	return sums
}

// classAddr returns the address of a class's route.
func classAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(serviceAddr.Addr(), uint16(443+i))
}
