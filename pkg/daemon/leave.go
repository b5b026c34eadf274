package daemon

import (
	"context"
	"time"

	"ebonypaddle/pkg/wait"
)

const (
	// maxLeave bounds a planned stop. It covers the lifetime of a ticket.
	maxLeave = 40 * time.Second
	// quietTime without packets shows that the fabric has taken this
	// instance out.
	quietTime = 2 * time.Second
	// leaveTries bounds the writes of the leaving state. When they fail, the
	// fabric drops the instance once it no longer answers.
	leaveTries = 3
)

// announceLeaving tells the fabric that this instance leaves.
func (d *Daemon) announceLeaving(ctx context.Context) {
	for range leaveTries {
		if d.announceOnce(ctx, stateLeaving) == nil {
			return
		}
		d.Counters.AnnounceErrors.Add(1)
	}
	d.log.Warn("instance list not written", "state", stateLeaving)
}

// leave performs the planned stop: it serves on until no packets come and no
// ticket is alive.
func (d *Daemon) leave(ctx context.Context) {
	d.log.Info("leaving")
	began := d.Clock()
	d.mu.Lock()
	d.core.Leave()
	d.mu.Unlock()
	d.announceLeaving(ctx)
	for d.Clock().Sub(began) < maxLeave {
		d.mu.Lock()
		idle := d.core.Idle(d.Clock(), quietTime)
		d.mu.Unlock()
		if idle && d.Clock().Sub(began) >= quietTime {
			d.log.Info("left", "after", d.Clock().Sub(began).Round(time.Millisecond))
			return
		}
		wait.Pause(ctx, pause)
	}
	d.log.Warn("left with work in progress", "after", maxLeave)
}
