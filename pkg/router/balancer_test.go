package router

import (
	"bytes"
	"fmt"
	"log/slog"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/revs"
	"ebonypaddle/pkg/wire"
)

var (
	startTime         = time.UnixMilli(1_700_000_000_000)
	serviceAddr       = netip.MustParseAddrPort("198.18.0.1:443")
	nonRepeatableAddr = netip.MustParseAddrPort("198.18.0.1:444")
)

// serverRecord returns the record of server i of service "s" in a failure
// domain.
func serverRecord(i int, domain string) Change[Server] {
	return Change[Server]{Name: fmt.Sprintf("s%d", i), Rev: 1, Value: Server{
		ID: ServerID(i), Service: "s", Domain: domain, Slots: 2, Rev: 1,
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
	}}
}

func testSettings(version uint64, addrs ...netip.AddrPort) *Settings {
	set := &Settings{Version: version, Rev: revs.Rev(version), Services: []Service{{Name: "s", ColdDuration: 2 * time.Second}}}
	for _, a := range addrs {
		set.Routes = append(set.Routes, Route{Addr: a, WeightedServices: []WeightedService{{"s", 1}}, Repeatable: a == serviceAddr, LatencyTarget: 150 * time.Millisecond})
	}
	return set
}

// newBalancer returns an instance in failure domain "a" that knows the routes
// of serviceAddr and nonRepeatableAddr, and the servers.
func newBalancer(servers ...Change[Server]) *Balancer {
	lb := &Balancer{Domain: "a", Seed: 1}
	lb.Start(startTime)
	lb.ApplySettings(testSettings(1, serviceAddr, nonRepeatableAddr))
	lb.ApplyServers(startTime, servers, true)
	lb.ApplyDomains(startTime, nil, true)
	lb.SetSynced()
	return lb
}

// caller is the caller's end of a flow.
type caller struct {
	lb     *Balancer
	packet Packet
	token  uint32
}

func newCaller(lb *Balancer, port uint16, to netip.AddrPort) *caller {
	return &caller{lb: lb, packet: Packet{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, 1}), port), Service: to, Seq: 1000}}
}

// open sends the opening, or a retransmission of it, and stores the token of
// the server that gets it.
func (c *caller) open(now time.Time, retransmissions int) Verdict {
	p := c.packet
	p.Open, p.Retransmissions = true, retransmissions
	v := c.lb.Handle(now, &p)
	c.token = v.To.Token
	return v
}

// data sends size bytes at an offset and acknowledges received bytes.
func (c *caller) data(now time.Time, offset, size, received int) Verdict {
	p := c.packet
	p.Ack, p.Token = true, c.token
	p.Seq, p.Acked, p.Size = c.packet.Seq+1+uint32(offset), 5000+uint32(received), size
	return c.lb.Handle(now, &p)
}

// runTicks calls Tick every 100 ms in a span of time.
func runTicks(lb *Balancer, from, to time.Time) {
	for t := from; t.Before(to); t = t.Add(100 * time.Millisecond) {
		lb.Tick(t)
	}
}

func assertForwarded(t *testing.T, v Verdict) {
	t.Helper()
	assert.Equal(t, v.Action, Forward, "%v", v.Reason)
}

func assertRefused(t *testing.T, v Verdict, reason wire.Reason) {
	t.Helper()
	assert.Equal(t, v.Action, Refuse)
	assert.Equal(t, v.Reason, reason)
}

func assertDropped(t *testing.T, v Verdict, reason wire.Reason) {
	t.Helper()
	assert.Equal(t, v.Action, Drop)
	assert.Equal(t, v.Reason, reason)
}

// Guards against flows that break when another instance gets their packets or
// the settings change.
func TestTokenOutlivesInstancesAndSettings(t *testing.T) {
	a, b := newBalancer(serverRecord(1, "a"), serverRecord(2, "a")), newBalancer(serverRecord(2, "a"), serverRecord(1, "a"), serverRecord(3, "a"))
	c := newCaller(a, 1, serviceAddr)
	v := c.open(startTime, 0)
	assertForwarded(t, v)
	c.lb = b
	b.ApplySettings(testSettings(2, serviceAddr))
	w := c.data(startTime.Add(time.Millisecond), 0, 100, 0)
	assertForwarded(t, w)
	assert.Equal(t, w.To.Server, v.To.Server)
}

// Guards against packets that are forwarded to the wrong server because the
// first tokens of two servers are the same.
func TestCollidingTokens(t *testing.T) {
	one, two := serverRecord(1, "a"), serverRecord(2, "a")
	one.Value.ID, two.Value.ID = 5, 5<<32 // fold to the same 32 bits
	assert.Equal(t, tokens(5)[0], tokens(5 << 32)[0])
	lb := newBalancer(one)
	first := newCaller(lb, 1, serviceAddr)
	assertForwarded(t, first.open(startTime, 0))
	added := startTime.Add(confirmationLag)
	lb.ApplyServers(added, []Change[Server]{two}, false)
	later := added.Add(2 * time.Second)
	runTicks(lb, startTime, later)
	got := map[ServerID]uint32{}
	for port := range uint16(50) {
		c := newCaller(lb, 100+port, serviceAddr)
		v := c.open(later, 0)
		assertForwarded(t, v)
		got[v.To.Server] = v.To.Token
		assert.Equal(t, c.data(later, 0, 1, 0).To.Server, v.To.Server)
	}
	assert.Equal(t, len(got), 2)
	assert.Assert(t, got[5] != got[5<<32])
	assert.Equal(t, first.data(later, 0, 1, 0).To.Server, ServerID(5))
}

// Guards against resets of flows whose server another instance learned of
// earlier, and against callers that wait for a server that no longer exists.
func TestUnknownToken(t *testing.T) {
	lb := newBalancer(serverRecord(1, "a"))
	c := newCaller(lb, 1, serviceAddr)
	c.token = 77
	assertDropped(t, c.data(startTime, 0, 1, 0), wire.ReasonUnknownFlow)
	runTicks(lb, startTime, startTime.Add(2900*time.Millisecond))
	lb.SetConfirmed(startTime.Add(2900 * time.Millisecond))
	assertDropped(t, c.data(startTime.Add(2900*time.Millisecond), 0, 1, 0), wire.ReasonUnknownFlow)
	lb.SetConfirmed(startTime.Add(3 * time.Second))
	assertRefused(t, c.data(startTime.Add(3*time.Second), 0, 1, 0), wire.ReasonUnknownFlow)

	d := newCaller(lb, 2, serviceAddr)
	assertForwarded(t, d.open(startTime.Add(3*time.Second), 0))
	gone := startTime.Add(8 * time.Second)
	lb.ApplyServers(gone, []Change[Server]{{Name: "s1", Rev: 9, Deleted: true}}, false)
	lb.Tick(gone.Add(lb.Limits.RemovalGrace))
	assertRefused(t, d.data(gone.Add(lb.Limits.RemovalGrace), 0, 1, 0), wire.ReasonServerGone)
}

// Guards against new flows to servers that should get none, and against the
// loss of packets of their open flows.
func TestNoNewFlows(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(lb *Balancer)
	}{
		{"leaving", func(lb *Balancer) {
			r := serverRecord(1, "a")
			r.Rev, r.Value.Leaving = 2, true
			lb.ApplyServers(startTime, []Change[Server]{r}, false)
		}},
		{"domain excluded", func(lb *Balancer) { lb.ApplyDomains(startTime, []Change[ExcludedDomain]{{Name: "a"}}, false) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			lb := newBalancer(serverRecord(1, "a"))
			c := newCaller(lb, 1, serviceAddr)
			assertForwarded(t, c.open(startTime, 0))
			tc.change(lb)
			assertRefused(t, newCaller(lb, 2, serviceAddr).open(startTime, 0), wire.ReasonNoServer)
			assertForwarded(t, c.data(startTime, 0, 10, 0))
		})
	}
}

// Guards against older settings that replace newer ones, and against routes
// that remain in use after they were removed from the settings.
func TestSettings(t *testing.T) {
	lb := newBalancer(serverRecord(1, "a"))
	c := newCaller(lb, 1, nonRepeatableAddr)
	assertForwarded(t, c.open(startTime, 0))
	lb.ApplySettings(testSettings(3, serviceAddr))
	assertRefused(t, newCaller(lb, 2, nonRepeatableAddr).open(startTime, 0), wire.ReasonUnknownService)
	assertRefused(t, c.data(startTime, 0, 1, 0), wire.ReasonUnknownService)
	lb.ApplySettings(testSettings(2, serviceAddr, nonRepeatableAddr))
	assertRefused(t, newCaller(lb, 3, nonRepeatableAddr).open(startTime, 0), wire.ReasonUnknownService)
}

// Guards against an instance that handles openings before it knows all
// servers: it refused flows of servers whose records it had not read yet.
func TestNotReady(t *testing.T) {
	lb := &Balancer{Domain: "a", Seed: 1}
	lb.Start(startTime)
	lb.ApplySettings(testSettings(1, serviceAddr))
	assert.Assert(t, !lb.Ready())
	assertDropped(t, newCaller(lb, 1, serviceAddr).open(startTime, 0), wire.ReasonNoSettings)
}

// Guards against tables that grow without bound under a flood of packets, and
// against allocations for each packet of an open flow.
func TestFlood(t *testing.T) {
	lb := newBalancer(serverRecord(1, "a"))
	lb.Limits.MaxFlows = 1000
	lb.flows.start(lb.Limits.MaxFlows)
	c := newCaller(lb, 1, serviceAddr)
	assertForwarded(t, c.open(startTime, 0))
	for i := range 20_000 {
		x := newCaller(lb, uint16(i), serviceAddr)
		x.packet.Caller = netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 65, byte(i >> 8), byte(i)}), 9)
		x.open(startTime, 0)
		x.token = uint32(i) * 7919
		x.data(startTime, 0, 5, 0)
	}
	assert.Assert(t, len(lb.flows.entries) <= 1000, "%d flows", len(lb.flows.entries))
	assert.Assert(t, len(lb.pendingOpenings) <= 1000, "%d pending openings", len(lb.pendingOpenings))
	assert.Assert(t, len(lb.unknownTokens) <= maxUnknownTokens)
	assertForwarded(t, c.data(startTime, 0, 10, 0))
	p := c.packet
	p.Ack, p.Token, p.Size = true, c.token, 10
	n := testing.AllocsPerRun(1000, func() { lb.Handle(startTime, &p) })
	assert.Equal(t, n, 0.0)
}

// Guards against a log line for each server when an instance starts: hundreds of
// them take longer than reading the list, and callers wait for it.
func TestFirstListIsOneLine(t *testing.T) {
	var logged bytes.Buffer
	lb := &Balancer{Domain: "a", Seed: 1, Log: slog.New(slog.NewTextHandler(&logged, nil))}
	lb.Start(startTime)
	var records []Change[Server]
	for i := range 600 {
		records = append(records, serverRecord(i+1, "a"))
	}
	records[7].Value.Leaving = true
	lb.ApplyServers(startTime, records, true)
	assert.Equal(t, strings.Count(logged.String(), "\n"), 1, logged.String())
	assert.Assert(t, strings.Contains(logged.String(), `msg="servers listed" servers=600 leaving=1 highestRev=1`), logged.String())
	logged.Reset()
	lb.ApplyServers(startTime, append(records, serverRecord(601, "a")), true)
	assert.Assert(t, strings.Contains(logged.String(), `msg="server added" server=s601`), logged.String())
}

// Guards against servers with equal work that all instances choose in the order
// of their names.
func TestEqualServersInRandomOrder(t *testing.T) {
	first := map[ServerID]bool{}
	for seed := range uint64(20) {
		lb := &Balancer{Domain: "a", Seed: seed}
		lb.Start(startTime)
		lb.ApplySettings(testSettings(1, serviceAddr))
		var records []Change[Server]
		for i := range 10 {
			records = append(records, serverRecord(i+1, "a"))
		}
		lb.ApplyServers(startTime, records, true)
		lb.SetSynced()
		for i, srv := range lb.pool("s").local {
			srv.load.sentWork = float64(-i) // below the virtual work, as after a while without flows
		}
		first[newCaller(lb, 1, serviceAddr).open(startTime, 0).To.Server] = true
	}
	assert.Assert(t, len(first) >= 5, "%v", first)
}

// Guards against a server that gets no flow long after its long flows ended, and
// against long flows that do not count as load.
func TestLongFlowsCountAsWork(t *testing.T) {
	lb := newBalancer(serverRecord(1, "a"), serverRecord(2, "a"))
	c := newCaller(lb, 1, serviceAddr)
	busy := c.open(startTime, 0).To.Server
	c.data(startTime.Add(6*time.Millisecond), 0, 0, 0)
	now := startTime
	for i := range 100 {
		now = now.Add(100 * time.Millisecond)
		lb.Tick(now)
		c.data(now, 10*i, 10, 100*i)
		c.data(now.Add(20*time.Millisecond), 10*i+10, 0, 100*i+100)
	}
	now = now.Add(2 * time.Second)
	runTicks(lb, now.Add(-2*time.Second), now)
	counts := map[ServerID]int{}
	for port := range uint16(40) {
		now = now.Add(100 * time.Millisecond)
		lb.Tick(now)
		other := newCaller(lb, 2+port, serviceAddr)
		id := other.open(now, 0).To.Server
		counts[id]++
		if port == 0 {
			assert.Assert(t, id != busy)
		}
		other.data(now, 0, 10, 0)
		other.data(now.Add(20*time.Millisecond), 10, 0, 100)
	}
	assert.Assert(t, counts[busy] >= 10, "%v", counts)
}
