package cost

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// meanRest returns the mean rest of the requests of a load that take longer than a
// multiple of the mean, and their share.
func meanRest(w *world, ratio float64) (rest, share float64) {
	const n = 100_000
	longer := 0
	for range n {
		if v := w.draw(w.rnd); v > ratio {
			longer++
			rest += v - ratio
		}
	}
	return rest / float64(longer), float64(longer) / n
}

// Guards against a request that runs for long being taken for nearly done, and against
// the whole work being expected of one that is.
func TestRestOfLongRequestsIsNotTooShort(t *testing.T) {
	for load, d := range draws {
		t.Run(load, func(t *testing.T) {
			w := newWorld(1)
			w.draw = d
			assert.Equal(t, w.Left(keyOf(0), 0), time.Duration(0))
			w.run(20_000)
			expected := float64(w.Expected(keyOf(0)))
			for _, ratio := range []float64{0, 0.25, 0.5, 1.25, 2, 4} {
				want, share := meanRest(w, ratio)
				if share < 0.01 {
					continue
				}
				got := float64(w.Left(keyOf(0), time.Duration(ratio*expected)))
				assertWithin(t, fmt.Sprint("rest after ", ratio), got/expected, want, 1.25)
			}
		})
	}
}

// Guards against a request that takes longer than all others being taken for done.
func TestLeftGrowsBeyondAllObserved(t *testing.T) {
	w := newWorld(1)
	w.run(5000)
	last := time.Duration(0)
	for n := range time.Duration(10) {
		rest := w.Left(keyOf(0), (n+3)*w.Expected(keyOf(0)))
		assert.Assert(t, rest >= last && rest >= w.Expected(keyOf(0)), "%v", rest)
		last = rest
	}
	assert.Assert(t, last > 5*w.Expected(keyOf(0)), "%v", last)
}

// Guards against a tail that differs from that of the requests, and one that stays high
// when they have changed.
func TestTailOfCostsIsNotLost(t *testing.T) {
	for load, want := range map[string]float64{"equal": 1, "spread": 1.47, "heavy": math.Exp(1.88 - 0.5)} {
		t.Run(load, func(t *testing.T) {
			w := newWorld(1)
			assert.Equal(t, w.Tail(keyOf(1)), defaultTail)
			w.draw = draws[load]
			w.run(20_000)
			assertWithin(t, "tail", w.Tail(keyOf(1)), want, 1.25)
			w.draw = draws["equal"]
			w.run(8 * spreadWindow * len(w.costs))
			assertWithin(t, "tail", w.Tail(keyOf(1)), 1, 1.25)
		})
	}
}
