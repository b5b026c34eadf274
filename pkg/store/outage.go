package store

import "time"

// Outage tracks whether the object API answers, so that a reader can log the
// start and the end of an outage once each.
type Outage struct{ start time.Time }

// RecordFailure records a call without an answer at now. It reports whether an outage
// begins with it.
func (o *Outage) RecordFailure(now time.Time) bool {
	if !o.start.IsZero() {
		return false
	}
	o.start = now
	return true
}

// RecordSuccess records an answer at now. If it ends an outage, it returns the length
// of the outage and true.
func (o *Outage) RecordSuccess(now time.Time) (time.Duration, bool) {
	if o.start.IsZero() {
		return 0, false
	}
	length := now.Sub(o.start)
	o.start = time.Time{}
	return length, true
}
