package cache

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an instance that reads the store although others do, and one
// that reads too late for a change to be in force in time.
func TestShouldRead(t *testing.T) {
	const maxDelay = 3 * time.Second
	for _, tc := range []struct {
		name       string
		firstStart bool
		age        time.Duration // since the last confirmation; 0 for no confirmation
		up         time.Duration // since the start
		level      int
		want       bool
	}{
		{"restart reads at once", false, 0, 0, 3, true},
		{"first start waits for other instances", true, 0, time.Second, 2, false},
		{"root waits for other members on first start", true, 0, time.Second, 0, false},
		{"root reads on first start", true, 0, 2 * time.Second, 0, true},
		{"no other instance responded", true, 0, 4 * time.Second, 2, true},
		{"root stays the reader", false, time.Millisecond, time.Hour, 0, true},
		{"fresh", false, 1500 * time.Millisecond, time.Hour, 1, false},
		{"stale", false, 2200 * time.Millisecond, time.Hour, 1, true},
		{"lower levels wait for higher ones", false, 2200 * time.Millisecond, time.Hour, 3, false},
		{"lowest level reads before the maximum delay", false, 2500 * time.Millisecond, time.Hour, 9, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := testStart.Add(tc.up)
			var confirmed time.Time
			if tc.age > 0 {
				confirmed = now.Add(-tc.age)
			}
			policy := ReadPolicy{StartedAt: testStart, FirstStart: tc.firstStart, MaxDelay: maxDelay}
			assert.Equal(t, policy.ShouldRead(now, confirmed, tc.level), tc.want)
		})
	}
}
