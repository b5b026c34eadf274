package relay

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"

	"ebonypaddle/pkg/admin"
	"ebonypaddle/pkg/cache"
	"ebonypaddle/pkg/wait"
)

const (
	// exchangePath is the path of the request by which instances exchange
	// updates. Instances of version v1 compare revisions without the era and must
	// not get any with it.
	exchangePath = "/ebonypaddle.relay.v2.Relay/Ask"
	// exchangeWaitMargin is how much longer a response waits for changes than a
	// reader's watch of the store.
	exchangeWaitMargin = 300 * time.Millisecond
	// exchangeTimeoutMargin is the time for a request beyond the time that its
	// response may wait, and dialTimeout the time to connect. Both are many
	// times the longest network delay.
	exchangeTimeoutMargin = 500 * time.Millisecond
	dialTimeout           = 300 * time.Millisecond
	// exchangePause is the pause between two requests, in which several changes
	// collect.
	exchangePause = 20 * time.Millisecond
	// rootExchangeInterval is the interval at which the root of the tree sends
	// a request to some member, so that new ones learn of it. searchInterval is
	// that interval while its objects are stale.
	rootExchangeInterval = 2 * time.Second
	searchInterval       = 300 * time.Millisecond
	// firstReadTimeout is how long a restarted instance waits for the store
	// before it sends requests to others. The store answers in milliseconds.
	firstReadTimeout = 300 * time.Millisecond
	// maxMessageSize is the size of the largest message in bytes.
	maxMessageSize = 64 << 20
	// keepAliveInterval and keepAliveProbes detect a dead idle connection after
	// about 3 s.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// idleConnTimeout is how long a connection without requests stays open.
	// Requests to the parent follow each other at once and reuse it. Seeds get
	// requests from every instance that starts, and would otherwise keep
	// thousands of connections.
	idleConnTimeout = time.Second
)

// errLeaving makes the requesting instance choose another one.
var errLeaving = errors.New("instance is leaving")

// servePeers serves the requests of other instances, and of operators.
func (r *Relay) servePeers() (*http.Server, error) {
	codec, err := admin.NewCodec()
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", r.Control.String())
	if err != nil {
		return nil, fmt.Errorf("control address: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle(exchangePath, connect.NewUnaryHandler(exchangePath, admin.Unary(r.handleExchange), connect.WithCodec(codec), connect.WithReadMaxBytes(maxMessageSize)))
	mux.Handle(tokensPath, connect.NewUnaryHandler(tokensPath, admin.Unary(r.handleTokens), connect.WithCodec(codec), connect.WithReadMaxBytes(maxTokensSize)))
	mux.Handle(explainPath, r.explainHandler(codec))
	return r.serve(l, mux), nil
}

// handleExchange responds to another instance with the updates that it is
// missing. Without any it waits for a change or a newer confirmation, for as
// long as the request allows.
func (r *Relay) handleExchange(ctx context.Context, req cache.Request) (cache.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.MaxWait)*time.Millisecond)
	defer cancel()
	r.cacheMu.Lock()
	defer r.cacheMu.Unlock()
	r.Counters.ReceivedRequests.Add(1)
	r.members.Merge(r.Clock(), req.Members)
	requestedAt := r.Clock()
	for {
		if r.leaving.Load() {
			return cache.Response{}, connect.NewError(connect.CodeUnavailable, errLeaving)
		}
		now := r.Clock()
		if r.cache.NeedsUpdate(requestedAt, &req) || ctx.Err() != nil {
			res := r.cache.Respond(now, req.KnownRevs)
			r.reportLinkUse(now, res.Deltas)
			res.Members = r.members.Sample(now)
			return res, nil
		}
		updated := r.updated
		r.cacheMu.Unlock()
		select {
		case <-ctx.Done():
		case <-updated:
		}
		r.cacheMu.Lock()
	}
}

// reportLinkUse reports to the balancer how long the link will be busy with the
// deltas of a response. Callers' packets queue behind them, and that delay must
// not count as failures of the servers. The caller holds cacheMu.
func (r *Relay) reportLinkUse(now time.Time, deltas []cache.Delta) {
	if r.LinkRate <= 0 || len(deltas) == 0 {
		return
	}
	bits := 0
	for _, d := range deltas {
		for _, o := range d.Objects {
			bits += 8 * (len(o.Name) + len(o.Spec))
		}
	}
	if r.linkBusyUntil.Before(now) {
		r.linkBusyUntil = now
	}
	r.linkBusyUntil = r.linkBusyUntil.Add(time.Duration(float64(bits) / r.LinkRate * float64(time.Second)))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Balancer.ReportLag(now, r.linkBusyUntil.Sub(now))
}

// peerClient sends requests to other instances.
type peerClient struct {
	http  *http.Client
	codec connect.Codec
}

func newPeerClient() (*peerClient, error) {
	codec, err := admin.NewCodec()
	if err != nil {
		return nil, err
	}
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes}}
	return &peerClient{&http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleConnTimeout, DisableCompression: true}}, codec}, nil
}

// call sends a request and waits for the response.
func (c *peerClient) call(ctx context.Context, to netip.AddrPort, req cache.Request) (*cache.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.MaxWait)*time.Millisecond+exchangeTimeoutMargin)
	defer cancel()
	return unary[cache.Request, cache.Response](ctx, c, to, exchangePath, &req, maxMessageSize)
}

// unary sends a request to a path of another instance. Its response has up to maxBytes
// bytes.
func unary[Req, Res any](ctx context.Context, c *peerClient, to netip.AddrPort, path string, req *Req, maxBytes int) (*Res, error) {
	client := connect.NewClient[Req, Res](c.http, "http://"+to.String()+path, connect.WithCodec(c.codec), connect.WithReadMaxBytes(maxBytes), connect.WithAcceptCompression("gzip", nil, nil))
	res, err := client.CallUnary(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, fmt.Errorf("request to %s: %w", to, err)
	}
	return res.Msg, nil
}

// exchangeWithSeeds sends a request to all seeds in parallel, so that this
// instance and others learn of each other, and returns when all have responded
// or failed.
func (r *Relay) exchangeWithSeeds(ctx context.Context, client *peerClient) {
	var wg sync.WaitGroup
	for _, s := range r.Seeds {
		if s != r.Control {
			wg.Go(func() { r.exchange(ctx, client, s, 0) })
		}
	}
	wg.Wait()
}

// awaitFirstRead waits until the store has been read after a restart, for up to
// firstReadTimeout: serving callers takes precedence over contacting other
// instances.
func (r *Relay) awaitFirstRead(ctx context.Context) {
	if r.ReadPolicy.FirstStart {
		return
	}
	r.awaitUpdate(ctx, firstReadTimeout, r.cache.Complete)
}

// exchangeLoop gets updates from the parent in the tree of instances. The root,
// which has no parent, contacts random members instead, or the seeds while it
// knows no live members. An instance whose objects are stale asks random members
// too: its parent may be cut off from the store while others are not.
func (r *Relay) exchangeLoop(ctx context.Context) {
	r.awaitFirstRead(ctx)
	client, err := newPeerClient()
	if err != nil {
		r.Log.Error("exchange with other instances not started", "err", err)
		return
	}
	r.exchangeWithSeeds(ctx, client)
	var last, lastAny netip.AddrPort
	first, askedParent := true, false
	for ctx.Err() == nil {
		now := r.Clock()
		r.cacheMu.Lock()
		parent, level := r.members.Parent(now)
		r.level = level
		r.cacheMu.Unlock()
		untilStale := r.untilStale()
		if parent != last || first {
			r.Log.Info("parent instance changed", "parent", parent, "level", level)
			last, first = parent, false
		}
		if level > 0 && (untilStale > 0 || !askedParent) {
			askedParent = true
			maxWait := r.ReadPolicy.ConfirmInterval() + exchangeWaitMargin
			if untilStale > 0 {
				maxWait = min(maxWait, untilStale)
			} else {
				maxWait = searchInterval
			}
			r.exchange(ctx, client, parent, maxWait)
			wait.Pause(ctx, exchangePause)
			continue
		}
		askedParent = false
		lastAny = r.exchangeWithAny(ctx, client, lastAny)
		if level > 0 {
			wait.Pause(ctx, exchangePause)
			continue
		}
		wait.Pause(ctx, min(max(r.untilStale(), searchInterval), rootExchangeInterval))
	}
}

// untilStale returns the time until the objects of this instance are stale,
// which is negative if they are.
func (r *Relay) untilStale() time.Duration {
	r.cacheMu.Lock()
	defer r.cacheMu.Unlock()
	return r.ReadPolicy.StaleAfter() - r.Clock().Sub(r.cache.ConfirmedAt())
}

// exchangeWithAny sends a request to a random live member other than last, or to
// the seeds if there is none. It returns the member.
func (r *Relay) exchangeWithAny(ctx context.Context, client *peerClient, last netip.AddrPort) netip.AddrPort {
	r.cacheMu.Lock()
	other, ok := r.members.RandomMember(r.Clock(), last)
	r.cacheMu.Unlock()
	if ok {
		r.exchange(ctx, client, other, 0)
	} else {
		r.exchangeWithSeeds(ctx, client)
	}
	return other
}

// ageMillis returns the time since t in milliseconds, or the maximum if t is
// zero.
func ageMillis(now, t time.Time) uint32 {
	if t.IsZero() {
		return math.MaxUint32
	}
	return uint32(max(now.Sub(t), 0) / time.Millisecond)
}

// exchange sends a request to one instance and applies its response, which may
// wait for changes for up to maxWait.
func (r *Relay) exchange(ctx context.Context, client *peerClient, to netip.AddrPort, maxWait time.Duration) {
	now := r.Clock()
	r.cacheMu.Lock()
	req := cache.Request{Members: r.members.Sample(now), KnownRevs: r.cache.Revs(), Age: ageMillis(now, r.peerConfirmedAt), MaxWait: uint32(maxWait / time.Millisecond)}
	r.cacheMu.Unlock()
	res, err := client.call(ctx, to, req)
	now = r.Clock()
	r.cacheMu.Lock()
	defer r.cacheMu.Unlock()
	if err != nil {
		if ctx.Err() == nil {
			r.Counters.FailedRequests.Add(1)
			r.Log.Info("instance did not answer", "instance", to, "err", err)
			r.members.MarkFailed(now, to)
		}
		return
	}
	r.Counters.SentRequests.Add(1)
	r.members.Merge(now, res.Members)
	r.members.MarkAnswered(now, to)
	previous, ignored := r.cache.ConfirmedAt(), r.cache.Ignored()
	updates, confirmedAt := r.cache.Merge(now, r.Name, res)
	if now := r.cache.Ignored(); now != ignored {
		r.Log.Info("instance sent older objects", "instance", to, "revs", req.KnownRevs, "origin", res.Origin, "ignored", now)
	}
	if confirmedAt.After(r.peerConfirmedAt) {
		r.peerConfirmedAt = confirmedAt
	}
	if len(updates) > 0 {
		r.applyUpdates(updates)
	} else if r.cache.ConfirmedAt().After(previous) {
		r.mu.Lock()
		r.Balancer.SetConfirmed(r.cache.ConfirmedAt())
		r.mu.Unlock()
		r.notifyWaiters()
	}
}
