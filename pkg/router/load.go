package router

import (
	"time"

	"ebonypaddle/pkg/pick"
)

// load is what one instance knows of the load of a server. It sees only the
// packets of callers, and only its share of them.
type load struct {
	pick.LoadEstimator
	// openings are flows whose opening was forwarded and not yet answered.
	openings int
}

func (l *load) opening() { l.openings++ }

// opened takes the answer to an opening, or the end of the wait for it.
func (l *load) opened() { l.openings = max(l.openings-1, 0) }

// answered takes the end of a request in progress.
func (l *load) answered(now time.Time, f *flow) {
	l.End()
	l.Observe(now, now.Sub(f.askedAt))
	f.askedAt = time.Time{}
}

// finished takes the end of a flow.
func (l *load) finished(f *flow) {
	if !f.open {
		l.opened()
		return
	}
	if !f.askedAt.IsZero() {
		l.End()
		f.askedAt = time.Time{}
	}
}
