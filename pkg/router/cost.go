package router

import (
	"time"

	"ebonypaddle/pkg/cost"
)

const (
	// reportedCosts is the number of kinds of requests whose cost a report carries.
	reportedCosts = 8
	// minRelativeCost and maxRelativeCost bound the cost of a request in requests of
	// mean cost.
	minRelativeCost, maxRelativeCost = 0.25, 4
)

// costKey returns what the packets of a flow show of its latest request.
func costKey(p *Packet, f *flow) cost.Key { return cost.Key{Route: p.Service, Bucket: f.bucket} }

// relativeCost returns the expected cost of a request, in requests of mean cost of its
// service. It is 1 for services whose load is not shared.
func (lb *Balancer) relativeCost(service string, key cost.Key) float64 {
	sa := lb.admission.services[service]
	if sa == nil {
		return 1
	}
	mean := sa.costs.Expected(cost.Key{})
	if mean <= 0 {
		return 1
	}
	return min(max(float64(sa.costs.Expected(key))/float64(mean), minRelativeCost), maxRelativeCost)
}

// beginCost notes what is needed to learn from a request that begins: whether it finds
// a free slot. Otherwise the time until its answer is not its work alone.
func (lb *Balancer) beginCost(now time.Time, p *Packet, f *flow, rt *Route) {
	f.bucket = cost.Bucket(p.Size)
	if rt != nil {
		rt.bucket = f.bucket
	}
	l := &f.server.load
	f.free = lb.sumsFresh(now) && f.server.Domain == lb.Domain && l.shared.others+l.active < f.server.Slots
}

// observeCost learns from the answer to a request.
func (lb *Balancer) observeCost(now time.Time, p *Packet, f *flow) {
	sa := lb.admission.services[f.server.Service]
	if sa == nil || !f.free {
		return
	}
	sa.costs.Observe(now, costKey(p, f), uint64(f.server.ID), now.Sub(f.requestStartedAt)-f.server.load.pathLatency)
}
