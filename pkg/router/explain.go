package router

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ebonypaddle/pkg/admit"
	"ebonypaddle/pkg/cost"
	"ebonypaddle/pkg/load"
	"ebonypaddle/pkg/wire"
)

// noJitter leaves out the random parts of estimates.
type noJitter struct{}

func (noJitter) Float64() float64 { return 0 }

// chooseLikeliest is fairServer without the random parts.
func chooseLikeliest(lb *Balancer, now time.Time, p *pool, candidates []*server, failed *server) (*server, time.Duration) {
	return lb.chooseFair(now, p, candidates, failed, noJitter{})
}

// Explain returns where a new flow would go now. It decides as Handle does for a first
// opening, but without the random parts, and changes nothing that a decision depends
// on. The query must be valid.
func (lb *Balancer) Explain(now time.Time, q ExplainQuery) Explanation {
	ex := Explanation{Domain: lb.Domain}
	if lb.settings != nil {
		ex.Version, ex.Rev = lb.settings.Version, lb.settings.Rev
	}
	rt := lb.routes[q.Service]
	if rt != nil {
		ex.Route = &ExplainedRoute{rt.Priority, load.Class(rt.Priority), rt.Repeatable, rt.LatencyTarget}
	}
	p := Packet{Caller: q.Caller, Service: q.Service, Open: true}
	var f *flow
	var failed *server
	if q.Caller.IsValid() {
		f = lb.flowToOpen(&p)
	}
	if f != nil {
		failed = f.server
	}
	if v, done := lb.beforePlacing(now, &p, rt, f); done {
		ex.Outcome = outcome(1, nil, v.Action, v.Reason)
		return ex
	}
	lb.explainServices(now, &ex, rt, failed, q)
	return ex
}

// explainServices adds the services of a route and the likeliest outcome.
func (lb *Balancer) explainServices(now time.Time, ex *Explanation, rt *Route, failed *server, q ExplainQuery) {
	class := lb.admission.class
	defer func() { lb.admission.class = class }()
	lb.admission.class = load.Class(rt.Priority)
	total := 0
	for _, share := range rt.WeightedServices {
		total += share.Weight
	}
	ex.Outcome = outcome(1, nil, Refuse, wire.ReasonNoServer)
	likeliest := 0.0
	for _, share := range rt.WeightedServices {
		switch {
		case share.Weight <= 0:
			continue
		case len(ex.Services) == MaxExplainedServices:
			ex.MoreServices++
			continue
		}
		s := lb.explainService(now, rt, share.Service, failed, q)
		s.Share = float64(share.Weight) / float64(total)
		for _, o := range s.Outcomes {
			if o.Share *= s.Share; o.Share > likeliest {
				likeliest, ex.Outcome = o.Share, o
			}
		}
		ex.Services = append(ex.Services, s)
	}
}

// explainService explains a service of a route. It works on a copy of the pool, so that
// the means and the virtual work of the pool stay.
func (lb *Balancer) explainService(now time.Time, rt *Route, name string, failed *server, q ExplainQuery) ExplainedService {
	var p *pool
	if known := lb.pools[name]; known != nil {
		c := *known
		p = &c
	}
	key := cost.Key{Route: q.Service, Bucket: rt.bucket}
	if q.Size >= 0 {
		key.Bucket = cost.Bucket(q.Size)
	}
	s := ExplainedService{Name: name, RelativeCost: lb.relativeCost(name, key), Sums: lb.explainSums(now, name)}
	sa := lb.admission.services[name]
	s.Planned = sa != nil && sa.inForce
	if s.Planned {
		s.Outcomes = lb.explainPlan(now, p, rt, sa, failed)
	} else {
		srv, reason := lb.place(now, p, rt.LatencyTarget, failed, chooseLikeliest)
		s.Outcomes = []ExplainedOutcome{outcome(1, srv, Refuse, reason)}
	}
	if p != nil {
		s.Servers, s.MoreServers = lb.explainServers(now, p, failed, s.Outcomes)
	}
	return s
}

// explainPlan returns what happens to each part of the new flows by the plan in force.
func (lb *Balancer) explainPlan(now time.Time, p *pool, rt *Route, sa *serviceAdmission, failed *server) []ExplainedOutcome {
	class, from := load.Class(rt.Priority), 0.0
	var out []ExplainedOutcome
	part := func(share float64) {
		// The parts of a plan may add up to slightly more than 1.
		if share = min(share, 1-from); share <= 0 {
			return
		}
		srv, reason := lb.placePlanned(now, p, rt, sa, from+share/2, failed, chooseLikeliest)
		out = append(out, outcome(share, srv, Refuse, reason))
		from += share
	}
	part(sa.plan.Admit[class])
	for _, away := range sa.plan.Away[:min(len(sa.plan.Away), MaxExplainedServers)] {
		part(away.Share[class])
	}
	part(1)
	return out
}

// outcome returns the outcome for a server, or without one for an action.
func outcome(share float64, srv *server, action Action, reason wire.Reason) ExplainedOutcome {
	switch {
	case srv != nil:
		return ExplainedOutcome{Share: share, Action: "placed", Server: srv.name, Domain: srv.Domain}
	case action == Drop:
		return ExplainedOutcome{Share: share, Action: "dropped", Reason: reason.String()}
	}
	return ExplainedOutcome{Share: share, Action: "refused", Reason: reason.String()}
}

// explainSums returns the sums of a service, nil without fresh ones.
func (lb *Balancer) explainSums(now time.Time, name string) *ExplainedSums {
	if !lb.sumsFresh(now) {
		return nil
	}
	sums := lb.admission.sums
	i := slices.IndexFunc(sums.Services, func(s load.Service) bool { return s.Name == name })
	if i < 0 {
		return nil
	}
	own := admit.Domain{Total: lb.total(now, &sums.Services[i])}
	return &ExplainedSums{
		AgeNs: now.Sub(lb.admission.sumsAt) + sums.Age, Instances: sums.Reports,
		InProgress: own.InProgress, Slots: own.Slots, Busy: own.Busy, Answered: own.Demand.Done, Rejected: own.Demand.Rejected,
	}
}

// Groups of candidates in the order in which they get new flows.
const (
	groupFirst = iota // of an outcome
	groupLocal
	groupRemote
	groupSlow
	groupUnanswered
	groupOther
)

// explainServers returns the candidates in order, and the number of those left out.
func (lb *Balancer) explainServers(now time.Time, p *pool, failed *server, outcomes []ExplainedOutcome) ([]ExplainedServer, int) {
	unit, shared := float64(p.meanWork(now)), lb.sharedWeight(now, p)
	all := make([]ExplainedServer, 0, len(p.local)+len(p.remote))
	for group, candidates := range [][]*server{groupLocal: p.local, groupRemote: p.remote} {
		lowest, first := time.Duration(0), len(all)
		for _, srv := range candidates {
			e := lb.explainServer(now, p, srv, failed)
			e.group, e.ScoreNs = group, time.Duration(lb.score(now, p, srv, unit, shared, noJitter{}))
			if e.state == stateHealthy && (lowest == 0 || e.EstimateNs < lowest) {
				lowest = e.EstimateNs
			}
			all = append(all, e)
		}
		for i := range all[first:] {
			all[first+i].setGroup(lowest, outcomes)
		}
	}
	slices.SortFunc(all, func(a, b ExplainedServer) int {
		return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(a.ScoreNs, b.ScoreNs), cmp.Compare(a.Name, b.Name))
	})
	lowest := time.Duration(math.MaxInt64)
	for i := range all {
		lowest = min(lowest, all[i].ScoreNs)
	}
	for i := range all {
		all[i].ScoreNs -= lowest
		all[i].State = all[i].state.String()
	}
	n := min(len(all), MaxExplainedServers)
	return slices.Clone(all[:n]), len(all) - n
}

// setGroup puts a candidate into its group, given the lowest estimate of its failure
// domain or of all others.
func (e *ExplainedServer) setGroup(lowest time.Duration, outcomes []ExplainedOutcome) {
	switch {
	case slices.ContainsFunc(outcomes, func(o ExplainedOutcome) bool { return o.Server == e.Name }):
		e.group = groupFirst
	case e.state == stateUnanswered:
		e.group = groupUnanswered
	case e.state != stateHealthy:
		e.group = groupOther
	case e.EstimateNs > goodEnoughRatio*lowest:
		e.state, e.group = stateSlow, groupSlow
	}
}

func (lb *Balancer) explainServer(now time.Time, p *pool, srv *server, failed *server) ExplainedServer {
	e := ExplainedServer{
		Name: srv.name, Domain: srv.Domain, state: lb.serverState(now, srv), Cold: now.Before(srv.coldUntil),
		EstimateNs: lb.jitteredLatency(now, p, srv, noJitter{}), WaitNs: time.Duration(lb.estimateWait(now, p, srv)),
		Slots: srv.Slots, InProgress: srv.load.InFlight, Opening: srv.load.pendingOpenings, Others: srv.load.shared.others,
	}
	if srv == failed && e.state == stateHealthy {
		e.state = stateUnanswered
	}
	return e
}
