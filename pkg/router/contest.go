package router

import (
	"slices"
	"time"
)

// A token is contested while servers with different IDs have it among theirs, or one
// server and another that was removed less than tokenMemory ago. It is not given to new
// flows meanwhile. Its packets go to its holder, the server that this instance knew with
// the token before: flows that were opened with the token are at that server. No property
// of the servers decides, since clocks differ and records expire. Packets are dropped
// while the holder has no record, and if it is not known which server is the holder.

const (
	// tokenMemory is how long the tokens of a removed server are remembered: the
	// longest time for which its flows go on, and maxInstanceLag. During the latter
	// another instance may have forgotten it already and given the token to flows of
	// another server, so the removed server does not hold the token any more.
	tokenMemory = maxExpired + maxInstanceLag
	// maxInstanceLag is how much later an instance may learn that a server was
	// removed than another one.
	maxInstanceLag = 30 * time.Second
)

// sharedToken is the state of a token that several records have.
type sharedToken struct {
	servers   []*server
	contested bool
	// holder is valid if resolved is set. While the token is not contested, it is
	// the ID of all servers.
	holder   ServerID
	resolved bool
	// until is when the holder, or in an unresolved contest the last server that
	// was removed, is forgotten. It is zero if none was removed.
	until time.Time
}

// forgetHolder makes a contest unresolved once the flows of a holder without a record have
// ended, and reports whether it did.
func (c *sharedToken) forgetHolder(now time.Time) bool {
	if !c.contested || !c.resolved || c.holderKnown() || now.Before(c.until.Add(-maxInstanceLag)) {
		return false
	}
	c.resolved = false
	return true
}

// known reports whether a server with an ID is among the servers.
func (c *sharedToken) known(id ServerID) bool {
	return slices.ContainsFunc(c.servers, func(o *server) bool { return o.ID == id })
}

// holderKnown reports whether the holder has a record here.
func (c *sharedToken) holderKnown() bool { return c.resolved && c.known(c.holder) }

// alone reports whether the servers, of which there is at least one, have a single ID.
func (c *sharedToken) alone() bool {
	return !slices.ContainsFunc(c.servers, func(o *server) bool { return o.ID != c.servers[0].ID })
}

// join adds a server to those of a token.
func (t *tokenTable) join(now time.Time, token uint32, c *sharedToken, srv *server) {
	c.forgetHolder(now)
	if !c.contested && srv.ID != c.holder {
		c.contested = true
		c.resolved = t.knownBefore(now, token, c)
		c.servers = append(c.servers, srv)
		t.contestBegan(token, c, srv)
	} else {
		c.servers = append(c.servers, srv)
	}
	t.update(now, token, c)
}

// knownBefore reports whether this instance knew the holder of a token for
// confirmationLag, or remembers that it had the token. Lists and watches of the store are
// linearizable and in order, so all instances that see single changes learn of servers in
// one order, though at different times. A list has no order of its records: of servers that are
// learned together, another instance may have learned either one first.
func (t *tokenTable) knownBefore(now time.Time, token uint32, c *sharedToken) bool {
	if r, ok := t.removed.get(now, token); ok && r.holds(now) && r.id == c.holder {
		return true
	}
	return slices.ContainsFunc(c.servers, func(o *server) bool {
		since := o.addedAt
		if since.IsZero() {
			since = t.firstAt
		}
		return now.Sub(since) >= confirmationLag
	})
}

func (t *tokenTable) contestBegan(token uint32, c *sharedToken, srv *server) {
	t.log.Warn("token shared by servers is not given out", "token", token, "server", srv.name, "servers", len(c.servers), "holder", c.holder, "resolved", c.resolved, "rev", srv.Rev)
}

// part removes a server from those of a token.
func (t *tokenTable) part(now time.Time, token uint32, c *sharedToken, srv *server, until time.Time) {
	c.servers = slices.DeleteFunc(c.servers, func(o *server) bool { return o == srv })
	if !c.known(srv.ID) && (!c.contested || !c.resolved || srv.ID == c.holder) {
		c.until = until
	}
	t.update(now, token, c)
}

// update does what reassign does, and logs the end of a contest.
func (t *tokenTable) update(now time.Time, token uint32, c *sharedToken) {
	if t.reassign(now, token, c) {
		t.log.Info("token shared by servers belongs to one again", "token", token, "server", c.servers[0].name)
	}
}

// reassign sets the server that gets the packets with a token, ends its contest if only
// one server can have flows with it, and chooses the tokens of the servers again.
func (t *tokenTable) reassign(now time.Time, token uint32, c *sharedToken) (ended bool) {
	if len(c.servers) == 0 {
		delete(t.shared, token)
		delete(t.owners, token)
		t.removed.add(token, removedToken{id: c.holder, known: c.resolved || !c.contested, until: c.until})
		return false
	}
	if c.contested && c.alone() && (c.holderKnown() || !now.Before(c.until)) {
		// All servers have one ID, so the first one stands for all.
		c.contested, c.holder, ended = false, c.servers[0].ID, true
	}
	delete(t.owners, token)
	if owners := slices.DeleteFunc(slices.Clone(c.servers), func(o *server) bool { return c.contested && (!c.resolved || o.ID != c.holder) }); len(owners) > 0 {
		t.owners[token] = slices.MinFunc(owners, compareRecords)
	}
	if !c.contested && len(c.servers) == 1 {
		delete(t.shared, token)
	}
	for _, o := range c.servers {
		t.choose(o)
	}
	return ended
}

// expire makes contests unresolved whose holder has no flows left, and ends those with
// servers that are no longer remembered.
func (t *tokenTable) expire(now time.Time) {
	for token, c := range t.shared {
		if c.forgetHolder(now) {
			t.update(now, token, c)
		}
		if c.contested && !c.holderKnown() && !c.until.IsZero() && !now.Before(c.until) {
			c.resolved, c.until = false, time.Time{}
			t.update(now, token, c)
		}
	}
}

// setHolder takes over from another instance which server holds a token, or that it is not
// known. It reports whether a contest begins by that.
func (t *tokenTable) setHolder(now time.Time, token uint32, r removedToken) (began bool) {
	c, owner := t.shared[token], t.owners[token]
	if c == nil && owner != nil {
		c = &sharedToken{servers: []*server{owner}, holder: owner.ID}
	}
	if c != nil && c.contested && c.resolved && !r.holds(now) {
		return false // this instance knows better
	}
	if c == nil || !c.contested && r.known && c.holder == r.id {
		t.removed.add(token, r)
		return false
	}
	began = !c.contested
	t.shared[token] = c
	c.contested, c.resolved, c.holder, c.until = true, r.holds(now), r.id, r.until
	t.reassign(now, token, c)
	return began
}
