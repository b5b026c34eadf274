package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"slices"
	"time"

	"ebonypaddle/pkg/cache"
	"ebonypaddle/pkg/load"
	"ebonypaddle/pkg/wait"
)

const (
	// minReportInterval and maxReportInterval bound the interval that an
	// aggregator asks for.
	minReportInterval = 100 * time.Millisecond
	maxReportInterval = 5 * time.Second
	// reportJitter is the part of an interval by which it varies either way.
	reportJitter = 0.1
	// totalsInterval is the interval at which an aggregator sends the totals of its
	// failure domain, idleTotalsInterval that while nothing is in progress.
	totalsInterval     = 500 * time.Millisecond
	idleTotalsInterval = time.Second
	// sumsLifetime is how old the sums in an answer may be. Adding up costs more
	// than answering.
	sumsLifetime = 30 * time.Millisecond
	// dropLineInterval is the shortest time between two log lines about datagrams
	// that were dropped for the same reason.
	dropLineInterval = time.Second
	// readErrorPause is the pause after an error of the socket.
	readErrorPause = 100 * time.Millisecond
)

// loadSharer is the part of the balancer that knows the load. Its methods are called
// with Relay.mu locked.
type loadSharer interface {
	// LoadReport returns what this instance reports. ok is false if it is not to
	// report.
	LoadReport(now time.Time) (services []load.Service, ok bool)
	// SetSums sets the load of the failure domain.
	SetSums(now time.Time, s *load.Sums)
	// LoadTotals returns the load of the failure domain by service, computed from
	// the latest sums, and whether some service has much in progress.
	LoadTotals(now time.Time) (totals []load.Total, pressed bool)
}

// loadExchange exchanges the load with other instances. One goroutine runs it.
type loadExchange struct {
	r        *Relay
	conn     *net.UDPConn
	sharer   loadSharer
	ledger   load.Ledger
	reporter load.Reporter
	rand     *rand.Rand

	aggregator    netip.AddrPort // the target of the latest report; zero without one
	interval      time.Duration  // of reports
	reportAt      time.Time      // when the next one is due
	preferred     load.Candidate // the aggregator, if it is another instance, at reportedAt
	reportedAt    time.Time
	answer        []byte    // the latest sums as a datagram
	summedAt      time.Time // when they were added up
	droppedLineAt [dropReasons]time.Time

	// The fields below are those of an aggregator.
	reports      int          // in the latest sums
	totals       []load.Total // of this failure domain
	totalsSentAt time.Time
	pressed      bool // some service has much in progress
}

// shareLoad exchanges the load with other instances until ctx ends.
func (r *Relay) shareLoad(ctx context.Context) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(r.Control))
	if err != nil {
		r.Log.Warn("load socket not opened", "addr", r.Control, "err", err)
		return
	}
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	x := r.newLoadExchange(conn)
	b := make([]byte, load.MaxDatagram+1)
	for ctx.Err() == nil {
		now := r.Clock()
		pause := x.run(now).Sub(now)
		_ = conn.SetReadDeadline(time.Now().Add(pause)) // fails only on a closed socket
		n, from, err := conn.ReadFromUDPAddrPort(b)
		switch {
		case err == nil:
			x.receive(r.Clock(), from, b[:n])
		case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
		default:
			r.Log.Warn("datagram not read", "err", err)
			wait.Pause(ctx, readErrorPause)
		}
	}
}

func (r *Relay) newLoadExchange(conn *net.UDPConn) *loadExchange {
	x := &loadExchange{
		r: r, conn: conn, sharer: r.sharer, rand: rand.New(rand.NewPCG(r.Seed, 0)), interval: load.BaseInterval,
		ledger: load.Ledger{Domain: r.Balancer.Domain},
	}
	if x.sharer == nil {
		x.sharer = r.Balancer
	}
	x.ledger.Start()
	return x
}

// run sends what is due and returns when it is to be called again.
func (x *loadExchange) run(now time.Time) time.Time {
	if !now.Before(x.reportAt) {
		x.report(now)
		jitter := 1 + reportJitter*(2*x.rand.Float64()-1)
		x.reportAt = now.Add(time.Duration(float64(x.interval) * jitter))
	}
	if x.aggregator != x.r.Control {
		return x.reportAt
	}
	totalsAt := x.totalsSentAt.Add(x.totalsInterval())
	if !now.Before(totalsAt) {
		x.sendTotals(now)
		totalsAt = now.Add(x.totalsInterval())
	}
	if totalsAt.Before(x.reportAt) {
		return totalsAt
	}
	return x.reportAt
}

// totalsInterval returns the interval of the totals.
func (x *loadExchange) totalsInterval() time.Duration {
	if slices.ContainsFunc(x.totals, func(t load.Total) bool { return t.InProgress > 0 }) {
		return totalsInterval
	}
	return idleTotalsInterval
}

// report sends the report of this instance to the aggregator of its failure domain.
func (x *loadExchange) report(now time.Time) {
	r := x.r
	r.mu.Lock()
	services, ok := x.sharer.LoadReport(now)
	r.mu.Unlock()
	if !ok || r.leaving.Load() {
		x.aggregator, x.preferred, x.interval = netip.AddrPort{}, load.Candidate{}, load.BaseInterval
		x.totals, x.pressed = nil, false
		return
	}
	to, sequence := x.chooseAggregator(now)
	report := load.Report{Instance: r.Control, StartedAt: r.ReadPolicy.StartedAt.UnixNano(), Sequence: sequence, Services: services}
	if to == r.Control {
		x.reporter.Answered(to, uint16(sequence))
		x.ledger.Add(now, &report)
		x.setSums(now, x.addUp(now))
		r.mu.Lock()
		x.totals, x.pressed = x.sharer.LoadTotals(now)
		r.mu.Unlock()
		return
	}
	x.totals, x.pressed = nil, false
	b, err := load.EncodeReport(&report)
	if x.send(now, to, b, err) {
		r.Loads.Reported.Add(1)
	}
}

// chooseAggregator returns the target and the sequence number of the next report.
func (x *loadExchange) chooseAggregator(now time.Time) (to netip.AddrPort, sequence uint64) {
	r := x.r
	r.cacheMu.Lock()
	members := r.members.Aggregators(now)
	r.cacheMu.Unlock()
	candidates := make([]netip.AddrPort, len(members))
	for i := range members {
		candidates[i] = members[i].Addr
	}
	to, sequence = x.reporter.Next(now, candidates)
	if to != x.aggregator {
		r.Log.Info("load aggregator changed", "aggregator", to, "before", x.aggregator, "candidates", candidates)
		x.aggregator = to
	}
	x.preferred, x.reportedAt = load.Candidate{}, now
	if to != r.Control {
		m := &members[slices.Index(candidates, to)]
		x.preferred = load.Candidate{Addr: to, Weight: m.Weight, Seen: time.Duration(m.Age) * time.Millisecond}
	}
	return to, sequence
}

// addUp returns the sums of the reports.
func (x *loadExchange) addUp(now time.Time) *load.Sums {
	s := x.ledger.Sums(now, x.pressed)
	a := load.Answer{Sums: &s, Preferred: x.preferred}
	a.Preferred.Seen += now.Sub(x.reportedAt)
	b, err := load.EncodeAnswer(&a)
	if err != nil {
		x.drop(now, dropNotEncoded, x.r.Control, len(b), err)
	}
	x.answer, x.summedAt = b, now
	return &s
}

// setSums puts sums in force.
func (x *loadExchange) setSums(now time.Time, s *load.Sums) {
	r := x.r
	x.reports = s.Reports
	x.interval = min(max(s.Interval, minReportInterval), maxReportInterval)
	r.Loads.latest.Store(&latestSums{now, s.Reports, x.aggregator})
	r.mu.Lock()
	defer r.mu.Unlock()
	x.sharer.SetSums(now, s)
}

// sendTotals sends the totals of this failure domain to the others.
func (x *loadExchange) sendTotals(now time.Time) {
	r := x.r
	x.totalsSentAt = now
	r.cacheMu.Lock()
	roots := r.members.ForeignRoots(now)
	r.cacheMu.Unlock()
	if len(x.totals) == 0 || len(roots) == 0 {
		return
	}
	b, err := load.EncodeTotals(&load.Totals{Domain: r.Balancer.Domain, Reports: x.reports, Totals: x.totals})
	for _, root := range roots {
		// The sender of the other domain's totals is its aggregator, which need
		// not be the highest-ranked member that is known here.
		to, ok := x.ledger.Sender(now, root.Domain)
		if !ok {
			to = root.Addr
		}
		if x.send(now, to, b, err) {
			r.Loads.TotalsOut.Add(1)
		}
	}
}

// send sends an encoded datagram and reports whether the operating system accepted it.
// err is the error of encoding it.
func (x *loadExchange) send(now time.Time, to netip.AddrPort, b []byte, err error) bool {
	if err != nil {
		x.drop(now, dropNotEncoded, to, len(b), err)
		return false
	}
	if _, err := x.conn.WriteToUDPAddrPort(b, to); err != nil {
		x.drop(now, dropNotSent, to, len(b), err)
		return false
	}
	x.r.Loads.BytesOut.Add(uint64(len(b)))
	return true
}

// receive handles a datagram of another instance.
func (x *loadExchange) receive(now time.Time, from netip.AddrPort, b []byte) {
	x.r.Loads.BytesIn.Add(uint64(len(b)))
	kind, err := load.KindOf(b)
	if err != nil {
		x.dropInvalid(now, from, len(b), err)
		return
	}
	x.r.cacheMu.Lock()
	domain, member := x.r.members.DomainOf(now, from)
	x.r.cacheMu.Unlock()
	if own := domain == x.r.Balancer.Domain; !member || own != (kind != load.KindTotals) {
		x.drop(now, dropNotMember, from, len(b), nil)
		return
	}
	switch kind {
	case load.KindReport:
		x.receiveReport(now, from, b)
	case load.KindSums:
		x.receiveSums(now, from, b)
	default:
		x.receiveTotals(now, from, domain, b)
	}
}

// receiveReport stores a report and answers with the sums.
func (x *loadExchange) receiveReport(now time.Time, from netip.AddrPort, b []byte) {
	report, err := load.DecodeReport(b)
	if err != nil {
		x.dropInvalid(now, from, len(b), err)
		return
	}
	report.Instance = from
	if !x.ledger.Add(now, report) {
		x.drop(now, dropOutdated, from, len(b), nil)
		return
	}
	x.r.Loads.Reports.Add(1)
	if now.Sub(x.summedAt) >= sumsLifetime {
		x.addUp(now)
	}
	if len(x.answer) > 0 {
		load.SetEcho(x.answer, report.Sequence)
		x.send(now, from, x.answer, nil)
	}
}

// receiveSums puts the sums of an answer in force.
func (x *loadExchange) receiveSums(now time.Time, from netip.AddrPort, b []byte) {
	a, err := load.DecodeAnswer(b)
	if err != nil {
		x.dropInvalid(now, from, len(b), err)
		return
	}
	if !x.reporter.Answered(from, load.Echo(b)) {
		x.drop(now, dropOutdated, from, len(b), nil)
		return
	}
	x.r.Loads.Sums.Add(1)
	x.setSums(now, a.Sums)
	if p := &a.Preferred; p.Addr.IsValid() {
		// After a start the exchange of members takes seconds until all know the
		// highest-ranked ones.
		r := x.r
		r.cacheMu.Lock()
		r.members.Merge(now, []cache.Member{{Addr: p.Addr, Domain: r.Balancer.Domain, Weight: p.Weight, Age: uint32(p.Seen / time.Millisecond)}})
		r.cacheMu.Unlock()
	}
}

// receiveTotals stores the totals of another failure domain.
func (x *loadExchange) receiveTotals(now time.Time, from netip.AddrPort, domain string, b []byte) {
	t, err := load.DecodeTotals(b)
	switch {
	case err != nil:
		x.dropInvalid(now, from, len(b), err)
	case t.Domain != domain:
		x.drop(now, dropNotMember, from, len(b), nil)
	case !x.ledger.AddTotals(now, from, t):
		x.drop(now, dropOutdated, from, len(b), nil)
	default:
		x.r.Loads.TotalsIn.Add(1)
	}
}
