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

// Guards against new flows to a leaving server whose earlier record a restored store has.
func TestEarlierRecordChangesNoServer(t *testing.T) {
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

// domainList returns the records of excluded failure domains.
func domainList(names ...string) []Change[ExcludedDomain] {
	var out []Change[ExcludedDomain]
	for _, n := range names {
		out = append(out, Change[ExcludedDomain]{Name: n, Value: ExcludedDomain{Domain: n}})
	}
	return out
}

// Guards against a restored store that undoes an operator's change of a failure domain.
func TestRestoredStoreKeepsDomains(t *testing.T) {
	const out, in = true, false
	for _, tc := range []struct {
		name   string
		before func(lb *Balancer)
		listed []Change[ExcludedDomain]
		later  []Change[ExcludedDomain] // changes after the list
		during bool                     // whether domain "a" is out for the grace period
		after  bool
	}{
		{"lost exclusion", func(lb *Balancer) { lb.ApplyDomains(startTime, domainList("a"), false) }, nil, nil, out, in},
		{"lost exclusion written again", func(lb *Balancer) { lb.ApplyDomains(startTime, domainList("a"), false) }, nil, domainList("a"), out, out},
		{"return after the list", func(lb *Balancer) { lb.ApplyDomains(startTime, domainList("a"), false) }, domainList("a"), []Change[ExcludedDomain]{{Name: "a", Deleted: true}}, in, in},
		{"lost return", func(lb *Balancer) {
			lb.ApplyDomains(startTime, domainList("a"), false)
			lb.ApplyDomains(startTime, []Change[ExcludedDomain]{{Name: "a", Deleted: true}}, false)
		}, domainList("a"), nil, in, out},
		{"new exclusion", func(*Balancer) {}, domainList("a"), nil, out, out},
		{"exclusion after the list", func(*Balancer) {}, nil, domainList("a"), out, out},
	} {
		t.Run(tc.name, func(t *testing.T) {
			lb := newBalancer(serverRecord(1, "a"))
			isOut := func() bool {
				_, excluded := lb.marks.excluded["a"]
				return excluded
			}
			tc.before(lb)
			lb.StoreRestored(startTime)
			lb.ApplyDomains(startTime, tc.listed, true)
			lb.ApplyDomains(startTime, tc.later, false)
			end := startTime.Add(lb.Limits.RemovalGrace)
			runTicks(lb, startTime, end)
			assert.Equal(t, isOut(), tc.during)
			lb.Tick(end)
			assert.Equal(t, isOut(), tc.after)
			lb.ApplyDomains(end, nil, true)
			assert.Assert(t, !isOut(), "a later list does not apply")
		})
	}
}
