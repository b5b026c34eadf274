// Package retry limits retries to a share of the requests, so that they cannot
// multiply the load on servers that are already overloaded.
package retry

import "time"

// Budget is a token bucket. Each request adds Ratio tokens and each retry takes
// one. The bucket starts empty, so retries never exceed Ratio times the requests
// so far.
type Budget struct {
	// Ratio is the number of retries allowed for each request.
	Ratio float64
	// Burst is the capacity of the bucket in retries.
	Burst float64
	// Window is the time in which a full bucket drains without requests. Without
	// it, tokens collected before an outage would allow a burst of retries in
	// the outage. 0 turns draining off.
	Window time.Duration

	// Earned counts requests, Spent allowed retries and Denied refused retries.
	Earned, Spent, Denied uint64

	tokens float64
	last   time.Time
}

// Earn adds the tokens of one request. Call it for first attempts only.
func (b *Budget) Earn(now time.Time) {
	b.drain(now)
	b.Earned++
	b.tokens = min(b.tokens+b.Ratio, b.Burst)
}

// Spend reports whether a retry may be sent now, and takes its token.
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

// drain removes tokens for the time since the last call. It removes none if the
// clock has stepped back.
func (b *Budget) drain(now time.Time) {
	if d := now.Sub(b.last); !b.last.IsZero() && d > 0 && b.Window > 0 {
		b.tokens = max(b.tokens-b.Burst*float64(d)/float64(b.Window), 0)
	}
	if now.After(b.last) {
		b.last = now
	}
}
