package store

import "time"

// Outage tells a reader when it lost the store and when it has it back.
type Outage struct{ began time.Time }

// Failed notes a call without an answer. It reports whether it is the first.
func (o *Outage) Failed(now time.Time) bool {
	if !o.began.IsZero() {
		return false
	}
	o.began = now
	return true
}

// Answered notes an answer. It returns how long the store was lost, and false
// when it was not.
func (o *Outage) Answered(now time.Time) (time.Duration, bool) {
	if o.began.IsZero() {
		return 0, false
	}
	lost := now.Sub(o.began)
	o.began = time.Time{}
	return lost, true
}
