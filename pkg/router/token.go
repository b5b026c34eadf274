package router

import "time"

const (
	// maxUnknown bounds the unknown tokens that an instance remembers, since
	// anyone can send them.
	maxUnknown = 4096
	// unknownLife is how long an unknown token is remembered.
	unknownLife = 30 * time.Second
	// maxGone is the number of tokens of former servers that are remembered.
	maxGone = 4096
)

// tokenSet remembers the latest maxGone tokens.
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
	if len(t.ring) < maxGone {
		t.ring = append(t.ring, token)
	} else {
		delete(t.set, t.ring[t.next])
		t.ring[t.next] = token
		t.next = (t.next + 1) % maxGone
	}
	t.set[token] = true
}
