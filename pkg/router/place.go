package router

import (
	"cmp"
	"slices"
	"time"

	"ebonypaddle/pkg/wire"
)

// pool holds the servers of one service by distance.
type pool struct{ own, other []*server }

func byName(a, b *server) int { return cmp.Compare(a.name, b.name) }

// add takes a server in. The order makes choices repeatable.
func (p *pool) add(r *server, own bool) {
	rows := &p.other
	if own {
		rows = &p.own
	}
	i, _ := slices.BinarySearchFunc(*rows, r, byName)
	*rows = slices.Insert(*rows, i, r)
}

func (p *pool) remove(r *server) {
	is := func(o *server) bool { return o == r }
	p.own, p.other = slices.DeleteFunc(p.own, is), slices.DeleteFunc(p.other, is)
}

// pool returns the servers of a service.
func (s *Balancer) pool(service string) *pool {
	p := s.pools[service]
	if p == nil {
		p = &pool{}
		s.pools[service] = p
	}
	return p
}

const (
	// farCost is added to the estimate of a server in another failure domain:
	// the longer way there.
	farCost = 5 * time.Millisecond
	// farGain is the part of the own domain's estimate below which another
	// domain must be. Bytes between failure domains are paid for, and
	// estimates of servers that get little work are old.
	farGain = 0.6
	// nearGoal is the part of a route's goal up to which the own failure
	// domain is good enough.
	nearGoal = 0.7
	// firstLatency is the service time assumed of a service without answers.
	firstLatency = 20 * time.Millisecond
	// busyWeight is by how much work of late at a server adds to its estimate,
	// for each second of work in a second.
	busyWeight = 2
	// spread is the random part of an estimate. It keeps instances that know
	// the same from choosing the same server.
	spread = 0.2
	// coldFactor is how much slower a server is assumed to be after its start.
	coldFactor = 2
	// doubtFactor is how much longer an answer is assumed to take of a server
	// that owes one: it may be gone, which shows after a second sign.
	doubtFactor = 3
)

// place chooses the server of a new flow: the one with the least expected time
// to an answer. The own failure domain comes first until its servers are busy.
// A server that did not answer an earlier copy of the opening comes last.
func (s *Balancer) place(now time.Time, service string, goal time.Duration, tried *server) (*server, wire.Reason) {
	p := s.pools[service]
	if p == nil {
		return nil, wire.ReasonNoServer
	}
	best, near := s.best(now, p, p.own, tried)
	if best == nil || near > time.Duration(nearGoal*float64(goal)) {
		other, far := s.best(now, p, p.other, tried)
		if best == nil || other != nil && far+farCost < time.Duration(farGain*float64(near)) {
			best = other
		}
	}
	if best == nil && tried != nil && s.usable(tried) && !s.coldFull(now, tried) {
		best = tried
	}
	if best == nil {
		best = s.trial(now, p)
	}
	switch {
	case best != nil:
		s.coldTake(now, best)
	case s.anyCold(now, p):
		return nil, wire.ReasonColdLimit
	default:
		return nil, wire.ReasonNoServer
	}
	return best, wire.ReasonNone
}

// usable reports whether a server may get new flows at all.
func (s *Balancer) usable(r *server) bool {
	_, out := s.out[r.Domain]
	return !out && !r.Leaving && !r.lapsed && r.token != 0 && s.byName[r.name] == r
}

// best returns the server with the lowest estimate.
func (s *Balancer) best(now time.Time, p *pool, rows []*server, tried *server) (*server, time.Duration) {
	var best *server
	var low time.Duration
	for _, r := range rows {
		if r == tried || !s.usable(r) || r.evidence.suspect(now) || s.domain(r.Domain).cut || now.Sub(r.seenAt) < s.Limits.NewServerDelay || s.coldFull(now, r) {
			continue
		}
		if e := s.estimate(now, p, r); best == nil || e < low {
			best, low = r, e
		}
	}
	return best, low
}

// trial returns a server that may get new flows, when all are suspect or new:
// the one whose suspicion ends first, in a failure domain that answers if there
// is one.
func (s *Balancer) trial(now time.Time, p *pool) *server {
	for _, cut := range []bool{false, true} {
		for _, rows := range [][]*server{p.own, p.other} {
			var best *server
			for _, r := range rows {
				if s.usable(r) && !s.coldFull(now, r) && s.domain(r.Domain).cut == cut && (best == nil || r.evidence.until.Before(best.evidence.until)) {
					best = r
				}
			}
			if best != nil {
				return best
			}
		}
	}
	return nil
}

// estimate is the expected time to the answer of a request sent now.
func (s *Balancer) estimate(now time.Time, p *pool, r *server) time.Duration {
	g := &r.load
	lat := g.Latency
	if lat == 0 {
		lat = p.latency()
	}
	if now.Before(r.coldUntil) {
		lat *= coldFactor
	}
	if r.evidence.misses > 0 {
		lat *= doubtFactor
	}
	slots := float64(max(r.Slots, 1))
	waiting := (float64(g.InFlight+g.openings) + g.Backlog(now)) / slots
	busy := busyWeight * time.Duration(g.RecentWork(now)).Seconds()
	return time.Duration(float64(lat) * (1 + waiting + busy) * (1 + spread*s.rnd.Float64()))
}

// latency is the mean service time of the servers that gave answers.
func (p *pool) latency() time.Duration {
	var sum time.Duration
	n := 0
	for _, rows := range [][]*server{p.own, p.other} {
		for _, r := range rows {
			if r.load.Latency > 0 {
				sum += r.load.Latency
				n++
			}
		}
	}
	if n == 0 {
		return firstLatency
	}
	return sum / time.Duration(n)
}
