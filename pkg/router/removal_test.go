package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/wire"
)

// Guards against new flows to a server later than MaxLeavingDelay after its record was
// removed, because the time in which an instance learns of it and the grace period
// add up; and against servers that get none after an outage of the store.
func TestNewFlowsAfterRemoval(t *testing.T) {
	for _, tc := range []struct {
		name      string
		confirmed time.Duration // age of the records when the removal is learned
		until     time.Duration // time after that at which new flows end
	}{
		{"learned at once", 0, 2000 * time.Millisecond},
		{"learned late", 1500 * time.Millisecond, 500 * time.Millisecond},
		{"learned as late as allowed", 2400 * time.Millisecond, 0},
		{"outage of the store", 5 * time.Second, DefaultLimits.RemovalGrace},
	} {
		t.Run(tc.name, func(t *testing.T) {
			lb := newBalancer(serverRecord(1, "a"))
			now := startTime.Add(time.Second)
			c := newCaller(lb, 1, serviceAddr)
			assertForwarded(t, c.open(now, 0))
			c.data(now, 0, 1, 0)
			c.data(now, 1, 0, 1) // the server answered
			lb.SetConfirmed(now.Add(-tc.confirmed))
			lb.ApplyServers(now, []Change[Server]{{Name: "s1", Rev: 9, Deleted: true}}, false)
			for after := time.Duration(0); after < lb.Limits.RemovalGrace; after += 100 * time.Millisecond {
				at := now.Add(after)
				lb.Tick(at)
				lb.SetConfirmed(at)
				opened := newCaller(lb, uint16(100+after/time.Millisecond), serviceAddr).open(at, 0).Action == Forward
				assert.Equal(t, opened, after < tc.until, "%v after the removal", after)
				assertForwarded(t, c.data(at, 1, 0, 1))
			}
		})
	}
}

// Guards against openings that waited in the socket while the process was paused, and
// are placed by records that are as old as the pause.
func TestOpeningsAfterALongPause(t *testing.T) {
	for _, tc := range []struct {
		name      string
		pause     time.Duration
		confirmed bool // since the end of the pause
		after     time.Duration
		placed    bool
	}{
		{"short pause", time.Second, false, 0, true},
		{"long pause", 4 * time.Second, false, 0, false},
		{"long pause, later", 4 * time.Second, false, pauseGrace - time.Millisecond, false},
		{"long pause, confirmed since", 4 * time.Second, true, 0, true},
		{"long pause, not confirmed for long", 4 * time.Second, false, pauseGrace, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			lb := newBalancer(serverRecord(1, "a"))
			lb.SetConfirmed(startTime)
			lb.Tick(startTime)
			resumed := startTime.Add(tc.pause)
			runTicks(lb, resumed, resumed.Add(tc.after))
			if tc.confirmed {
				lb.SetConfirmed(resumed)
			}
			v := newCaller(lb, 1, serviceAddr).open(resumed.Add(tc.after), 0)
			if tc.placed {
				assertForwarded(t, v)
			} else {
				assertDropped(t, v, wire.ReasonNotFresh)
			}
		})
	}
}
