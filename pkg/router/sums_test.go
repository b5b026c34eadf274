package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/load"
	"ebonypaddle/pkg/wire"
)

// Guards against a refusal of an opening whose earlier copy was forwarded: it may have
// opened the flow.
func TestForwardedOpeningIsNotRefused(t *testing.T) {
	lb, now := newPressedBalancer()
	var callers []*caller
	for port := range uint16(50) {
		c := newCaller(lb, 1000+port, otherAddr)
		assertForwarded(t, c.open(now, 0))
		callers = append(callers, c)
	}
	lb.SetSums(now, pressedSums(20, 700))
	for _, c := range callers {
		assertForwarded(t, c.open(now.Add(time.Millisecond), 0))
	}
}

// Guards against the last packets of an ended flow that look like one of another
// instance: own requests would not count any more, and flows that are gone would.
func TestLastPacketsOfEndedFlows(t *testing.T) {
	lb, now := newPressedBalancer()
	for port := range uint16(8) {
		c := newCaller(lb, port, otherAddr)
		assertForwarded(t, c.open(now, 0))
		assertForwarded(t, c.data(now, 0, 1, 0))
	}
	now = now.Add(2 * movedBefore)
	for port := range uint16(2 * movedFlows) {
		c := newCaller(lb, 100+port, otherAddr)
		assertForwarded(t, c.open(now, 0))
		assertForwarded(t, c.data(now, 0, 1, 0))
		end := c.packet
		end.Ack, end.End, end.Token, end.Seq, end.Acked = true, true, c.token, c.packet.Seq+2, 5100
		lb.Handle(now, &end)
		assertForwarded(t, c.data(now, 2, 0, 100))
	}
	assert.Equal(t, inProgress(t, lb, now), 8)
	flows := 0
	for _, srv := range lb.byName {
		flows += srv.load.flows
	}
	assert.Equal(t, flows, 8)
	c := newCaller(lb, 100, otherAddr)
	assertForwarded(t, c.open(now, 0)) // the port is in use again
}

// Guards against a service whose flows stay refused, and whose servers stay full, after
// the sums or the settings lack it.
func TestSumsOfADroppedService(t *testing.T) {
	lb, now := newPressedBalancer()
	sums := pressedSums(20, 700)
	sums.Reports = minSharedInstances
	sums.Services[0].Servers[0].Flows = 100
	lb.SetSums(now, sums)
	assert.Assert(t, lb.admission.services["s"].inForce && lb.pools["s"].loaded && lb.byName["s1"].load.full())
	lb.SetSums(now, &load.Sums{Reports: minSharedInstances, Services: []load.Service{{Name: "x"}}})
	assert.Assert(t, !lb.admission.services["s"].inForce && !lb.pools["s"].loaded && !lb.byName["s1"].load.full())
}

// Guards against refusals of flows for another failure domain that is not reached any
// more since the plan was made.
func TestPlannedDomainIsNotReached(t *testing.T) {
	lb, now := newPressedBalancer()
	sums := pressedSums(20, 100)
	idle := load.Total{Domain: "b", Service: "s", Slots: 100, Busy: 10, InProgress: 10}
	idle.Demand.Done = 300
	sums.Others = []load.Total{idle}
	lb.SetSums(now, sums)
	lb.domain("b").unreachable = true
	reasons, _ := openFlows(lb, now, urgentAddr, 200)
	assert.Equal(t, reasons[wire.ReasonOverloaded], 0)
}

// Guards against servers that look full after the first sums, as all of their open flows
// look new.
func TestFirstSumsShowNoGrowth(t *testing.T) {
	lb, now := newPressedBalancer()
	sums := pressedSums(1, 60)
	sums.Services[0].Servers[0].Flows, sums.Services[0].Servers[1].Flows = 55, 55
	lb.SetSums(now, sums)
	_, servers := openFlows(lb, now, urgentAddr, 50)
	assert.Equal(t, servers[1]+servers[2], 50)
}

// Guards against slots of servers that do not answer, which count as room.
func TestSuspectedServersAreNoRoom(t *testing.T) {
	lb, now := newPressedBalancer()
	lb.SetSums(now, pressedSums(1, 60))
	for _, name := range []string{"s1", "s2"} {
		lb.byName[name].health.suspectedUntil = now.Add(time.Second)
	}
	totals, _ := lb.LoadTotals(now)
	assert.Equal(t, totals[0].Slots, 0.0)
}

// Guards against sums of a large failure domain that are too old between two reports.
func TestSumsLastUntilTheNextReports(t *testing.T) {
	lb, now := newPressedBalancer()
	sums := pressedSums(20, 700)
	sums.Interval = 1200 * time.Millisecond
	lb.SetSums(now, sums)
	assert.Assert(t, lb.sumsFresh(now.Add(2*sums.Interval)))
	assert.Assert(t, !lb.sumsFresh(now.Add(maxSumsIntervals*sums.Interval)))
}
