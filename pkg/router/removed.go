package router

import "time"

// maxRemovedTokens is the number of tokens of removed servers that are
// remembered.
const maxRemovedTokens = 4096

// removedToken is a token of a removed server.
type removedToken struct {
	id ServerID
	// known is false if several servers had the token and it is not known which
	// one held it.
	known bool
	// learned is set if another instance said so.
	learned bool
	// until is until when no other server gets the token.
	until time.Time
}

// removedTokens holds the latest maxRemovedTokens tokens of removed servers.
type removedTokens struct {
	byToken map[uint32]removedToken
	ring    []uint32
	next    int
}

func (t *removedTokens) start() { t.byToken = map[uint32]removedToken{} }

// has reports whether this instance removed a server with a token.
func (t *removedTokens) has(token uint32) bool {
	r, ok := t.byToken[token]
	return ok && !r.learned
}

// get returns which server held a token, if no other one may get it yet.
func (t *removedTokens) get(now time.Time, token uint32) (removedToken, bool) {
	r, ok := t.byToken[token]
	return r, ok && now.Before(r.until)
}

func (t *removedTokens) add(token uint32, r removedToken) {
	if _, ok := t.byToken[token]; !ok {
		if len(t.ring) < maxRemovedTokens {
			t.ring = append(t.ring, token)
		} else {
			delete(t.byToken, t.ring[t.next])
			t.ring[t.next] = token
			t.next = (t.next + 1) % maxRemovedTokens
		}
	}
	t.byToken[token] = r
}
