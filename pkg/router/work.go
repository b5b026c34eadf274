package router

import "time"

const (
	// loadedShare is the share of busy slots from which on servers are chosen by what
	// all instances have in progress at them, and idleShare the one below which they
	// are not any more.
	loadedShare, idleShare = 0.75, 0.6
	// minSharedInstances is the number of instances from which on the sums show more
	// than the own requests do.
	minSharedInstances = 12
)

// sharedWeight returns the weight of what other instances have in progress at the
// servers of a loaded service, from 0 to 1. Instances with the same sums choose the same
// servers, so the more flows all of them open until the next sums, the less each one may
// be led by them. Those of lower classes do not count: a higher class is a small part.
func (lb *Balancer) sharedWeight(now time.Time, p *pool) float64 {
	if !p.loaded {
		return 0
	}
	age := now.Sub(lb.admission.sumsAt) + lb.admission.sums.Interval
	return 1 / (1 + p.openedPerServer[lb.admission.class]*age.Seconds())
}

// sharedWait returns the time in nanoseconds that a request sent now waits for those
// of other instances.
func (lb *Balancer) sharedWait(now time.Time, p *pool, srv *server) float64 {
	return float64(srv.load.shared.others) / srv.slots() * float64(lb.baseLatency(now, p, srv))
}
