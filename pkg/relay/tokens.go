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
	// which an instance goes by what it knows.
	maxTokenAsks = 8
	// maxTokenWait is how long an instance that knows no other one waits for one.
	maxTokenWait = 10 * time.Second
	// domainTokenAsks is how many of the requests go to instances of the own failure
	// domain first.
	domainTokenAsks = 4
)

// TokenPauses are the pauses between requests for the holders of tokens, which double from
// Min to Max.
type TokenPauses struct{ Min, Max time.Duration }

var defaultTokenPauses = TokenPauses{Min: 100 * time.Millisecond, Max: 2 * time.Second}

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

// askTokens asks other instances after the first list which servers hold tokens.
func (r *Relay) askTokens(ctx context.Context) {
	for complete := false; !complete && ctx.Err() == nil; {
		r.awaitUpdate(ctx, time.Minute, func() bool { complete = r.cache.Complete(); return complete })
	}
	client, err := newPeerClient()
	if err != nil {
		r.Log.Error("token holders not asked for", "err", err)
		return
	}
	told, complete := r.requestHolders(ctx, client)
	if ctx.Err() != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if told {
		r.Balancer.SettleTokens()
	}
	if !complete {
		r.Log.Info("no instance knew all token holders", "told", told, "unresolved", len(r.Balancer.TokensRequest(0).Tokens))
	}
}

// requestHolders asks until a response is complete and the holders of all tokens are known,
// or maxTokenAsks requests were sent. It reports whether any settled instance responded,
// and whether its response was complete. Without a known member it tries again after the
// shortest pause.
func (r *Relay) requestHolders(ctx context.Context, client *peerClient) (told, complete bool) {
	pauses := r.TokenPauses
	if pauses == (TokenPauses{}) {
		pauses = defaultTokenPauses
	}
	var last netip.AddrPort
	pause, asked := pauses.Min, 0
	for end := r.Clock().Add(maxTokenWait); asked < maxTokenAsks && !complete && ctx.Err() == nil && r.Clock().Before(end); {
		r.cacheMu.Lock()
		choose := r.members.RandomDomainMember
		if asked >= domainTokenAsks {
			choose = r.members.RandomMember
		}
		to, ok := choose(r.Clock(), last)
		r.cacheMu.Unlock()
		if !ok {
			last = netip.AddrPort{} // the only member may be asked again
			wait.Pause(ctx, pauses.Min)
			continue
		}
		var settled bool
		settled, complete = r.askTokensOf(ctx, client, to)
		last, told = to, told || settled
		if asked++; !complete && asked < maxTokenAsks {
			wait.Pause(ctx, pause)
			pause = min(2*pause, pauses.Max)
		}
	}
	return told, complete
}

// askTokensOf asks one instance and reports whether it is settled, and whether no holder of
// a token is left to ask for.
func (r *Relay) askTokensOf(ctx context.Context, client *peerClient, to netip.AddrPort) (settled, complete bool) {
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
		return false, false
	}
	r.Counters.SentRequests.Add(1)
	if !res.Settled {
		return false, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	ignored, shared := r.Balancer.ApplyHolders(r.Clock(), res.Holders)
	unresolved := len(r.Balancer.TokensRequest(rev).Tokens)
	r.Log.Info("instance told token holders", "instance", to, "holders", len(res.Holders), "ignored", ignored, "shared", shared, "asked", len(req.Tokens), "unresolved", unresolved)
	return true, unresolved == 0
}
