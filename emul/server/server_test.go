package server_test

import (
	"bytes"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/emul/body"
	"ebonypaddle/emul/server"
	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wire"
)

var (
	start  = time.UnixMilli(1_700_000_000_000)
	warm   = start.Add(time.Minute)
	via    = netip.MustParseAddrPort("127.0.0.1:7000")
	caller = netip.MustParseAddrPort("127.0.0.1:9000")
	svc    = netip.MustParseAddrPort("127.0.0.1:8000")
)

const mean = 10 * time.Millisecond

func newHost(change func(*server.Config)) *server.Server {
	h := &server.Server{Rand: rand.New(rand.NewPCG(5, 6)), Config: server.Config{
		Service: 1, ID: 2, Generation: 3, Slots: 2, Queue: 1, Connections: 2, Mean: conf.Duration(mean),
		ColdTime: conf.Duration(10 * time.Second), ColdSlots: 1,
	}}
	if change != nil {
		change(&h.Config)
	}
	h.Start(start)
	return h
}

func packet(kind wire.Kind, id byte) *wire.Packet {
	p := &wire.Packet{Caller: caller, Service: svc, Frame: wire.Frame{
		Kind: kind, ID: wire.RequestID{id}, Attempt: uint32(id) + 7, Flow: uint64(id), Service: 1, Server: 2, Generation: 3,
	}}
	if kind == wire.KindRequest {
		p.Frame.Body = body.Request(0, []byte{id})
	}
	return p
}

func offer(h *server.Server, now time.Time, ids ...byte) []server.Outgoing {
	var outs []server.Outgoing
	for _, id := range ids {
		outs = append(outs, h.Handle(now, via, packet(wire.KindRequest, id))...)
	}
	return outs
}

func assertRuns(t *testing.T, h *server.Server, want ...int) {
	t.Helper()
	var got []int
	for _, r := range h.Report().Records {
		got = append(got, r.Runs)
	}
	assert.DeepEqual(t, got, want)
}

func assertRefusal(t *testing.T, outs []server.Outgoing, flags uint8, reason wire.Reason) {
	t.Helper()
	assert.Equal(t, len(outs), 1)
	f := &outs[0].Packet.Frame
	assert.Equal(t, f.Kind, wire.KindRefusal)
	assert.Equal(t, f.Flags, flags)
	assert.Equal(t, f.Reason, reason)
	assert.Equal(t, f.Outcome, wire.OutcomeNotRun)
}

// Guards against refusals of work that ran, and against a queue without bound.
func TestShed(t *testing.T) {
	h := newHost(nil)
	assert.Equal(t, len(offer(h, warm, 1, 2, 3)), 0)
	assertRefusal(t, offer(h, warm, 4), wire.FlagShed, wire.ReasonServerShed)
	assertRuns(t, h, 1, 1)
	assert.Equal(t, len(h.Tick(warm.Add(mean))), 2)
	assertRuns(t, h, 1, 1, 1)
	h.Drain(true)
	assertRefusal(t, offer(h, warm, 5), wire.FlagShed|wire.FlagDraining, wire.ReasonServerShed)
	assertRefusal(t, h.Handle(warm, via, packet(wire.KindOpen, 1)), wire.FlagShed|wire.FlagDraining, wire.ReasonServerShed)
}

// Guards against a cold server that bears more than it should, so that a
// quota that is too high goes unseen.
func TestColdStart(t *testing.T) {
	h := newHost(func(c *server.Config) { c.ColdMargin = 1 })
	boot := h.Report().Boot
	offer(h, start, 1)
	assertRefusal(t, offer(h, start, 2), wire.FlagShed|wire.FlagCold, wire.ReasonServerShed)
	assert.Equal(t, len(offer(h, start, 3)), 0)
	rep := h.Report()
	assert.Equal(t, rep.FellOver, uint64(1))
	assert.Equal(t, rep.PeakCold, 1)
	assert.Assert(t, rep.Boot != boot)
	assert.Equal(t, len(h.Tick(start.Add(mean))), 0, "a lost request is answered")

	h.GoCold(warm, h.ColdMargin)
	assert.Equal(t, h.Report().Boot, rep.Boot)
	assert.Equal(t, h.Health(warm), "cold")
	assert.Equal(t, len(offer(h, warm, 4, 5, 6)), 1)
	assert.Equal(t, h.Report().FellOver, uint64(2))
}

// Guards against late, cancelled or misrouted requests that run.
func TestNotRun(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(*wire.Frame)
		count  func(server.Counters) uint64
		outs   int
	}{
		"late open":        {func(f *wire.Frame) { f.Kind = wire.KindOpen; f.SetDeadline(warm.Add(-time.Millisecond)) }, func(c server.Counters) uint64 { return c.Late }, 0},
		"late":             {func(f *wire.Frame) { f.SetDeadline(warm.Add(-time.Millisecond)) }, func(c server.Counters) uint64 { return c.Late }, 0},
		"wrong service":    {func(f *wire.Frame) { f.Service++ }, func(c server.Counters) uint64 { return c.Misrouted }, 1},
		"wrong server":     {func(f *wire.Frame) { f.Server++ }, func(c server.Counters) uint64 { return c.Misrouted }, 1},
		"wrong generation": {func(f *wire.Frame) { f.Generation++ }, func(c server.Counters) uint64 { return c.Misrouted }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHost(nil)
			p := packet(wire.KindRequest, 1)
			tc.change(&p.Frame)
			assert.Equal(t, len(h.Handle(warm, via, p)), tc.outs)
			assert.Equal(t, tc.count(h.Report().Counters), uint64(1))
			assert.Equal(t, h.Report().Flows, 0)
			assertRuns(t, h)
		})
	}
	t.Run("late in the queue", func(t *testing.T) {
		h := newHost(nil)
		offer(h, warm, 1, 2)
		p := packet(wire.KindRequest, 3)
		p.Frame.SetDeadline(warm.Add(mean / 2))
		h.Handle(warm, via, p)
		h.Tick(warm.Add(mean))
		assertRuns(t, h, 1, 1)
	})
	t.Run("cancelled in the queue", func(t *testing.T) {
		h := newHost(nil)
		offer(h, warm, 1, 2, 3)
		assertRefusal(t, h.Handle(warm, via, packet(wire.KindCancel, 3)), wire.FlagShed, wire.ReasonCancelled)
		h.Handle(warm, via, packet(wire.KindCancel, 1))
		assert.Equal(t, len(h.Tick(warm.Add(mean))), 1, "a cancelled request is answered")
		assertRuns(t, h, 1, 1)
	})
}

// Guards against answers that lose parts or name another request or server.
func TestAnswer(t *testing.T) {
	h := newHost(nil)
	p := packet(wire.KindRequest, 9)
	p.Frame.Body = body.Request(2*wire.MaxBody+1, nil)
	h.Handle(warm, via, p)
	outs := h.Tick(warm.Add(mean))
	assert.Equal(t, len(outs), 3)
	var got []byte
	for i, o := range outs {
		f := &o.Packet.Frame
		assert.Equal(t, o.To, via)
		assert.Equal(t, f.Part, uint16(i))
		assert.DeepEqual(t, []any{f.ID, f.Attempt, f.Flow, f.Service, f.Server, f.Generation, f.Boot},
			[]any{p.Frame.ID, p.Frame.Attempt, p.Frame.Flow, h.Service, h.ID, h.Generation, h.Report().Boot})
		got = append(got, f.Body...)
		_, err := wire.Encode(&o.Packet)
		assert.NilError(t, err)
	}
	assert.Assert(t, bytes.Equal(got, body.Answer(p.Frame.ID, 2*wire.MaxBody+1)))
}

// Guards against flows that a server echoes without having opened them, and
// against a feed that goes to an instance other than the last.
func TestFlow(t *testing.T) {
	h := newHost(func(c *server.Config) { c.Push = conf.Duration(time.Second) })
	kindOf := func(outs []server.Outgoing) wire.Kind {
		t.Helper()
		assert.Equal(t, len(outs), 1)
		return outs[0].Packet.Frame.Kind
	}
	assert.Equal(t, kindOf(h.Handle(warm, via, packet(wire.KindData, 1))), wire.KindClosed)
	assert.Equal(t, h.Report().UnknownFlow, uint64(1))
	for range 2 {
		assert.Equal(t, kindOf(h.Handle(warm, via, packet(wire.KindOpen, 1))), wire.KindOpened)
	}
	assert.Equal(t, h.Report().Flows, 1)
	other := netip.MustParseAddrPort("127.0.0.1:7001")
	assert.Equal(t, kindOf(h.Handle(warm, other, packet(wire.KindData, 1))), wire.KindData)
	assert.Equal(t, len(h.Tick(warm.Add(time.Second/2))), 0)
	outs := h.Tick(warm.Add(time.Second))
	assert.Equal(t, kindOf(outs), wire.KindData)
	assert.Equal(t, outs[0].To, other)
	h.Handle(warm, via, packet(wire.KindOpen, 2))
	assertRefusal(t, h.Handle(warm, via, packet(wire.KindOpen, 3)), wire.FlagShed, wire.ReasonServerShed)
	h.Handle(warm, via, packet(wire.KindClose, 1))
	assert.Equal(t, kindOf(h.Handle(warm, via, packet(wire.KindData, 1))), wire.KindClosed)
}

// Guards against probes that confirm another identity, and against a load
// report that is true although it should lag or mislead.
func TestProbeAndLie(t *testing.T) {
	h := newHost(nil)
	probe := func(now time.Time) *wire.Frame {
		outs := h.Handle(now, via, packet(wire.KindProbe, 1))
		assert.Equal(t, len(outs), 1)
		assert.Equal(t, outs[0].Packet.Frame.Kind, wire.KindProbed)
		assert.Equal(t, outs[0].Packet.Frame.Server, h.ID)
		return &outs[0].Packet.Frame
	}
	h.Misreport.Lag = conf.Duration(time.Second)
	assert.Equal(t, probe(warm).Load.InFlight, uint16(0))
	offer(h, warm, 1, 2)
	assert.Equal(t, probe(warm).Load.InFlight, uint16(0))
	assert.Equal(t, probe(warm.Add(time.Second)).Load.InFlight, uint16(2))
	lie := uint16(77)
	h.Misreport = server.Misreport{InFlight: &lie, Health: "ok"}
	assert.Equal(t, probe(warm).Load.InFlight, lie)
	h.GoCold(warm, h.ColdMargin)
	assert.Equal(t, h.Health(warm), "ok")
}

// Guards against a silent fall that the server cannot survive, as instances
// learn of it by what the server sheds, and against one that lasts.
func TestSilentFallMargin(t *testing.T) {
	h := newHost(nil)
	p := &server.Pool{Clock: func() time.Time { return warm }, Servers: []*server.Server{h}}
	assert.NilError(t, p.Apply(server.Command{Server: h.ID, Do: "cold", Margin: 2}))
	offer(h, warm, 1)
	for id := range byte(2) {
		assertRefusal(t, offer(h, warm, 2+id), wire.FlagShed|wire.FlagCold, wire.ReasonServerShed)
	}
	assert.Equal(t, h.Report().FellOver, uint64(0))
	offer(h, warm, 4)
	assert.Equal(t, h.Report().FellOver, uint64(1))
	assert.Equal(t, h.Report().ColdExcess, uint64(3))
	h.Start(warm)
	offer(h, warm, 5, 6)
	assert.Equal(t, h.Report().FellOver, uint64(2))
}

// Guards against a moved server that still answers for its former service.
func TestMove(t *testing.T) {
	h := newHost(nil)
	p := &server.Pool{Clock: func() time.Time { return warm }, Servers: []*server.Server{h}}
	assert.ErrorContains(t, p.Apply(server.Command{Server: h.ID, Do: "move"}), "generation")
	boot := h.Report().Boot
	assert.NilError(t, p.Apply(server.Command{Server: h.ID, Do: "move", Service: 99, Generation: 2}))
	rep := h.Report()
	assert.Equal(t, rep.Service, conf.ServiceID(99))
	assert.Assert(t, rep.Boot != boot)
	offer(h, warm, 1)
	assert.Equal(t, h.Report().Misrouted, uint64(1))
}

// Guards against a flow that its caller left behind and that keeps a leaving
// server from ever being empty, and against a live flow that is forgotten.
func TestIdleFlow(t *testing.T) {
	h := newHost(func(c *server.Config) { c.Idle = conf.Duration(time.Second) })
	h.Handle(warm, via, packet(wire.KindOpen, 1))
	h.Handle(warm, via, packet(wire.KindOpen, 2))
	h.Handle(warm.Add(time.Second), via, packet(wire.KindData, 2))
	h.Tick(warm.Add(1500 * time.Millisecond))
	assert.Equal(t, h.Report().Flows, 1)
}
