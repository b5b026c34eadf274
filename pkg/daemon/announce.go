package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"ebonypaddle/pkg/store"
	"ebonypaddle/pkg/wait"
)

// States of an entry in the platform's instance list.
const (
	stateLive    = "live"
	stateLeaving = "leaving"
)

const (
	// announceTimeout bounds one write to the instance list.
	announceTimeout = 2 * time.Second
	// announceJitter spreads the first writes of instances that start at the
	// same time.
	announceJitter = time.Second
	// announceMinBackoff is the backoff after the first failure. It doubles
	// after each failure up to announceMaxBackoff. Each wait is random between
	// half the backoff and the whole. At announceMaxBackoff, 13,000 daemons
	// write 580 times a second during an outage.
	announceMinBackoff = 500 * time.Millisecond
	announceMaxBackoff = 30 * time.Second
)

// announcer repeats a write with exponential backoff until it succeeds.
type announcer struct {
	write   func(context.Context) error
	onError func(error)
	sleep   func(context.Context, time.Duration)
	rand    *rand.Rand
}

// run returns when a write has succeeded or ctx has ended.
func (a *announcer) run(ctx context.Context) {
	a.sleep(ctx, time.Duration(a.rand.Int64N(int64(announceJitter))))
	for backoff := announceMinBackoff; ctx.Err() == nil; backoff = min(2*backoff, announceMaxBackoff) {
		err := a.write(ctx)
		if err == nil {
			return
		}
		if ctx.Err() == nil {
			a.onError(err)
		}
		a.sleep(ctx, backoff/2+time.Duration(a.rand.Int64N(int64(backoff/2))))
	}
}

// announceLive writes this instance to the platform's instance list in the
// background. Without that entry the fabric sends the instance no packets. The
// returned function stops the writes and waits for the one in progress, so that
// the live state cannot overwrite the leaving state.
func (d *Daemon) announceLive(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	logged := false
	a := &announcer{
		write: func(ctx context.Context) error { return d.announceOnce(ctx, stateLive) },
		sleep: wait.Pause, rand: rand.New(rand.NewPCG(d.Seed, 3)),
		onError: func(err error) {
			d.Counters.AnnounceErrors.Add(1)
			if !logged {
				d.log.Warn("instance list not written, trying again", "state", stateLive, "err", err)
			}
			logged = true
		},
	}
	var wg sync.WaitGroup
	wg.Go(func() { a.run(ctx) })
	return func() {
		cancel()
		wg.Wait()
	}
}

// announceOnce writes this instance and its state to the platform's instance
// list.
func (d *Daemon) announceOnce(ctx context.Context, state string) error {
	return d.announceEntry(ctx, d.Process.Entry, d.Process.Data, state)
}

// announceEntry writes an instance and its state to the platform's instance list.
func (d *Daemon) announceEntry(ctx context.Context, entry string, data netip.AddrPort, state string) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	rev := uint64(0)
	o, err := d.Store.Get(ctx, store.KindInstance, entry)
	var missing *store.NotFoundError
	switch {
	case err == nil:
		rev = o.Rev
	case !errors.As(err, &missing):
		return err
	}
	v, err := json.Marshal(struct {
		Data  string `json:"data"`
		State string `json:"state"`
	}{data.String(), state})
	if err != nil {
		return err
	}
	_, err = d.Store.Put(ctx, store.KindInstance, entry, rev, v)
	return err
}
