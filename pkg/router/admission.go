package router

import (
	"time"

	"ebonypaddle/pkg/admit"
	"ebonypaddle/pkg/cost"
	"ebonypaddle/pkg/load"
	"ebonypaddle/pkg/wire"
)

// admission decides which new flows are admitted while servers lack room.
type admission struct {
	// services are those for which the settings call for it.
	services map[string]*serviceAdmission
	sums     *load.Sums // nil without fresh ones
	sumsAt   time.Time
	remote   []*server // reused by placeIn
	class    int       // of the flow that is being placed
}

// serviceAdmission is the admission of one service.
type serviceAdmission struct {
	target   time.Duration // lowest latency target of its routes
	maxFlows int           // open flows that a server holds, 0 for no limit
	planner  admit.Service
	costs    cost.Model
	plan     admit.Plan
	inForce  bool
}

func (a *admission) start() { a.services = map[string]*serviceAdmission{} }

// configure keeps the services for which settings call for admission: those with
// routes of several priorities, or with a limit of open flows.
func (a *admission) configure(s *Settings) {
	before := a.services
	a.services = map[string]*serviceAdmission{}
	classes := map[string]int{}
	targets := map[string]time.Duration{}
	for i := range s.Routes {
		rt := &s.Routes[i]
		for _, ws := range rt.WeightedServices {
			classes[ws.Service] |= 1 << load.Class(rt.Priority)
			if t := targets[ws.Service]; rt.LatencyTarget > 0 && (t == 0 || rt.LatencyTarget < t) {
				targets[ws.Service] = rt.LatencyTarget
			}
		}
	}
	for _, v := range s.Services {
		several := classes[v.Name]&(classes[v.Name]-1) != 0
		if (!several && v.MaxFlows <= 0) || targets[v.Name] == 0 {
			continue
		}
		sa := before[v.Name]
		if sa == nil {
			sa = &serviceAdmission{}
			sa.costs.Start()
		}
		sa.target, sa.maxFlows = targets[v.Name], v.MaxFlows
		a.services[v.Name] = sa
	}
}

// placeAdmitted places a new flow if it is admitted. While no plan is in force, it
// decides as place does.
func (lb *Balancer) placeAdmitted(now time.Time, p *Packet, rt *Route, service string, failed *server) (*server, wire.Reason) {
	class := load.Class(rt.Priority)
	lb.admission.class = class
	if p.Retransmissions == 0 {
		lb.demand.service(service).offered[class].Add(now, lb.relativeCost(service, cost.Key{Route: p.Service, Bucket: rt.bucket}))
	}
	sa := lb.admission.services[service]
	var srv *server
	var reason wire.Reason
	if sa == nil || !sa.inForce || p.Retransmissions > 0 || failed != nil {
		srv, reason = lb.place(now, lb.pools[service], rt.LatencyTarget, failed, lb.choose)
	} else {
		srv, reason = lb.placePlanned(now, lb.pools[service], rt, sa, lb.rnd.Float64(), failed, lb.choose)
	}
	if srv != nil {
		lb.recordColdFlow(now, srv)
	}
	return srv, reason
}

// placePlanned chooses the server of a new flow by the plan in force. draw is from 0 to 1
// and says which part of the new flows this one belongs to.
func (lb *Balancer) placePlanned(now time.Time, p *pool, rt *Route, sa *serviceAdmission, draw float64, failed *server, choose choosePolicy) (*server, wire.Reason) {
	class := load.Class(rt.Priority)
	if draw < sa.plan.Admit[class] {
		if srv, reason := lb.placeIn(now, p, lb.Domain, failed, choose); srv != nil {
			return srv, reason
		}
		return lb.place(now, p, rt.LatencyTarget, failed, choose)
	}
	draw -= sa.plan.Admit[class]
	for i := range sa.plan.Away {
		away := &sa.plan.Away[i]
		if draw < away.Share[class] {
			if srv, reason := lb.placeIn(now, p, away.Domain, failed, choose); srv != nil {
				return srv, reason
			}
			return lb.place(now, p, rt.LatencyTarget, failed, choose)
		}
		draw -= away.Share[class]
	}
	return nil, wire.ReasonOverloaded
}

// placeIn chooses a healthy server of a failure domain for a new flow.
func (lb *Balancer) placeIn(now time.Time, p *pool, domain string, failed *server, choose choosePolicy) (*server, wire.Reason) {
	if p == nil {
		return nil, wire.ReasonNoServer
	}
	candidates := p.local
	if domain != lb.Domain {
		lb.admission.remote = lb.admission.remote[:0]
		for _, srv := range p.remote {
			if srv.Domain == domain {
				lb.admission.remote = append(lb.admission.remote, srv)
			}
		}
		candidates = lb.admission.remote
	}
	best, _ := choose(lb, now, p, candidates, failed)
	if best == nil {
		return nil, wire.ReasonOverloaded
	}
	return best, wire.ReasonNone
}
