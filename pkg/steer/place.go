package steer

import (
	"cmp"
	"slices"
	"time"

	"ebonypaddle/pkg/wire"
)

// pool holds the servers of one service by distance.
type pool struct{ own, other []*server }

func (p *pool) add(r *server, own bool) {
	if own {
		p.own = append(p.own, r)
	} else {
		p.other = append(p.other, r)
	}
}

// sort makes choices repeatable, since the servers come from a map.
func (p *pool) sort() {
	byName := func(a, b *server) int { return cmp.Compare(a.name, b.name) }
	slices.SortFunc(p.own, byName)
	slices.SortFunc(p.other, byName)
}

// place chooses the server of a new flow, other than the one that did not
// answer an earlier copy of its opening if there is another.
func (s *Steer) place(now time.Time, service string, tried *server) (*server, wire.Reason) {
	p := s.pools[service]
	if p == nil {
		return nil, wire.ReasonNoServer
	}
	best := s.best(now, p.own, tried)
	if best == nil {
		best = s.best(now, p.other, tried)
	}
	if best == nil && tried != nil && s.usable(tried) {
		best = tried
	}
	if best == nil {
		best = s.trial(now, p)
	}
	if best == nil {
		return nil, wire.ReasonNoServer
	}
	return best, wire.ReasonNone
}

// usable reports whether a server may get new flows at all.
func (s *Steer) usable(r *server) bool {
	_, out := s.out[r.Domain]
	return !out && !r.Leaving && r.token != 0 && s.byName[r.name] == r
}

// best returns the server with the lowest score.
func (s *Steer) best(now time.Time, rows []*server, tried *server) *server {
	var best *server
	var low float64
	for _, r := range rows {
		if r == tried || !s.usable(r) || r.evidence.suspect(now) || s.domain(r.Domain).cut || now.Sub(r.seenAt) < s.Limits.SettleFor {
			continue
		}
		if sc := s.score(now, r); best == nil || sc < low {
			best, low = r, sc
		}
	}
	return best
}

// trial returns any server that may get new flows, when all are suspect or
// new.
func (s *Steer) trial(now time.Time, p *pool) *server {
	var best *server
	for _, rows := range [][]*server{p.own, p.other} {
		for _, r := range rows {
			if s.usable(r) && (best == nil || r.evidence.until.Before(best.evidence.until)) {
				best = r
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// score estimates the wait at a server: work in progress and of late for each
// slot. A random part keeps instances that know the same from choosing the
// same server.
func (s *Steer) score(now time.Time, r *server) float64 {
	n := float64(r.load.openings+r.load.active) + r.load.worked(now) + 0.2*float64(r.load.flows)
	if now.Before(r.coldUntil) {
		n = 2*n + 1
	}
	return (n + s.rnd.Float64()) / float64(max(r.Slots, 1))
}
