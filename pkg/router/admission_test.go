package router

import (
	"bytes"
	"log/slog"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/load"
	"ebonypaddle/pkg/wire"
)

// The routes of urgent and of other requests of service "s".
var (
	urgentAddr = netip.MustParseAddrPort("198.18.0.2:443")
	otherAddr  = netip.MustParseAddrPort("198.18.0.2:444")
)

// newPressedBalancer returns an instance in failure domain "a" with two servers there
// and two in "b", at the time at which it may place flows.
func newPressedBalancer() (*Balancer, time.Time) {
	lb := newBalancer(serverRecord(1, "a"), serverRecord(2, "a"), serverRecord(3, "b"), serverRecord(4, "b"))
	set := testSettings(2)
	for priority, addr := range []netip.AddrPort{urgentAddr, otherAddr} {
		set.Routes = append(set.Routes, Route{Addr: addr, WeightedServices: []WeightedService{{"s", 1}}, LatencyTarget: 100 * time.Millisecond, Priority: priority + 1})
	}
	set.Services = []Service{{Name: "s", MaxFlows: 100}}
	lb.ApplySettings(set)
	now := startTime.Add(2 * time.Second)
	runTicks(lb, startTime, now)
	return lb, now
}

// urgentRate is the rate of new urgent flows in the sums.
const urgentRate = 30

// pressedSums are sums of failure domain "a" in which each server has inProgress
// requests, callers ask for others new flows a second that are not urgent, and 100
// requests a second are answered.
func pressedSums(inProgress uint32, others float64) *load.Sums {
	s := load.Service{Name: "s", Servers: []load.Server{{ID: 1, InProgress: inProgress}, {ID: 2, InProgress: inProgress}}}
	s.Demand.Offered[1], s.Demand.Offered[2], s.Demand.Done = urgentRate, others, 100
	return &load.Sums{Reports: 2, Services: []load.Service{s}}
}

// openFlows opens n flows to a route and returns the verdicts by reason and domain.
func openFlows(lb *Balancer, now time.Time, to netip.AddrPort, n int) (reasons map[wire.Reason]int, servers map[ServerID]int) {
	reasons, servers = map[wire.Reason]int{}, map[ServerID]int{}
	for port := range uint16(n) {
		v := newCaller(lb, 1000+port, to).open(now, 0)
		if v.Action == Forward {
			servers[v.To.Server]++
		}
		reasons[v.Reason]++
		lb.flows.remove(&Packet{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, 1}), 1000+port), Service: to})
	}
	return reasons, servers
}

// Guards against urgent requests that are refused for others while servers lack room,
// and against a refusal that was sent to a server.
func TestAdmissionByPriority(t *testing.T) {
	lb, now := newPressedBalancer()
	lb.SetSums(now, pressedSums(20, 700))
	reasons, _ := openFlows(lb, now, urgentAddr, 200)
	assert.Equal(t, reasons[wire.ReasonOverloaded], 0)
	reasons, servers := openFlows(lb, now, otherAddr, 200)
	assert.Assert(t, reasons[wire.ReasonOverloaded] > 150, "%v", reasons)
	assert.Equal(t, servers[1]+servers[2]+reasons[wire.ReasonOverloaded], 200)
}

// Guards against other decisions than without sums while there is room.
func TestSumsChangeNothingWithRoom(t *testing.T) {
	with, now := newPressedBalancer()
	without, _ := newPressedBalancer()
	for i := range 50 {
		now = now.Add(10 * time.Millisecond)
		if i%10 == 0 {
			with.SetSums(now, pressedSums(1, 60))
		}
		for _, to := range []netip.AddrPort{urgentAddr, otherAddr} {
			a, b := newCaller(with, uint16(i), to), newCaller(without, uint16(i), to)
			v := a.open(now, 0)
			assertForwarded(t, v)
			assert.Equal(t, v, b.open(now, 0))
			assert.Equal(t, a.data(now, 0, 1, 0), b.data(now, 0, 1, 0))
		}
	}
}

// Guards against refusals by sums that are too old: the instances that sum up are gone.
func TestOldSumsRefuseNothing(t *testing.T) {
	lb, now := newPressedBalancer()
	lb.SetSums(now, pressedSums(20, 700))
	later := now.Add(maxSumsAge)
	runTicks(lb, now, later.Add(time.Millisecond))
	reasons, _ := openFlows(lb, later, otherAddr, 50)
	assert.Equal(t, reasons[wire.ReasonOverloaded], 0)
	_, pressed := lb.LoadTotals(later)
	assert.Assert(t, !pressed)
}

// Guards against refusals while another failure domain has room, and against flows to
// one that is taken out.
func TestExcessGoesNextDoor(t *testing.T) {
	for _, out := range []bool{false, true} {
		lb, now := newPressedBalancer()
		sums := pressedSums(20, 100)
		idle := load.Total{Domain: "b", Service: "s", Slots: 100, Busy: 10, InProgress: 10}
		idle.Demand.Done = 300
		sums.Others = []load.Total{idle}
		if out {
			lb.ApplyDomains(now, []Change[ExcludedDomain]{{Name: "b", Rev: 1}}, true)
		}
		lb.SetSums(now, sums)
		reasons, servers := openFlows(lb, now, otherAddr, 200)
		assert.Equal(t, reasons[wire.ReasonOverloaded] > 0, out)
		assert.Equal(t, servers[3]+servers[4] > 0, !out)
	}
}

// Guards against a server that is driven over its limit of flows by several instances
// that each open fewer.
func TestFlowLimitOverAllInstances(t *testing.T) {
	lb, now := newPressedBalancer()
	sums := pressedSums(1, 60)
	sums.Services[0].Servers[0].Flows = 100
	lb.SetSums(now, sums)
	_, servers := openFlows(lb, now, otherAddr, 50)
	assert.Equal(t, servers[1], 0)
	assert.Equal(t, servers[2], 50)
}

// Guards against reports that count requests for long whose packets moved to another
// instance, or whose flow the server reset: a plan then refuses flows while servers are idle.
func TestReportForgetsOldRequests(t *testing.T) {
	lb, now := newPressedBalancer()
	c := newCaller(lb, 1, otherAddr)
	assertForwarded(t, c.open(now, 0))
	assertForwarded(t, c.data(now, 0, 1, 0))
	assert.Equal(t, inProgress(t, lb, now), 1)
	runTicks(lb, now, now.Add(maxInProgress))
	assert.Equal(t, inProgress(t, lb, now.Add(maxInProgress)), 0)
}

// Guards against requests that two instances count after the platform's routers moved
// all flows.
func TestMovedFlowsCountOnce(t *testing.T) {
	lb, now := newPressedBalancer()
	var mine, others []*caller
	for port := range uint16(8) {
		c := newCaller(lb, port, otherAddr)
		assertForwarded(t, c.open(now, 0))
		assertForwarded(t, c.data(now, 0, 1, 0))
		mine = append(mine, c)
		o := newCaller(lb, 100+port, otherAddr)
		o.token = c.token
		others = append(others, o)
	}
	assert.Equal(t, inProgress(t, lb, now), len(mine))
	now = now.Add(2 * movedBefore)
	for i, o := range others[:movedFlows] {
		fresh := newCaller(lb, uint16(200+i), otherAddr)
		assertForwarded(t, fresh.open(now, 0))
		assertForwarded(t, o.data(now, 0, 0, 100))
	}
	assert.Equal(t, inProgress(t, lb, now), 0)
}

// inProgress returns the requests in progress of a report.
func inProgress(t *testing.T, lb *Balancer, now time.Time) int {
	t.Helper()
	services, ok := lb.LoadReport(now)
	assert.Assert(t, ok)
	n := 0
	for _, srv := range services[0].Servers {
		n += int(srv.InProgress)
	}
	return n
}

// Guards against rejections by servers that nobody counts, and against answers of
// usual length that count as rejections.
func TestRejectionsAreCounted(t *testing.T) {
	lb, now := newPressedBalancer()
	for i, size := range []int{4000, 5000, 3000, 200} {
		c := newCaller(lb, uint16(i), otherAddr)
		assertForwarded(t, c.open(now, 0))
		assertForwarded(t, c.data(now, 0, 1, 0))
		c.data(now, 1, 0, size)
		p := c.packet
		p.Ack, p.End, p.Token, p.Seq, p.Acked = true, true, c.token, c.packet.Seq+2, 5000+uint32(size)
		lb.Handle(now, &p)
		services, _ := lb.LoadReport(now)
		assert.Equal(t, services[0].Demand.Rejected > 0, size == 200, "%d bytes", size)
	}
}

// Guards against a plan that an operator does not see.
func TestAdmissionIsLogged(t *testing.T) {
	var out bytes.Buffer
	lb, now := newPressedBalancer()
	lb.Log = slog.New(slog.NewTextHandler(&out, nil))
	lb.SetSums(now, pressedSums(20, 700))
	lb.SetSums(now, pressedSums(20, 700))
	assert.Equal(t, strings.Count(out.String(), "admission changed"), 1)
}
