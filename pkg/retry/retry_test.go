package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against retry storms: a long outage must not cause more retries than
// the ratio allows, whatever the order of requests and retries.
func TestBudgetBoundsRetries(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		b := Budget{Ratio: 0.1, Burst: 10, Window: 10 * time.Second}
		now := time.Unix(1000, 0)
		for range 5000 {
			now = now.Add(time.Duration(r.IntN(3000)) * time.Microsecond)
			b.Earn(now)
			for range r.IntN(4) {
				b.Spend(now)
			}
			assert.Assert(t, float64(b.Spent) <= 0.1*float64(b.Earned)+1e-6, "%d of %d", b.Spent, b.Earned)
		}
		assert.Assert(t, b.Spent > 400, "budget grants too little: %d", b.Spent)
	}
}

// Guards against tokens collected before an outage that allow a burst of
// retries in it.
func TestBudgetDrains(t *testing.T) {
	b := Budget{Ratio: 0.1, Burst: 10, Window: 10 * time.Second}
	now := time.Unix(1000, 0)
	for range 1000 {
		b.Earn(now)
	}
	assert.Assert(t, b.Spend(now))
	assert.Assert(t, !b.Spend(now.Add(10*time.Second)))
}
