package router

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/wire"
)

// coldFleet returns n instances that know each other and one cold server that
// bears rate flows a second.
func coldFleet(n int, rate float64) []*Balancer {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprint("instance", i)
	}
	out := make([]*Balancer, n)
	for i := range out {
		s := newBalancer(record(1, "a"))
		set := settings(2, service)
		set.Services[0].ColdRate = rate
		s.ApplySettings(set)
		cold := record(1, "a")
		cold.Rev, cold.Value.ColdFor = 2, time.Minute
		s.ApplyServers(begin, []Change[Server]{cold}, false)
		s.SetPeers(names[i], names)
		out[i] = s
	}
	return out
}

// Guards against a cold server that gets more than it bears because many
// instances open flows there at once. The bound is the platform's: in any
// second at most 1.5 times the rate and 5 more.
func TestColdServerBearsItsRate(t *testing.T) {
	for _, tc := range []struct {
		n    int
		rate float64
	}{{1, 10}, {6, 10}, {88, 10}, {88, 1}} {
		t.Run(fmt.Sprint(tc.n, " ", tc.rate), func(t *testing.T) {
			fleet := coldFleet(tc.n, tc.rate)
			var times []time.Time
			for at := begin.Add(coldSettle); at.Before(begin.Add(coldSettle + 10*time.Second)); at = at.Add(20 * time.Millisecond) {
				for _, s := range fleet {
					s.Tick(at)
					if call(s, uint16(at.UnixMilli()), service).open(at, 0).Action == Forward {
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
				assert.Assert(t, float64(n) <= 1.5*tc.rate+5, "%d in a second", n)
			}
			assert.Assert(t, float64(len(times)) >= 0.5*tc.rate*10, "only %d in 10 s", len(times))
		})
	}
}

// Guards against an instance that knows nobody yet and takes the whole rate of
// a cold server for itself.
func TestColdServerAfterStart(t *testing.T) {
	s := coldFleet(1, 10)[0]
	isRefused(t, call(s, 1, service).open(begin.Add(time.Second), 0), wire.ReasonColdLimit)
}

// Guards against servers of a returned failure domain that get full load while
// they are cold.
func TestReturnedDomainIsCold(t *testing.T) {
	s := newBalancer(record(1, "a"))
	s.ApplyDomains(begin, []Change[ExcludedDomain]{{Name: "a"}}, false)
	s.ApplyDomains(begin, nil, true)
	assert.Equal(t, s.byName["s1"].coldUntil, begin.Add(2*time.Second))
}
