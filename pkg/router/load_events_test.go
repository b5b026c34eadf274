package router

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// phaseLength is a phase of a run with its length.
type phaseLength struct {
	phase int
	d     time.Duration
}

// play runs the calm, the surge and the calm after it.
func (sim *loadSim) play() *loadSim {
	return sim.playPhases(phaseLength{warming, sim.warmFor}, phaseLength{calm, simCalmFor}, phaseLength{surging, sim.surgeFor}, phaseLength{recovering, simRecoverFor}, phaseLength{recovered, simRecoveredFor})
}

// playPhases runs the given phases, and the requests that began in them.
func (sim *loadSim) playPhases(list ...phaseLength) *loadSim {
	for p := range sim.tallies {
		sim.tallies[p] = make([][]tally, sim.domains)
		for d := range sim.domains {
			sim.tallies[p][d] = make([]tally, len(sim.classes))
		}
	}
	for _, s := range list {
		sim.phase = s.phase
		sim.setLoads(s.phase == surging)
		if s.phase == surging {
			sim.startSurge()
		}
		sim.run(s.d)
	}
	sim.phase = warming // later requests do not count
	sim.run(simEndFor)
	return sim
}

// startSurge starts what goes wrong during the surge.
func (sim *loadSim) startSurge() {
	for i := range sim.sums.frozen * sim.domains {
		sim.frozen[sim.instances-1-i] = true
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
	simEndFor   = 2 * time.Second
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

// classAddr returns the address of a class's route.
func classAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(serviceAddr.Addr(), uint16(443+i))
}
