package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/wire"
)

// Guards against the reset of open flows at servers that live, while nothing at all answers
// this instance: it gets no processor time, or its own path is cut.
func TestSilenceOfAllClosesNoFlows(t *testing.T) {
	lb := newBalancer(serverRecord(1, "a"), serverRecord(2, "a"))
	cs, at := make([]*caller, 20), map[ServerID]int{}
	for i := range cs {
		cs[i] = newCaller(lb, uint16(i), serviceAddr)
		v := cs[i].open(startTime, 0)
		assertForwarded(t, v)
		at[v.To.Server]++
		assertForwarded(t, cs[i].data(startTime.Add(5*time.Millisecond), 0, 10, 0))
		assertForwarded(t, cs[i].data(startTime.Add(20*time.Millisecond), 10, 10, 100))
	}
	assert.Assert(t, at[1] > 2 && at[2] > 2, at)
	now := startTime.Add(20 * time.Millisecond)
	retransmit := func(wait time.Duration) (refused int) {
		runTicks(lb, now, now.Add(wait))
		now = now.Add(wait)
		for _, c := range cs {
			if v := c.data(now, 10, 10, 100); v.Action == Refuse {
				assertRefused(t, v, wire.ReasonTimeout)
				refused++
			}
		}
		return refused
	}
	for range 4 {
		assert.Equal(t, retransmit(400*time.Millisecond), 0)
	}
	lb.recordAnswer(now, lb.byName["s2"])
	assert.Equal(t, retransmit(200*time.Millisecond), at[1])
}

// Guards against flows that are closed at a server that never answered this instance because
// of an answer that another one gave long before.
func TestOldAnswerOfAnotherServerClosesNoFlows(t *testing.T) {
	lb := newBalancer(serverRecord(1, "a"))
	otherAnswers(lb, startTime)
	now := startTime.Add(10 * time.Second)
	runTicks(lb, startTime, now)
	adopted := make([]*caller, 4)
	for i := range adopted {
		adopted[i] = newCaller(lb, uint16(i), serviceAddr)
		adopted[i].token = lb.byName["s1"].token
	}
	for _, answered := range []bool{false, true} {
		refused := 0
		for range 4 {
			if answered {
				otherAnswers(lb, now)
			}
			for _, c := range adopted {
				if c.data(now, 10, 10, 100).Action == Refuse {
					refused++
				}
			}
			runTicks(lb, now, now.Add(200*time.Millisecond))
			now = now.Add(200 * time.Millisecond)
		}
		assert.Equal(t, refused > 0, answered)
	}
}
