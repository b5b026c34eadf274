package cache

import "time"

const (
	// confirmPart is the part of the time in which a change must be in force
	// that a reader waits for one, and stalePart that at which facts without
	// confirmation are stale: half a period longer, and early enough to read
	// the store before the time is over.
	confirmPart = 0.4
	stalePart   = 0.65
	// staleStep is added for each level of the tree, up to maxSteps, so that
	// those below wait for what those above them read.
	staleStep = 150 * time.Millisecond
	maxSteps  = 3
	// firstFor is how long an instance waits for others when the whole system
	// starts for the first time, and aloneFor how long the first of all waits
	// to hear of others.
	firstFor = 3 * time.Second
	aloneFor = 1200 * time.Millisecond
)

// ReadPolicy decides whether an instance reads the store.
type ReadPolicy struct {
	// Began is when the process started, FirstStart tells that the whole system
	// starts for the first time.
	Began      time.Time
	FirstStart bool
	// MaxDelay is the time in which an accepted change must be in force.
	MaxDelay time.Duration
}

// ConfirmEvery is how long a reader waits for changes before it asks again.
func (d *ReadPolicy) ConfirmEvery() time.Duration {
	return time.Duration(confirmPart * float64(d.MaxDelay))
}

// StaleAfter is the age of the facts at which an instance reads the store
// itself.
func (d *ReadPolicy) StaleAfter() time.Duration {
	return time.Duration(stalePart * float64(d.MaxDelay))
}

// Reads reports whether the instance at a level of the tree reads the store,
// when others last confirmed its facts at a time. An instance that starts again
// reads at once: callers wait for it, and the others may have started with it.
func (d *ReadPolicy) Reads(now, confirmed time.Time, level int) bool {
	if confirmed.IsZero() {
		wait := firstFor
		if level == 0 {
			wait = aloneFor
		}
		return !d.FirstStart || now.Sub(d.Began) >= wait
	}
	return level == 0 || now.Sub(confirmed) >= d.StaleAfter()+staleStep*time.Duration(min(level, maxSteps))
}
