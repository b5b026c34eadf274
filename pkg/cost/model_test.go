package cost

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var testStart = time.Unix(1_700_000_000, 0)

const baseWork = 40 * time.Millisecond

func keyOf(i int) Key {
	return Key{netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443), Bucket(900)}
}

// draw returns the work of a request as a multiple of the mean of its key.
type draw func(r *rand.Rand) float64

// The loads that costs are learned under: equal ones, from 1 to 3, 3% at 7 times the
// others, and lognormal ones with a 0.97 quantile of 4 times the mean.
var draws = map[string]draw{
	"equal":  func(*rand.Rand) float64 { return 1 },
	"spread": func(r *rand.Rand) float64 { return (1 + 2*r.Float64()) / 2 },
	"costly": func(r *rand.Rand) float64 {
		if r.Float64() < 0.03 {
			return 7 / 1.18
		}
		return 1 / 1.18
	},
	"heavy": func(r *rand.Rand) float64 { return math.Exp(r.NormFloat64() - 0.5) },
}

// world is made data: keys of different costs, and servers of different speeds.
type world struct {
	*Model
	rnd   *rand.Rand
	now   time.Time
	draw  draw
	costs []float64 // of each key, as a multiple of baseWork
	slow  []float64 // slowness of each server, with a mean of 1
	// pick returns the key and the server of a request.
	pick func() (key, server int)
}

// newWorld returns costs of 1 to 3 and speeds of 1 to 5, with requests spread evenly.
func newWorld(seed uint64) *world {
	w := &world{
		Model: &Model{}, rnd: rand.New(rand.NewPCG(36, seed)), now: testStart, draw: draws["equal"],
		costs: []float64{1, 2, 3}, slow: []float64{1, 1. / 2, 1. / 3, 1. / 4, 1. / 5},
	}
	sum := 0.0
	for _, s := range w.slow {
		sum += s
	}
	for i := range w.slow {
		w.slow[i] *= float64(len(w.slow)) / sum
	}
	w.pick = func() (int, int) { return w.rnd.IntN(len(w.costs)), w.rnd.IntN(len(w.slow)) }
	w.Start()
	return w
}

// run observes n requests, 10 ms apart.
func (w *world) run(n int) {
	for range n {
		w.now = w.now.Add(10 * time.Millisecond)
		key, server := w.pick()
		w.Observe(w.now, keyOf(key), uint64(server), w.work(key, server))
	}
}

func (w *world) work(key, server int) time.Duration {
	return time.Duration(w.costs[key] * w.slow[server] * w.draw(w.rnd) * float64(baseWork))
}

// assertWithin fails if a value differs from the truth by more than a factor.
func assertWithin(t *testing.T, what string, got, want, factor float64) {
	t.Helper()
	assert.Assert(t, got <= want*factor && got >= want/factor, "%s: %.4g, the truth is %.4g", what, got, want)
}

// assertTruth fails if a cost or a slowness differs from the truth by more than a factor.
func (w *world) assertTruth(t *testing.T, factor float64) {
	t.Helper()
	for i, c := range w.costs {
		assertWithin(t, fmt.Sprint("cost of key ", i), float64(w.Expected(keyOf(i))), c*float64(baseWork), factor)
	}
	for i, s := range w.slow {
		assertWithin(t, fmt.Sprint("slowness of server ", i), w.Slowness(uint64(i)), s, factor)
	}
}

// Guards against costs that are taken for slow servers, and the other way round.
func TestCostsAndSpeedsRecovered(t *testing.T) {
	picks := map[string]func(w *world) func() (int, int){
		"even": func(w *world) func() (int, int) { return w.pick },
		"slow servers get fewer": func(w *world) func() (int, int) {
			return func() (int, int) { // server i gets i+1 parts of 15
				n := w.rnd.IntN(15)
				return w.rnd.IntN(len(w.costs)), int((math.Sqrt(8*float64(n)+1) - 1) / 2)
			}
		},
		"a key on slow servers": func(w *world) func() (int, int) {
			return func() (int, int) {
				key, server := w.rnd.IntN(len(w.costs)), w.rnd.IntN(len(w.slow))
				if key == 0 && w.rnd.IntN(10) > 0 {
					server = w.rnd.IntN(2)
				}
				return key, server
			}
		},
	}
	for load, d := range draws {
		for name, pick := range picks {
			for seed := range uint64(3) {
				t.Run(fmt.Sprint(load, "/", name, "/", seed), func(t *testing.T) {
					w := newWorld(seed)
					w.draw, w.pick = d, pick(w)
					w.run(20_000)
					w.assertTruth(t, 1.1)
				})
			}
		}
	}
}
