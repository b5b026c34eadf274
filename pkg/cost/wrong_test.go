package cost

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// wrong returns the largest error of the costs and of the speeds, as the logarithm of a
// factor.
func (w *world) wrong() float64 {
	e := 0.0
	for i, c := range w.costs {
		e = max(e, math.Abs(math.Log(float64(w.Expected(keyOf(i)))/c/float64(baseWork))))
	}
	for i, s := range w.slow {
		e = max(e, math.Abs(math.Log(w.Slowness(uint64(i))/s)))
	}
	return e
}

// assertWearsOff fails if an error does not halve, down to a factor of two, with each
// HalfTime observations of each of n keys or servers, or is not gone after 4096. What is
// left by then must be noise: the mean over further observations is nearer to the truth.
func assertWearsOff(t *testing.T, w *world, n int) {
	t.Helper()
	perHalf := HalfTime * n
	limit := w.wrong()
	t.Logf("at first wrong by a factor of %.3g", math.Exp(limit))
	for limit > math.Ln2 {
		w.run(perHalf)
		limit /= 2
		assert.Assert(t, w.wrong() <= max(limit, math.Ln2), "wrong by a factor of %.3g", math.Exp(w.wrong()))
	}
	w.run(4096 * len(w.slow))
	const samples = 25
	costs, slow := make([]float64, len(w.costs)), make([]float64, len(w.slow))
	for range samples {
		w.run(1000)
		for i := range costs {
			costs[i] += float64(w.Expected(keyOf(i))) / samples
		}
		for i := range slow {
			slow[i] += w.Slowness(uint64(i)) / samples
		}
	}
	for i, c := range w.costs {
		assertWithin(t, fmt.Sprint("mean cost of key ", i), costs[i], c*float64(baseWork), 1.07)
	}
	for i, s := range w.slow {
		assertWithin(t, fmt.Sprint("mean slowness of server ", i), slow[i], s, 1.07)
	}
}

// Guards against wrong costs that stay: of a server that lies of one key, of a time in
// which all was slow, of a release with other costs, and of servers that got slow.
func TestWrongCostsWearOff(t *testing.T) {
	for name, change := range map[string]func(w *world){
		"liar": func(w *world) {
			for range 500 {
				w.now = w.now.Add(10 * time.Millisecond)
				w.Observe(w.now, keyOf(0), 4, 100*w.work(0, 4))
				w.run(3)
			}
		},
		"spike": func(w *world) {
			for range 300 {
				key, server := w.pick()
				w.Observe(w.now, keyOf(key), uint64(server), 50*w.work(key, server))
			}
		},
		"dearer release":  func(w *world) { w.costs[1] *= 6 },
		"cheaper release": func(w *world) { w.costs[2] /= 6 },
		"all dearer":      func(w *world) { w.costs = []float64{5, 10, 15} },
		"all cheaper":     func(w *world) { w.costs = []float64{0.1, 0.2, 0.3} },
		"slow server": func(w *world) {
			w.slow[4] *= 6
			sum := 0.0
			for _, s := range w.slow {
				sum += s / float64(len(w.slow))
			}
			for i := range w.slow {
				w.slow[i] /= sum
			}
			for i := range w.costs {
				w.costs[i] *= sum
			}
		},
	} {
		for load, d := range draws {
			for seed := range uint64(3) {
				t.Run(fmt.Sprint(name, "/", load, "/", seed), func(t *testing.T) {
					w := newWorld(seed)
					w.draw = d
					w.run(20_000)
					change(w)
					n := len(w.costs)
					if name == "liar" || name == "slow server" {
						n = len(w.slow)
					}
					assertWearsOff(t, w, n)
				})
			}
		}
	}
}

// Guards against estimates that take what they know for wrong although nothing has
// changed, because the requests differ.
func TestNoFalseChanges(t *testing.T) {
	const observations, most = 400_000, 20 // one in 20,000
	for load, d := range draws {
		t.Run(load, func(t *testing.T) {
			w := newWorld(1)
			e := estimate{value: 1}
			changes := 0
			for range observations {
				known := e.known
				e.step(0, d(w.rnd)/e.value, keyPrior)
				if e.known < known {
					changes++
				}
			}
			t.Log(changes)
			assert.Assert(t, changes <= most, "%d changes", changes)
		})
	}
}
