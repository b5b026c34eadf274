package router

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// coldOpeners is the number of instances that open flows at one cold server.
	// Each may open one at any time, so what all open in a second exceeds the
	// server's rate by at most as many.
	coldOpeners = 4
	// coldSettle is how long after its start an instance opens no flows at
	// cold servers with a rate: until then it may not know the others.
	coldSettle = 4 * time.Second
)

// SetPeers tells the names of the live instances of the own failure domain, this
// one among them.
func (s *Balancer) SetPeers(self string, names []string) {
	s.self, s.peers = self, names
}

// opensCold reports whether this instance is one of those that open flows at a
// server while it is cold: a few of the server's own failure domain. Instances
// that know the same agree on who is.
func (s *Balancer) opensCold(r *server) bool {
	if r.Domain != s.Domain {
		return false
	}
	if len(s.peers) <= coldOpeners {
		return true
	}
	var id [8]byte
	binary.BigEndian.PutUint64(id[:], uint64(r.ID))
	rank := func(name string) uint64 { return xxhash.Sum64(append(id[:], name...)) }
	own := rank(s.self)
	before := 0
	for _, name := range s.peers {
		if name != s.self && cmp.Compare(rank(name), own) < 0 {
			before++
		}
	}
	return before < coldOpeners
}

// coldRate returns the flows a second that a cold server bears; 0 when it is
// not cold or has no limit.
func (s *Balancer) coldRate(now time.Time, r *server) float64 {
	if !now.Before(r.coldUntil) {
		return 0
	}
	return s.services[r.Service].ColdRate
}

// coldFull reports whether a cold server may get no flow of this instance now.
func (s *Balancer) coldFull(now time.Time, r *server) bool {
	if s.coldRate(now, r) <= 0 {
		return false
	}
	return now.Before(r.coldNext) || now.Sub(s.began) < coldSettle || !s.opensCold(r)
}

// coldTake counts a flow that was placed at a server.
func (s *Balancer) coldTake(now time.Time, r *server) {
	if rate := s.coldRate(now, r); rate > 0 {
		share := min(coldOpeners, max(len(s.peers), 1))
		r.coldNext = now.Add(time.Duration(float64(share) / rate * float64(time.Second)))
	}
}

// anyCold reports whether a pool has servers that only the cold limit excludes.
func (s *Balancer) anyCold(now time.Time, p *pool) bool {
	full := func(r *server) bool { return s.usable(r) && s.coldFull(now, r) }
	return slices.ContainsFunc(p.own, full) || slices.ContainsFunc(p.other, full)
}
