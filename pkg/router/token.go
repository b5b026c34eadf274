package router

import (
	"cmp"
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
	// maxRemovedTokens is the number of tokens of removed servers that are
	// remembered.
	maxRemovedTokens = 4096
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
func (srv *server) hasToken(token uint32) bool {
	all := tokens(srv.ID)
	return slices.Contains(all[:], token)
}

// tokenTable says which server a token belongs to. Of all servers that have a token
// among theirs, it is the one that started first. That depends only on the servers,
// not on the order in which an instance learns of them, so instances that know the
// same servers agree, and a new server takes no token from an earlier one.
type tokenTable struct {
	owners map[uint32]*server
	// others holds, for the few tokens of several servers, those that do not own it.
	others map[uint32][]*server
}

func (t *tokenTable) start() { t.owners, t.others = map[uint32]*server{}, map[uint32][]*server{} }

// owner returns the server of a token, or nil if it belongs to none.
func (t *tokenTable) owner(token uint32) *server { return t.owners[token] }

// compareStarts orders servers by the start of their processes.
func compareStarts(a, b *server) int {
	return cmp.Or(a.StartedAt.Compare(b.StartedAt), cmp.Compare(a.ID, b.ID), cmp.Compare(a.name, b.name))
}

// claim adds a server and sets the token that its new flows get. It returns the
// servers from which it took a token.
func (t *tokenTable) claim(srv *server) (displaced []*server) {
	if other := t.find(tokens(srv.ID)[0], func(o *server) bool { return o.ID == srv.ID }); other != nil {
		other.sharesID, srv.sharesID = true, true
	}
	for _, token := range tokens(srv.ID) {
		owner := t.owners[token]
		switch {
		case owner == srv:
		case owner == nil:
			t.owners[token] = srv
		case compareStarts(srv, owner) < 0:
			t.owners[token] = srv
			t.others[token] = append(t.others[token], owner)
			t.choose(owner)
			displaced = append(displaced, owner)
		default:
			t.others[token] = append(t.others[token], srv)
		}
	}
	t.choose(srv)
	return displaced
}

// choose sets the token that new flows of a server get: the one that it has if it
// owns that, else the first one that it owns, or 0 if it owns none. Instances may
// choose different ones, but all forward each of them to the same server.
func (t *tokenTable) choose(srv *server) {
	if srv.token != 0 && t.owners[srv.token] == srv {
		return
	}
	srv.token = 0
	for _, token := range tokens(srv.ID) {
		if t.owners[token] == srv {
			srv.token = token
			return
		}
	}
}

// find returns a server with a token for which match returns true, or nil.
func (t *tokenTable) find(token uint32, match func(*server) bool) *server {
	if owner := t.owners[token]; owner != nil && match(owner) {
		return owner
	}
	if i := slices.IndexFunc(t.others[token], match); i >= 0 {
		return t.others[token][i]
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

// release removes a server and returns the tokens that belong to no server any more.
func (t *tokenTable) release(srv *server) (unowned []uint32) {
	for _, token := range tokens(srv.ID) {
		others := slices.DeleteFunc(t.others[token], func(o *server) bool { return o == srv })
		if t.owners[token] == srv {
			if len(others) == 0 {
				delete(t.owners, token)
				unowned = append(unowned, token)
				continue
			}
			next := slices.MinFunc(others, compareStarts)
			others = slices.DeleteFunc(others, func(o *server) bool { return o == next })
			t.owners[token] = next
			t.choose(next)
		}
		if len(others) == 0 {
			delete(t.others, token)
		} else {
			t.others[token] = others
		}
	}
	return unowned
}

// tokenSet holds the latest maxRemovedTokens tokens of removed servers.
type tokenSet struct {
	set  map[uint32]bool
	ring []uint32
	next int
}

func (t *tokenSet) start() {
	t.set = map[uint32]bool{}
	t.ring = make([]uint32, 0, 64)
}

func (t *tokenSet) has(token uint32) bool { return t.set[token] }

func (t *tokenSet) add(token uint32) {
	if t.set[token] {
		return
	}
	if len(t.ring) < maxRemovedTokens {
		t.ring = append(t.ring, token)
	} else {
		delete(t.set, t.ring[t.next])
		t.ring[t.next] = token
		t.next = (t.next + 1) % maxRemovedTokens
	}
	t.set[token] = true
}
