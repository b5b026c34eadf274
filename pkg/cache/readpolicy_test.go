package cache

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an instance that reads the store although others do, and one
// that reads too late for a change to be in force in time.
func TestDuty(t *testing.T) {
	const bound = 3 * time.Second
	for _, tc := range []struct {
		name  string
		first bool
		age   time.Duration // of the confirmation; 0 for none
		up    time.Duration // since the start
		level int
		want  bool
	}{
		{"restart reads at once", false, 0, 0, 3, true},
		{"first start waits for others", true, 0, time.Second, 2, false},
		{"first of all waits to hear of others", true, 0, time.Second, 0, false},
		{"first of all reads", true, 0, 2 * time.Second, 0, true},
		{"nobody came", true, 0, 4 * time.Second, 2, true},
		{"first of all stays the reader", false, time.Millisecond, time.Hour, 0, true},
		{"fresh", false, 1500 * time.Millisecond, time.Hour, 1, false},
		{"stale", false, 2200 * time.Millisecond, time.Hour, 1, true},
		{"those below wait for those above", false, 2200 * time.Millisecond, time.Hour, 3, false},
		{"deepest reads before the bound", false, 2500 * time.Millisecond, time.Hour, 9, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := begin.Add(tc.up)
			var confirmed time.Time
			if tc.age > 0 {
				confirmed = now.Add(-tc.age)
			}
			d := ReadPolicy{Began: begin, FirstStart: tc.first, MaxDelay: bound}
			assert.Equal(t, d.Reads(now, confirmed, tc.level), tc.want)
		})
	}
}
