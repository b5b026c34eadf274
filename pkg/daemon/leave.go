package daemon

import (
	"context"
	"time"

	"ebonypaddle/pkg/wait"
)

const (
	// maxLeaveTime bounds a planned stop. It is longer than the lifetime of a
	// ticket.
	maxLeaveTime = 40 * time.Second
	// quietTime is the time without packets after which the fabric is taken
	// to have removed this instance.
	quietTime = 2 * time.Second
	// maxLeaveWrites bounds the attempts to write the leaving state. If all
	// fail, the fabric removes the instance when it no longer answers.
	maxLeaveWrites = 3
)

// announceLeaving writes the leaving state to the platform's instance list, so
// that the fabric sends no new packets here.
func (d *Daemon) announceLeaving(ctx context.Context) {
	for range maxLeaveWrites {
		if d.announceOnce(ctx, stateLeaving) == nil {
			return
		}
		d.Counters.AnnounceErrors.Add(1)
	}
	d.log.Warn("instance list not written", "state", stateLeaving)
}

// leave performs the planned stop: it waits until no packets arrive and all
// tickets have expired, for at most maxLeaveTime.
func (d *Daemon) leave(ctx context.Context) {
	d.log.Info("leaving")
	startedAt := d.Clock()
	d.mu.Lock()
	d.core.Leave()
	d.mu.Unlock()
	d.announceLeaving(ctx)
	for d.Clock().Sub(startedAt) < maxLeaveTime {
		d.mu.Lock()
		idle := d.core.Idle(d.Clock(), quietTime)
		d.mu.Unlock()
		if idle && d.Clock().Sub(startedAt) >= quietTime {
			d.log.Info("left", "after", d.Clock().Sub(startedAt).Round(time.Millisecond))
			return
		}
		wait.Pause(ctx, pollInterval)
	}
	d.log.Warn("left with work in progress", "after", maxLeaveTime)
}
