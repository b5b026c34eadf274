package cost

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ebonypaddle/pkg/load"
)

// Guards against input that makes a result zero, negative, infinite or no number, for
// good or for a moment.
func TestAnyInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m Model
		m.Start()
		now := testStart
		key, server := rapid.IntRange(0, 5), rapid.Uint64Range(0, 5)
		t.Repeat(map[string]func(*rapid.T){
			"observe": func(t *rapid.T) {
				work := time.Duration(rapid.Int64().Draw(t, "work"))
				k, s := keyOf(key.Draw(t, "key")), server.Draw(t, "server")
				for range rapid.IntRange(1, 400).Draw(t, "times") {
					m.Observe(now, k, s, work)
				}
			},
			"merge": func(t *rapid.T) {
				c := load.Cost{Key: rapid.Uint32().Draw(t, "hash"), Work: time.Duration(rapid.Int64().Draw(t, "work")), Observations: rapid.Uint32().Draw(t, "observations")}
				if rapid.Bool().Draw(t, "known") {
					c.Key = keyOf(key.Draw(t, "key")).hash()
				}
				m.Merge(now, []load.Cost{c})
			},
			"forget": func(t *rapid.T) { m.Forget(server.Draw(t, "server")) },
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.Int64Range(-int64(2*time.Minute), int64(2*time.Minute)).Draw(t, "time")))
			},
			"": func(t *rapid.T) {
				known := m.mean.value != 0
				elapsed := time.Duration(rapid.Int64().Draw(t, "elapsed"))
				for i := range 7 {
					k := keyOf(i)
					expected, left, slow, tail := m.Expected(k), m.Left(k, elapsed), m.Slowness(uint64(i)), m.Tail(k)
					assert.Equal(t, expected > 0, known, "%v", expected)
					assert.Equal(t, left > 0, known, "%v", left)
					assert.Assert(t, slow > 0 && !math.IsInf(slow, 0), "%v", slow)
					assert.Assert(t, tail >= 1 && tail <= ratioAt(tailBuckets), "%v", tail)
				}
				for _, c := range m.Costs(100) {
					assert.Assert(t, c.Work >= time.Microsecond && c.Observations > 0 && c.Observations <= load.MaxObservations, "%v", c)
				}
			},
		})
	})
}

// Guards against allocations for each packet.
func TestNoAllocations(t *testing.T) {
	w := newWorld(1)
	w.run(2000)
	n := testing.AllocsPerRun(2000, func() {
		w.run(1)
		w.Expected(keyOf(1))
		w.Slowness(2)
		w.Left(keyOf(2), baseWork)
	})
	assert.Equal(t, n, 0.0)
}
