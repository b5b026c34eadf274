package load

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// costReport returns a report of instance i about one service.
func costReport(i int, costs ...Cost) *Report {
	return &Report{Instance: addrOf(i), StartedAt: 1, Sequence: 1, Services: []Service{{Name: "s", Costs: costs}}}
}

// Guards against an instance that is wrong by a factor of 100 and sets the mean, and
// against observations that count for too little.
func TestMeanCosts(t *testing.T) {
	l := newLedger()
	for i := range 27 {
		assert.Assert(t, l.Add(testStart, costReport(i, Cost{7, 40 * time.Millisecond, 100})))
	}
	l.Add(testStart, costReport(27, Cost{7, 4 * time.Second, 100}, Cost{8, 10 * time.Millisecond, 30}))
	l.Add(testStart, costReport(28, Cost{8, 20 * time.Millisecond, 10}, Cost{9, time.Second, 0}, Cost{9, -1, 50}))
	costs := l.Sums(testStart, false).Services[0].Costs
	assert.Equal(t, len(costs), 2)
	assert.Equal(t, costs[0].Observations, uint32(28*100))
	assert.Assert(t, costs[0].Work < 48*time.Millisecond, "%v", costs[0].Work)
	assert.DeepEqual(t, costs[1], Cost{8, time.Duration(math.Round(1e4*math.Pow(2, 0.25))) * time.Microsecond, 40})
}

// Guards against reports and sums with more costs than agreed, and against those of
// the commonest kinds being left out.
func TestBoundsOfCosts(t *testing.T) {
	var all []Cost
	for i := range 100 {
		all = append(all, Cost{uint32(1000 - i), time.Millisecond, uint32(i + 1)})
	}
	b, err := EncodeReport(costReport(1, all...))
	assert.NilError(t, err)
	report, err := DecodeReport(b)
	assert.NilError(t, err)
	assert.Equal(t, len(report.Services[0].Costs), MaxReportCosts)
	l := newLedger()
	l.Add(testStart, costReport(1, all...))
	sums := l.Sums(testStart, false)
	assert.Equal(t, len(sums.Services[0].Costs), MaxCosts)
	assert.DeepEqual(t, sums.Services[0].Costs[0], Cost{901, time.Millisecond, 100})
	b, err = EncodeAnswer(&Answer{Sums: &sums})
	assert.NilError(t, err)
	answer, err := DecodeAnswer(b)
	assert.NilError(t, err)
	assert.DeepEqual(t, answer.Sums.Services, sums.Services)
}

// Guards against datagrams that are not sent because of their costs, and against those of
// many services taking the room of the servers.
func TestCostsGiveWay(t *testing.T) {
	var services []Service
	for i := range maxServices {
		services = append(services, Service{Name: fmt.Sprint("service-", i), Costs: testCosts(MaxCosts), Servers: busyService("", 60).Servers})
	}
	b, err := EncodeAnswer(&Answer{Sums: &Sums{Services: services}})
	assert.NilError(t, err)
	answer, err := DecodeAnswer(b)
	assert.NilError(t, err)
	costs, servers := 0, 0
	for _, s := range answer.Sums.Services {
		costs += len(s.Costs)
		servers += len(s.Servers)
	}
	assert.Assert(t, costs == maxDatagramCosts && servers >= 40, "%d costs, %d servers", costs, servers)
	for i := range services {
		services[i].Name = fmt.Sprintf("%0*d", maxNameBytes, i)
	}
	_, err = EncodeAnswer(&Answer{Sums: &Sums{Services: services}})
	assert.NilError(t, err) // without costs and servers
}

// Guards against an instance without the field of costs whose reports do not count.
func TestServiceWithoutCosts(t *testing.T) {
	for _, fields := range [][]any{{0, []int64{30}, []byte{1, 1, 1}, nil}, {0, []int64{30}, []byte{1, 1, 1}, nil, nil}} {
		b, err := encode(KindReport, []any{1, 1, []string{"s"}, []any{fields}})
		assert.NilError(t, err)
		r, err := DecodeReport(b)
		assert.NilError(t, err)
		assert.DeepEqual(t, r.Services, []Service{{Name: "s", Demand: Demand{Done: 3}, Servers: []Server{{1, 1, 1}}}})
	}
	for _, fields := range [][]any{{0, nil, nil}, {0, nil, nil, nil, nil, nil}} {
		b, err := encode(KindReport, []any{1, 1, []string{"s"}, []any{fields}})
		assert.NilError(t, err)
		_, err = DecodeReport(b)
		assert.ErrorContains(t, err, "decode load datagram")
	}
}
