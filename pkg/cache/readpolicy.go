package cache

import "time"

const (
	// A watch of the store waits for changes for confirmFraction of MaxDelay.
	// Objects count as stale when they were not confirmed for staleFraction of
	// MaxDelay: more than half a watch later than the next confirmation is due,
	// and early enough to read the store before MaxDelay is over.
	confirmFraction = 0.4
	staleFraction   = 0.65
	// staleLevelDelay is added for each level of the tree, up to
	// maxDelayedLevels, so that instances lower in the tree wait for what those
	// above them read.
	staleLevelDelay  = 150 * time.Millisecond
	maxDelayedLevels = 3
	// firstStartWait is how long an instance waits for others to read the store
	// when the whole system starts for the first time. firstStartRootWait is
	// how long the root of the tree then waits to learn of other members.
	firstStartWait     = 3 * time.Second
	firstStartRootWait = 1200 * time.Millisecond
)

// ReadPolicy decides whether an instance reads the store.
type ReadPolicy struct {
	// StartedAt is when the process started. FirstStart means that the whole
	// system starts for the first time.
	StartedAt  time.Time
	FirstStart bool
	// MaxDelay is the time within which an accepted change must be in force.
	MaxDelay time.Duration
}

// ConfirmInterval returns how long a reader's watch waits for changes. A
// watch that returns without changes confirms the cached objects.
func (p *ReadPolicy) ConfirmInterval() time.Duration {
	return time.Duration(confirmFraction * float64(p.MaxDelay))
}

// StaleAfter returns the age of the objects at which an instance reads the
// store itself.
func (p *ReadPolicy) StaleAfter() time.Duration {
	return time.Duration(staleFraction * float64(p.MaxDelay))
}

// ShouldRead reports whether the instance reads the store itself, given its
// level in the tree and when other instances last confirmed its objects. An
// instance that restarts reads at once: callers wait for it, and the other
// instances may have restarted too.
func (p *ReadPolicy) ShouldRead(now, confirmedAt time.Time, level int) bool {
	if confirmedAt.IsZero() {
		wait := firstStartWait
		if level == 0 {
			wait = firstStartRootWait
		}
		return !p.FirstStart || now.Sub(p.StartedAt) >= wait
	}
	return level == 0 || now.Sub(confirmedAt) >= p.StaleAfter()+LevelDelay(level)
}

// LevelDelay returns how long an instance at a level of the tree waits for what
// those above it read.
func LevelDelay(level int) time.Duration {
	return staleLevelDelay * time.Duration(min(level, maxDelayedLevels))
}
