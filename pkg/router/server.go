package router

import (
	"time"

	"ebonypaddle/pkg/logs"
	"ebonypaddle/pkg/revs"
)

// server is the state of one backend server.
type server struct {
	Server
	token uint32
	name  string
	// addedAt is when this instance first saw the record; zero for records of
	// the initial list.
	addedAt time.Time
	// coldUntil is when the server's cold start ends.
	coldUntil time.Time
	// nextColdFlowAt is the earliest time at which this instance may open
	// another flow at the server during its cold start.
	nextColdFlowAt time.Time
	// removedAt is when this instance learned that the record was removed; zero
	// while there is a record. The server gets new flows until newFlowsUntil
	// meanwhile, and none once noNewFlows is set.
	removedAt, newFlowsUntil time.Time
	noNewFlows               bool
	// ackedAt is when a caller last acknowledged new data of the server.
	ackedAt time.Time
	// sharesID is set when another record has the same ID.
	sharesID bool
	health   passiveHealth
	load     serverLoad
}

func (srv *server) target() Target { return Target{srv.ID, srv.Addr, srv.token} }

// ApplyServers applies changed server records. With full set, changes lists
// all records that exist, and all other servers are removed. A record with a
// lower revision than the known one is out of date and ignored. The first list
// is one log line: with one for each server, an instance would take longer to
// start.
func (lb *Balancer) ApplyServers(now time.Time, changes []Change[Server], full bool) {
	first := full && len(lb.byName) == 0
	leaving, highestRev := 0, revs.Rev(0)
	seen := make(map[string]bool, len(changes))
	for _, c := range changes {
		seen[c.Name] = true
		switch srv := lb.byName[c.Name]; {
		case srv != nil && c.Rev < srv.Rev:
		case c.Deleted && srv == nil:
			if !c.Invalid {
				lb.tokens.missedAt = now
			}
		case c.Deleted:
			lb.removeServer(now, srv)
		default:
			lb.putServer(now, c, !first)
			if c.Value.Leaving {
				leaving++
			}
			highestRev = max(highestRev, c.Rev)
		}
	}
	if first {
		lb.Log.Info("servers listed", "servers", len(lb.byName), "leaving", leaving, "highestRev", highestRev)
	}
	if full {
		for name, srv := range lb.byName {
			if !seen[name] {
				lb.removeServer(now, srv)
			}
		}
	}
}

// replaced reports whether a record belongs to another process than the
// previous one, or to a server that moved to another address, service or
// domain.
func replaced(old, current *Server) bool {
	return old.ID != current.ID || !old.StartedAt.Equal(current.StartedAt) || old.Addr != current.Addr || old.Service != current.Service || old.Domain != current.Domain
}

// putServer adds a server or applies a changed record. logNew says whether a new
// server gets a log line.
func (lb *Balancer) putServer(now time.Time, c Change[Server], logNew bool) {
	srv := lb.byName[c.Name]
	if srv != nil && replaced(&srv.Server, &c.Value) {
		// The server restarted or moved, so nothing known about it is valid.
		lb.dropServer(now, srv)
		srv = nil
	}
	switch {
	case srv == nil:
		if last, ok := lb.ended.last(&c.Value); ok && c.Value.Sequence < last.sequence {
			lb.Log.Info("older server record ignored", "server", c.Name, "leaving", last.leaving, "rev", c.Rev)
			c.Value.Sequence, c.Value.Leaving = last.sequence, last.leaving
		}
		srv = lb.addServer(now, c)
		if logNew {
			lb.Log.Info("server added", "server", c.Name, "service", srv.Service, "domain", srv.Domain, "addr", srv.Addr, "leaving", srv.Leaving, "coldFor", srv.ColdTimeLeft, "rev", c.Rev)
		}
	case c.Value.Sequence < srv.Sequence:
		// The process wrote this record before the known one. The store came back
		// from an older copy, or carried out a write late.
		lb.Log.Info("older server record ignored", "server", c.Name, "leaving", srv.Leaving, "rev", c.Rev)
		c.Value, c.Value.ColdTimeLeft = srv.Server, max(srv.coldUntil.Sub(now), 0)
	case srv.Leaving != c.Value.Leaving:
		lb.Log.Info("server changed", "server", c.Name, "leaving", c.Value.Leaving, "rev", c.Rev)
	}
	if !srv.removedAt.IsZero() {
		lb.Log.Info("server is back in the store", "server", c.Name, "after", now.Sub(srv.removedAt), "rev", c.Rev)
		srv.removedAt, srv.noNewFlows = time.Time{}, false
		delete(lb.removedServers, srv)
		if lb.expired[srv.Addr] == srv {
			delete(lb.expired, srv.Addr)
		}
	}
	srv.Server = c.Value
	srv.Rev = c.Rev
	srv.load.Slots = srv.Slots
	srv.coldUntil = now.Add(c.Value.ColdTimeLeft)
}

// addServer adds the server of a record.
func (lb *Balancer) addServer(now time.Time, c Change[Server]) *server {
	srv := &server{Server: c.Value, name: c.Name, addedAt: now}
	if !lb.synced {
		srv.addedAt = time.Time{}
	}
	if old := lb.expired[srv.Addr]; old != nil {
		lb.Log.Info("address of a silent server in use again", "server", old.name, "by", srv.name, "rev", c.Rev)
		lb.dropServer(now, old)
	}
	lb.byName[c.Name] = srv
	lb.tokens.claim(now, srv)
	if srv.token == 0 {
		lb.Log.Warn("server has no free token and gets no flows", "server", srv.name, "rev", srv.Rev)
	}
	lb.startShare(srv)
	lb.pool(srv.Service).add(srv, srv.Domain == lb.Domain)
	return srv
}

// removeServer handles the removal of a record. A record can expire although
// its server is alive, when the server or this instance lost its connection to
// the store. Flows of the server therefore go on for RemovalGrace, during
// which it can renew its record. It gets new flows only if it answered callers
// recently.
func (lb *Balancer) removeServer(now time.Time, srv *server) {
	if srv == nil || !srv.removedAt.IsZero() {
		return
	}
	srv.removedAt = now
	srv.newFlowsUntil = lb.removedServerUntil(now)
	lb.removedServers[srv] = struct{}{}
	srv.noNewFlows = srv.Leaving || !srv.health.recentlyAnswered(now) || !now.Before(srv.newFlowsUntil)
	lb.Log.Info("server removed from the store", "server", srv.name, "service", srv.Service, "leaving", srv.Leaving, "newFlows", !srv.noNewFlows, "until", srv.newFlowsUntil.Sub(now), "confirmed", logs.Age(now, lb.confirmedAt), "answeredBefore", logs.Age(now, srv.health.answeredAt), "rev", srv.Rev)
}

// removedServerUntil returns until when a server whose record was removed may get new
// flows. The record was there when everything known here was last confirmed, so
// MaxLeavingDelay counts from then at the earliest. An instance that was not confirmed
// for as long was cut off from the store, or the store did not answer anyone: many
// records expire then, and most servers renew theirs.
func (lb *Balancer) removedServerUntil(now time.Time) time.Time {
	if now.Sub(lb.confirmedAt) >= lb.Limits.MaxLeavingDelay {
		return now.Add(lb.Limits.RemovalGrace)
	}
	return lb.confirmedAt.Add(lb.Limits.MaxLeavingDelay - confirmationLag)
}

// confirmationLag is how far a confirmation can be behind: a response of the store can
// lack changes of the last second.
const confirmationLag = time.Second

// dropServer removes a server. Later packets of its flows are refused.
func (lb *Balancer) dropServer(now time.Time, srv *server) {
	delete(lb.byName, srv.name)
	lb.ended.add(&srv.Server)
	p := lb.pool(srv.Service)
	p.remove(srv)
	if len(p.local)+len(p.remote) == 0 {
		delete(lb.pools, srv.Service)
	}
	delete(lb.removedServers, srv)
	if lb.expired[srv.Addr] == srv {
		delete(lb.expired, srv.Addr)
	}
	if sa := lb.admission.services[srv.Service]; sa != nil {
		sa.costs.Forget(uint64(srv.ID))
	}
	rememberedFrom := now
	if !srv.removedAt.IsZero() {
		// Instances drop it at different times if it still answers flows of some.
		rememberedFrom = srv.removedAt.Add(lb.Limits.RemovalGrace)
	}
	lb.tokens.release(now, srv, rememberedFrom.Add(tokenMemory))
}
