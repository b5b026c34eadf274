package router

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxColdInstances is the number of instances that open flows at one cold
	// server. Each may open a flow at any time, so in any second all of them
	// together exceed the server's rate by at most this number.
	maxColdInstances = 4
	// coldStartupDelay is how long after its own start an instance opens no
	// flows at cold servers with a rate limit. Before that it may not know the
	// other instances that share the rate.
	coldStartupDelay = 4 * time.Second
)

// SetPeers sets the names of the live instances in this failure domain,
// including this instance, whose name is self.
func (lb *Balancer) SetPeers(self string, names []string) {
	lb.self, lb.peers = self, names
}

// mayOpenCold reports whether this instance may open flows at a server while
// it is cold. Only maxColdInstances instances of the server's own failure
// domain may. They are chosen by rendezvous hashing, so instances with the
// same list of peers choose the same ones.
func (lb *Balancer) mayOpenCold(srv *server) bool {
	if srv.Domain != lb.Domain {
		return false
	}
	if len(lb.peers) <= maxColdInstances {
		return true
	}
	var id [8]byte
	binary.BigEndian.PutUint64(id[:], uint64(srv.ID))
	hash := func(name string) uint64 { return xxhash.Sum64(append(id[:], name...)) }
	ownHash := hash(lb.self)
	lower := 0
	for _, name := range lb.peers {
		if name != lb.self && cmp.Compare(hash(name), ownHash) < 0 {
			lower++
		}
	}
	return lower < maxColdInstances
}

// coldRate returns the number of flows per second that a cold server can take,
// or 0 if the server is not cold or has no limit.
func (lb *Balancer) coldRate(now time.Time, srv *server) float64 {
	if !now.Before(srv.coldUntil) {
		return 0
	}
	return lb.services[srv.Service].ColdRate
}

// coldLimited reports whether the cold start limit keeps this instance from
// opening a flow at the server now.
func (lb *Balancer) coldLimited(now time.Time, srv *server) bool {
	if lb.coldRate(now, srv) <= 0 {
		return false
	}
	return now.Before(srv.nextColdFlowAt) || now.Sub(lb.startedAt) < coldStartupDelay || !lb.mayOpenCold(srv)
}

// recordColdFlow sets the time of the next flow that this instance may open at
// a cold server. The instances that open flows there share its rate evenly.
func (lb *Balancer) recordColdFlow(now time.Time, srv *server) {
	if rate := lb.coldRate(now, srv); rate > 0 {
		share := min(maxColdInstances, max(len(lb.peers), 1))
		srv.nextColdFlowAt = now.Add(time.Duration(float64(share) / rate * float64(time.Second)))
	}
}

// hasColdLimited reports whether the pool has servers that could take a new
// flow but for the cold start limit.
func (lb *Balancer) hasColdLimited(now time.Time, p *pool) bool {
	limited := func(srv *server) bool { return lb.usable(srv) && lb.coldLimited(now, srv) }
	return slices.ContainsFunc(p.local, limited) || slices.ContainsFunc(p.remote, limited)
}
