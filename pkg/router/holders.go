package router

import (
	"slices"
	"time"

	"ebonypaddle/pkg/revs"
)

const (
	// maxTokensAsked bounds the tokens of a TokensRequest.
	maxTokensAsked = 1024
	// maxTokenHolders bounds the holders of a TokensResponse.
	maxTokenHolders = maxRemovedTokens + maxTokensAsked
)

// TokensRequest asks another instance which servers hold tokens.
type TokensRequest struct {
	_ struct{} `cbor:",toarray"`
	// Tokens are those whose holder is not known at the requesting instance, Rev is
	// the revision of its server records.
	Tokens []uint32
	Rev    revs.Rev
}

// TokensResponse lists the holders of contested tokens, of those of servers without a
// record, and of the tokens asked for.
type TokensResponse struct {
	_ struct{} `cbor:",toarray"`
	// Settled is set if TokensSettled is true at the responding instance, and it knows
	// the records of the requesting instance. Its response is complete then.
	Settled bool
	Holders []TokenHolder
}

// TokenHolder is the server whose flows have a token. If Known is false, several servers
// have it, and Server is not valid.
type TokenHolder struct {
	_      struct{} `cbor:",toarray"`
	Token  uint32
	Known  bool
	Server ServerID
	// Age is how long ago the server was removed at the responding instance, in
	// milliseconds; 0 if it is known.
	Age uint32
}

// TokensRequest returns the request for the tokens whose holder is not known here, in
// order. rev is the revision of the server records.
func (lb *Balancer) TokensRequest(rev revs.Rev) TokensRequest {
	req := TokensRequest{Rev: rev}
	for token, c := range lb.tokens.shared {
		if c.contested && !c.resolved {
			req.Tokens = append(req.Tokens, token)
		}
	}
	slices.Sort(req.Tokens)
	req.Tokens = req.Tokens[:min(len(req.Tokens), maxTokensAsked)]
	return req
}

// TokensResponse answers another instance. rev is the revision of the server records here.
// A response that does not hold everything is not settled.
func (lb *Balancer) TokensResponse(now time.Time, rev revs.Rev, req *TokensRequest) TokensResponse {
	res := TokensResponse{Settled: lb.TokensSettled(now) && rev >= req.Rev}
	add := func(token uint32, holder ServerID, known bool, until time.Time) bool {
		if len(res.Holders) == maxTokenHolders {
			res.Settled = false
			return false
		}
		age := max(tokenMemory-until.Sub(now), 0)
		res.Holders = append(res.Holders, TokenHolder{Token: token, Known: known, Server: holder, Age: uint32(age / time.Millisecond)})
		return true
	}
	latest := now.Add(tokenMemory)
	for _, token := range req.Tokens[:min(len(req.Tokens), maxTokensAsked)] {
		if srv := lb.tokens.owners[token]; srv != nil && !lb.tokens.contested(token) {
			add(token, srv.ID, true, latest)
		}
	}
	for token, c := range lb.tokens.shared {
		switch {
		case !c.contested:
		case c.alone() || c.resolved && !c.holderKnown():
			add(token, c.holder, c.resolved, c.until)
		default:
			add(token, c.holder, c.resolved, latest)
		}
	}
	lb.addRemovedHolders(now, add)
	return res
}

// addRemovedHolders adds the tokens of servers without a record, which the requesting
// instance may not know.
func (lb *Balancer) addRemovedHolders(now time.Time, add func(token uint32, holder ServerID, known bool, until time.Time) bool) {
	for srv := range lb.removedServers {
		for _, token := range tokens(srv.ID) {
			if lb.tokens.owners[token] == srv && !lb.tokens.contested(token) && !add(token, srv.ID, true, now.Add(tokenMemory)) {
				return
			}
		}
	}
	for token, e := range lb.tokens.removed.values {
		r := &e.v
		if now.Before(r.until) && lb.tokens.owners[token] == nil && lb.tokens.shared[token] == nil && !add(token, r.id, r.known, r.until) {
			return
		}
	}
}

// ApplyHolders takes over the holders of tokens from another instance. It returns how many
// were ignored because their server does not have the token, or there are too many, and
// how many tokens of servers here are shared with others by that. These are not logged one
// by one. It does nothing once this instance is settled.
func (lb *Balancer) ApplyHolders(now time.Time, holders []TokenHolder) (ignored, shared int) {
	if lb.tokens.settled {
		return 0, 0
	}
	for i, h := range holders {
		age := time.Duration(h.Age) * time.Millisecond
		if i >= maxTokenHolders || h.Known && !idHasToken(h.Server, h.Token) {
			ignored++
			continue
		}
		if age < tokenMemory && lb.tokens.setHolder(now, h.Token, removedToken{id: h.Server, known: h.Known, learned: true, until: now.Add(tokenMemory - age)}) {
			shared++
		}
	}
	return ignored, shared
}

// SettleTokens records that other instances told this one which servers hold tokens, so
// that it may tell others. An instance that only stopped asking may not: it does not know
// the servers that were removed before its first list.
func (lb *Balancer) SettleTokens() { lb.tokens.settled = true }

// TokensSettled reports whether this instance knows which servers hold tokens: others told
// it, or it has known the servers for as long as removed ones are remembered. It does not
// if it missed a server that came and was removed, as it lagged or was told the result only.
func (lb *Balancer) TokensSettled(now time.Time) bool {
	t := &lb.tokens
	if !t.missedAt.IsZero() && now.Sub(t.missedAt) < tokenMemory {
		return false
	}
	return t.settled || !t.firstAt.IsZero() && now.Sub(t.firstAt) >= tokenMemory
}
