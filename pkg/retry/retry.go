// Package retry limits repeated attempts to a share of the requests, so that
// retries cannot multiply the load of servers that are already overloaded.
package retry

import "time"

// Budget is a token bucket that requests fill and retries empty. It starts
// empty, so retries never exceed Ratio times the requests seen so far.
type Budget struct {
	// Ratio is the number of retries earned by one request.
	Ratio float64
	// Burst is the largest number of saved retries.
	Burst float64
	// Window is the time in which a full bucket drains without requests.
	// Retries saved in calm times would otherwise be spent in an outage.
	Window time.Duration

	// Earned counts requests, Spent granted retries, Denied refused ones.
	Earned, Spent, Denied uint64

	tokens float64
	last   time.Time
}

// Earn records a first attempt.
func (b *Budget) Earn(now time.Time) {
	b.drain(now)
	b.Earned++
	b.tokens = min(b.tokens+b.Ratio, b.Burst)
}

// Spend reports whether a retry may be sent now, and takes it from the budget.
func (b *Budget) Spend(now time.Time) bool {
	b.drain(now)
	// Ten additions of 0.1 sum to slightly less than 1.
	const rounding = 1e-9
	if b.tokens+rounding < 1 {
		b.Denied++
		return false
	}
	b.tokens = max(b.tokens-1, 0)
	b.Spent++
	return true
}

// drain removes tokens for the time since the last call. A clock that steps
// back drains nothing.
func (b *Budget) drain(now time.Time) {
	if d := now.Sub(b.last); !b.last.IsZero() && d > 0 && b.Window > 0 {
		b.tokens = max(b.tokens-b.Burst*float64(d)/float64(b.Window), 0)
	}
	if now.After(b.last) {
		b.last = now
	}
}
