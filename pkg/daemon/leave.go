package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"ebonypaddle/pkg/store"
)

// States of an entry in the platform's instance list.
const (
	stateLive    = "live"
	stateLeaving = "leaving"
)

const (
	// maxLeave bounds a planned stop. It covers the lifetime of a ticket.
	maxLeave = 40 * time.Second
	// quietTime without packets shows that the fabric has taken this
	// instance out.
	quietTime = 2 * time.Second
	// announceTime bounds one write to the instance list, and announceTries
	// the writes, since a lost announcement only delays the fabric.
	announceTime  = 2 * time.Second
	announceTries = 3
)

// announce writes this instance's entry of the platform's instance list.
func (d *Daemon) announce(ctx context.Context, state string) {
	for range announceTries {
		if d.announceOnce(ctx, state) == nil {
			return
		}
	}
	d.log.Warn("instance list not written", "state", state)
}

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

// leave performs the planned stop: it serves on until no packets come and no
// ticket is alive.
func (d *Daemon) leave(ctx context.Context) {
	d.log.Info("leaving")
	began := d.Clock()
	d.mu.Lock()
	d.core.Leave()
	d.mu.Unlock()
	d.announce(ctx, stateLeaving)
	for d.Clock().Sub(began) < maxLeave {
		d.mu.Lock()
		idle := d.core.Idle(d.Clock(), quietTime)
		d.mu.Unlock()
		if idle && d.Clock().Sub(began) >= quietTime {
			d.log.Info("left", "after", d.Clock().Sub(began).Round(time.Millisecond))
			return
		}
		d.sleep(ctx, pause)
	}
	d.log.Warn("left with work in progress", "after", maxLeave)
}
