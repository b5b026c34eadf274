package router

import (
	"cmp"
	"slices"
	"time"

	"ebonypaddle/pkg/load"
	"ebonypaddle/pkg/wire"
)

// pool holds the servers of one service, in the failure domain of this
// instance and in others.
type pool struct {
	local, remote []*server
	// virtualWork is the least work per slot, in nanoseconds, that the candidates
	// of the last flow had got: see fairServer.
	virtualWork float64
	// latency and work are means over the servers, as they were at meansAt.
	latency, work time.Duration
	meansAt       time.Time
	// loaded is set while servers are chosen by what all instances have in progress.
	loaded bool
	// openedPerServer is the rate of flows that all instances of the failure domain
	// open at each server, by class with the higher classes.
	openedPerServer [load.Classes]float64
}

func compareNames(a, b *server) int { return cmp.Compare(a.name, b.name) }

// add inserts a server in the order of names, so that the same seed gives the
// same choices.
func (p *pool) add(srv *server, local bool) {
	servers := &p.remote
	if local {
		servers = &p.local
	}
	i, _ := slices.BinarySearchFunc(*servers, srv, compareNames)
	*servers = slices.Insert(*servers, i, srv)
}

func (p *pool) remove(srv *server) {
	same := func(o *server) bool { return o == srv }
	p.local, p.remote = slices.DeleteFunc(p.local, same), slices.DeleteFunc(p.remote, same)
}

// pool returns the pool of a service, and adds it if it is new.
func (lb *Balancer) pool(service string) *pool {
	p := lb.pools[service]
	if p == nil {
		p = &pool{}
		lb.pools[service] = p
	}
	return p
}

const (
	// remoteLatencyCost is added to the latency estimate of a server in
	// another failure domain for the longer network path.
	remoteLatencyCost = 5 * time.Millisecond
	// remoteMaxRatio is the share of the local latency estimate below which a
	// server in another failure domain is preferred. Traffic between failure
	// domains costs money, and estimates of servers that get few flows are out
	// of date.
	remoteMaxRatio = 0.6
	// localTargetRatio is the share of a route's latency target up to which a
	// server in the local failure domain is good enough.
	localTargetRatio = 0.7
	// defaultLatency is the assumed latency of a service without any answers.
	defaultLatency = 20 * time.Millisecond
	// recentWorkWeight is the weight of a server's recent work, in seconds of
	// work per second, in its latency estimate.
	recentWorkWeight = 2
	// estimateJitter is the largest random addition to an estimate, as a share
	// of it. It keeps instances with the same knowledge from all choosing the
	// same server.
	estimateJitter = 0.2
	// coldLatencyFactor is how many times slower a cold server is assumed to
	// be.
	coldLatencyFactor = 2
	// failureLatencyFactor multiplies the estimate of a server with a failure
	// since its last answer. It may be down, which a second failure will show. It
	// is above goodEnoughRatio, so the server gets no flows while others can.
	failureLatencyFactor = 2 * goodEnoughRatio
)

// place chooses the server of a new flow. Servers of the local
// failure domain are preferred until they are too slow for the latency target.
// failed is the server that did not answer an earlier copy of the opening, or
// nil; it comes last. p is nil for a service without servers.
func (lb *Balancer) place(now time.Time, p *pool, latencyTarget time.Duration, failed *server, choose choosePolicy) (*server, wire.Reason) {
	if p == nil {
		return nil, wire.ReasonNoServer
	}
	best, localLatency := choose(lb, now, p, p.local, failed)
	if best == nil || localLatency > time.Duration(localTargetRatio*float64(latencyTarget)) {
		remote, remoteLatency := choose(lb, now, p, p.remote, failed)
		if best == nil || remote != nil && remoteLatency+remoteLatencyCost < time.Duration(remoteMaxRatio*float64(localLatency)) {
			best = remote
		}
	}
	if best == nil && failed != nil && lb.usable(failed) && !lb.coldLimited(now, failed) {
		best = failed
	}
	if best == nil {
		best = lb.fallbackServer(now, p)
	}
	switch {
	case best != nil:
		return best, wire.ReasonNone
	case lb.hasColdLimited(now, p):
		return nil, wire.ReasonColdLimit
	case p.hasFull():
		return nil, wire.ReasonOverloaded
	default:
		return nil, wire.ReasonNoServer
	}
}

// usable reports whether a server may get new flows, regardless of its health
// and load.
func (lb *Balancer) usable(srv *server) bool { return lb.usableState(srv) == stateHealthy }

// healthy reports whether a server may get a new flow while others can, too.
func (lb *Balancer) healthy(now time.Time, srv *server) bool {
	return lb.serverState(now, srv) == stateHealthy
}

// choosePolicy chooses one of the healthy candidates, and returns it with the
// lowest estimated latency of them. It returns nil if there is none.
type choosePolicy func(lb *Balancer, now time.Time, p *pool, candidates []*server, failed *server) (*server, time.Duration)

// fallbackServer returns a server for a new flow when all are suspected, new or
// in unreachable failure domains. Servers in reachable domains come first, then
// those in the local domain, then the one whose suspicion ends first.
func (lb *Balancer) fallbackServer(now time.Time, p *pool) *server {
	for _, unreachable := range []bool{false, true} {
		for _, candidates := range [][]*server{p.local, p.remote} {
			var best *server
			for _, srv := range candidates {
				if lb.usable(srv) && !srv.load.full() && !lb.coldLimited(now, srv) && lb.unreachable(srv.Domain) == unreachable && (best == nil || srv.health.suspectedUntil.Before(best.health.suspectedUntil)) {
					best = srv
				}
			}
			if best != nil {
				return best
			}
		}
	}
	return nil
}

// estimateLatency returns the expected time until a request sent now is
// answered.
func (lb *Balancer) estimateLatency(now time.Time, p *pool, srv *server) time.Duration {
	return lb.jitteredLatency(now, p, srv, lb.rnd)
}

func (lb *Balancer) jitteredLatency(now time.Time, p *pool, srv *server, j jitter) time.Duration {
	load := &srv.load
	busy := recentWorkWeight * time.Duration(load.RecentWork(now)).Seconds()
	return time.Duration(float64(lb.baseLatency(now, p, srv)) * (1 + lb.waiting(now, srv) + busy) * (1 + estimateJitter*j.Float64()))
}

// baseLatency returns the expected latency of a request at an idle server.
func (lb *Balancer) baseLatency(now time.Time, p *pool, srv *server) time.Duration {
	latency := srv.load.Latency
	if latency == 0 {
		latency = p.meanLatency(now)
	}
	if now.Before(srv.coldUntil) {
		latency *= coldLatencyFactor
	}
	if srv.health.failures > 0 {
		latency *= failureLatencyFactor
	}
	return latency
}

// waiting returns the expected number of requests per slot that are served
// before a request sent now.
func (lb *Balancer) waiting(now time.Time, srv *server) float64 {
	load := &srv.load
	return (float64(load.InFlight+load.pendingOpenings) + load.Backlog(now)) / srv.slots()
}

func (srv *server) slots() float64 { return float64(max(srv.Slots, 1)) }

// meanInterval is how long the means of a pool are used. Every server without
// answers needs them, and computing them reads all servers.
const meanInterval = 100 * time.Millisecond

// meanLatency returns the mean latency of the pool's servers that have
// answered requests.
func (p *pool) meanLatency(now time.Time) time.Duration {
	p.updateMeans(now)
	return p.latency
}

// meanWork returns the mean work of a request at the pool's servers that have
// answered requests.
func (p *pool) meanWork(now time.Time) time.Duration {
	p.updateMeans(now)
	return p.work
}

func (p *pool) updateMeans(now time.Time) {
	if p.latency > 0 && now.Sub(p.meansAt) < meanInterval {
		return
	}
	p.meansAt = now
	var latency, work time.Duration
	n := time.Duration(0)
	for _, servers := range [][]*server{p.local, p.remote} {
		for _, srv := range servers {
			if srv.load.samples > 0 {
				latency += srv.load.Latency
				work += srv.load.work
				n++
			}
		}
	}
	p.latency, p.work = defaultLatency, defaultLatency
	if n > 0 {
		p.latency, p.work = latency/n, work/n
	}
}
