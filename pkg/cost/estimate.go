package cost

import "time"

const (
	// baseGain is the part of the difference that one observation corrects in a
	// settled estimate. Half of a small error is gone after 710 observations. Where 3%
	// of the requests cost 7 times as much, the standard error is 2%.
	baseGain = 1.0 / 1024
	// HalfTime is the number of observations of a key or server after which half of an
	// error of a factor of two or more is gone, in the logarithm.
	HalfTime = 128
	// driftGain is the gain of the recent mean of the relative errors. When it is
	// beyond driftLimit, the truth has changed, and what was known counts for
	// changedKnown observations only. Single observations count for at most driftMost
	// in it, so that a few costly requests are no change.
	driftGain    = 1.0 / 64
	driftLimit   = 0.35
	driftMost    = 2
	changedKnown = 24
	// maxRatio is how many times the estimate a single observation counts at most.
	maxRatio = 8
	// idleTime is the time without observations after which an estimate is no longer
	// used. From half of it on it fades.
	idleTime = time.Minute
)

// estimate is a positive value that follows observations. The unit is its owner's.
type estimate struct {
	value float64
	at    time.Duration // of the latest observation, since the start of the model
	// known is the weight of what was observed, in observations, at most 1/baseGain.
	known float32
	// drift is the recent mean of the relative errors.
	drift float32
}

// step corrects the value by an observation that is ratio times the expected one. prior
// is the weight of the initial value, in observations.
func (e *estimate) step(now time.Duration, ratio, prior float64) {
	e.detectChange(float32(min(ratio-1, driftMost)))
	gain := max(baseGain, 1/(float64(e.known)+prior+1))
	e.value *= 1 + gain*(min(ratio, maxRatio)-1)
	e.known = min(e.known+1, 1/baseGain)
	e.at = now
}

// detectChange takes what is known for less if the recent relative errors show that
// the truth has changed.
func (e *estimate) detectChange(relative float32) {
	e.drift += driftGain * (relative - e.drift)
	if e.drift > driftLimit || e.drift < -driftLimit {
		e.known, e.drift = min(e.known, changedKnown), 0
	}
}

// weight is how far the value still counts, from 1 to 0, after a time without
// observations.
func (e *estimate) weight(now time.Duration) float64 {
	idle := now - e.at
	return min(max(2*(1-float64(idle)/float64(idleTime)), 0), 1)
}

// current returns the value, or what it has faded to on its way to the value fallback.
func (e *estimate) current(now time.Duration, fallback float64) float64 {
	w := e.weight(now)
	return w*e.value + (1-w)*fallback
}

// fade makes the current value the value.
func (e *estimate) fade(now time.Duration, fallback float64) {
	if w := e.weight(now); w < 1 {
		e.value = e.current(now, fallback)
		e.known *= float32(w)
	}
}
