package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"ebonypaddle/pkg/cache"
	"ebonypaddle/pkg/logs"
	"ebonypaddle/pkg/revs"
	"ebonypaddle/pkg/router"
	"ebonypaddle/pkg/store"
	"ebonypaddle/pkg/wait"
)

const (
	// listTimeout bounds one call of a full read. It doubles with each failure,
	// at most maxListDoublings times: when all instances read thousands of
	// records at once, the store's link is full for seconds, and calls that are
	// cancelled early and repeated would keep it full.
	listTimeout      = 700 * time.Millisecond
	maxListDoublings = 3
	// watchPause is the pause after a watch that returned changes. Several
	// changes with one cause collect in it and cost one call.
	watchPause = 250 * time.Millisecond
	// firstWatchWait is how long the first watch of a new reader waits. The
	// instances below it read the store themselves unless it confirms their
	// objects within the delay that ReadPolicy adds for each level.
	firstWatchWait = 20 * time.Millisecond
	// firstReadPause is how long an instance waits after its first full read for
	// others to confirm its objects, before it watches the store.
	firstReadPause = time.Second
	// minRetryDelay and maxRetryDelay bound the wait after a failed call.
	// maxChildRetryDelay applies below the root of the tree. It is shorter than
	// the time for which the platform counts an instance as disturbed after its
	// connection to the store came back.
	minRetryDelay      = 200 * time.Millisecond
	maxRetryDelay      = time.Second
	maxChildRetryDelay = 2500 * time.Millisecond
	// readPolicyInterval is the interval at which an instance decides whether
	// it reads the store.
	readPolicyInterval = 50 * time.Millisecond
)

// Store reads objects from the platform's store.
type Store interface {
	// List reads all objects of a kind, in several calls that may each take
	// limit.
	List(ctx context.Context, k cache.Kind, limit time.Duration) (cache.Delta, error)
	// Watch waits for changes after a revision, for up to wait. It returns a
	// *store.GoneError if the store no longer has these changes, or is in another
	// era than the revision.
	Watch(ctx context.Context, k cache.Kind, since revs.Rev, wait time.Duration) (cache.Delta, error)
}

// Decoder decodes the content of objects. Invalid objects are left out or
// turned into removals, and reported as errors.
type Decoder interface {
	Servers(objects []cache.Object) ([]router.Change[router.Server], []error)
	Settings(objects []cache.Object) ([]router.Settings, []error)
	Domains(objects []cache.Object) ([]router.Change[router.ExcludedDomain], []error)
}

// runReadPolicy decides at intervals whether this instance reads the store.
func (r *Relay) runReadPolicy(ctx context.Context) {
	for ctx.Err() == nil {
		now := r.Clock()
		r.cacheMu.Lock()
		reads := r.ReadPolicy.ShouldRead(now, r.peerConfirmedAt, r.level)
		if reads != r.reading {
			r.reading = reads
			r.Log.Info("store reader role changed", "reads", reads, "level", r.level, "age", logs.Age(now, r.cache.ConfirmedAt()))
			r.notifyWaiters()
		}
		r.cacheMu.Unlock()
		wait.Pause(ctx, readPolicyInterval)
	}
}

// notifyWaiters wakes all goroutines that wait for a change of the cache or the
// reader role. The caller holds cacheMu.
func (r *Relay) notifyWaiters() {
	close(r.updated)
	r.updated = make(chan struct{})
}

// readLoop reads one kind of objects from the store while this instance is a
// reader.
func (r *Relay) readLoop(ctx context.Context, k cache.Kind) {
	kr := kindReader{r: r, kind: k, rand: rand.New(rand.NewPCG(r.Seed, 2+uint64(k)))}
	for ctx.Err() == nil {
		r.cacheMu.Lock()
		reads, updated, rev := r.reading, r.updated, r.cache.Revs()[k]
		r.cacheMu.Unlock()
		if !reads {
			kr.firstWatch = true
			select {
			case <-ctx.Done():
			case <-updated:
			}
			continue
		}
		at := r.Clock()
		d, err := r.readNext(ctx, k, rev, &kr)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			kr.callFailed(ctx, rev, err)
			r.awaitStore(ctx, k)
			continue
		}
		kr.callSucceeded(d.Rev)
		if !d.Full && len(d.Objects) == 0 {
			// A watch without changes does not advance the revision. If the
			// store withheld changes from this watch, advancing would skip them.
			d.Rev = rev
		}
		if !d.Full {
			at = r.Clock() // the result of a watch is current when it returns
		}
		r.applyRead(at, d)
		if rev == 0 {
			r.awaitConfirmation(ctx)
			kr.firstWatch = true
			continue
		}
		if len(d.Objects) > 0 && !d.Full {
			wait.Pause(ctx, watchPause)
		}
	}
}

// awaitConfirmation waits until others confirm the objects of this instance, so
// that it need not read the store any more, for up to firstReadPause. When all
// instances restart together, each would otherwise watch all kinds once.
func (r *Relay) awaitConfirmation(ctx context.Context) {
	r.awaitUpdate(ctx, firstReadPause, func() bool { return !r.reading })
}

// awaitStore waits while the store does not answer the kind that is read as a
// test of its availability, for up to maxChildRetryDelay. The reader of that
// kind does not wait.
func (r *Relay) awaitStore(ctx context.Context, k cache.Kind) {
	if k != availabilityKind {
		r.awaitUpdate(ctx, maxChildRetryDelay, func() bool { return !r.reading || !r.storeDown })
	}
}

// availabilityKind is the kind that an instance goes on reading while the store
// does not answer. It reads the others when the store answers again.
const availabilityKind = cache.Domains

// awaitUpdate waits until a condition on the cache or the reader role holds, for
// up to limit. done is called with cacheMu locked.
func (r *Relay) awaitUpdate(ctx context.Context, limit time.Duration, done func() bool) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for ctx.Err() == nil {
		r.cacheMu.Lock()
		ok, updated := done(), r.updated
		r.cacheMu.Unlock()
		if ok {
			return
		}
		select {
		case <-ctx.Done():
		case <-updated:
		}
	}
}

// setStoreDown records whether the store answers the reader of availabilityKind.
func (r *Relay) setStoreDown(down bool) {
	r.cacheMu.Lock()
	defer r.cacheMu.Unlock()
	if r.storeDown != down {
		r.storeDown = down
		r.notifyWaiters()
	}
}

// OlderListError reports a list of the store that is older than the cached
// objects, although the store is not in a new era.
type OlderListError struct{ Rev, Cached revs.Rev }

func (e *OlderListError) Error() string {
	return fmt.Sprintf("the store's list is at revision %v, the cached objects are at %v", e.Rev, e.Cached)
}

// readNext reads all objects of a kind, or waits for changes after rev. It returns
// an *OlderListError for a list that cannot replace the cached objects.
func (r *Relay) readNext(ctx context.Context, k cache.Kind, rev revs.Rev, kr *kindReader) (cache.Delta, error) {
	if rev == 0 || kr.fullRead {
		d, err := r.Store.List(ctx, k, listTimeout<<min(kr.failures, maxListDoublings))
		if err == nil && d.Rev < rev {
			err = &OlderListError{d.Rev, rev}
		}
		return d, err
	}
	if kr.firstWatch {
		return r.Store.Watch(ctx, k, rev, firstWatchWait)
	}
	return r.Store.Watch(ctx, k, rev, r.ReadPolicy.ConfirmInterval())
}

// kindReader is the state of reading one kind from the store.
type kindReader struct {
	r          *Relay
	kind       cache.Kind
	fullRead   bool // the next call reads all objects
	firstWatch bool // no call succeeded since the instance became a reader
	outage     store.Outage
	retryDelay time.Duration
	failures   int // consecutive failed calls
	rand       *rand.Rand
}

// callFailed handles a failed call. It waits before the next one. If the store
// answered that all objects must be read again, it waits only for the instances
// above to read them.
func (kr *kindReader) callFailed(ctx context.Context, rev revs.Rev, err error) {
	var gone *store.GoneError
	if errors.As(err, &gone) {
		kr.r.Log.Info("store history expired, reading all objects", "kind", kr.kind, "rev", rev, "err", err)
		kr.fullRead = !kr.awaitOthers(ctx, rev)
		return
	}
	kr.failures++
	if kr.outage.RecordFailure(kr.r.Clock()) {
		kr.r.Log.Warn("store lost", "kind", kr.kind, "rev", rev, "err", err)
	}
	if kr.kind == availabilityKind {
		kr.r.setStoreDown(true)
	}
	kr.r.cacheMu.Lock()
	limit := maxRetryDelay
	if kr.r.level > 0 {
		limit = maxChildRetryDelay
	}
	kr.r.cacheMu.Unlock()
	kr.retryDelay = min(max(2*kr.retryDelay, minRetryDelay), limit)
	wait.Pause(ctx, kr.retryDelay)
}

// awaitOthers waits until others confirm the objects of this instance, for one to
// two times the delay of its level in the tree. It reports whether they sent newer
// objects than those at rev. After an outage all instances read the store, and would
// otherwise all list its objects if its history has ended.
func (kr *kindReader) awaitOthers(ctx context.Context, rev revs.Rev) (updated bool) {
	kr.r.cacheMu.Lock()
	delay := cache.LevelDelay(kr.r.level)
	kr.r.cacheMu.Unlock()
	delay += time.Duration(kr.rand.Int64N(int64(delay) + 1))
	kr.r.awaitUpdate(ctx, delay, func() bool {
		updated = kr.r.cache.Revs()[kr.kind] != rev
		return !kr.r.reading
	})
	return updated
}

// callSucceeded resets the state after a call that succeeded.
func (kr *kindReader) callSucceeded(rev revs.Rev) {
	if downtime, wasDown := kr.outage.RecordSuccess(kr.r.Clock()); wasDown {
		kr.r.Log.Info("store regained", "kind", kr.kind, "rev", rev, "after", downtime)
	}
	if kr.kind == availabilityKind {
		kr.r.setStoreDown(false)
	}
	kr.retryDelay, kr.fullRead, kr.firstWatch, kr.failures = 0, false, false, 0
}

// applyRead applies a delta read from the store that was current at the time
// at.
func (r *Relay) applyRead(at time.Time, d cache.Delta) {
	r.cacheMu.Lock()
	defer r.cacheMu.Unlock()
	before := r.cache.Revs()[d.Kind]
	update, ok := r.cache.Apply(at, d)
	if before != 0 && d.Rev.Era() != before.Era() {
		r.Log.Warn("store came back from an older copy", "kind", d.Kind, "rev", d.Rev, "before", before)
	}
	if d.Full {
		r.Log.Info("store list read", "kind", d.Kind, "rev", d.Rev, "before", before, "objects", len(d.Objects), "newestObject", newestRev(d.Objects))
	}
	if !ok {
		r.Log.Warn("store changes do not follow the cached revision", "kind", d.Kind, "since", d.Since, "rev", d.Rev)
		return
	}
	r.cache.SetOrigin(r.Name)
	r.applyUpdates([]cache.Delta{update})
}

// newestRev returns the highest revision of objects.
func newestRev(objects []cache.Object) revs.Rev {
	highest := revs.Rev(0)
	for _, o := range objects {
		highest = max(highest, o.Rev)
	}
	return highest
}

// applyUpdates puts new objects in force and wakes the instances that wait for
// them. Decoding takes long on a small instance and must not delay packets, so
// it is done before mu is locked. The caller holds cacheMu.
func (r *Relay) applyUpdates(updates []cache.Delta) {
	began := r.Clock()
	var todo []func()
	restored := false
	for _, d := range updates {
		restored = restored || d.Since != 0 && d.Since.Era() != d.Rev.Era()
		if len(d.Objects) > 0 || d.Full {
			todo = append(todo, r.decodeUpdate(d))
		}
	}
	r.mu.Lock()
	if restored {
		r.Balancer.StoreRestored(r.Clock())
	}
	for _, apply := range todo {
		apply()
	}
	if r.cache.Complete() {
		r.Balancer.SetSynced()
	}
	r.Balancer.SetConfirmed(r.cache.ConfirmedAt())
	now := r.Clock()
	r.Balancer.ReportLag(now, now.Sub(began))
	r.mu.Unlock()
	r.cache.TrimTombstones()
	r.notifyWaiters()
}

// decodeUpdate decodes a delta and returns a function that puts it in force.
// The caller holds mu when it calls that function.
func (r *Relay) decodeUpdate(d cache.Delta) (apply func()) {
	var errs []error
	switch d.Kind {
	case cache.Servers:
		var changes []router.Change[router.Server]
		changes, errs = r.Decoder.Servers(d.Objects)
		apply = func() { r.Balancer.ApplyServers(r.Clock(), changes, d.Full) }
	case cache.Settings:
		var all []router.Settings
		all, errs = r.Decoder.Settings(d.Objects)
		apply = func() {
			for i := range all {
				r.Balancer.ApplySettings(&all[i])
			}
		}
	default:
		var changes []router.Change[router.ExcludedDomain]
		changes, errs = r.Decoder.Domains(d.Objects)
		apply = func() { r.Balancer.ApplyDomains(r.Clock(), changes, d.Full) }
	}
	for _, err := range errs {
		r.Log.Warn("store object rejected", "kind", d.Kind, "rev", d.Rev, "err", err)
	}
	return apply
}
