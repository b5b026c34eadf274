package router

import (
	"math"
	"time"
)

const (
	// goodEnoughRatio is the latency estimate, as a multiple of the lowest one,
	// up to which a server gets its share of new flows. It is above the ratio of
	// the speeds of servers, so that slow ones get their share too.
	goodEnoughRatio = 3
	// maxWorkLead is the number of requests by which the work of a server may
	// exceed its share. Long flows can send more than that, and the server would
	// otherwise get no new flow long after they ended.
	maxWorkLead = 8
	// shareJitter is the largest random addition to the work of a server, as a
	// share of the mean work of a request. With the same work for many servers,
	// all instances would otherwise choose them in the same order.
	shareJitter = 0.5
	// freshAnswerAge is how long after an answer a server is known to be alive.
	// It is preferred until it got freshWorkLead requests more than its share, so
	// that fewer flows find out that a server has crashed.
	freshAnswerAge = time.Second
	freshWorkLead  = 4
)

// estimate is a candidate for a new flow with its estimated latency.
type estimate struct {
	server  *server
	latency time.Duration
}

// fairServer chooses a server so that the work that this instance sends per
// slot is the same for all, which gives fast servers more requests. Each
// instance sees few answers of a large fleet; if each took the server with the
// lowest estimate, as an instance alone would, most of them would choose the same
// few. A server whose queue delays a request counts as if it had got that much
// more work, and one that is much slower than the fastest gets no flow.
//
// This is start-time fair queueing with the servers in place of the flows: a
// server that got no work for a while does not get the missed work afterwards.
// fairServer returns the server and the lowest estimate of all candidates, or
// nil if there are none.
func (lb *Balancer) fairServer(now time.Time, p *pool, candidates []*server, failed *server) (*server, time.Duration) {
	return lb.chooseFair(now, p, candidates, failed, lb.rnd)
}

// jitter returns the random parts of estimates and scores, from 0 to 1.
type jitter interface{ Float64() float64 }

// chooseFair is fairServer with the given jitter.
func (lb *Balancer) chooseFair(now time.Time, p *pool, candidates []*server, failed *server, j jitter) (*server, time.Duration) {
	var lowest time.Duration
	lb.estimates = lb.estimates[:0]
	for _, srv := range candidates {
		if srv == failed || !lb.healthy(now, srv) {
			continue
		}
		e := lb.jitteredLatency(now, p, srv, j)
		lb.estimates = append(lb.estimates, estimate{srv, e})
		if lowest == 0 || e < lowest {
			lowest = e
		}
	}
	unit, shared := float64(p.meanWork(now)), lb.sharedWeight(now, p)
	var best *server
	bestScore, leastWork := math.Inf(1), math.Inf(1)
	for _, c := range lb.estimates {
		if c.latency > goodEnoughRatio*lowest {
			continue
		}
		leastWork = min(leastWork, max(c.server.load.sentWork, p.virtualWork))
		if score := lb.score(now, p, c.server, unit, shared, j); score < bestScore {
			best, bestScore = c.server, score
		}
	}
	if best != nil {
		p.virtualWork = leastWork
	}
	return best, lowest
}

// score ranks a candidate; the lowest gets the flow. unit is the mean work of a request,
// shared the weight of what other instances have in progress.
func (lb *Balancer) score(now time.Time, p *pool, srv *server, unit, shared float64, j jitter) float64 {
	work := max(srv.load.sentWork, p.virtualWork)
	score := work + lb.estimateWait(now, p, srv) + shareJitter*unit*j.Float64()
	if shared > 0 {
		score += shared * lb.sharedWait(now, p, srv)
	}
	if now.Sub(srv.health.answeredAt) < freshAnswerAge {
		score -= freshWorkLead * unit / srv.slots()
	}
	return score
}

// estimateWait returns the time in nanoseconds that a request sent now waits at
// a server.
func (lb *Balancer) estimateWait(now time.Time, p *pool, srv *server) float64 {
	return lb.waiting(now, srv) * float64(lb.baseLatency(now, p, srv))
}

// recordWork adds the work of a new request to that of a server. relative is its cost in
// mean requests, which counts while the service is loaded.
func (lb *Balancer) recordWork(now time.Time, srv *server, relative float64) {
	p := lb.pool(srv.Service)
	work := float64(srv.load.estimateWork(p.meanWork(now))) / srv.slots()
	if now.Before(srv.coldUntil) {
		work *= coldLatencyFactor
	}
	if p.loaded {
		work *= relative
	}
	srv.load.sentWork = min(max(srv.load.sentWork, p.virtualWork)+work, p.virtualWork+maxWorkLead*work)
}

// startShare gives a new server a random position among the others, so that
// instances with the same knowledge do not choose in the same order.
func (lb *Balancer) startShare(srv *server) {
	srv.load.sentWork = lb.pool(srv.Service).virtualWork + lb.rnd.Float64()*float64(defaultLatency)/srv.slots()
}
