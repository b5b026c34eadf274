package relay

import (
	"context"
	"errors"
	"time"

	"ebonypaddle/pkg/cache"
	"ebonypaddle/pkg/logs"
	"ebonypaddle/pkg/router"
	"ebonypaddle/pkg/store"
	"ebonypaddle/pkg/wait"
)

const (
	// listTime is how long one call of a full reading may take at first. It
	// doubles with each failure up to listDoubles times: when thousands of
	// records are read by all instances at once, the link of the store is full
	// for seconds, and calls that are given up early fill it again.
	listTime    = 700 * time.Millisecond
	listDoubles = 3
	// gather is the pause between two watches, in which several changes of one
	// cause come together and cost one call.
	gather = 250 * time.Millisecond
	// confirmWait is the wait of the first watch of an instance that begins to
	// read. The instances below it read themselves unless it confirms their
	// facts within a step of ReadPolicy.
	confirmWait = 20 * time.Millisecond
	// retryFirst and retryLongest bound the wait after a failed call.
	retryFirst   = 200 * time.Millisecond
	retryLongest = time.Second
	// roleEvery is the interval at which an instance decides whether it reads
	// the store.
	roleEvery = 50 * time.Millisecond
)

// Store reads facts from the platform's store.
type Store interface {
	// List reads everything, in several calls that may take limit each.
	List(ctx context.Context, k cache.Kind, limit time.Duration) (cache.Delta, error)
	// Watch waits for changes after a revision. A *store.GoneError tells that
	// the store no longer has them.
	Watch(ctx context.Context, k cache.Kind, since uint64, wait time.Duration) (cache.Delta, error)
}

// Decoder reads the content of facts. Facts that cannot be used are left out,
// or turned into removals, and reported as errors.
type Decoder interface {
	Servers(facts []cache.Object) ([]router.Change[router.Server], []error)
	Settings(facts []cache.Object) ([]router.Settings, []error)
	Domains(facts []cache.Object) ([]router.Change[router.ExcludedDomain], []error)
}

// role decides at intervals whether this instance reads the store.
func (r *Relay) role(ctx context.Context) {
	for ctx.Err() == nil {
		now := r.Clock()
		r.fmu.Lock()
		reads := r.ReadPolicy.ShouldRead(now, r.peerAt, r.level)
		if reads != r.reading {
			r.reading = reads
			r.Log.Info("reading of the store changed", "reads", reads, "level", r.level, "age", logs.Age(now, r.cache.ConfirmedAt()))
			r.wake()
		}
		r.fmu.Unlock()
		wait.Pause(ctx, roleEvery)
	}
}

// wake tells all who wait for news. The caller holds fmu.
func (r *Relay) wake() {
	close(r.news)
	r.news = make(chan struct{})
}

// read reads one kind of facts from the store while this instance has the role.
func (r *Relay) read(ctx context.Context, k cache.Kind) {
	l := link{r: r, kind: k}
	for ctx.Err() == nil {
		r.fmu.Lock()
		reads, news, rev := r.reading, r.news, r.cache.Revs()[k]
		r.fmu.Unlock()
		if !reads {
			l.begins = true
			select {
			case <-ctx.Done():
			case <-news:
			}
			continue
		}
		at := r.Clock()
		d, err := r.next(ctx, k, rev, &l)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			l.lost(ctx, rev, err)
			continue
		}
		l.regained(d.Rev)
		if !d.Full && len(d.Objects) == 0 {
			// A watch without changes does not move the revision: one that
			// the store kept from hearing would skip what it missed.
			d.Rev = rev
		}
		if !d.Full {
			at = r.Clock() // a watch ends with what is current at its end
		}
		r.take(at, d)
		if len(d.Objects) > 0 && !d.Full {
			wait.Pause(ctx, gather)
		}
	}
}

func (r *Relay) next(ctx context.Context, k cache.Kind, rev uint64, l *link) (cache.Delta, error) {
	if rev == 0 || l.list {
		return r.Store.List(ctx, k, listTime<<min(l.failed, listDoubles))
	}
	if l.begins {
		return r.Store.Watch(ctx, k, rev, confirmWait)
	}
	return r.Store.Watch(ctx, k, rev, r.ReadPolicy.ConfirmInterval())
}

// link is the state of the calls for one kind.
type link struct {
	r      *Relay
	kind   cache.Kind
	list   bool // the next call reads everything
	begins bool // the instance did not read before
	outage store.Outage
	wait   time.Duration
	failed int // calls in a row
}

// lost takes a failed call.
func (l *link) lost(ctx context.Context, rev uint64, err error) {
	var gone *store.GoneError
	if errors.As(err, &gone) {
		l.r.Log.Info("history of the store is gone, reading everything", "kind", l.kind, "rev", rev)
		l.list = true
		return
	}
	l.failed++
	if l.outage.Failed(l.r.Clock()) {
		l.r.Log.Warn("store lost", "kind", l.kind, "rev", rev, "err", err)
	}
	l.wait = min(max(2*l.wait, retryFirst), retryLongest)
	wait.Pause(ctx, l.wait)
}

func (l *link) regained(rev uint64) {
	if lost, was := l.outage.Answered(l.r.Clock()); was {
		l.r.Log.Info("store regained", "kind", l.kind, "rev", rev, "after", lost)
	}
	l.wait, l.list, l.begins, l.failed = 0, false, false, 0
}

// take takes over facts of the store that were current at the time at.
func (r *Relay) take(at time.Time, d cache.Delta) {
	r.fmu.Lock()
	defer r.fmu.Unlock()
	news, ok := r.cache.Apply(at, d)
	if !ok {
		r.Log.Warn("facts of the store do not fit", "kind", d.Kind, "since", d.Since, "rev", d.Rev)
		return
	}
	r.cache.SetOrigin(r.Name)
	r.put([]cache.Delta{news})
}

// put applies new facts and passes them on. The caller holds fmu. Decoding takes
// long on a small instance and must not stop the packets, so it comes before mu
// is taken.
func (r *Relay) put(news []cache.Delta) {
	began := r.Clock()
	var todo []func()
	for _, d := range news {
		if len(d.Objects) > 0 || d.Full {
			todo = append(todo, r.decode(d))
		}
	}
	r.mu.Lock()
	for _, apply := range todo {
		apply()
	}
	if r.cache.Complete() {
		r.Balancer.SetSynced()
	}
	now := r.Clock()
	r.Balancer.ReportLag(now, now.Sub(began))
	r.mu.Unlock()
	r.cache.TrimTombstones()
	r.wake()
}

// decode reads new facts, and returns what puts them in force under mu.
func (r *Relay) decode(d cache.Delta) (apply func()) {
	var errs []error
	switch d.Kind {
	case cache.Servers:
		var cs []router.Change[router.Server]
		cs, errs = r.Decoder.Servers(d.Objects)
		apply = func() { r.Balancer.ApplyServers(r.Clock(), cs, d.Full) }
	case cache.Settings:
		var all []router.Settings
		all, errs = r.Decoder.Settings(d.Objects)
		apply = func() {
			for i := range all {
				r.Balancer.ApplySettings(&all[i])
			}
		}
	default:
		var cs []router.Change[router.ExcludedDomain]
		cs, errs = r.Decoder.Domains(d.Objects)
		apply = func() { r.Balancer.ApplyDomains(r.Clock(), cs, d.Full) }
	}
	for _, err := range errs {
		r.Log.Warn("entry of the store not used", "kind", d.Kind, "rev", d.Rev, "err", err)
	}
	return apply
}
