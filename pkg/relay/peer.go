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
	// askPath is the path of the call by which instances exchange facts.
	askPath = "/ebonypaddle.relay.v1.Relay/Ask"
	// askSpare is how much longer an answer waits for news than a reader for
	// changes.
	askSpare = 300 * time.Millisecond
	// askSlack is the time for a call beyond its wait, and dialTime the time
	// for a connection. They are many times the longest way.
	askSlack = 500 * time.Millisecond
	dialTime = 300 * time.Millisecond
	// askPause is the least time between two calls, in which changes come
	// together.
	askPause = 20 * time.Millisecond
	// memberEvery is the interval at which the reader calls some member, so that
	// new ones hear of it, and searchEvery that of a search for facts.
	memberEvery = 2 * time.Second
	searchEvery = 300 * time.Millisecond
	// storeFirst is the longest wait for the store after a restart before
	// others are asked. The store answers in milliseconds.
	storeFirst = 300 * time.Millisecond
	// maxMessage bounds a message in bytes.
	maxMessage = 64 << 20
	// keepIdle, keepTries: an idle connection that is silent is found dead
	// after about 3 s.
	keepIdle  = time.Second
	keepTries = 2
	// idleFor is how long a connection stays open without calls. The calls to
	// the parent follow each other at once, while seeds are called by every
	// instance that starts, and would keep thousands of connections.
	idleFor = time.Second
)

// errLeaving tells an asking instance to ask another one.
var errLeaving = errors.New("instance is leaving")

// servePeers answers other instances.
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
	mux.Handle(askPath, connect.NewUnaryHandler(askPath, admin.Unary(r.answer), connect.WithCodec(codec), connect.WithReadMaxBytes(maxMessage)))
	return r.serve(l, mux), nil
}

// answer gives another instance what it lacks, as soon as there is something
// new or the facts are confirmed again.
func (r *Relay) answer(ctx context.Context, q cache.Request) (cache.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(q.MaxWait)*time.Millisecond)
	defer cancel()
	r.fmu.Lock()
	defer r.fmu.Unlock()
	r.Counts.Answers.Add(1)
	r.members.Merge(r.Clock(), q.Members)
	asked := r.Clock()
	for {
		if r.leaving.Load() {
			return cache.Response{}, connect.NewError(connect.CodeUnavailable, errLeaving)
		}
		now := r.Clock()
		if r.cache.NeedsUpdate(asked, &q) || ctx.Err() != nil {
			a := r.cache.Respond(now, q.KnownRevs)
			r.countSending(now, a.Deltas)
			a.Members = r.members.Sample(now)
			return a, nil
		}
		news := r.news
		r.fmu.Unlock()
		select {
		case <-ctx.Done():
		case <-news:
		}
		r.fmu.Lock()
	}
}

// countSending counts facts that go out over the link. Callers' packets wait behind
// them, which says nothing of the servers. The caller holds fmu.
func (r *Relay) countSending(now time.Time, ds []cache.Delta) {
	if r.LinkRate <= 0 || len(ds) == 0 {
		return
	}
	bits := 0
	for _, d := range ds {
		for _, f := range d.Objects {
			bits += 8 * (len(f.Name) + len(f.Spec))
		}
	}
	if r.sending.Before(now) {
		r.sending = now
	}
	r.sending = r.sending.Add(time.Duration(float64(bits) / r.LinkRate * float64(time.Second)))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Balancer.ReportLag(now, r.sending.Sub(now))
}

// asker calls other instances.
type asker struct {
	http  *http.Client
	codec connect.Codec
}

func newAsker() (*asker, error) {
	codec, err := admin.NewCodec()
	if err != nil {
		return nil, err
	}
	d := &net.Dialer{Timeout: dialTime, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepIdle, Interval: keepIdle, Count: keepTries}}
	return &asker{&http.Client{Transport: &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleFor, DisableCompression: true}}, codec}, nil
}

func (a *asker) ask(ctx context.Context, to netip.AddrPort, q cache.Request) (*cache.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(q.MaxWait)*time.Millisecond+askSlack)
	defer cancel()
	c := connect.NewClient[cache.Request, cache.Response](a.http, "http://"+to.String()+askPath, connect.WithCodec(a.codec), connect.WithReadMaxBytes(maxMessage), connect.WithAcceptCompression("gzip", nil, nil))
	res, err := c.CallUnary(ctx, connect.NewRequest(&q))
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", to, err)
	}
	return res.Msg, nil
}

// callSeeds asks the seeds at once, so that this instance and others hear of each
// other, and returns when all have answered.
func (r *Relay) callSeeds(ctx context.Context, a *asker) {
	var wg sync.WaitGroup
	for _, s := range r.Seeds {
		if s != r.Control {
			wg.Go(func() { r.exchange(ctx, a, s, 0) })
		}
	}
	wg.Wait()
}

// awaitFacts waits for the facts of the store after a restart: serving callers
// comes before meeting other instances.
func (r *Relay) awaitFacts(ctx context.Context) {
	if r.ReadPolicy.FirstStart {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeFirst)
	defer cancel()
	for ctx.Err() == nil {
		r.fmu.Lock()
		done, news := r.cache.Complete(), r.news
		r.fmu.Unlock()
		if done {
			return
		}
		select {
		case <-ctx.Done():
		case <-news:
		}
	}
}

// ask gets facts from the parent in the tree of instances.
func (r *Relay) ask(ctx context.Context) {
	r.awaitFacts(ctx)
	a, err := newAsker()
	if err != nil {
		r.Log.Error("other instances cannot be asked", "err", err)
		return
	}
	r.callSeeds(ctx, a)
	var last netip.AddrPort
	first := true
	for ctx.Err() == nil {
		now := r.Clock()
		r.fmu.Lock()
		parent, level := r.members.Parent(now)
		r.level = level
		confirmed := r.cache.ConfirmedAt()
		r.fmu.Unlock()
		if parent != last || first {
			r.Log.Info("source of facts changed", "parent", parent, "level", level)
			last, first = parent, false
		}
		if level > 0 {
			r.exchange(ctx, a, parent, r.ReadPolicy.ConfirmInterval()+askSpare)
			wait.Pause(ctx, askPause)
			continue
		}
		r.fmu.Lock()
		other, ok := r.members.RandomMember(now)
		r.fmu.Unlock()
		if ok {
			r.exchange(ctx, a, other, 0)
		} else {
			r.callSeeds(ctx, a)
		}
		if confirmed.IsZero() || now.Sub(confirmed) > r.ReadPolicy.StaleAfter() {
			wait.Pause(ctx, searchEvery)
		} else {
			wait.Pause(ctx, memberEvery)
		}
	}
}

// millis is the time since t in milliseconds, or the most that fits for no time.
func millis(now, t time.Time) uint32 {
	if t.IsZero() {
		return math.MaxUint32
	}
	return uint32(max(now.Sub(t), 0) / time.Millisecond)
}

// exchange asks one instance and takes over what it answers.
func (r *Relay) exchange(ctx context.Context, a *asker, to netip.AddrPort, wait time.Duration) {
	now := r.Clock()
	r.fmu.Lock()
	q := cache.Request{Members: r.members.Sample(now), KnownRevs: r.cache.Revs(), Age: millis(now, r.peerAt), MaxWait: uint32(wait / time.Millisecond)}
	r.fmu.Unlock()
	ans, err := a.ask(ctx, to, q)
	now = r.Clock()
	r.fmu.Lock()
	defer r.fmu.Unlock()
	if err != nil {
		if ctx.Err() == nil {
			r.Counts.AskErrors.Add(1)
			r.Log.Info("instance did not answer", "instance", to, "err", err)
			r.members.MarkFailed(now, to)
		}
		return
	}
	r.Counts.Asks.Add(1)
	r.members.Merge(now, ans.Members)
	r.members.MarkAnswered(now, to)
	was := r.cache.ConfirmedAt()
	news, current := r.cache.Merge(now, r.Name, ans)
	if current.After(r.peerAt) {
		r.peerAt = current
	}
	if len(news) > 0 {
		r.put(news)
	} else if r.cache.ConfirmedAt().After(was) {
		r.wake()
	}
}
