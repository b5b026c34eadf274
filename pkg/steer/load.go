package steer

import "time"

// load is what one instance knows of the load of a server. It sees only the
// packets of callers, and only its share of them.
type load struct {
	// openings are flows whose opening was forwarded and not yet answered,
	// flows those that are open, active the requests in progress.
	openings, flows, active int
	// recent is work given of late in flows, which decays.
	recent   float64
	recentAt time.Time
	// latency is a moving average of the time from a request to its answer.
	latency time.Duration
}

// recentFor is the time over which given work counts as recent.
const recentFor = 500 * time.Millisecond

func (l *load) opening(now time.Time) {
	l.openings++
	l.recent, l.recentAt = l.worked(now)+1, now
}

func (l *load) unopened(time.Time) { l.openings = max(l.openings-1, 0) }

func (l *load) opened(time.Time, *flow) {
	l.openings = max(l.openings-1, 0)
	l.flows++
}

func (l *load) asked(time.Time) { l.active++ }

// answered takes the end of a request.
func (l *load) answered(now time.Time, f *flow, _ *Packet) {
	if f.askedAt.IsZero() {
		return
	}
	d := now.Sub(f.askedAt)
	f.askedAt = time.Time{}
	l.active = max(l.active-1, 0)
	if l.latency == 0 {
		l.latency = d
	}
	l.latency += (d - l.latency) / 8
}

// finished takes the end of a flow.
func (l *load) finished(f *flow) {
	if !f.open {
		l.openings = max(l.openings-1, 0)
		return
	}
	l.flows = max(l.flows-1, 0)
	if !f.askedAt.IsZero() {
		l.active = max(l.active-1, 0)
		f.askedAt = time.Time{}
	}
}

// worked is the work given of late, in flows.
func (l *load) worked(now time.Time) float64 {
	age := float64(now.Sub(l.recentAt)) / float64(recentFor)
	return l.recent * max(1-age, 0)
}
