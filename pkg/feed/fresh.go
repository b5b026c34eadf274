package feed

import "time"

const (
	// staleAfter is the age of the facts at which an instance reads the store
	// itself. The reader confirms them about every 1.2 s.
	staleAfter = 1900 * time.Millisecond
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

// Duty decides whether an instance reads the store.
type Duty struct {
	// Began is when the process started, First tells that the whole system
	// starts for the first time.
	Began time.Time
	First bool
}

// Reads reports whether the instance at a level of the tree reads the store,
// when others last confirmed its facts at a time. An instance that starts again
// reads at once: callers wait for it, and the others may have started with it.
func (d *Duty) Reads(now, confirmed time.Time, level int) bool {
	if confirmed.IsZero() {
		wait := firstFor
		if level == 0 {
			wait = aloneFor
		}
		return !d.First || now.Sub(d.Began) >= wait
	}
	return level == 0 || now.Sub(confirmed) >= staleAfter+staleStep*time.Duration(min(level, maxSteps))
}
