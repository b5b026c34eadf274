package router

import (
	"time"

	"ebonypaddle/pkg/pick"
)

// load is this instance's estimate of the load of a server. The instance sees
// only the packets of callers, and only those that reach it rather than
// another instance.
type load struct {
	pick.LoadEstimator
	// pendingOpenings is the number of openings that were forwarded and not
	// yet answered.
	pendingOpenings int
}

func (l *load) openingSent() { l.pendingOpenings++ }

// openingDone ends a pending opening, which was answered or is no longer
// expected to be.
func (l *load) openingDone() { l.pendingOpenings = max(l.pendingOpenings-1, 0) }

// requestDone records that the request in progress was answered.
func (l *load) requestDone(now time.Time, f *flow) {
	l.End()
	l.Observe(now, now.Sub(f.requestStartedAt))
	f.requestStartedAt = time.Time{}
}

// flowDone ends the pending opening or the request in progress of a flow that
// ended.
func (l *load) flowDone(f *flow) {
	if !f.open {
		l.openingDone()
		return
	}
	if !f.requestStartedAt.IsZero() {
		l.End()
		f.requestStartedAt = time.Time{}
	}
}
