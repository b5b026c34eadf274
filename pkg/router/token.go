package router

import (
	"cmp"
	"log/slog"
	"slices"
	"time"
)

const (
	// tokensPerServer is the number of tokens of a server. With one token each,
	// 140,000 servers would have two collisions on average.
	tokensPerServer = 3
	// maxUnknownTokens bounds the unknown tokens that an instance remembers,
	// since anyone can send packets with such tokens.
	maxUnknownTokens = 4096
	// unknownTokenTTL is how long an unknown token is remembered.
	unknownTokenTTL = 30 * time.Second
)

// tokens returns the possible tokens of a server in order of preference. The
// first tokens of IDs that fit in 32 bits never collide.
func tokens(id ServerID) [tokensPerServer]uint32 {
	var out [tokensPerServer]uint32
	h := uint64(id)
	for i := range out {
		out[i] = max(uint32(h)^uint32(h>>32), 1)
		h = (h + 1) * 0x9E3779B97F4A7C15 // Fibonacci hashing, 2^64 divided by the golden ratio
	}
	return out
}

// hasToken reports whether a token is one of the server's.
func (srv *server) hasToken(token uint32) bool { return idHasToken(srv.ID, token) }

func idHasToken(id ServerID, token uint32) bool {
	all := tokens(id)
	return slices.Contains(all[:], token)
}

// tokenTable says which server the packets with a token go to. New flows get only
// tokens that a single server has; contest.go has the rules for the others.
type tokenTable struct {
	log    *slog.Logger
	owners map[uint32]*server
	// shared holds the few tokens of several records, or of a remembered server too.
	shared  map[uint32]*sharedToken
	removed removedTokens
	// firstAt is when the first servers were listed.
	firstAt time.Time
	// settled is set when other instances told which servers hold tokens.
	settled bool
	// missedAt is when this instance last heard of the removal of a server that it never
	// knew, so that it does not know which tokens the server had.
	missedAt time.Time
}

func (t *tokenTable) start(log *slog.Logger) {
	t.log, t.owners, t.shared = log, map[uint32]*server{}, map[uint32]*sharedToken{}
	t.removed.start()
}

// owner returns the server that gets the packets with a token, or nil.
func (t *tokenTable) owner(token uint32) *server { return t.owners[token] }

// contested reports whether a token is among those of several servers.
func (t *tokenTable) contested(token uint32) bool {
	c := t.shared[token]
	return c != nil && c.contested
}

// compareRecords orders records of one server by the start that they give.
func compareRecords(a, b *server) int {
	return cmp.Or(a.StartedAt.Compare(b.StartedAt), cmp.Compare(a.name, b.name))
}

// claim adds a server and sets the token that its new flows get.
func (t *tokenTable) claim(now time.Time, srv *server) {
	if t.firstAt.IsZero() {
		t.firstAt = now
	}
	if other := t.find(tokens(srv.ID)[0], func(o *server) bool { return o.ID == srv.ID }); other != nil {
		other.sharesID, srv.sharesID = true, true
	}
	for _, token := range tokens(srv.ID) {
		owner, c := t.owners[token], t.shared[token]
		r, remembered := t.removed.get(now, token)
		switch {
		case c != nil:
			t.join(now, token, c, srv)
		case owner != nil:
			c = &sharedToken{servers: []*server{owner}, holder: owner.ID}
			t.shared[token] = c
			t.join(now, token, c, srv)
		case remembered && (!r.known || r.id != srv.ID):
			c = &sharedToken{servers: []*server{srv}, contested: true, holder: r.id, resolved: r.holds(now), until: r.until}
			t.shared[token] = c
			t.contestBegan(token, c, srv)
		default:
			t.owners[token] = srv
		}
	}
	t.choose(srv)
}

// choose sets the token that new flows of a server get: the one that it has if it
// still may be given out, else the first such one, or 0 if there is none.
func (t *tokenTable) choose(srv *server) {
	free := func(token uint32) bool { return t.owners[token] == srv && !t.contested(token) }
	if srv.token != 0 && free(srv.token) {
		return
	}
	srv.token = 0
	all := tokens(srv.ID)
	if i := slices.IndexFunc(all[:], free); i >= 0 {
		srv.token = all[i]
	}
}

// find returns a server with a token for which match returns true, or nil.
func (t *tokenTable) find(token uint32, match func(*server) bool) *server {
	if owner := t.owners[token]; owner != nil && match(owner) {
		return owner
	}
	if c := t.shared[token]; c != nil {
		if i := slices.IndexFunc(c.servers, match); i >= 0 {
			return c.servers[i]
		}
	}
	return nil
}

// leaving reports whether any record with the ID of a server says that it is leaving.
// The server's own record is one of them.
func (t *tokenTable) leaving(srv *server) bool {
	if srv.Leaving || !srv.sharesID {
		return srv.Leaving
	}
	return t.find(tokens(srv.ID)[0], func(o *server) bool { return o.ID == srv.ID && o.Leaving }) != nil
}

// release removes a server. Its tokens are remembered until a time.
func (t *tokenTable) release(now time.Time, srv *server, until time.Time) {
	for _, token := range tokens(srv.ID) {
		if c := t.shared[token]; c != nil {
			t.part(now, token, c, srv, until)
			continue
		}
		delete(t.owners, token)
		t.removed.add(token, removedToken{id: srv.ID, known: true, until: until})
	}
}
