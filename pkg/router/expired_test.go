package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/wire"
)

// expired returns an instance that no longer has the record of server 1, an open flow
// of that server, which answers every 0.5 s, and the time 1 s after the grace period.
func expired(t *testing.T, record Change[Server]) (*Balancer, *caller, time.Time) {
	t.Helper()
	lb := newBalancer(record)
	c := newCaller(lb, 1, serviceAddr)
	assertForwarded(t, c.open(startTime, 0))
	assertForwarded(t, c.data(startTime, 0, 1, 0))
	lb.ApplyServers(startTime, []Change[Server]{{Name: "s1", Rev: 9, Deleted: true}}, false)
	now := startTime
	for range 6 {
		now = answers(lb, c, now)
	}
	return lb, c, now
}

// answers lets 0.5 s pass, in which the server answers a request of the flow.
func answers(lb *Balancer, c *caller, now time.Time) time.Time {
	n := int(now.Sub(startTime) / (500 * time.Millisecond))
	c.data(now, n, 1, n)
	c.data(now.Add(20*time.Millisecond), n+1, 0, n+1)
	runTicks(lb, now, now.Add(500*time.Millisecond))
	return now.Add(500 * time.Millisecond)
}

// Guards against resets of open flows of a server that is slow to report, but answers.
func TestOpenFlowOfSilentServer(t *testing.T) {
	lb, c, now := expired(t, serverRecord(1, "a"))
	assertForwarded(t, c.data(now, 100, 1, 100))
	assertRefused(t, newCaller(lb, 2, serviceAddr).open(now, 0), wire.ReasonNoServer)
	back := serverRecord(1, "a")
	back.Rev = 12
	lb.ApplyServers(now, []Change[Server]{back}, false)
	assertForwarded(t, newCaller(lb, 3, serviceAddr).open(now, 0))
	assertForwarded(t, c.data(now, 101, 1, 101))
	assert.Equal(t, len(lb.expired), 0)
	assert.Equal(t, len(lb.removedServers), 0)
}

// Guards against flows that go on at a server which is gone, or whose address another
// one got.
func TestEndOfSilentServer(t *testing.T) {
	leaving := serverRecord(1, "a")
	leaving.Value.Leaving = true
	for _, tc := range []struct {
		name string
		end  func(lb *Balancer, c *caller, now time.Time) time.Time
	}{
		{"no answer", func(lb *Balancer, c *caller, now time.Time) time.Time {
			for i := range 4 {
				c.data(now, 200, 1, 0)
				runTicks(lb, now, now.Add(200*time.Millisecond<<i))
				now = now.Add(200 * time.Millisecond << i)
			}
			return now
		}},
		{"no packet", func(lb *Balancer, _ *caller, now time.Time) time.Time {
			runTicks(lb, now, now.Add(defaultIdleTimeout))
			return now.Add(defaultIdleTimeout)
		}},
		{"address in use again", func(lb *Balancer, _ *caller, now time.Time) time.Time {
			other := serverRecord(2, "a")
			other.Value.Addr, other.Value.Service = serverRecord(1, "a").Value.Addr, "u"
			lb.ApplyServers(now, []Change[Server]{other}, false)
			return now
		}},
		{"too long", func(lb *Balancer, c *caller, now time.Time) time.Time {
			for now.Sub(startTime) <= maxExpired {
				now = answers(lb, c, now)
			}
			return now
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			lb, c, now := expired(t, serverRecord(1, "a"))
			now = tc.end(lb, c, now)
			lb.SetConfirmed(now)
			assertRefused(t, c.data(now, 300, 1, 0), wire.ReasonServerGone)
			assert.Equal(t, len(lb.expired), 0)
			assert.Equal(t, len(lb.removedServers), 0)
		})
	}
	t.Run("it left", func(t *testing.T) {
		lb := newBalancer(serverRecord(1, "a"))
		c := newCaller(lb, 1, serviceAddr)
		assertForwarded(t, c.open(startTime, 0))
		lb.ApplyServers(startTime, []Change[Server]{leaving}, false)
		lb.ApplyServers(startTime, []Change[Server]{{Name: "s1", Rev: 9, Deleted: true}}, false)
		now := startTime
		for range 5 {
			now = answers(lb, c, now)
		}
		assertRefused(t, c.data(now, 300, 1, 0), wire.ReasonServerGone)
	})
}
