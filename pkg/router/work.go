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
	// drawnServers is the number of servers among which one is chosen. With all of
	// them, instances with the same sums would choose the same ones until the next sums.
	drawnServers = 4
	// drawnFirst is that number for the highest class of a pressed service: most
	// servers are full then, and it is a small part of the flows.
	drawnFirst = 12
	// maxDraws bounds the draws for each server drawn, as some may not get flows.
	maxDraws = 8
)

// chooseServer chooses a server by the work that all instances have in progress while
// the service is loaded, and by equal work otherwise.
func (lb *Balancer) chooseServer(now time.Time, p *pool, candidates []*server, failed *server) (*server, time.Duration) {
	if p.loaded && !p.pressed && len(candidates) > 0 && candidates[0].Domain == lb.Domain {
		if best, latency := lb.leastLoaded(now, p, candidates, failed); best != nil {
			return best, latency
		}
	}
	return lb.fairServer(now, p, candidates, failed)
}

// leastLoaded returns the server with the earliest expected answer of a few random
// ones, and the time until then. It returns nil if none of them can get a flow.
func (lb *Balancer) leastLoaded(now time.Time, p *pool, candidates []*server, failed *server) (*server, time.Duration) {
	var best *server
	var earliest time.Duration
	drawn, most := 0, drawnServers
	if p.pressed && lb.admission.first {
		most = drawnFirst
	}
	for range maxDraws * most {
		srv := candidates[lb.rnd.IntN(len(candidates))]
		if srv == best || srv == failed || !lb.healthy(now, srv) {
			continue
		}
		if t := lb.expectedAnswer(now, p, srv); best == nil || t < earliest {
			best, earliest = srv, t
		}
		if drawn++; drawn == most {
			break
		}
	}
	return best, earliest
}

// expectedAnswer returns the expected time until a request sent now to a server of
// this failure domain is answered, given what all instances have in progress there.
func (lb *Balancer) expectedAnswer(now time.Time, p *pool, srv *server) time.Duration {
	l := &srv.load
	inProgress := float64(l.shared.others + l.active + l.pendingOpenings)
	wait := max(inProgress-(srv.slots()-1), 0) / srv.slots()
	return time.Duration((1 + wait) * float64(lb.baseLatency(now, p, srv)) * (1 + estimateJitter*lb.rnd.Float64()))
}
