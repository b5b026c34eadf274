package router

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/wire"
)

var (
	begin   = time.UnixMilli(1_700_000_000_000)
	service = netip.MustParseAddrPort("198.18.0.1:443")
	once    = netip.MustParseAddrPort("198.18.0.1:444")
)

// record is the record of server i of service s in a failure domain.
func record(i int, domain string) Change[Server] {
	return Change[Server]{Name: fmt.Sprintf("s%d", i), Rev: 1, Value: Server{
		ID: ServerID(i), Service: "s", Domain: domain, Slots: 2, Rev: 1,
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
	}}
}

func settings(version uint64, addrs ...netip.AddrPort) *Settings {
	set := &Settings{Version: version, Rev: version, Services: []Service{{Name: "s", ColdFor: 2 * time.Second}}}
	for _, a := range addrs {
		set.Routes = append(set.Routes, Route{Addr: a, WeightedServices: []WeightedService{{"s", 1}}, Repeatable: a == service, LatencyTarget: 150 * time.Millisecond})
	}
	return set
}

// newBalancer returns an instance in domain a with the routes and servers.
func newBalancer(servers ...Change[Server]) *Balancer {
	s := &Balancer{Domain: "a", Seed: 1}
	s.Start(begin)
	s.ApplySettings(settings(1, service, once))
	s.ApplyServers(begin, servers, true)
	s.ApplyDomains(begin, nil, true)
	s.SetSynced()
	return s
}

// caller is one end of a flow.
type caller struct {
	s     *Balancer
	p     Packet
	token uint32
}

func call(s *Balancer, port uint16, to netip.AddrPort) *caller {
	return &caller{s: s, p: Packet{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, 1}), port), Service: to, Seq: 1000}}
}

// open sends the opening or a copy of it, and keeps the token it got.
func (c *caller) open(now time.Time, copies int) Verdict {
	p := c.p
	p.Open, p.Retransmissions = true, copies
	v := c.s.Handle(now, &p)
	c.token = v.To.Token
	return v
}

// data sends size bytes from offset at, having received acked bytes.
func (c *caller) data(now time.Time, at, size, acked int) Verdict {
	p := c.p
	p.Ack, p.Token = true, c.token
	p.Seq, p.Acked, p.Size = c.p.Seq+1+uint32(at), 5000+uint32(acked), size
	return c.s.Handle(now, &p)
}

// ran ticks the instance every 100 ms up to a time.
func ran(s *Balancer, from, to time.Time) {
	for t := from; t.Before(to); t = t.Add(100 * time.Millisecond) {
		s.Tick(t)
	}
}

func isForward(t *testing.T, v Verdict) {
	t.Helper()
	assert.Equal(t, v.Action, Forward, "%v", v.Reason)
}

func isRefused(t *testing.T, v Verdict, why wire.Reason) {
	t.Helper()
	assert.Equal(t, v.Action, Refuse)
	assert.Equal(t, v.Reason, why)
}

func isDropped(t *testing.T, v Verdict, why wire.Reason) {
	t.Helper()
	assert.Equal(t, v.Action, Drop)
	assert.Equal(t, v.Reason, why)
}

// Guards against flows that break when another instance gets their packets, or
// the settings change.
func TestTokenOutlivesInstancesAndSettings(t *testing.T) {
	a, b := newBalancer(record(1, "a"), record(2, "a")), newBalancer(record(2, "a"), record(1, "a"), record(3, "a"))
	c := call(a, 1, service)
	v := c.open(begin, 0)
	isForward(t, v)
	c.s = b
	b.ApplySettings(settings(2, service))
	w := c.data(begin.Add(time.Millisecond), 0, 100, 0)
	isForward(t, w)
	assert.Equal(t, w.To.Server, v.To.Server)
}

// Guards against a packet that reaches the other of two servers with the same
// token.
func TestCollidingTokens(t *testing.T) {
	one, two := record(1, "a"), record(2, "a")
	one.Value.ID, two.Value.ID = 5, 5<<32 // fold to the same 32 bits
	assert.Equal(t, tokens(5)[0], tokens(5 << 32)[0])
	s := newBalancer(one)
	first := call(s, 1, service)
	isForward(t, first.open(begin, 0))
	s.ApplyServers(begin, []Change[Server]{two}, false)
	later := begin.Add(2 * time.Second)
	s.Tick(later)
	got := map[ServerID]uint32{}
	for port := range uint16(50) {
		c := call(s, 100+port, service)
		v := c.open(later, 0)
		isForward(t, v)
		got[v.To.Server] = v.To.Token
		assert.Equal(t, c.data(later, 0, 1, 0).To.Server, v.To.Server)
	}
	assert.Equal(t, len(got), 2)
	assert.Assert(t, got[5] != got[5<<32])
	assert.Equal(t, first.data(later, 0, 1, 0).To.Server, ServerID(5))
}

// Guards against resets of flows whose server another instance knows earlier,
// and against callers that wait for servers that are gone.
func TestUnknownToken(t *testing.T) {
	s := newBalancer(record(1, "a"))
	c := call(s, 1, service)
	c.token = 77
	isDropped(t, c.data(begin, 0, 1, 0), wire.ReasonUnknownFlow)
	ran(s, begin, begin.Add(2900*time.Millisecond))
	isDropped(t, c.data(begin.Add(2900*time.Millisecond), 0, 1, 0), wire.ReasonUnknownFlow)
	isRefused(t, c.data(begin.Add(3*time.Second), 0, 1, 0), wire.ReasonUnknownFlow)

	d := call(s, 2, service)
	isForward(t, d.open(begin.Add(3*time.Second), 0))
	gone := begin.Add(8 * time.Second)
	s.ApplyServers(gone, []Change[Server]{{Name: "s1", Rev: 9, Deleted: true}}, false)
	s.Tick(gone.Add(s.Limits.RemovalGrace))
	isRefused(t, d.data(gone.Add(s.Limits.RemovalGrace), 0, 1, 0), wire.ReasonServerGone)
}

// Guards against flows to servers that must get none, and packets of open flows
// that are kept from them.
func TestNoNewFlows(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(s *Balancer)
	}{
		{"leaving", func(s *Balancer) {
			r := record(1, "a")
			r.Rev, r.Value.Leaving = 2, true
			s.ApplyServers(begin, []Change[Server]{r}, false)
		}},
		{"domain out", func(s *Balancer) { s.ApplyDomains(begin, []Change[ExcludedDomain]{{Name: "a"}}, false) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newBalancer(record(1, "a"))
			c := call(s, 1, service)
			isForward(t, c.open(begin, 0))
			tc.change(s)
			isRefused(t, call(s, 2, service).open(begin, 0), wire.ReasonNoServer)
			isForward(t, c.data(begin, 0, 10, 0))
		})
	}
}

// Guards against settings that go back, and routes that stay after they were
// dropped.
func TestSettings(t *testing.T) {
	s := newBalancer(record(1, "a"))
	c := call(s, 1, once)
	isForward(t, c.open(begin, 0))
	s.ApplySettings(settings(3, service))
	isRefused(t, call(s, 2, once).open(begin, 0), wire.ReasonUnknownService)
	isRefused(t, c.data(begin, 0, 1, 0), wire.ReasonUnknownService)
	s.ApplySettings(settings(2, service, once))
	isRefused(t, call(s, 3, once).open(begin, 0), wire.ReasonUnknownService)
}

// Guards against an instance that serves before it knows all servers: it
// refused flows of servers that it had yet to learn.
func TestNotReady(t *testing.T) {
	s := &Balancer{Domain: "a", Seed: 1}
	s.Start(begin)
	s.ApplySettings(settings(1, service))
	assert.Assert(t, !s.Ready())
	isDropped(t, call(s, 1, service).open(begin, 0), wire.ReasonNoSettings)
}

// Guards against a table that grows with a flood, and against allocations for
// each packet of an open flow.
func TestFlood(t *testing.T) {
	s := newBalancer(record(1, "a"))
	s.Limits.MaxFlows = 1000
	s.flows.start(s.Limits.MaxFlows)
	c := call(s, 1, service)
	isForward(t, c.open(begin, 0))
	for i := range 20_000 {
		x := call(s, uint16(i), service)
		x.p.Caller = netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 65, byte(i >> 8), byte(i)}), 9)
		x.open(begin, 0)
		x.token = uint32(i) * 7919
		x.data(begin, 0, 5, 0)
	}
	assert.Assert(t, len(s.flows.rows) <= 1000, "%d flows", len(s.flows.rows))
	assert.Assert(t, len(s.pending) <= 1000, "%d pending", len(s.pending))
	assert.Assert(t, len(s.unknown) <= maxUnknown)
	isForward(t, c.data(begin, 0, 10, 0))
	p := c.p
	p.Ack, p.Token, p.Size = true, c.token, 10
	n := testing.AllocsPerRun(1000, func() { s.Handle(begin, &p) })
	assert.Equal(t, n, 0.0)
}
