package cost

import "time"

// Tail returns the 0.97 quantile of the work of the requests of a key as a multiple of
// their mean, which is at least 1. It is the service's for a key with few observations.
func (m *Model) Tail(key Key) float64 {
	return m.spreadOf(m.keys.get(key.hash())).tail()
}

// spreadOf returns the spread of a key, or the service's.
func (m *Model) spreadOf(k *keyCost) *spread {
	if k == nil || k.total < minSpread || k.weight(m.now) == 0 {
		return &m.mean.spread
	}
	return &k.spread
}

// Left returns the expected rest of a request that has been worked on for a time, on a
// server of mean speed. A request that runs longer than usual is likely one of the
// costly ones. It is 0 without any observation.
func (m *Model) Left(key Key, elapsed time.Duration) time.Duration {
	if m.mean.value == 0 {
		return 0
	}
	k := m.keys.get(key.hash())
	expected := m.expected(k)
	return toDuration(expected * m.spreadOf(k).left(max(float64(elapsed), 0)/expected))
}
