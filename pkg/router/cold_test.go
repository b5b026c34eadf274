package router

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/wire"
)

// newColdBalancers returns n instances that know each other and one cold
// server that can take rate flows per second.
func newColdBalancers(n int, rate float64) []*Balancer {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprint("instance", i)
	}
	out := make([]*Balancer, n)
	for i := range out {
		lb := newBalancer(serverRecord(1, "a"))
		set := testSettings(2, serviceAddr)
		set.Services[0].ColdRate = rate
		lb.ApplySettings(set)
		cold := serverRecord(1, "a")
		cold.Rev, cold.Value.ColdTimeLeft = 2, time.Minute
		lb.ApplyServers(startTime, []Change[Server]{cold}, false)
		lb.SetPeers(names[i], names)
		out[i] = lb
	}
	return out
}

// Guards against overload of a cold server because many instances open flows
// there at once. The platform's limit in any second is 1.5 times the rate and
// 5 more.
func TestColdServerRateLimit(t *testing.T) {
	for _, tc := range []struct {
		n    int
		rate float64
	}{{1, 10}, {6, 10}, {88, 10}, {88, 1}} {
		t.Run(fmt.Sprint(tc.n, " ", tc.rate), func(t *testing.T) {
			balancers := newColdBalancers(tc.n, tc.rate)
			var times []time.Time
			for at := startTime.Add(coldStartupDelay); at.Before(startTime.Add(coldStartupDelay + 10*time.Second)); at = at.Add(20 * time.Millisecond) {
				for _, lb := range balancers {
					lb.Tick(at)
					if newCaller(lb, uint16(at.UnixMilli()), serviceAddr).open(at, 0).Action == Forward {
						times = append(times, at)
					}
				}
			}
			for i := range times {
				n := 0
				for _, at := range times[i:] {
					if at.Sub(times[i]) < time.Second {
						n++
					}
				}
				assert.Assert(t, float64(n) <= 1.5*tc.rate+5, "%d flows in a second", n)
			}
			assert.Assert(t, float64(len(times)) >= 0.5*tc.rate*10, "only %d flows in 10 s", len(times))
		})
	}
}

// Guards against an instance that does not know its peers yet and uses the
// whole rate of a cold server alone.
func TestNoColdFlowsAfterInstanceStart(t *testing.T) {
	lb := newColdBalancers(1, 10)[0]
	assertRefused(t, newCaller(lb, 1, serviceAddr).open(startTime.Add(time.Second), 0), wire.ReasonColdLimit)
}

// Guards against full load on the servers of a returned failure domain, which
// are cold because they got no requests.
func TestServersOfReturnedDomainAreCold(t *testing.T) {
	lb := newBalancer(serverRecord(1, "a"))
	lb.ApplyDomains(startTime, []Change[ExcludedDomain]{{Name: "a"}}, false)
	lb.ApplyDomains(startTime, nil, true)
	assert.Equal(t, lb.byName["s1"].coldUntil, startTime.Add(2*time.Second))
}
