package relay

import (
	"context"
	"errors"
	"time"

	"ebonypaddle/pkg/steer"
	"ebonypaddle/pkg/store"
)

const (
	// watchWait is how long one watch waits. A connection can be silent for
	// good, so it is well below the time in which a change must be in force.
	watchWait = 1500 * time.Millisecond
	// gather is the pause between two watches, in which several changes of one
	// cause come together and cost one call.
	gather = 250 * time.Millisecond
	// retryMin and retryMax bound the wait after a failed call.
	retryMin = 200 * time.Millisecond
	retryMax = time.Second
)

// Batch holds facts of one kind.
type Batch[T any] struct {
	Changes []steer.Change[T]
	// Rev is the store's revision to go on from.
	Rev uint64
	// Full tells that Changes are all facts that exist.
	Full bool
	// Bad are objects that cannot be used.
	Bad []error
}

// Source reads the facts of one kind from the store.
type Source[T any] interface {
	Kind() string
	List(ctx context.Context) (Batch[T], error)
	// Watch waits for changes after a revision. A *store.GoneError tells that
	// the store no longer has them.
	Watch(ctx context.Context, since uint64, wait time.Duration) (Batch[T], error)
}

// follow applies the facts of a source until ctx ends.
func follow[T any](ctx context.Context, r *Relay, src Source[T], apply func(Batch[T])) {
	var rev uint64
	wait := time.Duration(0)
	var lostAt time.Time
	for ctx.Err() == nil {
		b, err := next(ctx, src, rev)
		var gone *store.GoneError
		switch {
		case errors.As(err, &gone):
			r.Log.Info("history of the store is gone, reading everything", "kind", src.Kind(), "rev", rev)
			rev = 0
			continue
		case err != nil:
			if ctx.Err() != nil {
				return
			}
			if lostAt.IsZero() {
				lostAt = r.Clock()
				r.Log.Warn("store lost", "kind", src.Kind(), "rev", rev, "err", err)
			}
			wait = min(max(2*wait, retryMin), retryMax)
			sleep(ctx, wait)
			continue
		}
		if !lostAt.IsZero() {
			r.Log.Info("store regained", "kind", src.Kind(), "rev", b.Rev, "after", r.Clock().Sub(lostAt))
			lostAt = time.Time{}
		}
		wait = 0
		for _, bad := range b.Bad {
			r.Log.Warn("entry of the store ignored", "kind", src.Kind(), "err", bad)
		}
		// A watch without changes does not move the revision: one that the
		// store kept from hearing would skip what it missed.
		if b.Full || len(b.Changes) > 0 {
			rev = max(rev, b.Rev)
		}
		if b.Full || len(b.Changes) > 0 {
			apply(b)
		}
		if !b.Full && len(b.Changes) > 0 {
			sleep(ctx, gather)
		}
	}
}

func next[T any](ctx context.Context, src Source[T], rev uint64) (Batch[T], error) {
	if rev == 0 {
		return src.List(ctx)
	}
	return src.Watch(ctx, rev, watchWait)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (r *Relay) applyServers(b Batch[steer.Server]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Steer.ApplyServers(r.Clock(), b.Changes, b.Full)
	r.Steer.Listed()
}

func (r *Relay) applySettings(b Batch[steer.Settings]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range b.Changes {
		if c := &b.Changes[i]; !c.Deleted {
			r.Steer.ApplySettings(r.Clock(), &c.Value)
		}
	}
}

func (r *Relay) applyDomains(b Batch[steer.Out]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Steer.ApplyDomains(r.Clock(), b.Changes, b.Full)
}
