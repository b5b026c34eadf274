package router

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/wire"
)

// newExplained returns a pressed balancer with cold servers, of which one is the only
// server of service "s2".
func newExplained() (*Balancer, time.Time) {
	lb, now := newPressedBalancer()
	set := testSettings(3, serviceAddr)
	set.Services[0].ColdRate = 5
	set.Services = append(set.Services, Service{Name: "s2", ColdRate: 50})
	set.Routes = append(set.Routes, lb.settings.Routes...)
	set.Routes[0].WeightedServices = []WeightedService{{"s", 2}, {"s2", 1}}
	lb.ApplySettings(set)
	cold, other := serverRecord(5, "a"), serverRecord(6, "a")
	cold.Value.ColdTimeLeft, other.Value.ColdTimeLeft, other.Value.Service = 10*time.Second, 10*time.Second, "s2"
	lb.ApplyServers(now, []Change[Server]{cold, other}, false)
	runTicks(lb, now, now.Add(time.Second))
	return lb, now.Add(time.Second)
}

// stateOf returns what decisions depend on, but for the flows and random numbers.
func stateOf(lb *Balancer) string {
	s := fmt.Sprint(lb.Vars(), lb.admission.class, lb.lastCallAt, len(lb.flows.entries), len(lb.domains), len(lb.demand.services))
	for _, name := range []string{"s", "s2"} {
		s += fmt.Sprintf("\n%+v %+v", *lb.pool(name), lb.admission.services[name])
	}
	for i := range 10 {
		if srv := lb.byName[fmt.Sprint("s", i)]; srv != nil {
			s += fmt.Sprintf("\n%+v", *srv)
		}
	}
	return s
}

// Guards against an explanation that changes a later decision, a counter or a quota.
func TestExplainChangesNothing(t *testing.T) {
	asked, now := newExplained()
	unasked, _ := newExplained()
	addrs := []netip.AddrPort{serviceAddr, urgentAddr, otherAddr, nonRepeatableAddr}
	for i := range 400 {
		now = now.Add(7 * time.Millisecond)
		port, to := uint16(i%150), addrs[i%len(addrs)]
		a, b := newCaller(asked, port, to), newCaller(unasked, port, to)
		before := stateOf(asked)
		for n := range 100 {
			asked.Explain(now, ExplainQuery{Service: addrs[n%len(addrs)], Caller: a.packet.Caller, Size: n - 1})
		}
		assert.Equal(t, stateOf(asked), before)
		for _, lb := range []*Balancer{asked, unasked} {
			lb.Tick(now)
			switch i % 100 {
			case 20:
				lb.SetSums(now, pressedSums(20, 700))
			case 60:
				lb.SetSums(now, pressedSums(1, 10))
			}
		}
		assert.Equal(t, a.open(now, i%3), b.open(now, i%3))
		assert.Equal(t, a.data(now, 0, 300, 0), b.data(now, 0, 300, 0))
		assert.Equal(t, a.data(now, 300, 0, i%2), b.data(now, 300, 0, i%2))
	}
	assert.DeepEqual(t, asked.Vars(), unasked.Vars())
	assert.Equal(t, asked.rnd.Uint64(), unasked.rnd.Uint64())
}

// Guards against an explanation that differs from what happens to packets.
func TestExplainTellsWhatHappens(t *testing.T) {
	const flows = 2000
	for _, inProgress := range []uint32{1, 20} {
		for _, to := range []netip.AddrPort{urgentAddr, otherAddr} {
			lb, now := newPressedBalancer()
			lb.SetSums(now, pressedSums(inProgress, 700))
			ex := lb.Explain(now, ExplainQuery{Service: to, Size: -1})
			reasons, servers := openFlows(lb, now, to, flows)
			placed := 0.0
			for _, o := range ex.Services[0].Outcomes {
				if o.Action == "placed" {
					placed += o.Share
					assert.Equal(t, o.Server, ex.Services[0].Servers[0].Name)
					assert.Assert(t, servers[1]+servers[2] > 0 && o.Domain == "a")
				} else {
					assert.Equal(t, o.Reason, wire.ReasonOverloaded.String())
				}
			}
			got := 1 - float64(reasons[wire.ReasonOverloaded])/flows
			assert.Assert(t, got > placed-0.05 && got < placed+0.05, "%v, want %v of %v", got, placed, reasons)
			assert.Equal(t, ex.Services[0].Planned, inProgress == 20)
			assert.Equal(t, ex.Services[0].Sums.InProgress, float64(2*inProgress))
		}
	}
}

// Guards against decisions before placing that an explanation does not know.
func TestExplainWithoutPlacing(t *testing.T) {
	lb, now := newPressedBalancer()
	c := newCaller(lb, 1, otherAddr)
	assertForwarded(t, c.open(now, 0))
	open := newCaller(lb, 2, otherAddr)
	assertForwarded(t, open.open(now, 0))
	open.data(now, 0, 1, 0)
	stopped := &Balancer{Domain: "a"}
	stopped.Start(now)
	for name, tc := range map[string]struct {
		lb             *Balancer
		now            time.Time
		to             netip.AddrPort
		caller         *caller
		action, reason string
	}{
		"no settings":   {stopped, now, otherAddr, c, "dropped", "noSettings"},
		"after a pause": {lb, now.Add(time.Minute), otherAddr, c, "dropped", "notFresh"},
		"no route":      {lb, now, netip.AddrPortFrom(otherAddr.Addr(), 9), c, "refused", "unknownService"},
		"open flow":     {lb, now, otherAddr, open, "dropped", "unknownFlow"},
		"placed":        {lb, now, otherAddr, c, "placed", ""},
	} {
		ex := tc.lb.Explain(tc.now, ExplainQuery{Service: tc.to, Caller: tc.caller.packet.Caller})
		assert.Equal(t, ex.Outcome.Action+" "+ex.Outcome.Reason, tc.action+" "+tc.reason, name)
	}
}

// Guards against candidates whose state or order is not that of placing.
func TestExplainedStates(t *testing.T) {
	lb, now := newExplained()
	fresh, leaving, removed := serverRecord(7, "a"), serverRecord(8, "a"), serverRecord(9, "a")
	leaving.Value.Leaving = true
	lb.ApplyServers(now, []Change[Server]{fresh, leaving, removed, {Name: "s9", Rev: 2, Deleted: true}}, false)
	lb.ApplyServers(now, []Change[Server]{serverRecord(10, "c")}, false)
	lb.ApplyDomains(now, []Change[ExcludedDomain]{{Name: "b", Rev: 1}}, true)
	lb.domain("c").unreachable = true
	lb.byName["s2"].health.suspectedUntil = now.Add(time.Second)
	lb.byName["s5"].nextColdFlowAt = now.Add(time.Second)
	states := map[string]string{}
	servers := lb.Explain(now, ExplainQuery{Service: otherAddr}).Services[0].Servers
	for _, s := range servers {
		states[s.Name] = s.State
	}
	assert.DeepEqual(t, states, map[string]string{"s1": stateHealthy.String(), "s2": stateSuspected.String(), "s3": stateExcluded.String(), "s4": stateExcluded.String(),
		"s5": stateColdLimited.String(), "s7": stateNew.String(), "s8": stateLeaving.String(), "s9": stateRemoved.String(), "s10": stateUnreachable.String()})
	assert.Equal(t, servers[0].Name, "s1")
}

// Guards against an explanation whose size grows with the fleet.
func TestExplainIsBounded(t *testing.T) {
	lb, now := newPressedBalancer()
	var all []Change[Server]
	for i := range 200 {
		c := serverRecord(i+1, "a")
		c.Name = fmt.Sprintf("s%d", i+1)
		all = append(all, c)
	}
	lb.ApplyServers(now, all, false)
	set := testSettings(3, otherAddr)
	set.Routes[0].WeightedServices = nil
	for i := range 20 {
		set.Routes[0].WeightedServices = append(set.Routes[0].WeightedServices, WeightedService{"s", i})
	}
	lb.ApplySettings(set)
	ex := lb.Explain(now, ExplainQuery{Service: otherAddr})
	assert.Equal(t, len(ex.Services), MaxExplainedServices)
	assert.Equal(t, ex.MoreServices, 19-MaxExplainedServices)
	assert.Equal(t, len(ex.Services[0].Servers), MaxExplainedServers)
	assert.Equal(t, ex.Services[0].MoreServers, 200-MaxExplainedServers)
}
