package router

import (
	"cmp"
	"slices"
	"time"

	"ebonypaddle/pkg/admit"
	"ebonypaddle/pkg/load"
)

const (
	// maxSumsAge is how long sums are used after they came, and maxSumsIntervals that
	// in intervals of reports, if it is longer. Without newer ones an instance decides
	// as if there were none.
	maxSumsAge       = 1200 * time.Millisecond
	maxSumsIntervals = 3
)

// sharedLoad is what the other instances of the failure domain have in progress at a
// server.
type sharedLoad struct {
	others   int // requests in progress of other instances
	reported int // own requests in progress at the last report
	// flows are the open flows of other instances, and growth is by how many all
	// instances added since the sums before. limit is the number that the server
	// holds, 0 for no limit.
	flows, growth, limit int
	flowsReported        int  // own open flows at the last report
	flowsTotal           int  // of all instances
	known                bool // false before the first sums
}

// full reports whether a server holds as many flows of all instances as its service
// allows, or will before the next sums. Reports are as old as an interval when they are
// summed up, and the sums become as old again.
func (l *serverLoad) full() bool {
	sh := &l.shared
	return sh.limit > 0 && sh.flows+2*sh.growth+l.flows+l.pendingOpenings >= sh.limit
}

// hasFull reports whether some server of the pool is full.
func (p *pool) hasFull() bool {
	return slices.ContainsFunc(p.local, func(srv *server) bool { return srv.load.full() })
}

// LoadReport returns what this instance has in progress, for the sums of its failure
// domain. ok is false while the settings do not call for sums.
func (lb *Balancer) LoadReport(now time.Time) (services []load.Service, ok bool) {
	if !lb.Ready() || len(lb.admission.services) == 0 {
		return nil, false
	}
	lb.demand.expire(now, maxInProgress)
	for name := range lb.admission.services {
		services = append(services, lb.reportService(now, name))
	}
	slices.SortFunc(services, func(a, b load.Service) int { return cmp.Compare(a.Name, b.Name) })
	return services, true
}

func (lb *Balancer) reportService(now time.Time, name string) load.Service {
	s := load.Service{Name: name}
	d := lb.demand.services[name]
	if d == nil {
		return s
	}
	for c := range load.Classes {
		s.Demand.Offered[c], s.Demand.Begun[c] = d.offered[c].PerSecond(now), d.begun[c].PerSecond(now)
	}
	s.Costs = lb.admission.services[name].costs.Costs(reportedCosts)
	s.Demand.Done, s.Demand.Rejected = d.done.PerSecond(now), d.rejected.PerSecond(now)
	p := lb.pools[name]
	if p == nil {
		return s
	}
	for _, srv := range p.local {
		l := &srv.load
		l.shared.reported, l.shared.flowsReported = l.active, l.flows
		if l.active > 0 || l.flows > 0 {
			s.Servers = append(s.Servers, load.Server{ID: uint64(srv.ID), InProgress: uint32(max(l.active, 0)), Flows: uint32(max(l.flows, 0))})
		}
	}
	sent := map[string]uint32{}
	for _, srv := range p.remote {
		if srv.load.active > 0 {
			sent[srv.Domain] += uint32(srv.load.active)
		}
	}
	for domain, rate := range d.opened {
		s.Sent = append(s.Sent, load.Sent{Domain: domain, InProgress: sent[domain], Opened: rate.PerSecond(now)})
	}
	slices.SortFunc(s.Sent, func(a, b load.Sent) int { return cmp.Compare(a.Domain, b.Domain) })
	return s
}

// SetSums applies the sums of the failure domain, which hold the last report of this
// instance, and plans the admission of new flows by them.
func (lb *Balancer) SetSums(now time.Time, sums *load.Sums) {
	lb.admission.sumsAt, lb.admission.sums = now, sums
	lb.dropOldSums()
	for i := range sums.Services {
		s := &sums.Services[i]
		if sa := lb.admission.services[s.Name]; sa != nil {
			sa.costs.Merge(now, s.Costs)
		}
		lb.applyServerSums(s)
	}
	lb.planAdmission(now)
}

// dropOldSums forgets the load of services that the sums or the settings lack.
func (lb *Balancer) dropOldSums() {
	for name, p := range lb.pools {
		known := slices.ContainsFunc(lb.admission.sums.Services, func(s load.Service) bool { return s.Name == name })
		a := lb.admission.services[name]
		if a != nil && known {
			continue
		}
		if a != nil {
			a.plan, a.inForce = admit.Plan{}, false
		}
		p.loaded = false
		for _, srv := range p.local {
			srv.load.shared = sharedLoad{}
		}
	}
}

// applyServerSums sets the load of other instances at the servers of a service.
func (lb *Balancer) applyServerSums(s *load.Service) {
	p, a := lb.pools[s.Name], lb.admission.services[s.Name]
	if p == nil || a == nil {
		return
	}
	byID := make(map[uint64]*load.Server, len(s.Servers))
	for i := range s.Servers {
		byID[s.Servers[i].ID] = &s.Servers[i]
	}
	for _, srv := range p.local {
		sh := &srv.load.shared
		sum := byID[uint64(srv.ID)]
		if sum == nil {
			sum = &load.Server{}
		}
		sh.others = max(int(sum.InProgress)-sh.reported, 0)
		sh.flows = max(int(sum.Flows)-sh.flowsReported, 0)
		sh.growth = 0
		if sh.known {
			sh.growth = max(int(sum.Flows)-sh.flowsTotal, 0)
		}
		sh.known = true
		sh.flowsTotal, sh.limit = int(sum.Flows), a.maxFlows
	}
}

// LoadTotals returns the load of each service in this failure domain, for other
// failure domains, and whether one of them is loaded.
func (lb *Balancer) LoadTotals(now time.Time) (totals []load.Total, pressed bool) {
	if !lb.sumsFresh(now) {
		return nil, false
	}
	for i := range lb.admission.sums.Services {
		s := &lb.admission.sums.Services[i]
		t := lb.total(now, s)
		totals = append(totals, t)
		if a := lb.admission.services[s.Name]; a != nil && (a.inForce || t.Slots > 0 && t.Busy >= idleShare*t.Slots) {
			pressed = true
		}
	}
	return totals, pressed
}

// total returns the load of a service in this failure domain.
func (lb *Balancer) total(now time.Time, s *load.Service) load.Total {
	t := load.Total{Domain: lb.Domain, Service: s.Name, Demand: s.Demand, Sent: s.Sent}
	p := lb.pools[s.Name]
	if p == nil {
		return t
	}
	for _, srv := range p.local {
		if !lb.usable(srv) || srv.health.suspected(now) {
			continue
		}
		inProgress := float64(srv.load.shared.others + srv.load.shared.reported)
		t.Slots += srv.slots()
		t.Busy += min(inProgress, srv.slots())
		t.InProgress += inProgress
	}
	return t
}

func (lb *Balancer) sumsFresh(now time.Time) bool {
	sums := lb.admission.sums
	return sums != nil && now.Sub(lb.admission.sumsAt) < max(maxSumsAge, maxSumsIntervals*sums.Interval)
}

// expireSums puts plans out of force whose sums are too old.
func (lb *Balancer) expireSums(now time.Time) {
	if lb.admission.sums == nil || lb.sumsFresh(now) {
		return
	}
	lb.admission.sums = nil
	for name, a := range lb.admission.services {
		if a.inForce {
			lb.Log.Warn("sums of load are too old, all new flows are admitted", "service", name, "age", now.Sub(lb.admission.sumsAt))
		}
		a.plan, a.inForce = admit.Plan{}, false
	}
	for _, p := range lb.pools {
		p.loaded = false
	}
	for _, srv := range lb.byName {
		srv.load.shared = sharedLoad{}
	}
}

// planAdmission plans the admission of new flows from the sums.
func (lb *Balancer) planAdmission(now time.Time) {
	for i := range lb.admission.sums.Services {
		s := &lb.admission.sums.Services[i]
		a := lb.admission.services[s.Name]
		if a == nil {
			continue
		}
		own := admit.Domain{Total: lb.total(now, s)}
		lb.setLoaded(s.Name, &own.Total)
		for _, srv := range s.Servers {
			own.Flows += float64(srv.Flows)
		}
		var others []admit.Domain
		for _, t := range lb.admission.sums.Others {
			if t.Service != s.Name || t.Domain == lb.Domain {
				continue
			}
			for _, sent := range t.Sent {
				if sent.Domain == lb.Domain {
					own.ReceivedInProgress += float64(sent.InProgress)
				}
			}
			if lb.reachable(t.Domain) {
				others = append(others, admit.Domain{Total: t})
			}
		}
		plan, pressed := a.planner.Update(now, a.target, own, others)
		if pressed != a.inForce {
			lb.Log.Warn("admission changed", "service", s.Name, "pressed", pressed, "inProgress", own.InProgress, "slots", own.Slots, "busy", own.Busy, "answered", own.Demand.Done, "rejected", own.Demand.Rejected, "instances", lb.admission.sums.Reports)
		}
		a.plan, a.inForce = plan, pressed
	}
}

// setLoaded records whether servers of a service are chosen by the sums.
func (lb *Balancer) setLoaded(name string, t *load.Total) {
	p := lb.pools[name]
	if p == nil {
		return
	}
	least := loadedShare * t.Slots
	if p.loaded {
		least = idleShare * t.Slots
	}
	sum := 0.0
	for c, rate := range t.Demand.Offered {
		sum += rate / float64(max(len(p.local), 1))
		p.openedPerServer[c] = sum
	}
	p.loaded = t.Slots > 0 && t.Busy >= least && lb.admission.sums.Reports >= minSharedInstances
}

// reachable reports whether servers of a failure domain may get new flows.
func (lb *Balancer) reachable(domain string) bool {
	_, excluded := lb.marks.excluded[domain]
	return !excluded && !lb.unreachable(domain)
}
