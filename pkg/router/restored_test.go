package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/revs"
)

// processRecord returns the record of server 1 that a process wrote as its
// sequence-th one, as read at a revision.
func processRecord(startedAt time.Time, sequence uint64, leaving bool, rev revs.Rev) Change[Server] {
	c := serverRecord(1, "a")
	c.Rev, c.Value.Rev = rev, rev
	c.Value.StartedAt, c.Value.Sequence, c.Value.Leaving = startedAt, sequence, leaving
	return c
}

func restoredRev(t *testing.T, counter uint64) revs.Rev {
	t.Helper()
	rev, err := revs.New(1, counter)
	assert.NilError(t, err)
	return rev
}

// Guards against new flows to a leaving server, and full load on a cold one or the
// removal of a live one, when the store came back from an older copy that has an
// earlier record of the process.
func TestEarlierRecordOfAProcess(t *testing.T) {
	for _, tc := range []struct {
		name    string
		leaving bool
		removed bool // before the store came back
	}{{"leaving", true, false}, {"removed", false, true}, {"unchanged", false, false}} {
		t.Run(tc.name, func(t *testing.T) {
			lb := newBalancer(processRecord(startTime, 9, tc.leaving, 20))
			coldUntil := lb.byName["s1"].coldUntil
			if tc.removed {
				lb.ApplyServers(startTime, []Change[Server]{{Name: "s1", Rev: 21, Deleted: true}}, false)
			}
			now := startTime.Add(time.Second)
			earlier := processRecord(startTime, 5, !tc.leaving, restoredRev(t, 12))
			earlier.Value.ColdTimeLeft = time.Minute
			lb.ApplyServers(now, []Change[Server]{earlier}, true)
			srv := lb.byName["s1"]
			assert.Equal(t, srv.Leaving, tc.leaving)
			assert.Assert(t, srv.removedAt.IsZero())
			assert.Assert(t, !srv.coldUntil.After(now) || srv.coldUntil.Equal(coldUntil))
			lb.ApplyServers(now, []Change[Server]{processRecord(startTime, 10, !tc.leaving, restoredRev(t, 13))}, false)
			assert.Equal(t, srv.Leaving, !tc.leaving)
		})
	}
}
