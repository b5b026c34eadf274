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
	start          = time.UnixMilli(1_700_000_000_000)
	afterColdStart = start.Add(time.Minute)
	instance       = netip.MustParseAddrPort("127.0.0.1:7000")
	callerAddr     = netip.MustParseAddrPort("127.0.0.1:9000")
	serviceAddr    = netip.MustParseAddrPort("127.0.0.1:8000")
)

const mean = 10 * time.Millisecond

func newServer(change func(*server.Config)) *server.Server {
	s := &server.Server{Rand: rand.New(rand.NewPCG(5, 6)), Config: server.Config{
		Service: 1, ID: 2, Generation: 3, Slots: 2, Queue: 1, Connections: 2, Mean: conf.Duration(mean),
		ColdTime: conf.Duration(10 * time.Second), ColdSlots: 1,
	}}
	if change != nil {
		change(&s.Config)
	}
	s.Start(start)
	return s
}

func packet(kind wire.Kind, id byte) *wire.Packet {
	p := &wire.Packet{Caller: callerAddr, Service: serviceAddr, Frame: wire.Frame{
		Kind: kind, ID: wire.RequestID{id}, Attempt: uint32(id) + 7, Flow: uint64(id), Service: 1, Server: 2, Generation: 3,
	}}
	if kind == wire.KindRequest {
		p.Frame.Body = body.Request(0, []byte{id})
	}
	return p
}

func sendRequests(s *server.Server, now time.Time, ids ...byte) []server.Outgoing {
	var outs []server.Outgoing
	for _, id := range ids {
		outs = append(outs, s.Handle(now, instance, packet(wire.KindRequest, id))...)
	}
	return outs
}

func assertRuns(t *testing.T, s *server.Server, want ...int) {
	t.Helper()
	var got []int
	for _, r := range s.Report().Records {
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

// Guards against refusals of requests that ran, and against an unbounded queue.
func TestShed(t *testing.T) {
	s := newServer(nil)
	assert.Equal(t, len(sendRequests(s, afterColdStart, 1, 2, 3)), 0)
	assertRefusal(t, sendRequests(s, afterColdStart, 4), wire.FlagShed, wire.ReasonServerShed)
	assertRuns(t, s, 1, 1)
	assert.Equal(t, len(s.Tick(afterColdStart.Add(mean))), 2)
	assertRuns(t, s, 1, 1, 1)
	s.Drain(true)
	assertRefusal(t, sendRequests(s, afterColdStart, 5), wire.FlagShed|wire.FlagDraining, wire.ReasonServerShed)
	assertRefusal(t, s.Handle(afterColdStart, instance, packet(wire.KindOpen, 1)), wire.FlagShed|wire.FlagDraining, wire.ReasonServerShed)
}

// Guards against a cold server that accepts more requests than its cold-start
// capacity, which would hide that an instance's quota is too high.
func TestColdStart(t *testing.T) {
	s := newServer(func(c *server.Config) { c.ColdMargin = 1 })
	boot := s.Report().Boot
	sendRequests(s, start, 1)
	assertRefusal(t, sendRequests(s, start, 2), wire.FlagShed|wire.FlagCold, wire.ReasonServerShed)
	assert.Equal(t, len(sendRequests(s, start, 3)), 0)
	rep := s.Report()
	assert.Equal(t, rep.FellOver, uint64(1))
	assert.Equal(t, rep.PeakCold, 1)
	assert.Assert(t, rep.Boot != boot)
	assert.Equal(t, len(s.Tick(start.Add(mean))), 0, "a request from before the restart was answered")

	s.GoCold(afterColdStart, s.ColdMargin)
	assert.Equal(t, s.Report().Boot, rep.Boot)
	assert.Equal(t, s.Health(afterColdStart), "cold")
	assert.Equal(t, len(sendRequests(s, afterColdStart, 4, 5, 6)), 1)
	assert.Equal(t, s.Report().FellOver, uint64(2))
}

// Guards against running requests that are past their deadline, cancelled or
// misrouted.
func TestNotRun(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(*wire.Frame)
		count  func(server.Counters) uint64
		outs   int
	}{
		"open frame past its deadline": {func(f *wire.Frame) { f.Kind = wire.KindOpen; f.SetDeadline(afterColdStart.Add(-time.Millisecond)) }, func(c server.Counters) uint64 { return c.Late }, 0},
		"request past its deadline":    {func(f *wire.Frame) { f.SetDeadline(afterColdStart.Add(-time.Millisecond)) }, func(c server.Counters) uint64 { return c.Late }, 0},
		"wrong service":                {func(f *wire.Frame) { f.Service++ }, func(c server.Counters) uint64 { return c.Misrouted }, 1},
		"wrong server":                 {func(f *wire.Frame) { f.Server++ }, func(c server.Counters) uint64 { return c.Misrouted }, 1},
		"wrong generation":             {func(f *wire.Frame) { f.Generation++ }, func(c server.Counters) uint64 { return c.Misrouted }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(nil)
			p := packet(wire.KindRequest, 1)
			tc.change(&p.Frame)
			assert.Equal(t, len(s.Handle(afterColdStart, instance, p)), tc.outs)
			assert.Equal(t, tc.count(s.Report().Counters), uint64(1))
			assert.Equal(t, s.Report().Flows, 0)
			assertRuns(t, s)
		})
	}
	t.Run("deadline passes in the queue", func(t *testing.T) {
		s := newServer(nil)
		sendRequests(s, afterColdStart, 1, 2)
		p := packet(wire.KindRequest, 3)
		p.Frame.SetDeadline(afterColdStart.Add(mean / 2))
		s.Handle(afterColdStart, instance, p)
		s.Tick(afterColdStart.Add(mean))
		assertRuns(t, s, 1, 1)
	})
	t.Run("cancelled in the queue", func(t *testing.T) {
		s := newServer(nil)
		sendRequests(s, afterColdStart, 1, 2, 3)
		assertRefusal(t, s.Handle(afterColdStart, instance, packet(wire.KindCancel, 3)), wire.FlagShed, wire.ReasonCancelled)
		s.Handle(afterColdStart, instance, packet(wire.KindCancel, 1))
		assert.Equal(t, len(s.Tick(afterColdStart.Add(mean))), 1, "a cancelled request was answered")
		assertRuns(t, s, 1, 1)
	})
}

// Guards against answers that lose parts or name another request or server.
func TestAnswer(t *testing.T) {
	s := newServer(nil)
	p := packet(wire.KindRequest, 9)
	p.Frame.Body = body.Request(2*wire.MaxBody+1, nil)
	s.Handle(afterColdStart, instance, p)
	outs := s.Tick(afterColdStart.Add(mean))
	assert.Equal(t, len(outs), 3)
	var got []byte
	for i, o := range outs {
		f := &o.Packet.Frame
		assert.Equal(t, o.To, instance)
		assert.Equal(t, f.Part, uint16(i))
		assert.DeepEqual(t, []any{f.ID, f.Attempt, f.Flow, f.Service, f.Server, f.Generation, f.Boot},
			[]any{p.Frame.ID, p.Frame.Attempt, p.Frame.Flow, s.Service, s.ID, s.Generation, s.Report().Boot})
		got = append(got, f.Body...)
		_, err := wire.Encode(&o.Packet)
		assert.NilError(t, err)
	}
	assert.Assert(t, bytes.Equal(got, body.Answer(p.Frame.ID, 2*wire.MaxBody+1)))
}

// Guards against a server that echoes data of a flow that was never opened, and
// against a push feed that goes to another instance than the one that forwarded
// the last packet of the flow.
func TestFlow(t *testing.T) {
	s := newServer(func(c *server.Config) { c.Push = conf.Duration(time.Second) })
	kindOf := func(outs []server.Outgoing) wire.Kind {
		t.Helper()
		assert.Equal(t, len(outs), 1)
		return outs[0].Packet.Frame.Kind
	}
	assert.Equal(t, kindOf(s.Handle(afterColdStart, instance, packet(wire.KindData, 1))), wire.KindClosed)
	assert.Equal(t, s.Report().UnknownFlow, uint64(1))
	for range 2 {
		assert.Equal(t, kindOf(s.Handle(afterColdStart, instance, packet(wire.KindOpen, 1))), wire.KindOpened)
	}
	assert.Equal(t, s.Report().Flows, 1)
	other := netip.MustParseAddrPort("127.0.0.1:7001")
	assert.Equal(t, kindOf(s.Handle(afterColdStart, other, packet(wire.KindData, 1))), wire.KindData)
	assert.Equal(t, len(s.Tick(afterColdStart.Add(time.Second/2))), 0)
	outs := s.Tick(afterColdStart.Add(time.Second))
	assert.Equal(t, kindOf(outs), wire.KindData)
	assert.Equal(t, outs[0].To, other)
	s.Handle(afterColdStart, instance, packet(wire.KindOpen, 2))
	assertRefusal(t, s.Handle(afterColdStart, instance, packet(wire.KindOpen, 3)), wire.FlagShed, wire.ReasonServerShed)
	s.Handle(afterColdStart, instance, packet(wire.KindClose, 1))
	assert.Equal(t, kindOf(s.Handle(afterColdStart, instance, packet(wire.KindData, 1))), wire.KindClosed)
}

// Guards against probe answers with another server's identity, and against a
// true load report although a lag or wrong values are set.
func TestProbeAndMisreport(t *testing.T) {
	s := newServer(nil)
	probe := func(now time.Time) *wire.Frame {
		outs := s.Handle(now, instance, packet(wire.KindProbe, 1))
		assert.Equal(t, len(outs), 1)
		assert.Equal(t, outs[0].Packet.Frame.Kind, wire.KindProbed)
		assert.Equal(t, outs[0].Packet.Frame.Server, s.ID)
		return &outs[0].Packet.Frame
	}
	s.Misreport.Lag = conf.Duration(time.Second)
	assert.Equal(t, probe(afterColdStart).Load.InFlight, uint16(0))
	sendRequests(s, afterColdStart, 1, 2)
	assert.Equal(t, probe(afterColdStart).Load.InFlight, uint16(0))
	assert.Equal(t, probe(afterColdStart.Add(time.Second)).Load.InFlight, uint16(2))
	wrong := uint16(77)
	s.Misreport = server.Misreport{InFlight: &wrong, Health: "ok"}
	assert.Equal(t, probe(afterColdStart).Load.InFlight, wrong)
	s.GoCold(afterColdStart, s.ColdMargin)
	assert.Equal(t, s.Health(afterColdStart), "ok")
}

// Guards against a cold start without a restart that makes the server fall over
// at the first excess request: instances detect such a cold start only when the
// server sheds a request. Also guards against a margin that survives a restart.
func TestUnannouncedColdStart(t *testing.T) {
	s := newServer(nil)
	p := &server.Pool{Clock: func() time.Time { return afterColdStart }, Servers: []*server.Server{s}}
	assert.NilError(t, p.Apply(server.Command{Server: s.ID, Do: "cold", Margin: 2}))
	sendRequests(s, afterColdStart, 1)
	for id := range byte(2) {
		assertRefusal(t, sendRequests(s, afterColdStart, 2+id), wire.FlagShed|wire.FlagCold, wire.ReasonServerShed)
	}
	assert.Equal(t, s.Report().FellOver, uint64(0))
	sendRequests(s, afterColdStart, 4)
	assert.Equal(t, s.Report().FellOver, uint64(1))
	assert.Equal(t, s.Report().ColdExcess, uint64(3))
	s.Start(afterColdStart)
	sendRequests(s, afterColdStart, 5, 6)
	assert.Equal(t, s.Report().FellOver, uint64(2))
}

// Guards against a moved server that still accepts requests of its former
// service.
func TestMove(t *testing.T) {
	s := newServer(nil)
	p := &server.Pool{Clock: func() time.Time { return afterColdStart }, Servers: []*server.Server{s}}
	assert.ErrorContains(t, p.Apply(server.Command{Server: s.ID, Do: "move"}), "generation")
	boot := s.Report().Boot
	assert.NilError(t, p.Apply(server.Command{Server: s.ID, Do: "move", Service: 99, Generation: 2}))
	rep := s.Report()
	assert.Equal(t, rep.Service, conf.ServiceID(99))
	assert.Assert(t, rep.Boot != boot)
	sendRequests(s, afterColdStart, 1)
	assert.Equal(t, s.Report().Misrouted, uint64(1))
}

// Guards against an abandoned flow that keeps a leaving server from ever having
// no flows, and against removing a flow that is in use.
func TestIdleFlow(t *testing.T) {
	s := newServer(func(c *server.Config) { c.Idle = conf.Duration(time.Second) })
	s.Handle(afterColdStart, instance, packet(wire.KindOpen, 1))
	s.Handle(afterColdStart, instance, packet(wire.KindOpen, 2))
	s.Handle(afterColdStart.Add(time.Second), instance, packet(wire.KindData, 2))
	s.Tick(afterColdStart.Add(1500 * time.Millisecond))
	assert.Equal(t, s.Report().Flows, 1)
}
