package member

import (
	"slices"
	"time"
)

const (
	// maxClockSamples answers arrive in about 7 s, so that a step of a clock is
	// detected soon and a single wrong peer does not shift the median.
	maxClockSamples = 15
	// maxClockSampleRTT is the longest round trip of a sample. The error of a
	// sample is at most half the round trip.
	maxClockSampleRTT = 100 * time.Millisecond
)

// clockOffsets is a ring buffer of the latest clock offsets to peers.
type clockOffsets struct {
	samples [maxClockSamples]time.Duration
	count   int
}

// add records the clock of a peer, as Unix time in milliseconds, from the
// answer to a probe that was sent at sent. It ignores answers that took longer
// than maxClockSampleRTT.
func (o *clockOffsets) add(now, sent time.Time, clock int64) {
	rtt := now.Sub(sent)
	if rtt > maxClockSampleRTT {
		return
	}
	o.samples[o.count%maxClockSamples] = time.UnixMilli(clock).Sub(sent.Add(rtt / 2))
	o.count++
}

// ClockSkew returns how far the median of the peers' clocks is ahead of the
// clock of this instance. It returns false if no peer has answered since the
// start or the latest pause.
func (t *Table) ClockSkew() (time.Duration, bool) {
	n := min(t.clockOffsets.count, maxClockSamples)
	if n == 0 {
		return 0, false
	}
	v := slices.Clone(t.clockOffsets.samples[:n])
	slices.Sort(v)
	return v[n/2], true
}
