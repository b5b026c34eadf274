package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var testStart = time.Unix(1_700_000_000, 0)

func addrOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

// node is an instance of a fleet.
type node struct {
	Reporter
	ledger   Ledger
	services []Service
	sums     *Sums
	down     bool
}

// fleet is a failure domain whose instances exchange datagrams in virtual time.
type fleet struct {
	t     *testing.T
	now   time.Time
	nodes []*node
	lost  func() bool // whether a datagram is lost
	bytes int         // on the network, with the headers of IP and UDP
}

const ipUDPHeaders = 28 // in bytes

// fleetServers is the number of backend servers of a fleet.
const fleetServers = 40

// newFleet returns a domain of n instances that each have a few requests in progress at
// a part of the servers.
func newFleet(t *testing.T, n int) *fleet {
	rnd := rand.New(rand.NewPCG(1, uint64(n)))
	f := &fleet{t: t, now: testStart, lost: func() bool { return false }}
	for range n {
		nd := &node{ledger: Ledger{Domain: "a"}}
		nd.ledger.Start()
		s := Service{Name: "order-intake", Demand: Demand{Offered: [Classes]float64{float64(rnd.IntN(9)) / 2, 3}, Done: 4.5}, Sent: []Sent{{"b", uint32(rnd.IntN(3)), 0.5}}, Costs: testCosts(MaxReportCosts)}
		for id := range fleetServers {
			if rnd.IntN(4) == 0 {
				s.Servers = append(s.Servers, Server{uint64(id+1) * 100_000_007, uint32(rnd.IntN(3)), uint32(rnd.IntN(9))})
			}
		}
		nd.services = byID([]Service{s, {Name: "render", Demand: Demand{Begun: [Classes]float64{0, 1.5}}}})
		f.nodes = append(f.nodes, nd)
	}
	return f
}

// truth returns the sums of the instances that are not down.
func (f *fleet) truth() []Service {
	sum := summation{}
	for _, nd := range f.nodes {
		for i := range nd.services {
			if !nd.down {
				sum.add(&nd.services[i])
			}
		}
	}
	return sum.services()
}

// round lets each instance report once within an interval.
func (f *fleet) round() {
	for i, nd := range f.nodes {
		f.now = f.now.Add(BaseInterval / time.Duration(len(f.nodes)))
		if !nd.down {
			f.report(i, nd)
		}
	}
}

func (f *fleet) report(i int, nd *node) {
	var aggregators []netip.AddrPort
	for j := range min(3, len(f.nodes)) {
		aggregators = append(aggregators, addrOf(j))
	}
	to, sequence := nd.Next(f.now, aggregators)
	r := &Report{Instance: addrOf(i), StartedAt: int64(i), Sequence: sequence, Services: nd.services}
	if to == addrOf(i) {
		assert.Assert(f.t, nd.ledger.Add(f.now, r))
		sums := nd.ledger.Sums(f.now, false)
		nd.sums = &sums
		nd.Answered(to, uint16(sequence))
		return
	}
	b, err := EncodeReport(r)
	assert.NilError(f.t, err)
	f.bytes += len(b) + ipUDPHeaders
	aggregator := f.nodes[int(to.Addr().As4()[3])]
	if aggregator.down || f.lost() {
		return
	}
	r, err = DecodeReport(b)
	assert.NilError(f.t, err)
	r.Instance = addrOf(i)
	assert.Assert(f.t, aggregator.ledger.Add(f.now, r))
	sums := aggregator.ledger.Sums(f.now, false)
	b, err = EncodeAnswer(&Answer{Sums: &sums})
	assert.NilError(f.t, err)
	f.bytes += len(b) + ipUDPHeaders
	SetEcho(b, sequence)
	if f.lost() {
		return
	}
	answer, err := DecodeAnswer(b)
	assert.NilError(f.t, err)
	assert.Assert(f.t, nd.Answered(to, Echo(b)))
	nd.sums = answer.Sums
}

// assertAtMost fails if a sum is larger than the truth: somebody was counted twice.
func assertAtMost(t *testing.T, got, truth []Service) {
	t.Helper()
	want := map[string]Service{}
	for _, s := range truth {
		want[s.Name] = s
	}
	for _, s := range got {
		servers := map[uint64]Server{}
		for _, srv := range want[s.Name].Servers {
			servers[srv.ID] = srv
		}
		for _, srv := range s.Servers {
			assert.Assert(t, srv.InProgress <= servers[srv.ID].InProgress && srv.Flows <= servers[srv.ID].Flows, "%v, the truth is %v", srv, servers[srv.ID])
		}
		assert.Assert(t, s.Demand.Done <= want[s.Name].Demand.Done+0.01, "%v answers a second, the truth is %v", s.Demand.Done, want[s.Name].Demand.Done)
	}
}

// assertEqual fails if sums differ from the truth by more than the rounding of rates.
func assertEqual(t *testing.T, got, truth []Service) {
	t.Helper()
	for i := range got {
		assert.Assert(t, math.Abs(got[i].Demand.Done-truth[i].Demand.Done) < 0.1 && math.Abs(got[i].Demand.Offered[0]-truth[i].Demand.Offered[0]) < 0.1)
		got[i].Demand, truth[i].Demand = Demand{}, Demand{}
	}
	assert.DeepEqual(t, got, truth)
}

// Guards against sums that miss an instance or count one twice.
func TestSumsEqualTheTruth(t *testing.T) {
	for _, n := range []int{8, 86, 300} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newFleet(t, n)
			f.round()
			f.round()
			for _, nd := range f.nodes {
				assert.Equal(t, nd.sums.Reports, n)
				assert.Assert(t, nd.sums.Age <= BaseInterval)
				assertEqual(t, nd.sums.Services, f.truth())
			}
		})
	}
}

// Guards against sums that count an instance twice, or lose the domain, while the
// aggregator goes and comes back.
func TestAggregatorGoes(t *testing.T) {
	f := newFleet(t, 28)
	all := f.truth()
	f.round()
	f.nodes[0].down = true
	for range 4 {
		f.round()
		for _, nd := range f.nodes[1:] {
			assertAtMost(t, nd.sums.Services, all)
		}
	}
	for _, nd := range f.nodes[1:] {
		assert.Equal(t, nd.target, addrOf(1))
		assert.Equal(t, nd.sums.Reports, 27)
		assertEqual(t, nd.sums.Services, f.truth())
	}
	f.nodes[0].down = false
	for range 12 {
		f.round()
		for _, nd := range f.nodes {
			assertAtMost(t, nd.sums.Services, all)
		}
	}
	for _, nd := range f.nodes {
		assert.Equal(t, nd.target, addrOf(0))
		assertEqual(t, nd.sums.Services, f.truth())
	}
}

// Guards against lost datagrams that empty the sums or move the instances to several
// aggregators for good.
func TestLostDatagrams(t *testing.T) {
	f := newFleet(t, 28)
	f.round()
	rnd := rand.New(rand.NewPCG(3, 3))
	f.lost = func() bool { return rnd.IntN(50) == 0 }
	counted, expected := 0, 0
	for i := range 40 {
		f.round()
		for _, nd := range f.nodes {
			assertAtMost(t, nd.sums.Services, f.truth())
			if i > 1 {
				counted += nd.sums.Reports
				expected += len(f.nodes)
			}
		}
	}
	assert.Assert(t, counted*100 >= expected*97, "%d of %d reports counted", counted, expected)
}

// Guards against an exchange that costs an instance more than its share of the 5 KB a
// second for control.
func TestBytesOfAnInstance(t *testing.T) {
	f := newFleet(t, 28)
	const rounds = 20
	for range rounds {
		f.round()
	}
	perSecond := float64(f.bytes) / float64(len(f.nodes)) / (rounds * BaseInterval.Seconds())
	assert.Assert(t, perSecond <= 2000, "%.0f bytes a second", perSecond)
}

// Guards against totals that cost more between two failure domains than is planned for
// each service.
func TestBytesBetweenDomains(t *testing.T) {
	totals := &Totals{Domain: "north-a", Reports: 28}
	for _, service := range []string{"order-intake", "render"} {
		totals.Totals = append(totals.Totals, domainTotal("north-a", service))
	}
	b, err := EncodeTotals(totals)
	assert.NilError(t, err)
	perSecond := 2 * float64(len(b)+ipUDPHeaders) / float64(len(totals.Totals)) // every 500 ms
	assert.Assert(t, perSecond <= 200, "%.0f bytes a second", perSecond)
}

// Guards against answers that count although they are copies, late, or come from another
// instance, so that older sums replace newer ones.
func TestAnswers(t *testing.T) {
	var r Reporter
	candidates := []netip.AddrPort{addrOf(0), addrOf(1)}
	for range 3 {
		r.Next(testStart, candidates)
		assert.Assert(t, r.Answered(addrOf(0), uint16(r.sequence)))
	}
	assert.Assert(t, !r.Answered(addrOf(0), 3)) // a copy
	assert.Assert(t, !r.Answered(addrOf(0), 2)) // an older one
	r.Next(testStart, candidates)
	assert.Assert(t, !r.Answered(addrOf(1), 4))
	r.Next(testStart, candidates)
	assert.Assert(t, r.Answered(addrOf(0), 4)) // the answer before the latest one
	assert.Assert(t, r.Answered(addrOf(0), 5))
	assert.Assert(t, !r.Answered(addrOf(0), 9))
	for range maxUnanswered + 1 {
		r.Next(testStart, candidates)
	}
	assert.Equal(t, r.target, addrOf(1))
	assert.Assert(t, !r.Answered(addrOf(0), 7))
	to, _ := r.Next(testStart.Add(skipTime), candidates)
	assert.Equal(t, to, addrOf(0))
}
