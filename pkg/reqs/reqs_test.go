package reqs_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/reqs"
	"ebonypaddle/pkg/wire"
)

// harness holds the tables of two instances. Instance 0 owns the tickets, and
// instance 1 relays to it. out collects what both send until takeSends returns it.
type harness struct {
	t       testing.TB
	now     time.Time
	tables  [2]*reqs.Table
	placers [2]*fakePlacer
	out     wire.Outbox
}

func newHarness(t testing.TB) *harness {
	h := &harness{t: t, now: startTime}
	for i := range h.tables {
		h.tables[i], h.placers[i] = newTable(i, 1)
	}
	return h
}

// takeSends returns everything that was sent since the last call.
func (h *harness) takeSends() []wire.Send {
	s := append([]wire.Send(nil), h.out.Sends...)
	h.out.Reset()
	return s
}

// onlySend checks that there is a single send, to the given target, and returns
// it.
func (h *harness) onlySend(to wire.Target) *wire.Send {
	h.t.Helper()
	s := h.takeSends()
	assert.Equal(h.t, len(s), 1, "%+v", s)
	assert.Equal(h.t, s[0].Target, to)
	return &s[0]
}

// expectRefusal checks that the only send is a refusal with the given outcome and
// reason, and returns it.
func (h *harness) expectRefusal(o wire.Outcome, reason wire.Reason) *wire.Frame {
	h.t.Helper()
	f := &h.onlySend(wire.ToCaller).Packet.Frame
	assert.Equal(h.t, fmt.Sprint(f.Kind, f.Outcome, f.Reason), fmt.Sprint(wire.KindRefusal, o, reason))
	return f
}

// request passes a request packet to instance i.
func (h *harness) request(i int, p wire.Packet) {
	h.tables[i].HandleRequest(h.now, service, &p, &h.out)
}

// tick advances the clock by d and runs the timers of both instances.
func (h *harness) tick(d time.Duration) {
	h.now = h.now.Add(d)
	for _, tb := range h.tables {
		tb.Tick(h.now, &h.out)
	}
}

// requestPacket returns a request of a caller with a timeout of 1 s.
func requestPacket(id byte, flags uint8) wire.Packet {
	return wire.Packet{Caller: addr(3, 0), Service: serviceAddr, Via: via, Frame: wire.Frame{
		Kind: wire.KindRequest, ID: wire.RequestID{id}, Flags: flags, Timeout: 1000, Body: []byte("x"),
	}}
}

// requestWithTicket returns a request that may run at most once, with a ticket of
// instance 0.
func (h *harness) requestWithTicket() wire.Packet {
	p := requestPacket(1, wire.FlagOnce)
	h.request(0, p)
	p.Frame.Token = h.expectRefusal(wire.OutcomeNotRun, wire.ReasonTicketNeeded).Token
	return p
}

// answer passes one part of the server's answer to s, which instance 0 sent.
// change may modify the frame.
func (h *harness) answer(s *wire.Send, part, parts uint16, change func(*wire.Frame)) {
	p := s.Packet
	p.Frame.Kind, p.Frame.Part, p.Frame.Parts, p.Frame.Boot = wire.KindAnswer, part, parts, 1
	p.Frame.Body = fmt.Appendf(nil, "part %d", part)
	if change != nil {
		change(&p.Frame)
	}
	h.tables[0].HandleAnswer(h.now, &p, &h.out)
}

// shed turns an answer into a server's refusal to run the request.
func shed(f *wire.Frame) { f.Kind, f.Flags = wire.KindRefusal, wire.FlagShed }

// Guards against reporting notRun for a request that its owner may have run
// before it died or restarted. The outcome must be unknown.
func TestOwnerDies(t *testing.T) {
	t.Run("relay without acknowledgement", func(t *testing.T) {
		h := newHarness(t)
		h.request(1, h.requestWithTicket())
		for range 2 {
			assert.Equal(t, h.onlySend(wire.ToPeer).To, h.tables[0].Self)
			h.tick(249 * time.Millisecond)
			assert.Equal(t, len(h.takeSends()), 0)
			h.tick(time.Millisecond)
		}
		h.expectRefusal(wire.OutcomeUnknown, wire.ReasonOwnerGone)
	})
	t.Run("owner restarted", func(t *testing.T) {
		h := newHarness(t)
		p := h.requestWithTicket()
		h.tables[0], _ = newTable(0, 2)
		h.request(0, p)
		h.expectRefusal(wire.OutcomeUnknown, wire.ReasonOwnerGone)
	})
}

// Guards against reporting notRun after the owner paused between its decision and
// its send. The server may run the request until the caller's timeout, so the
// outcome is unknown, and a later answer still changes it to done.
func TestOwnerPaused(t *testing.T) {
	h := newHarness(t)
	p := h.requestWithTicket()
	h.request(0, p)
	s := h.onlySend(wire.ToServer)
	assert.Equal(t, s.Packet.Frame.DeadlineTime(), startTime.Add(time.Second))
	h.tick(time.Second)
	got := h.takeSends()
	assert.Equal(t, got[0].Packet.Frame.Kind, wire.KindCancel)
	assert.Equal(t, got[1].Packet.Frame.Outcome, wire.OutcomeUnknown)
	h.answer(s, 0, 1, nil)
	assert.Equal(t, len(h.takeSends()), 0)
	h.request(0, p)
	assert.Equal(t, h.onlySend(wire.ToCaller).Packet.Frame.Outcome, wire.OutcomeDone)
	assert.DeepEqual(t, h.placers[0].results, []reqs.Result{reqs.ResultTimedOut})
}

// Guards against frames that a paused instance delivers late to a server of
// another failure domain or to a cold server. The frame's deadline must not be
// later than that of the placement.
func TestPlacementLimit(t *testing.T) {
	h := newHarness(t)
	h.placers[0].deadline = startTime.Add(100 * time.Millisecond)
	h.request(0, requestPacket(1, 0))
	assert.Equal(t, h.onlySend(wire.ToServer).Packet.Frame.DeadlineTime(), h.placers[0].deadline)
	h.placers[0].deadline = startTime
	h.request(0, requestPacket(2, 0))
	h.expectRefusal(wire.OutcomeUnknown, wire.ReasonDeadline)
	assert.Equal(t, h.placers[0].unfinished, 1)
}

// Guards against a request that may run at most once and stays without an outcome
// until the caller's deadline, although the server has already stopped it at the
// placement's deadline. An answer that arrives later still replaces the outcome.
func TestPlacementLimitEndsOnce(t *testing.T) {
	h := newHarness(t)
	p := h.requestWithTicket()
	h.placers[0].deadline = startTime.Add(100 * time.Millisecond)
	h.request(0, p)
	s := h.onlySend(wire.ToServer)
	h.tick(100*time.Millisecond + reqs.AnswerGrace - time.Millisecond)
	assert.Equal(t, len(h.takeSends()), 0)
	h.tick(time.Millisecond)
	got := h.takeSends()
	assert.Equal(t, len(got), 2, "%+v", got)
	assert.Equal(t, got[1].Packet.Frame.Outcome, wire.OutcomeUnknown)
	assert.Equal(t, got[1].Packet.Frame.Reason, wire.ReasonTimeout)
	h.answer(s, 0, 1, nil)
	h.takeSends()
	h.request(0, p)
	assert.Equal(t, h.onlySend(wire.ToCaller).Packet.Frame.Outcome, wire.OutcomeDone)
}

// Guards against a repeatable request that waits for a dead or paused server. It
// is retried on another server, and late frames of the first one are dropped.
func TestServerUnresponsive(t *testing.T) {
	h := newHarness(t)
	h.request(0, requestPacket(1, 0))
	first := h.onlySend(wire.ToServer)
	h.request(0, requestPacket(1, 0))
	assert.Equal(t, len(h.takeSends()), 0, "a retransmission was sent to a server while the request is in progress")
	h.tick(timeouts.Attempt)
	second := &h.takeSends()[1]
	assert.Assert(t, second.Packet.Frame.Server != first.Packet.Frame.Server)
	h.answer(first, 0, 1, shed)
	h.answer(first, 0, 1, nil)
	assert.Equal(t, len(h.takeSends()), 0)
	assert.Equal(t, h.tables[0].Stats.Dropped.Get(wire.ReasonLateAnswer), uint64(2))
	h.answer(second, 0, 1, nil)
	assert.Equal(t, h.onlySend(wire.ToCaller).Packet.Frame.Outcome, wire.OutcomeDone)
	assert.Equal(t, h.tables[0].Stats.Retried.Get(wire.ReasonRetryTimeout), uint64(1))
}

// Guards against frames of a faulty server: an answer with another server,
// generation or boot must be dropped, and a refusal after a part of an answer
// must not be reported as notRun.
func TestInconsistentAnswer(t *testing.T) {
	changes := map[string]func(*wire.Frame){
		"server":     func(f *wire.Frame) { f.Server++ },
		"generation": func(f *wire.Frame) { f.Generation++ },
		"attempt":    func(f *wire.Frame) { f.Attempt++ },
		"boot":       func(f *wire.Frame) { f.Boot++ },
		"parts":      func(f *wire.Frame) { f.Parts++ },
		"too large":  func(f *wire.Frame) { f.Body = make([]byte, wire.MaxBody+1) },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.request(0, h.requestWithTicket())
			s := h.onlySend(wire.ToServer)
			h.answer(s, 0, 2, nil)
			assert.Equal(t, h.onlySend(wire.ToCaller).Packet.Frame.Outcome, wire.OutcomeNone)
			h.answer(s, 1, 2, change)
			assert.Equal(t, len(h.takeSends()), 0)
			h.answer(s, 1, 2, shed)
			h.expectRefusal(wire.OutcomeUnknown, wire.ReasonServerShed)
		})
	}
}

// Guards against a retransmission that gets an incomplete answer, or none because
// the caller's address has changed.
func TestRetransmissionGetsStoredAnswer(t *testing.T) {
	h := newHarness(t)
	p := h.requestWithTicket()
	h.request(0, p)
	s := h.onlySend(wire.ToServer)
	h.answer(s, 1, 2, nil)
	h.answer(s, 0, 2, nil)
	assert.Equal(t, len(h.takeSends()), 2)
	p.Caller = addr(3, 9)
	h.request(0, p)
	got := h.takeSends()
	assert.Equal(t, len(got), 2)
	for i, s := range got {
		assert.Equal(t, string(s.Packet.Frame.Body), fmt.Sprintf("part %d", i))
		assert.Equal(t, s.Packet.Caller, p.Caller)
	}
	h.tick(ticketTime)
	assert.Equal(t, h.tables[0].Size(), reqs.Size{})
	h.request(0, p)
	h.expectRefusal(wire.OutcomeUnknown, wire.ReasonTicketExpired)
}

// Guards against refusals with a wrong outcome. A notRun of the owner must be
// final: the request must not be sent afterwards.
func TestRefusals(t *testing.T) {
	t.Run("no server is stored as notRun", func(t *testing.T) {
		h := newHarness(t)
		p := h.requestWithTicket()
		h.placers[0].refuse = wire.ReasonOverloaded
		h.request(0, p)
		h.expectRefusal(wire.OutcomeNotRun, wire.ReasonOverloaded)
		h.placers[0].refuse = wire.ReasonNone
		h.request(0, p)
		h.expectRefusal(wire.OutcomeNotRun, wire.ReasonOverloaded)
	})
	t.Run("second identifier", func(t *testing.T) {
		h := newHarness(t)
		p := h.requestWithTicket()
		h.request(0, p)
		h.onlySend(wire.ToServer)
		p.Frame.ID[0]++
		h.request(0, p)
		h.expectRefusal(wire.OutcomeNotRun, wire.ReasonBadTicket)
	})
	t.Run("cancel before request", func(t *testing.T) {
		h := newHarness(t)
		p := h.requestWithTicket()
		p.Frame.Kind = wire.KindCancel
		h.tables[0].HandleCancel(h.now, service, &p, &h.out)
		h.expectRefusal(wire.OutcomeNotRun, wire.ReasonCancelled)
		p.Frame.Kind = wire.KindRequest
		h.request(0, p)
		h.expectRefusal(wire.OutcomeNotRun, wire.ReasonCancelled)
	})
	t.Run("wrong service", func(t *testing.T) {
		h := newHarness(t)
		p := h.requestWithTicket()
		h.tables[0].HandleRequest(h.now, service+1, &p, &h.out)
		h.expectRefusal(wire.OutcomeUnknown, wire.ReasonWrongService)
	})
	t.Run("stopping", func(t *testing.T) {
		h := newHarness(t)
		p := h.requestWithTicket()
		h.tables[0].Leave()
		h.request(0, requestPacket(2, wire.FlagOnce))
		h.expectRefusal(wire.OutcomeNotRun, wire.ReasonStopping)
		h.request(0, p)
		h.onlySend(wire.ToServer)
		assert.Assert(t, !h.tables[0].Idle())
		h.tick(ticketTime)
		h.tick(0)
		assert.Assert(t, h.tables[0].Idle())
	})
	t.Run("full table still accepts issued tickets", func(t *testing.T) {
		h := newHarness(t)
		h.tables[0].MaxTickets = 1
		p := h.requestWithTicket()
		h.request(0, requestPacket(2, wire.FlagOnce))
		h.expectRefusal(wire.OutcomeNotRun, wire.ReasonTableFull)
		h.request(0, p)
		h.onlySend(wire.ToServer)
	})
	t.Run("answer that does not fit", func(t *testing.T) {
		h := newHarness(t)
		p := h.requestWithTicket()
		h.tables[0].MaxBytes = 40
		h.request(0, p)
		s := h.onlySend(wire.ToServer)
		h.answer(s, 0, 2, nil)
		h.answer(s, 1, 2, nil)
		assert.Equal(t, h.takeSends()[1].Packet.Frame.Outcome, wire.OutcomeDone)
		assert.Equal(t, h.tables[0].Size().Bytes, 0)
		h.request(0, p)
		h.expectRefusal(wire.OutcomeUnknown, wire.ReasonTableFull)
	})
}

// Guards against running a request that was reported as notRun. When a server
// sheds a request with a ticket, neither the refusal, a retransmission nor a tick
// may send it again.
func TestShedTicketIsNotSentAgain(t *testing.T) {
	for name, tc := range map[string]struct {
		flags  uint8
		reason wire.Reason
	}{
		"busy": {wire.FlagShed, wire.ReasonServerShed},
		"cold": {wire.FlagShed | wire.FlagCold, wire.ReasonColdLimit},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			p := h.requestWithTicket()
			h.request(0, p)
			h.answer(h.onlySend(wire.ToServer), 0, 1, func(f *wire.Frame) { f.Kind, f.Flags = wire.KindRefusal, tc.flags })
			for range 3 {
				assert.DeepEqual(t, h.expectRefusal(wire.OutcomeNotRun, tc.reason).Token, p.Frame.Token)
				h.tick(timeouts.Attempt)
				h.request(0, p)
			}
			h.expectRefusal(wire.OutcomeNotRun, tc.reason)
			h.tick(ticketTime)
			assert.Equal(t, len(h.takeSends()), 0)
			assert.Equal(t, h.placers[0].lastServer, 1, "placements")
		})
	}
}

// Guards against reporting notRun for a repeatable request whose last attempt was
// shed. Another instance may have got a duplicate of the frame and run it.
func TestShedRepeatableEndsUnknown(t *testing.T) {
	for reason, block := range map[wire.Reason]func(*harness){
		wire.ReasonRetryBudget: func(h *harness) { h.tables[0].Budget = &fakeBudget{} },
		wire.ReasonNoServer:    func(h *harness) { h.placers[0].refuse = wire.ReasonNoServer },
	} {
		t.Run(reason.String(), func(t *testing.T) {
			h := newHarness(t)
			h.request(0, requestPacket(1, 0))
			block(h)
			h.answer(h.onlySend(wire.ToServer), 0, 1, shed)
			h.expectRefusal(wire.OutcomeUnknown, reason)
			assert.DeepEqual(t, h.placers[0].results, []reqs.Result{reqs.ResultShed})
			assert.Equal(t, h.tables[0].Size(), reqs.Size{})
		})
	}
}

// Guards against a relayed request that is too large for a sealed control
// datagram, and against one with a field out of range, which must be refused as
// it is when it comes from a caller.
func TestRelayFits(t *testing.T) {
	h := newHarness(t)
	p := h.requestWithTicket()
	p.Frame.Flow, p.Frame.Body = 1<<63, make([]byte, wire.MaxBody)
	h.request(1, p)
	s := h.onlySend(wire.ToPeer)
	x := wire.Sealer{Rand: rand.NewChaCha8([32]byte{})}
	assert.NilError(t, x.SetKey(make([]byte, 32)))
	b, err := x.Seal(s.Peer)
	assert.NilError(t, err)
	_, body, err := x.Open(b)
	assert.NilError(t, err)
	m, err := wire.DecodePeer[reqs.Relay](body)
	assert.NilError(t, err)
	assert.Equal(t, fmt.Sprint(m), fmt.Sprint(s.Peer.Body))
	bad := m
	bad.Frame.Reason = wire.Reason(wire.ReasonCount)
	b, err = x.Seal(wire.PeerMsg{Kind: wire.PeerRelay, Body: bad})
	assert.NilError(t, err)
	_, body, err = x.Open(b)
	assert.NilError(t, err)
	bad, err = wire.DecodePeer[reqs.Relay](body)
	assert.ErrorContains(t, err, fmt.Sprintf("reason %d does not exist", wire.ReasonCount))
	assert.Equal(t, fmt.Sprint(bad), fmt.Sprint(reqs.Relay{}))
	h.tables[0].HandleRelay(h.now, h.tables[1].Self, m, &h.out)
	got := h.takeSends()
	assert.Equal(t, got[0].Target, wire.ToPeer)
	assert.Equal(t, got[1].Target, wire.ToServer)
	h.tables[1].HandleRelayAck(h.tables[0].Self, got[0].Peer.Body.(reqs.RelayAck))
	assert.Equal(t, h.tables[1].Size(), reqs.Size{})
}
