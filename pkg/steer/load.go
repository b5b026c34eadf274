package steer

import (
	"time"

	"ebonypaddle/pkg/pick"
)

// load is what one instance knows of the load of a server. It sees only the
// packets of callers, and only its share of them.
type load struct {
	pick.Gauge
	// openings are flows whose opening was forwarded and not yet answered,
	// flows those that are open.
	openings, flows int
}

func (l *load) opening() { l.openings++ }

func (l *load) unopened() { l.openings = max(l.openings-1, 0) }

func (l *load) opened() {
	l.unopened()
	l.flows++
}

// answered takes the end of a request in progress.
func (l *load) answered(now time.Time, f *flow) {
	l.End()
	l.Learn(now, now.Sub(f.askedAt))
	f.askedAt = time.Time{}
}

// finished takes the end of a flow.
func (l *load) finished(f *flow) {
	if !f.open {
		l.unopened()
		return
	}
	l.flows = max(l.flows-1, 0)
	if !f.askedAt.IsZero() {
		l.End()
		f.askedAt = time.Time{}
	}
}
