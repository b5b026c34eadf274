package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
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
	// announceTime bounds one write to the instance list.
	announceTime = 2 * time.Second
	// announceJitter spreads the first writes of instances that start at
	// once.
	announceJitter = time.Second
	// announceWait is the longest wait after the first failure. It doubles up
	// to announceMaxWait, at which 13,000 daemons that wait for the end of an
	// outage write 580 times a second.
	announceWait    = 500 * time.Millisecond
	announceMaxWait = 30 * time.Second
)

// announcer repeats a write until it succeeds.
type announcer struct {
	write  func(context.Context) error
	failed func(error)
	sleep  func(context.Context, time.Duration)
	rand   *rand.Rand
}

// run returns when the write succeeded or ctx ended.
func (a *announcer) run(ctx context.Context) {
	a.sleep(ctx, time.Duration(a.rand.Int64N(int64(announceJitter))))
	for next := announceWait; ctx.Err() == nil; next = min(2*next, announceMaxWait) {
		err := a.write(ctx)
		if err == nil {
			return
		}
		if ctx.Err() == nil {
			a.failed(err)
		}
		a.sleep(ctx, next/2+time.Duration(a.rand.Int64N(int64(next/2))))
	}
}

// announceLive writes this instance's entry of the platform's instance list in
// the background, since without it the fabric sends no packets here. The
// function that it returns ends that and waits for it, so that no write of the
// live state follows the leaving one.
func (d *Daemon) announceLive(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	logged := false
	a := &announcer{
		write: func(ctx context.Context) error { return d.announceOnce(ctx, stateLive) },
		sleep: wait.Pause, rand: rand.New(rand.NewPCG(d.Seed, 3)),
		failed: func(err error) {
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

// announceOnce writes this instance's entry of the platform's instance list.
func (d *Daemon) announceOnce(ctx context.Context, state string) error {
	ctx, cancel := context.WithTimeout(ctx, announceTime)
	defer cancel()
	rev := uint64(0)
	o, err := d.Store.Get(ctx, store.KindInstance, d.Process.Entry)
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
	}{d.Process.Data.String(), state})
	if err != nil {
		return err
	}
	_, err = d.Store.Put(ctx, store.KindInstance, d.Process.Entry, rev, v)
	return err
}
