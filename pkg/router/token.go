package router

import "time"

const (
	// maxUnknownTokens bounds the unknown tokens that an instance remembers,
	// since anyone can send packets with such tokens.
	maxUnknownTokens = 4096
	// unknownTokenTTL is how long an unknown token is remembered.
	unknownTokenTTL = 30 * time.Second
	// maxRemovedTokens is the number of tokens of removed servers that are
	// remembered.
	maxRemovedTokens = 4096
)

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
