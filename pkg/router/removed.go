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
type removedTokens struct{ recent[uint32, removedToken] }

func (t *removedTokens) start() { t.recent = newRecent[uint32, removedToken](maxRemovedTokens) }

// has reports whether this instance removed a server with a token.
func (t *removedTokens) has(token uint32) bool {
	r, ok := t.recent.get(token)
	return ok && !r.learned
}

// get returns which server held a token, if no other one may get it yet.
func (t *removedTokens) get(now time.Time, token uint32) (removedToken, bool) {
	r, ok := t.recent.get(token)
	return r, ok && now.Before(r.until)
}

// holds reports whether flows of the removed server may have the token, and no flows of
// another one.
func (r *removedToken) holds(now time.Time) bool {
	return r.known && now.Before(r.until.Add(-maxInstanceLag))
}
