package router

import (
	"net/netip"
	"time"

	"ebonypaddle/pkg/load"
)

const (
	exchangeJitter = 0.1
	totalsInterval = 500 * time.Millisecond
	// sumsLifetime is how old the sums in an answer may be.
	sumsLifetime = 100 * time.Millisecond
	// The time that a datagram takes in a failure domain and to another one.
	datagramDelay, crossDatagramDelay = time.Millisecond, 4 * time.Millisecond
)

// aggregator is the part of an instance that adds up the reports of its failure
// domain.
type aggregator struct {
	ledger  load.Ledger
	sums    []byte // the latest ones as a datagram
	sumsAt  time.Time
	reports int
	totals  []load.Total
	pressed bool
}

// startExchange starts the exchange of load. The first instance of a failure domain
// is its aggregator.
func (sim *loadSim) startExchange() {
	for d := range sim.domains {
		a := &aggregator{ledger: load.Ledger{Domain: domainName(d)}}
		a.ledger.Start()
		sim.aggregators = append(sim.aggregators, a)
		sim.scheduleTotals(d)
	}
	for i := range sim.instances {
		sim.schedule(time.Duration(sim.exchangeRnd.Float64()*float64(load.BaseInterval)), func() { sim.report(i, 1) })
	}
}

// datagram delivers a datagram, or not, or twice, as sumsConfig says.
func (sim *loadSim) datagram(delay time.Duration, deliver func()) {
	if sim.exchangeRnd.Float64() < sim.sums.lost {
		return
	}
	sim.schedule(delay+sim.sums.delay, deliver)
	if sim.sums.twice {
		sim.schedule(delay+2*sim.sums.delay, deliver)
	}
}

// must returns v. The simulation sends no datagram that cannot be encoded.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// report sends a report of instance i, and schedules the next one.
func (sim *loadSim) report(i int, sequence uint64) {
	if sim.frozen[i] {
		return
	}
	interval := load.BaseInterval
	a := sim.aggregators[i%sim.domains]
	if services, ok := sim.balancers[i].LoadReport(sim.now); ok {
		b := must(load.EncodeReport(&load.Report{StartedAt: 1, Sequence: sequence, Services: services}))
		if i < sim.domains {
			sim.add(a, i, b)
			sim.setSums(i, sim.addUp(a))
			a.totals, a.pressed = sim.balancers[i].LoadTotals(sim.now)
		} else {
			sim.datagram(datagramDelay, func() {
				if sim.add(a, i, b) {
					sums := sim.addUp(a)
					sim.datagram(datagramDelay, func() { sim.setSums(i, sums) })
				}
			})
		}
		interval = a.ledger.Sums(sim.now, a.pressed).Interval
	}
	jitter := 1 + exchangeJitter*(2*sim.exchangeRnd.Float64()-1)
	sim.schedule(time.Duration(float64(interval)*jitter), func() { sim.report(i, sequence+1) })
}

// add stores the report of instance i.
func (sim *loadSim) add(a *aggregator, i int, b []byte) bool {
	r := must(load.DecodeReport(b))
	r.Instance = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 1)
	return a.ledger.Add(sim.now, r)
}

// addUp returns the sums as a datagram.
func (sim *loadSim) addUp(a *aggregator) []byte {
	if sim.now.Sub(a.sumsAt) >= sumsLifetime {
		s := a.ledger.Sums(sim.now, a.pressed)
		a.sums, a.sumsAt, a.reports = must(load.EncodeAnswer(&load.Answer{Sums: &s})), sim.now, s.Reports
	}
	return a.sums
}

func (sim *loadSim) setSums(i int, b []byte) {
	if !sim.frozen[i] {
		sim.balancers[i].SetSums(sim.now, must(load.DecodeAnswer(b)).Sums)
	}
}

// scheduleTotals sends the totals of a failure domain to the others.
func (sim *loadSim) scheduleTotals(d int) {
	a := sim.aggregators[d]
	if len(a.totals) > 0 {
		b := must(load.EncodeTotals(&load.Totals{Domain: domainName(d), Reports: a.reports, Totals: a.totals}))
		for o, other := range sim.aggregators {
			if o != d {
				from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(d)}), 1)
				sim.datagram(crossDatagramDelay, func() { other.ledger.AddTotals(sim.now, from, must(load.DecodeTotals(b))) })
			}
		}
	}
	sim.schedule(totalsInterval, func() { sim.scheduleTotals(d) })
}
