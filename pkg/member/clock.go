package member

import (
	"slices"
	"time"
)

const (
	// skewSamples answers arrive in about 7 s, so a step of a clock shows
	// soon and a single wrong peer does not move the median.
	skewSamples = 15
	// maxSkewRTT bounds the error of a sample to half of it.
	maxSkewRTT = 100 * time.Millisecond
)

// skews holds the latest offsets of peers' clocks.
type skews struct {
	ring [skewSamples]time.Duration
	n    int
}

func (s *skews) add(now, sent time.Time, clock int64) {
	rtt := now.Sub(sent)
	if rtt > maxSkewRTT {
		return
	}
	s.ring[s.n%skewSamples] = time.UnixMilli(clock).Sub(sent.Add(rtt / 2))
	s.n++
}

// ClockSkew returns how far the median of the peers' clocks is ahead of this
// one. It reports false while no peer answered.
func (t *Table) ClockSkew() (time.Duration, bool) {
	n := min(t.skews.n, skewSamples)
	if n == 0 {
		return 0, false
	}
	v := slices.Clone(t.skews.ring[:n])
	slices.Sort(v)
	return v[n/2], true
}
