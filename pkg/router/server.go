package router

import (
	"time"

	"ebonypaddle/pkg/logs"
)

// server is the row of one backend server.
type server struct {
	Server
	token uint32
	name  string
	// seenAt is when this instance first saw the record.
	seenAt time.Time
	// coldUntil is when the slow time after its start ends.
	coldUntil time.Time
	// coldNext is when this instance may open the next flow there while it is
	// cold.
	coldNext time.Time
	// lapsedAt is when the record was removed; zero for a server with a
	// record. A lapsed server gets no new flows.
	lapsedAt time.Time
	lapsed   bool
	evidence evidence
	load     load
}

func (r *server) target() Target { return Target{r.ID, r.Addr, r.token} }

// tokenTries is the number of tokens that an identity may use. With one token
// each, 140,000 servers would have two collisions on average.
const tokenTries = 4

// tokens returns the tokens of a server in the order of preference. Identities
// that fit in 32 bits never collide with their first token.
func tokens(id ServerID) [tokenTries]uint32 {
	var out [tokenTries]uint32
	h := uint64(id)
	for i := range out {
		out[i] = max(uint32(h)^uint32(h>>32), 1)
		h = (h + 1) * 0x9E3779B97F4A7C15 // Fibonacci hashing, 2^64 divided by the golden ratio
	}
	return out
}

// claimToken gives a server the first of its tokens that no other one has.
// Without a free one the server gets no flows.
func (s *Balancer) claimToken(r *server) {
	for _, t := range tokens(r.ID) {
		if _, taken := s.byToken[t]; !taken {
			r.token = t
			s.byToken[t] = r
			return
		}
	}
	s.Log.Warn("server has no free token and gets no flows", "server", r.name, "rev", r.Rev)
}

// ApplyServers takes changed records of servers. With full, the changes are all
// records that exist, and others are removed. A record with a lower revision
// than the known one is old and changes nothing.
func (s *Balancer) ApplyServers(now time.Time, changes []Change[Server], full bool) {
	seen := map[string]bool{}
	for _, c := range changes {
		seen[c.Name] = true
		switch r := s.byName[c.Name]; {
		case r != nil && c.Rev < r.Rev:
		case c.Deleted:
			s.removeServer(now, r)
		default:
			s.putServer(now, c)
		}
	}
	if full {
		for name, r := range s.byName {
			if !seen[name] {
				s.removeServer(now, r)
			}
		}
	}
}

// started reports whether a record is of another process than the one before, or
// moved it.
func started(a, b *Server) bool {
	return a.ID != b.ID || !a.StartedAt.Equal(b.StartedAt) || a.Addr != b.Addr || a.Service != b.Service || a.Domain != b.Domain
}

func (s *Balancer) putServer(now time.Time, c Change[Server]) {
	r := s.byName[c.Name]
	if r != nil && started(&r.Server, &c.Value) {
		// It started again: nothing that was known of it holds.
		s.dropServer(r)
		r = nil
	}
	if r == nil {
		r = &server{name: c.Name, seenAt: now}
		if !s.listed {
			r.seenAt = time.Time{}
		}
		r.Server = c.Value
		s.byName[c.Name] = r
		s.claimToken(r)
		s.pool(r.Service).add(r, r.Domain == s.Domain)
		s.Log.Info("server known", "server", c.Name, "service", r.Service, "domain", r.Domain, "addr", r.Addr, "leaving", r.Leaving, "coldFor", r.ColdFor, "rev", c.Rev)
	} else if r.Leaving != c.Value.Leaving {
		s.Log.Info("server changed", "server", c.Name, "leaving", c.Value.Leaving, "rev", c.Rev)
	}
	if !r.lapsedAt.IsZero() {
		s.Log.Info("server is back in the store", "server", c.Name, "after", now.Sub(r.lapsedAt), "rev", c.Rev)
		r.lapsedAt, r.lapsed = time.Time{}, false
		s.lapsing--
	}
	r.Server = c.Value
	r.Rev = c.Rev
	r.load.Slots = r.Slots
	r.coldUntil = now.Add(c.Value.ColdFor)
}

// removeServer takes the removal of a record. A record can lapse although its
// server lives, when the store was away from one of them; its flows go on for
// RemovalGrace, in which it can renew its record. It gets new flows only if it
// answers callers.
func (s *Balancer) removeServer(now time.Time, r *server) {
	if r == nil || !r.lapsedAt.IsZero() {
		return
	}
	r.lapsedAt = now
	s.lapsing++
	r.lapsed = r.Leaving || !r.evidence.alive(now)
	s.Log.Info("server removed from the store", "server", r.name, "service", r.Service, "leaving", r.Leaving, "newFlows", !r.lapsed, "answeredBefore", logs.Age(now, r.evidence.answeredAt), "rev", r.Rev)
}

// dropServer ends all use of a server. Packets of its flows are refused.
func (s *Balancer) dropServer(r *server) {
	delete(s.byName, r.name)
	p := s.pool(r.Service)
	p.remove(r)
	if len(p.own)+len(p.other) == 0 {
		delete(s.pools, r.Service)
	}
	if !r.lapsedAt.IsZero() {
		s.lapsing--
	}
	if s.byToken[r.token] == r {
		delete(s.byToken, r.token)
		s.gone.add(r.token)
	}
}

// expireLapsed drops servers whose record did not come back in time.
func (s *Balancer) expireLapsed(now time.Time) {
	if s.lapsing == 0 {
		return
	}
	for _, r := range s.byName {
		if !r.lapsedAt.IsZero() && now.Sub(r.lapsedAt) >= s.Limits.RemovalGrace {
			s.Log.Info("server did not renew its record", "server", r.name, "after", now.Sub(r.lapsedAt))
			s.dropServer(r)
		}
	}
}
