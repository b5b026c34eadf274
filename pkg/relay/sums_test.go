package relay

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/cache"
	"ebonypaddle/pkg/load"
	"ebonypaddle/pkg/router"
)

// fakeSharer reports one request in progress, and keeps the latest sums.
type fakeSharer struct {
	domain string
	sums   atomic.Pointer[load.Sums]
	off    atomic.Bool
	// pressed is whether much is in progress.
	pressed atomic.Bool
}

func (s *fakeSharer) LoadReport(time.Time) ([]load.Service, bool) {
	return []load.Service{{Name: "s", Servers: []load.Server{{ID: 7, InProgress: 1, Flows: 1}}}}, !s.off.Load()
}

func (s *fakeSharer) SetSums(_ time.Time, sums *load.Sums) { s.sums.Store(sums) }

func (s *fakeSharer) LoadTotals(time.Time) ([]load.Total, bool) {
	return []load.Total{{Domain: s.domain, Service: "s", InProgress: 5}}, s.pressed.Load()
}

// inProgress returns the requests in progress in the latest sums.
func (s *fakeSharer) inProgress() uint32 {
	if sums := s.sums.Load(); sums != nil && len(sums.Services) > 0 {
		return sums.Services[0].Servers[0].InProgress
	}
	return 0
}

// others returns the failure domains in the latest sums.
func (s *fakeSharer) others() (out []string) {
	if sums := s.sums.Load(); sums != nil {
		for i := range sums.Others {
			out = append(out, sums.Others[i].Domain)
		}
	}
	return out
}

// sharing is an instance that only exchanges its load.
type sharing struct {
	*Relay
	*fakeSharer
	log  *syncBuffer
	stop func()
}

// newSharing returns instances of the given failure domains that know nobody. Those
// earlier in the list have the higher rank.
func newSharing(t *testing.T, domains ...string) []*sharing {
	t.Helper()
	var all []*sharing
	for i, d := range domains {
		s := &sharing{fakeSharer: &fakeSharer{domain: d}, log: &syncBuffer{}}
		s.Relay = &Relay{
			Control: freeAddr(t), Weight: uint32(100 - i), Clock: time.Now, Log: slog.New(slog.NewTextHandler(s.log, nil)), sharer: s.fakeSharer,
			ReadPolicy: cache.ReadPolicy{StartedAt: time.Now()}, Balancer: &router.Balancer{Domain: d},
		}
		s.initMembers()
		all = append(all, s)
	}
	return all
}

// meet lets an instance know others.
func (s *sharing) meet(others ...*sharing) {
	for _, o := range others {
		s.members.Merge(time.Now(), []cache.Member{o.members.Self})
	}
}

// startSharing runs instances of the given failure domains that know each other.
func startSharing(t *testing.T, domains ...string) []*sharing {
	t.Helper()
	all := newSharing(t, domains...)
	for _, s := range all {
		s.meet(all...)
		s.start(t)
	}
	return all
}

// start runs the exchange until stop is called or the test ends.
func (s *sharing) start(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.shareLoad(ctx)
	}()
	s.stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(s.stop)
}

// Guards against load that other instances and failure domains do not learn of, and
// against an instance that stops reporting to a domain without an aggregator.
func TestAggregatorStopsAnswering(t *testing.T) {
	t.Parallel()
	all := startSharing(t, "a", "a", "a", "b")
	for _, s := range all[:3] {
		waitUntil(t, "all instances have the sums", func() bool { return s.inProgress() == 3 && len(s.others()) == 1 })
	}
	waitUntil(t, "the other domain has the totals", func() bool { return len(all[3].others()) == 1 && all[3].inProgress() == 1 })
	all[0].stop()
	for _, s := range all[1:3] {
		waitUntil(t, "the sums come from the next one", func() bool { return s.inProgress() == 2 && s.Loads.latest.Load().aggregator == all[1].Control })
	}
	sent, received := all[3].Loads.TotalsIn.Load(), all[1].Loads.TotalsIn.Load()
	waitUntil(t, "the next one exchanges totals with the other domain", func() bool {
		return all[3].Loads.TotalsIn.Load() > sent+1 && all[1].Loads.TotalsIn.Load() > received+1
	})
}

// Guards against several aggregators of one failure domain for as long as it takes all
// instances to learn of the highest-ranked one, seconds after a common restart.
func TestAggregatorNamesTheBetterOne(t *testing.T) {
	t.Parallel()
	all := newSharing(t, "a", "a", "a")
	all[0].meet(all[1:]...)
	all[1].meet(all[0], all[2])
	all[2].meet(all[1])
	for _, s := range all {
		s.start(t)
	}
	waitUntil(t, "all report to the first", func() bool { return all[0].inProgress() == 3 && all[2].inProgress() == 3 })
	assert.Equal(t, all[2].Loads.latest.Load().aggregator, all[0].Control)
}

// Guards against reports that stay rare while much is in progress.
func TestReportsComeMoreOftenUnderPressure(t *testing.T) {
	t.Parallel()
	all := startSharing(t, "a", "a")
	all[0].pressed.Store(true)
	for _, s := range all {
		waitUntil(t, "the interval is short", func() bool { sums := s.sums.Load(); return sums != nil && sums.Interval < load.BaseInterval })
	}
}

// Guards against a stopping instance, or one whose settings do not call for it, that
// still counts.
func TestNoReportWhileOff(t *testing.T) {
	t.Parallel()
	all := startSharing(t, "a", "a", "a")
	waitUntil(t, "all report", func() bool { return all[0].inProgress() == 3 })
	all[1].leaving.Store(true)
	all[2].off.Store(true)
	waitUntil(t, "two stopped to report", func() bool { return all[0].inProgress() == 1 })
	all[0].cacheMu.Lock()
	defer all[0].cacheMu.Unlock()
	assert.Equal(t, len(all[0].members.DomainMembers(time.Now())), 3) // all are still known
}

// Guards against datagrams of strangers or of another format that change the sums or
// fill the log.
func TestBadLoadDatagrams(t *testing.T) {
	t.Parallel()
	s := startSharing(t, "a")[0]
	waitUntil(t, "the instance has sums", func() bool { return s.inProgress() == 1 })
	began := time.Now()
	c, err := net.Dial("udp4", s.Control.String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	report, err := load.EncodeReport(&load.Report{Sequence: 1})
	assert.NilError(t, err)
	version := append([]byte{99}, report[1:]...)
	for range 20 {
		for _, b := range [][]byte{report, version, {1}, make([]byte, load.MaxDatagram+1)} {
			_, err := c.Write(b)
			assert.NilError(t, err)
		}
	}
	for _, reason := range []dropReason{dropNotMember, dropVersion, dropMalformed, dropTooLarge} {
		waitUntil(t, dropReasonNames[reason]+" is counted", func() bool { return s.Loads.dropped[reason].Load() == 20 })
	}
	assert.Equal(t, s.inProgress(), uint32(1))
	lines := strings.Count(s.log.String(), "load datagram dropped")
	allowed := 4 * (1 + int(time.Since(began)/time.Second)) // for four reasons
	assert.Assert(t, lines >= 4 && lines <= allowed, "%d lines", lines)
}

// Guards against bad datagrams of members: a body that does not decode, totals of
// another domain, an answer that nobody asked for, a copy of a report.
func TestBadDatagramsOfMembers(t *testing.T) {
	t.Parallel()
	now := time.Now()
	self, peer, foreign := freeAddr(t), netip.MustParseAddrPort("192.0.2.1:7000"), netip.MustParseAddrPort("192.0.2.2:7000")
	r := &Relay{Control: self, Clock: time.Now, Log: slog.New(slog.DiscardHandler), Balancer: &router.Balancer{Domain: "a"}, sharer: &fakeSharer{}}
	r.initMembers()
	r.members.Merge(now, []cache.Member{{Addr: peer, Domain: "a"}, {Addr: foreign, Domain: "b"}})
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(self))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	x := r.newLoadExchange(conn)
	report, err := load.EncodeReport(&load.Report{Sequence: 1})
	assert.NilError(t, err)
	sums, err := load.EncodeAnswer(&load.Answer{Sums: &load.Sums{}})
	assert.NilError(t, err)
	totals, err := load.EncodeTotals(&load.Totals{Domain: "c"})
	assert.NilError(t, err)
	for _, tc := range []struct {
		from   netip.AddrPort
		b      []byte
		reason dropReason
	}{
		{peer, report[:len(report)-1], dropMalformed},
		{peer, sums, dropOutdated},
		{peer, totals, dropNotMember},
		{foreign, report, dropNotMember},
		{foreign, totals, dropNotMember},
	} {
		before := r.Loads.dropped[tc.reason].Load()
		x.receive(now, tc.from, tc.b)
		assert.Equal(t, r.Loads.dropped[tc.reason].Load(), before+1, dropReasonNames[tc.reason])
	}
	x.receive(now, peer, report)
	x.receive(now, peer, report)
	assert.Equal(t, r.Loads.Reports.Load(), uint64(1))
}

// Guards against an instance that does not start because its address for the exchange
// of load is in use.
func TestLoadSocketInUse(t *testing.T) {
	t.Parallel()
	s := &sharing{fakeSharer: &fakeSharer{}, log: &syncBuffer{}}
	s.Relay = &Relay{Control: freeAddr(t), Log: slog.New(slog.NewTextHandler(s.log, nil))}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.Control))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	s.shareLoad(t.Context()) // returns
	assert.Equal(t, strings.Count(s.log.String(), "load socket not opened"), 1)
}

// syncBuffer is a buffer that goroutines may share.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}
