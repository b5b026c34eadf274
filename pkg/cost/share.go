package cost

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ebonypaddle/pkg/load"
)

const (
	// mergedPrior bounds the weight of what others know of a key that is new here, in
	// own observations. With it an instance begins after a restart.
	mergedPrior = 16
	// mergedWeight is the weight of what others know in one Merge for a key that is
	// known here, in own observations. Sums come up to five times a second.
	mergedWeight = 0.25
)

// Costs returns what this instance observed of the keys with the most recent
// observations, at most limit of them, for its report.
func (m *Model) Costs(limit int) []load.Cost {
	type ranked struct {
		load.Cost
		recent uint32
	}
	var all []ranked
	m.keys.all(func(hash uint32, k *keyCost) {
		n := min(float64(k.own), load.MaxObservations) * k.weight(m.now)
		if n >= 1 {
			work := max(toDuration(m.expected(k)).Round(time.Microsecond), time.Microsecond)
			all = append(all, ranked{load.Cost{Key: hash, Work: work, Observations: uint32(n)}, k.recent})
		}
	})
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.recent, a.recent), cmp.Compare(b.Observations, a.Observations), cmp.Compare(a.Key, b.Key))
	})
	var out []load.Cost
	for _, r := range all[:min(len(all), max(limit, 0))] {
		out = append(out, r.Cost)
	}
	return out
}

// Merge takes over what the instances of the failure domain know. It counts for less
// than own observations; what is unknown here begins from it.
func (m *Model) Merge(now time.Time, costs []load.Cost) {
	m.advance(now)
	if m.mean.value == 0 {
		m.beginFrom(costs)
	}
	for _, c := range costs {
		if c.Work > 0 && c.Observations > 0 {
			m.merge(c)
		}
	}
}

// beginFrom sets the mean of a service of which nothing was observed.
func (m *Model) beginFrom(costs []load.Cost) {
	sum, n := 0.0, 0.0
	for _, c := range costs {
		if c.Work > 0 && c.Observations > 0 {
			sum += math.Log(float64(c.Work)) * float64(c.Observations)
			n += float64(c.Observations)
		}
	}
	if n > 0 {
		m.mean = keyCost{estimate: estimate{value: min(max(math.Exp(sum/n), minWork), maxWork), known: float32(min(n, mergedPrior)), at: m.now}}
	}
}

func (m *Model) merge(c load.Cost) {
	work := min(max(float64(c.Work), minWork), maxWork) / m.meanSlowness()
	k := m.keys.get(c.Key)
	if k == nil && m.keys.len() >= maxKeys {
		return
	}
	if k == nil {
		k = m.keys.add(c.Key)
		*k = keyCost{}
	}
	if float64(k.own)*k.weight(m.now) < 1 {
		// Only the latest of what others know counts.
		k.own = 0
		k.value, k.known, k.at = work, min(float32(c.Observations), mergedPrior), m.now
		return
	}
	gain := mergedWeight / (float64(k.known) + 1)
	k.value *= 1 + gain*(min(work/k.value, maxRatio)-1)
}
