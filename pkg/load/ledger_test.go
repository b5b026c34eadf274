package load

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func newLedger() *Ledger {
	l := &Ledger{Domain: "a"}
	l.Start()
	return l
}

// reportOf returns a report of instance i with a number of requests in progress.
func reportOf(i int, startedAt int64, sequence uint64, inProgress uint32) *Report {
	return &Report{Instance: addrOf(i), StartedAt: startedAt, Sequence: sequence, Services: []Service{{Name: "s", Servers: []Server{{7, inProgress, 1}}}}}
}

// assertInProgress checks the number of reports and of requests in progress in the sums.
func assertInProgress(t *testing.T, l *Ledger, now time.Time, reports int, inProgress uint32) {
	t.Helper()
	sums := l.Sums(now, false)
	assert.Equal(t, sums.Reports, reports)
	got := uint32(0)
	for _, s := range sums.Services {
		got += s.Servers[0].InProgress
	}
	assert.Equal(t, got, inProgress)
}

// Guards against an instance that is counted twice or with older values because its
// datagrams arrive twice, late or out of order.
func TestReportsOutOfOrder(t *testing.T) {
	l := newLedger()
	assert.Assert(t, l.Add(testStart, reportOf(1, 10, 2, 5)))
	assert.Assert(t, l.Add(testStart, reportOf(2, 10, 1, 100)))
	assertInProgress(t, l, testStart, 2, 105)
	assert.Assert(t, !l.Add(testStart, reportOf(1, 10, 2, 5)))
	assert.Assert(t, !l.Add(testStart, reportOf(1, 10, 1, 9)))
	assertInProgress(t, l, testStart, 2, 105)
	assert.Assert(t, l.Add(testStart, reportOf(1, 10, 3, 6)))
	assertInProgress(t, l, testStart, 2, 106)
}

// Guards against a frozen instance whose last report counts for ever, or that a delayed
// copy of it brings back, and against one that is not counted after it woke.
func TestFrozenInstance(t *testing.T) {
	l := newLedger()
	l.Add(testStart, reportOf(1, 10, 1, 5))
	l.Add(testStart, reportOf(2, 10, 1, 100))
	now := testStart.Add(999 * time.Millisecond)
	l.Add(now, reportOf(2, 10, 2, 100))
	assertInProgress(t, l, now, 2, 105)
	now = testStart.Add(time.Second)
	assertInProgress(t, l, now, 1, 100)
	assert.Assert(t, !l.Add(now, reportOf(1, 10, 1, 5)))
	assertInProgress(t, l, now, 1, 100)
	assert.Assert(t, l.Add(now, reportOf(1, 10, 2, 4)))
	assertInProgress(t, l, now, 2, 104)
}

// Guards against a restarted process that does not count because its clock is behind,
// and against late reports of the process before it.
func TestRestartWithOlderClock(t *testing.T) {
	l := newLedger()
	l.Add(testStart, reportOf(1, 1000, 50, 5))
	assert.Assert(t, l.Add(testStart, reportOf(1, 10, 1, 2)))
	assert.Assert(t, !l.Add(testStart, reportOf(1, 1000, 51, 5)))
	assertInProgress(t, l, testStart, 1, 2)
	assert.Assert(t, l.Add(testStart, reportOf(1, 10, 2, 3)))
	assertInProgress(t, l, testStart, 1, 3)
}

// Guards against totals of a domain that is cut off being used, and against those of an
// instance that sees a small part of its domain replacing those of its aggregator.
func TestTotalsOfOtherDomains(t *testing.T) {
	l := newLedger()
	full := &Totals{Domain: "b", Reports: 28, Totals: []Total{{Domain: "b", Service: "s", InProgress: 80}}}
	partial := &Totals{Domain: "b", Reports: 1, Totals: []Total{{Domain: "b", Service: "s", InProgress: 3}}}
	assert.Assert(t, l.AddTotals(testStart, addrOf(1), full))
	assert.Assert(t, !l.AddTotals(testStart, addrOf(2), partial))
	assert.Assert(t, !l.AddTotals(testStart, addrOf(3), &Totals{Domain: "a"}))
	assert.DeepEqual(t, l.Sums(testStart, false).Others, full.Totals)
	now := testStart.Add(senderLifetime)
	assert.Assert(t, l.AddTotals(now, addrOf(2), partial))
	assert.DeepEqual(t, l.Sums(now, false).Others, partial.Totals)
	from, ok := l.Sender(now, "b")
	assert.Assert(t, ok && from == addrOf(2))
	now = now.Add(totalLifetime)
	assert.Equal(t, len(l.Sums(now, false).Others), 0)
	_, ok = l.Sender(now, "b")
	assert.Assert(t, !ok)
}

// Guards against an aggregator of a large domain that does little but answer reports,
// and against reports that end before the next one comes.
func TestIntervalOfLargeDomain(t *testing.T) {
	l := newLedger()
	for i := range 600 {
		assert.Assert(t, l.Add(testStart, reportOf(i, 1, 1, 1)))
	}
	sums := l.Sums(testStart, true)
	assert.Equal(t, sums.Interval, 1200*time.Millisecond)
	assertInProgress(t, l, testStart.Add(sums.Interval*11/10), 600, 600)
	assert.Equal(t, newLedger().Sums(testStart, false).Interval, BaseInterval)
	assert.Equal(t, newLedger().Sums(testStart, true).Interval, pressedInterval)
}

// Guards against tables that grow with the number of instances or services that anyone
// names.
func TestBounds(t *testing.T) {
	l := newLedger()
	for i := range maxInstances {
		assert.Assert(t, l.Add(testStart, reportOf(i, 1, 1, 1)))
	}
	assert.Assert(t, !l.Add(testStart, reportOf(maxInstances, 1, 1, 1)))
	assert.Assert(t, l.Add(testStart.Add(memoryTime), reportOf(maxInstances, 1, 1, 1)))
	var r Report
	for i := range maxServices + 1 {
		s := Service{Name: string(rune('a' + i))}
		for id := range maxServers + 1 {
			s.Servers = append(s.Servers, Server{uint64(id), uint32(id), 0})
		}
		r.Services = append(r.Services, s)
	}
	l.Add(testStart.Add(memoryTime), &r)
	services := l.Sums(testStart.Add(memoryTime), false).Services
	assert.Equal(t, len(services), maxServices)
	assert.Equal(t, len(services[0].Servers), maxServers)
	assert.Equal(t, services[0].Servers[0].ID, uint64(1)) // the one without any requests is left out
}
