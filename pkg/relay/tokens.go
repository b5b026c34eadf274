package relay

import (
	"context"
	"net/netip"
	"time"

	"ebonypaddle/pkg/cache"
	"ebonypaddle/pkg/revs"
	"ebonypaddle/pkg/router"
	"ebonypaddle/pkg/wait"
)

const (
	// tokensPath is the path of the request by which an instance that starts learns
	// which servers hold tokens. It is not part of the exchange, whose messages
	// instances of other versions have to decode.
	tokensPath = "/ebonypaddle.relay.v1.Relay/Tokens"
	// maxTokensSize is the size of the largest message of that path in bytes.
	maxTokensSize = 1 << 18
	// tokensTimeout bounds a request.
	tokensTimeout = 500 * time.Millisecond
	// maxTokenAsks is the number of requests without a complete response after
	// which an instance goes by what it knows. The pause between them doubles from
	// minTokensPause to maxTokensPause.
	maxTokenAsks   = 8
	minTokensPause = 100 * time.Millisecond
	maxTokensPause = 2 * time.Second
	// domainTokenAsks is how many of the requests go to instances of the own failure
	// domain first.
	domainTokenAsks = 4
)

// handleTokens tells another instance which servers hold tokens.
func (r *Relay) handleTokens(_ context.Context, req router.TokensRequest) (router.TokensResponse, error) {
	r.Counters.ReceivedRequests.Add(1)
	r.cacheMu.Lock()
	rev := r.serversRev()
	r.cacheMu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Balancer.TokensResponse(r.Clock(), rev, &req), nil
}

// serversRev returns the revision of the server records. The caller holds cacheMu.
func (r *Relay) serversRev() revs.Rev { return r.cache.Revs()[cache.Servers] }

// askTokens asks other instances after the first list which servers hold tokens, until a
// response is complete and the holders of all tokens are known, or maxTokenAsks requests
// were sent.
func (r *Relay) askTokens(ctx context.Context) {
	for complete := false; !complete && ctx.Err() == nil; {
		r.awaitUpdate(ctx, time.Minute, func() bool { complete = r.cache.Complete(); return complete })
	}
	client, err := newPeerClient()
	if err != nil {
		r.Log.Error("token holders not asked for", "err", err)
		return
	}
	var last netip.AddrPort
	pause, complete := minTokensPause, false
	for i := 0; i < maxTokenAsks && !complete && ctx.Err() == nil; i++ {
		if i > 0 {
			wait.Pause(ctx, pause)
			pause = min(2*pause, maxTokensPause)
		}
		r.cacheMu.Lock()
		choose := r.members.RandomDomainMember
		if i >= domainTokenAsks {
			choose = r.members.RandomMember
		}
		to, ok := choose(r.Clock(), last)
		r.cacheMu.Unlock()
		if ok {
			complete = r.askTokensOf(ctx, client, to)
			last = to
		}
	}
	if ctx.Err() != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Balancer.SettleTokens()
	if !complete {
		r.Log.Info("no instance knew all token holders", "requests", maxTokenAsks, "unresolved", len(r.Balancer.TokensRequest(0).Tokens))
	}
}

// askTokensOf asks one instance and reports whether its response is complete and no holder
// of a token is left to ask for.
func (r *Relay) askTokensOf(ctx context.Context, client *peerClient, to netip.AddrPort) (complete bool) {
	ctx, cancel := context.WithTimeout(ctx, tokensTimeout)
	defer cancel()
	r.cacheMu.Lock()
	rev := r.serversRev()
	r.cacheMu.Unlock()
	r.mu.Lock()
	req := r.Balancer.TokensRequest(rev)
	r.mu.Unlock()
	res, err := unary[router.TokensRequest, router.TokensResponse](ctx, client, to, tokensPath, &req, maxTokensSize)
	if err != nil {
		r.Counters.FailedRequests.Add(1)
		r.Log.Info("instance did not tell token holders", "instance", to, "err", err)
		return false
	}
	r.Counters.SentRequests.Add(1)
	if !res.Settled {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	ignored := r.Balancer.ApplyHolders(r.Clock(), res.Holders)
	unresolved := len(r.Balancer.TokensRequest(rev).Tokens)
	r.Log.Info("instance told token holders", "instance", to, "holders", len(res.Holders), "ignored", ignored, "asked", len(req.Tokens), "unresolved", unresolved)
	return unresolved == 0
}
