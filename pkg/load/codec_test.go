package load

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// busyService returns a service with IDs of servers as large as in use and rates that
// need several bytes each.
func busyService(name string, servers int) Service {
	s := Service{Name: name, Demand: Demand{Offered: [Classes]float64{12.5, 40}, Begun: [Classes]float64{3.1, 200}, Done: 250, Rejected: 7.3}}
	for i := range servers {
		s.Servers = append(s.Servers, Server{ID: uint64(i+1) * 0x9E3779B9 % (1 << 32), InProgress: uint32(i%5 + 1), Flows: uint32(i%40 + 1)})
	}
	s.Costs = testCosts(3) // one for each route
	return s
}

func testCosts(n int) (out []Cost) {
	for i := range n {
		out = append(out, Cost{Key: uint32(i+1) * 0x1E3779B9, Work: time.Duration(i+30) * time.Millisecond, Observations: MaxObservations})
	}
	return out
}

func domainTotal(domain, service string) Total {
	return Total{
		Domain: domain, Service: service, Demand: busyService("", 0).Demand, Slots: 80, Busy: 76.5, InProgress: 131,
		Sent: []Sent{{"north-b", 12, 31.5}, {"north-c", 3, 8}, {"north-d", 7, 1.5}},
	}
}

func testSums(servers int) *Sums {
	s := &Sums{Age: 420 * time.Millisecond, Reports: 28, Interval: BaseInterval, Services: []Service{busyService("order-intake", servers)}}
	s.Services[0].Sent = []Sent{{"north-b", 12, 31.5}}
	for _, d := range []string{"north-b", "north-c", "north-d"} {
		s.Others = append(s.Others, domainTotal(d, "order-intake"))
	}
	return s
}

// byID puts the servers in the order in which a datagram has them.
func byID(services []Service) []Service {
	sum := summation{}
	for i := range services {
		sum.add(&services[i])
	}
	return sum.services()
}

// Guards against values that change on their way, or that arrive in another field.
func TestRoundTrip(t *testing.T) {
	report := &Report{StartedAt: time.Now().UnixNano(), Sequence: 70_000, Services: byID([]Service{busyService("order-intake", 9), busyService("render", 3)})}
	b, err := EncodeReport(report)
	assert.NilError(t, err)
	gotReport, err := DecodeReport(b)
	assert.NilError(t, err)
	assert.DeepEqual(t, gotReport.Services, report.Services)
	assert.Equal(t, gotReport.StartedAt, report.StartedAt)
	assert.Equal(t, gotReport.Sequence, report.Sequence)

	sums := testSums(120)
	sums.Services = byID(sums.Services)
	preferred := Candidate{addrOf(3), 900, 250 * time.Millisecond}
	b, err = EncodeAnswer(&Answer{sums, preferred})
	assert.NilError(t, err)
	SetEcho(b, 70_000)
	assert.Equal(t, Echo(b), uint16(70_000-65_536))
	answer, err := DecodeAnswer(b)
	assert.NilError(t, err)
	assert.DeepEqual(t, answer.Sums, sums)
	assert.Equal(t, answer.Preferred, preferred)

	totals := &Totals{Domain: "north-a", Reports: 28, Totals: []Total{domainTotal("north-a", "order-intake"), domainTotal("north-a", "render")}}
	b, err = EncodeTotals(totals)
	assert.NilError(t, err)
	gotTotals, err := DecodeTotals(b)
	assert.NilError(t, err)
	assert.DeepEqual(t, gotTotals, totals)
}

// Guards against datagrams that cost an instance more than its share of the budget for
// control.
func TestDatagramSizes(t *testing.T) {
	b, err := EncodeReport(&Report{StartedAt: time.Now().UnixNano(), Sequence: 70_000, Services: []Service{busyService("order-intake", 10)}})
	assert.NilError(t, err)
	assert.Assert(t, len(b) < 150, "report of %d bytes", len(b))
	sums := testSums(150)
	sums.Others = nil
	b, err = EncodeAnswer(&Answer{Sums: sums})
	assert.NilError(t, err)
	assert.Assert(t, len(b) < 1200, "sums of %d bytes", len(b))
}

// Guards against datagrams that are larger than a packet, and against the busiest
// servers being left out of them.
func TestLargeSumsLeaveOutIdleServers(t *testing.T) {
	sums := testSums(500)
	for i := range sums.Services[0].Servers {
		sums.Services[0].Servers[i].InProgress = uint32(i) // the later, the busier
	}
	for i := range 90 {
		total := domainTotal(fmt.Sprint("east-", i), "order-intake")
		total.Slots += float64(i)
		sums.Others = append(sums.Others, total)
	}
	b, err := EncodeAnswer(&Answer{Sums: sums})
	assert.NilError(t, err)
	assert.Assert(t, len(b) <= MaxDatagram && len(b) > MaxDatagram-2*maxServerSize, "%d bytes", len(b))
	answer, err := DecodeAnswer(b)
	assert.NilError(t, err)
	got := answer.Sums
	servers := got.Services[0].Servers
	assert.Assert(t, len(servers) > 70, "%d servers", len(servers))
	for _, s := range servers {
		assert.Assert(t, int(s.InProgress) >= 500-len(servers), "a server with %d in progress", s.InProgress)
	}
	assert.Equal(t, got.Others[0].Domain, "east-89") // has the most free room
	assert.Assert(t, len(got.Others) >= 5, "%d totals", len(got.Others))
}

// Guards against numbers out of bounds that enter the sums, and against errors that do
// not say which one it was.
func TestOutOfBounds(t *testing.T) {
	for _, tc := range []struct {
		field string
		body  wireReport
	}{
		{"rate", wireReport{Names: []string{"s"}, Services: []wireService{{Demand: []int64{-1}}}}},
		{"rate", wireReport{Names: []string{"s"}, Services: []wireService{{Demand: []int64{math.MaxInt64}}}}},
		{"rates", wireReport{Names: []string{"s"}, Services: []wireService{{Demand: make([]int64, demandFields+1)}}}},
		{"name", wireReport{Services: []wireService{{}}}},
		{"name", wireReport{Names: []string{"s"}, Services: []wireService{{Name: -1}}}},
		{"services", wireReport{Names: []string{"s"}, Services: make([]wireService, maxServices+1)}},
		{"names", wireReport{Names: make([]string, maxNames+1)}},
		{"bytes of a name", wireReport{Names: []string{string(make([]byte, maxNameBytes+1))}}},
		{"values of sent", wireReport{Names: []string{"s"}, Services: []wireService{{Sent: make([]int64, 4)}}}},
		{"requests sent", wireReport{Names: []string{"s"}, Services: []wireService{{Sent: []int64{0, -5, 0}}}}},
		{"server ID", wireReport{Names: []string{"s"}, Services: []wireService{{Servers: []byte{1, 1, 1, 0, 1, 1}}}}},
		{"bytes of open flows", wireReport{Names: []string{"s"}, Services: []wireService{{Servers: []byte{1, 1}}}}},
		{"open flows", wireReport{Names: []string{"s"}, Services: []wireService{{Servers: []byte{1, 1, 0xff, 0xff, 0xff, 0xff, 1}}}}},
		{"bytes of a cost", wireReport{Names: []string{"s"}, Services: []wireService{{Costs: []byte{1, 2, 3}}}}},
		{"work", wireReport{Names: []string{"s"}, Services: []wireService{{Costs: []byte{1, 2, 3, 4, 0, 1}}}}},
		{"work", wireReport{Names: []string{"s"}, Services: []wireService{{Costs: []byte{1, 2, 3, 4, 0xff, 0xff, 0xff, 0xff, 0x7f, 1}}}}},
		{"bytes of observations", wireReport{Names: []string{"s"}, Services: []wireService{{Costs: []byte{1, 2, 3, 4, 1}}}}},
		{"observations", wireReport{Names: []string{"s"}, Services: []wireService{{Costs: []byte{1, 2, 3, 4, 1, 0xff, 0xff, 0xff, 0xff, 1}}}}},
		{"costs", wireReport{Names: []string{"s"}, Services: []wireService{{Costs: packCosts(testCosts(MaxCosts + 1))}}}},
	} {
		b, err := encode(KindReport, &tc.body)
		assert.NilError(t, err)
		_, err = DecodeReport(b)
		var limit *LimitError
		assert.Assert(t, errors.As(err, &limit), "%s: %v", tc.field, err)
		assert.Equal(t, limit.Field, tc.field)
	}
	// A fraction is no rate on the wire, nor is NaN.
	for _, v := range []float64{1.5, math.NaN(), math.Inf(1)} {
		b, err := encode(KindReport, []any{1, 1, []string{"s"}, []any{[]any{0, []any{v}, nil, nil}}})
		assert.NilError(t, err)
		_, err = DecodeReport(b)
		assert.ErrorContains(t, err, "decode load datagram")
	}
}

// Guards against NaN and negative rates that are sent as large numbers.
func TestRatesThatCannotBeSent(t *testing.T) {
	for v, want := range map[float64]int64{math.NaN(): 0, -1: 0, math.Inf(-1): 0, math.Inf(1): maxRate * tenths, 1.26: 13} {
		assert.Equal(t, toTenths(v), want, "%v", v)
	}
}

// Guards against datagrams of another version that are decoded as if of this one.
func TestOtherVersion(t *testing.T) {
	b, err := EncodeReport(&Report{})
	assert.NilError(t, err)
	for _, i := range []int{0, 1} {
		other := append([]byte(nil), b...)
		other[i] = 9
		_, err = DecodeReport(other)
		var version *VersionError
		assert.Assert(t, errors.As(err, &version), "%v", err)
	}
	_, err = KindOf(make([]byte, MaxDatagram+1))
	var limit *LimitError
	assert.Assert(t, errors.As(err, &limit), "%v", err)
}

// Guards against a datagram that ends the process, or that decodes to values of which
// a larger datagram is made.
func FuzzDatagram(f *testing.F) {
	sums := testSums(3)
	report, _ := EncodeReport(&Report{Services: sums.Services})
	answer, _ := EncodeAnswer(&Answer{sums, Candidate{Addr: addrOf(3)}})
	totals, _ := EncodeTotals(&Totals{Domain: "north-b", Totals: sums.Others[:1]})
	for _, b := range [][]byte{report, answer, totals, nil} {
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, err := DecodeReport(b); err == nil {
			assertFits(t)(EncodeReport(r))
		}
		if a, err := DecodeAnswer(b); err == nil {
			assertFits(t)(EncodeAnswer(a))
		}
		if totals, err := DecodeTotals(b); err == nil {
			assertFits(t)(EncodeTotals(totals))
		}
	})
}

// assertFits returns a check that a datagram is not too large or was not encoded for
// that reason.
func assertFits(t *testing.T) func([]byte, error) {
	return func(b []byte, err error) {
		t.Helper()
		var limit *LimitError
		assert.Assert(t, len(b) <= MaxDatagram && (err == nil || errors.As(err, &limit)), "%d bytes, %v", len(b), err)
	}
}
