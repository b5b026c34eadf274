package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against new flows to a server that left, after a restored store lists an earlier
// record of its process, and against none to its next process.
func TestServerThatLeftIsListedAgain(t *testing.T) {
	other := serverRecord(2, "a")
	for _, tc := range []struct {
		name    string
		started time.Time // of the process that left
		listed  time.Time // of the listed record's process
		leaving bool      // whether it counts as leaving
	}{
		{"same process", startTime, startTime, true},
		{"next process", startTime, startTime.Add(time.Second), false},
		{"start not known", time.UnixMilli(0), time.UnixMilli(0), false},
		{"zero start", time.Time{}, time.Time{}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			lb := newBalancer(processRecord(tc.started, 9, true, 20), other)
			lb.ApplyServers(startTime, []Change[Server]{{Name: "s1", Rev: 21, Deleted: true}}, false)
			now := startTime.Add(lb.Limits.RemovalGrace)
			runTicks(lb, startTime, now)
			lb.Tick(now)
			assert.Assert(t, lb.byName["s1"] == nil)
			lb.StoreRestored(now)
			lb.ApplyServers(now, []Change[Server]{processRecord(tc.listed, 5, false, restoredRev(t, 12)), other}, true)
			assert.Equal(t, lb.byName["s1"].Leaving, tc.leaving)
			runTicks(lb, now, now.Add(2*time.Second))
			now = now.Add(2 * time.Second)
			opened := false
			for port := range uint16(50) {
				v := newCaller(lb, port, serviceAddr).open(now, 0)
				assertForwarded(t, v)
				opened = opened || v.To.Server == 1
			}
			assert.Equal(t, opened, !tc.leaving)
		})
	}
}

// Guards against memory that grows with each server that ends, and against servers that left
// being forgotten because many records expired.
func TestEndedProcessesAreBounded(t *testing.T) {
	var e endedProcesses
	e.start()
	left := Server{ID: 1, StartedAt: startTime, Sequence: 3, Leaving: true}
	e.add(&left)
	for i := range 2 * maxLeftProcesses {
		e.add(&Server{ID: ServerID(i + 2), StartedAt: startTime})
	}
	last, ok := e.last(&left)
	assert.Assert(t, ok)
	assert.Equal(t, last, lastRecord{3, true})
	assert.Equal(t, len(e.gone.values), maxGoneProcesses)
	for i := range maxLeftProcesses {
		e.add(&Server{ID: ServerID(i + 2), StartedAt: startTime, Leaving: true})
	}
	_, ok = e.last(&left)
	assert.Assert(t, !ok)
	assert.Equal(t, len(e.left.values), maxLeftProcesses)
}
