package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/wire"
)

// laggingBalancer returns an instance whose settings lack the route of serviceAddr.
func laggingBalancer() *Balancer {
	lb := &Balancer{Domain: "a", Seed: 2}
	lb.Start(startTime)
	lb.ApplySettings(testSettings(1, nonRepeatableAddr))
	lb.ApplyServers(startTime, []Change[Server]{serverRecord(1, "a"), serverRecord(2, "a")}, true)
	lb.SetSynced()
	lb.SetConfirmed(startTime)
	return lb
}

// flowElsewhere returns a caller with an open flow that another instance opened, and
// whose packets reach lb from now on.
func flowElsewhere(t *testing.T, lb *Balancer, now time.Time) *caller {
	t.Helper()
	other := newBalancer(serverRecord(1, "a"), serverRecord(2, "a"))
	runTicks(other, startTime, now)
	c := newCaller(other, 1, serviceAddr)
	assertForwarded(t, c.open(now, 0))
	c.lb = lb
	return c
}

// Guards against resets of open flows of a new route by an instance that does not
// know the route yet.
func TestOpenFlowOfUnknownRoute(t *testing.T) {
	lb := laggingBalancer()
	now := startTime.Add(time.Second)
	c := flowElsewhere(t, lb, now)
	for _, age := range []time.Duration{0, time.Second, time.Minute} {
		lb.SetConfirmed(now.Add(-age))
		assertForwarded(t, c.data(now, 0, 100, 0))
	}
	now = now.Add(10 * time.Second)
	assertForwarded(t, c.data(now, 100, 100, 0)) // out of touch with the store
	lb.ApplySettings(testSettings(2, serviceAddr))
	lb.SetConfirmed(now)
	assertForwarded(t, c.data(now, 200, 100, 0))
}

// Guards against flows that go on after their route was dropped, at an instance that
// did not open them.
func TestOpenFlowOfDroppedRoute(t *testing.T) {
	lb := laggingBalancer()
	now := startTime.Add(time.Second)
	lb.SetConfirmed(now)
	c := flowElsewhere(t, lb, now)
	assertForwarded(t, c.data(now, 0, 100, 0))
	now = now.Add(lb.Limits.UnknownGrace)
	lb.SetConfirmed(now.Add(-time.Millisecond))
	assertForwarded(t, c.data(now, 100, 100, 0))
	lb.SetConfirmed(now)
	assertRefused(t, c.data(now, 200, 100, 0), wire.ReasonUnknownService)
}

// Guards against resets of flows of a route that is added again, by an instance that
// has seen it dropped.
func TestOpenFlowOfRouteAddedAgain(t *testing.T) {
	lb := laggingBalancer()
	now := startTime.Add(time.Second)
	lb.ApplySettings(testSettings(2, serviceAddr))
	old := newCaller(lb, 9, serviceAddr)
	assertForwarded(t, old.open(now, 0))
	lb.ApplySettings(testSettings(3, nonRepeatableAddr))
	lb.SetConfirmed(now)
	assertRefused(t, old.data(now, 0, 100, 0), wire.ReasonUnknownService)
	assertForwarded(t, flowElsewhere(t, lb, now.Add(time.Second)).data(now.Add(time.Second), 0, 100, 0))
}

// Guards against a reset for a copy of an opening whose earlier copy opened the flow
// at an instance that knows the route.
func TestOpeningCopyOfUnknownRoute(t *testing.T) {
	lb := laggingBalancer()
	c := newCaller(lb, 1, serviceAddr)
	assertDropped(t, c.open(startTime, 1), wire.ReasonUnknownService)
	assertDropped(t, c.open(startTime, 2), wire.ReasonUnknownService)
	assertRefused(t, newCaller(lb, 2, serviceAddr).open(startTime, 0), wire.ReasonUnknownService)
}

// Guards against resets of flows of new servers by an instance that is out of touch
// with the store.
func TestUnknownTokenOutOfTouch(t *testing.T) {
	lb := laggingBalancer()
	c := newCaller(lb, 1, serviceAddr)
	c.token = 77
	now := startTime.Add(time.Second)
	assertDropped(t, c.data(now, 0, 1, 0), wire.ReasonUnknownFlow)
	lb.SetConfirmed(now.Add(lb.Limits.UnknownGrace - time.Millisecond))
	assertDropped(t, c.data(now.Add(20*time.Second), 0, 1, 0), wire.ReasonUnknownFlow)
	lb.SetConfirmed(now.Add(lb.Limits.UnknownGrace))
	assertRefused(t, c.data(now.Add(20*time.Second), 0, 1, 0), wire.ReasonUnknownFlow)
	assert.Equal(t, lb.Stats.Refused.Get(wire.ReasonUnknownFlow), uint64(1))
}

// Guards against resets of flows of a server that started again under its ID, by an
// instance that knows only that it was removed.
func TestServerStartedAgain(t *testing.T) {
	lb := newBalancer(serverRecord(1, "a"), serverRecord(2, "a"))
	own := newCaller(lb, 8, serviceAddr)
	assertForwarded(t, own.open(startTime, 0))
	token := own.token
	name := lb.tokens.owner(token).name
	lb.ApplyServers(startTime, []Change[Server]{{Name: name, Rev: 9, Deleted: true}}, false)
	now := startTime.Add(lb.Limits.RemovalGrace)
	lb.Tick(now)
	lb.SetConfirmed(now)
	other := newCaller(lb, 9, serviceAddr)
	other.token = token
	later := now.Add(lb.Limits.NewServerDelay)
	assertDropped(t, other.data(later, 0, 1, 0), wire.ReasonUnknownFlow)
	assertRefused(t, own.data(later, 0, 1, 0), wire.ReasonServerGone)
	lb.SetConfirmed(later)
	assertRefused(t, other.data(later, 0, 1, 0), wire.ReasonServerGone)
}
