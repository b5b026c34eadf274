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

// rig is one owner (0) and one relay (1) with direct links.
type rig struct {
	t   testing.TB
	now time.Time
	tb  [2]*reqs.Table
	pl  [2]*placer
	out wire.Outbox
}

func newRig(t testing.TB) *rig {
	r := &rig{t: t, now: start}
	for i := range r.tb {
		r.tb[i], r.pl[i] = newTable(i, 1)
	}
	return r
}

func (r *rig) sends() []wire.Send {
	s := append([]wire.Send(nil), r.out.Sends...)
	r.out.Reset()
	return s
}

// one returns the only send and checks its target.
func (r *rig) one(to wire.Target) *wire.Send {
	r.t.Helper()
	s := r.sends()
	assert.Equal(r.t, len(s), 1, "%+v", s)
	assert.Equal(r.t, s[0].Target, to)
	return &s[0]
}

// refusal checks that the only send refuses with the outcome and reason.
func (r *rig) refusal(o wire.Outcome, why wire.Reason) *wire.Frame {
	r.t.Helper()
	f := &r.one(wire.ToCaller).Packet.Frame
	assert.Equal(r.t, fmt.Sprint(f.Kind, f.Outcome, f.Reason), fmt.Sprint(wire.KindRefusal, o, why))
	return f
}

func (r *rig) request(i int, p wire.Packet) { r.tb[i].HandleRequest(r.now, service, &p, &r.out) }

func (r *rig) tick(d time.Duration) {
	r.now = r.now.Add(d)
	for _, tb := range r.tb {
		tb.Tick(r.now, &r.out)
	}
}

func packet(id byte, flags uint8) wire.Packet {
	return wire.Packet{Caller: addr(3, 0), Service: svcAddr, Via: via, Frame: wire.Frame{
		Kind: wire.KindRequest, ID: wire.RequestID{id}, Flags: flags, Timeout: 1000, Body: []byte("x"),
	}}
}

// ticketed returns a once-only request with a ticket of instance 0.
func (r *rig) ticketed() wire.Packet {
	p := packet(1, wire.FlagOnce)
	r.request(0, p)
	p.Frame.Token = r.refusal(wire.OutcomeNotRun, wire.ReasonTicketNeeded).Token
	return p
}

// reply answers instance 0's server frame s with one part.
func (r *rig) reply(s *wire.Send, part, parts uint16, change func(*wire.Frame)) {
	p := s.Packet
	p.Frame.Kind, p.Frame.Part, p.Frame.Parts, p.Frame.Boot = wire.KindAnswer, part, parts, 1
	p.Frame.Body = fmt.Appendf(nil, "part %d", part)
	if change != nil {
		change(&p.Frame)
	}
	r.tb[0].HandleAnswer(r.now, &p, &r.out)
}

func shed(f *wire.Frame) { f.Kind, f.Flags = wire.KindRefusal, wire.FlagShed }

// Section 6, instance dead: its requests become unknown, never notRun.
func TestOwnerDies(t *testing.T) {
	t.Run("relay without acknowledgement", func(t *testing.T) {
		r := newRig(t)
		r.request(1, r.ticketed())
		for range 2 {
			assert.Equal(t, r.one(wire.ToPeer).To, r.tb[0].Self)
			r.tick(249 * time.Millisecond)
			assert.Equal(t, len(r.sends()), 0)
			r.tick(time.Millisecond)
		}
		r.refusal(wire.OutcomeUnknown, wire.ReasonOwnerGone)
	})
	t.Run("another incarnation", func(t *testing.T) {
		r := newRig(t)
		p := r.ticketed()
		r.tb[0], _ = newTable(0, 2)
		r.request(0, p)
		r.refusal(wire.OutcomeUnknown, wire.ReasonOwnerGone)
	})
}

// Section 6, instance paused: the owner decides, pauses, and answers unknown;
// the server gets a deadline from the caller's timeout.
func TestOwnerPaused(t *testing.T) {
	r := newRig(t)
	p := r.ticketed()
	r.request(0, p)
	s := r.one(wire.ToServer)
	assert.Equal(t, s.Packet.Frame.DeadlineTime(), start.Add(time.Second))
	r.tick(time.Second)
	got := r.sends()
	assert.Equal(t, got[0].Packet.Frame.Kind, wire.KindCancel)
	assert.Equal(t, got[1].Packet.Frame.Outcome, wire.OutcomeUnknown)
	r.reply(s, 0, 1, nil)
	assert.Equal(t, len(r.sends()), 0)
	r.request(0, p)
	assert.Equal(t, r.one(wire.ToCaller).Packet.Frame.Outcome, wire.OutcomeDone)
	assert.DeepEqual(t, r.pl[0].results, []reqs.Result{reqs.ResultTimedOut})
}

// A frame to a server of another domain or a cold server must not outlive the
// placement's limit, or a paused instance delivers it late.
func TestPlacementLimit(t *testing.T) {
	r := newRig(t)
	r.pl[0].until = start.Add(100 * time.Millisecond)
	r.request(0, packet(1, 0))
	assert.Equal(t, r.one(wire.ToServer).Packet.Frame.DeadlineTime(), r.pl[0].until)
	r.pl[0].until = start
	r.request(0, packet(2, 0))
	r.refusal(wire.OutcomeUnknown, wire.ReasonDeadline)
	assert.Equal(t, r.pl[0].open, 1)
}

// The outcome of a request that may run once is open only until the server has
// given it up. The caller does not wait for its own deadline then, and an answer
// that was on its way still replaces the outcome.
func TestPlacementLimitEndsOnce(t *testing.T) {
	r := newRig(t)
	p := r.ticketed()
	r.pl[0].until = start.Add(100 * time.Millisecond)
	r.request(0, p)
	s := r.one(wire.ToServer)
	r.tick(100*time.Millisecond + reqs.AnswerGrace - time.Millisecond)
	assert.Equal(t, len(r.sends()), 0)
	r.tick(time.Millisecond)
	got := r.sends()
	assert.Equal(t, len(got), 2, "%+v", got)
	assert.Equal(t, got[1].Packet.Frame.Outcome, wire.OutcomeUnknown)
	assert.Equal(t, got[1].Packet.Frame.Reason, wire.ReasonTimeout)
	r.reply(s, 0, 1, nil)
	r.sends()
	r.request(0, p)
	assert.Equal(t, r.one(wire.ToCaller).Packet.Frame.Outcome, wire.OutcomeDone)
}

// Section 6, server dead or paused: a repeatable request moves to another
// server, and what the first one sends afterwards is dropped.
func TestServerSilent(t *testing.T) {
	r := newRig(t)
	r.request(0, packet(1, 0))
	first := r.one(wire.ToServer)
	r.request(0, packet(1, 0))
	assert.Equal(t, len(r.sends()), 0, "a repeat in progress is sent again")
	r.tick(limits.Attempt)
	second := &r.sends()[1]
	assert.Assert(t, second.Packet.Frame.Server != first.Packet.Frame.Server)
	r.reply(first, 0, 1, shed)
	r.reply(first, 0, 1, nil)
	assert.Equal(t, len(r.sends()), 0)
	assert.Equal(t, r.tb[0].Stats.Dropped.Get(wire.ReasonLateAnswer), uint64(2))
	r.reply(second, 0, 1, nil)
	assert.Equal(t, r.one(wire.ToCaller).Packet.Frame.Outcome, wire.OutcomeDone)
	assert.Equal(t, r.tb[0].Stats.Retried.Get(wire.ReasonRetryTimeout), uint64(1))
}

// Section 6, server lies: an answer that names another server, generation or
// boot, or a refusal after a part, must not pass as an answer or as notRun.
func TestServerLies(t *testing.T) {
	lies := map[string]func(*wire.Frame){
		"server":     func(f *wire.Frame) { f.Server++ },
		"generation": func(f *wire.Frame) { f.Generation++ },
		"attempt":    func(f *wire.Frame) { f.Attempt++ },
		"boot":       func(f *wire.Frame) { f.Boot++ },
		"parts":      func(f *wire.Frame) { f.Parts++ },
		"too large":  func(f *wire.Frame) { f.Body = make([]byte, wire.MaxBody+1) },
	}
	for name, lie := range lies {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.request(0, r.ticketed())
			s := r.one(wire.ToServer)
			r.reply(s, 0, 2, nil)
			assert.Equal(t, r.one(wire.ToCaller).Packet.Frame.Outcome, wire.OutcomeNone)
			r.reply(s, 1, 2, lie)
			assert.Equal(t, len(r.sends()), 0)
			r.reply(s, 1, 2, shed)
			r.refusal(wire.OutcomeUnknown, wire.ReasonServerShed)
		})
	}
}

// A repeat must get every part of the stored answer, from any address.
func TestRepeatGetsStoredAnswer(t *testing.T) {
	r := newRig(t)
	p := r.ticketed()
	r.request(0, p)
	s := r.one(wire.ToServer)
	r.reply(s, 1, 2, nil)
	r.reply(s, 0, 2, nil)
	assert.Equal(t, len(r.sends()), 2)
	p.Caller = addr(3, 9)
	r.request(0, p)
	got := r.sends()
	assert.Equal(t, len(got), 2)
	for i, s := range got {
		assert.Equal(t, string(s.Packet.Frame.Body), fmt.Sprintf("part %d", i))
		assert.Equal(t, s.Packet.Caller, p.Caller)
	}
	r.tick(ticketTime)
	assert.Equal(t, r.tb[0].Size(), reqs.Size{})
	r.request(0, p)
	r.refusal(wire.OutcomeUnknown, wire.ReasonTicketExpired)
}

// Refusals and their outcomes; notRun from the owner must be final.
func TestRefusals(t *testing.T) {
	t.Run("no server is stored as notRun", func(t *testing.T) {
		r := newRig(t)
		p := r.ticketed()
		r.pl[0].refuse = wire.ReasonOverloaded
		r.request(0, p)
		r.refusal(wire.OutcomeNotRun, wire.ReasonOverloaded)
		r.pl[0].refuse = wire.ReasonNone
		r.request(0, p)
		r.refusal(wire.OutcomeNotRun, wire.ReasonOverloaded)
	})
	t.Run("second identifier", func(t *testing.T) {
		r := newRig(t)
		p := r.ticketed()
		r.request(0, p)
		r.one(wire.ToServer)
		p.Frame.ID[0]++
		r.request(0, p)
		r.refusal(wire.OutcomeNotRun, wire.ReasonBadTicket)
	})
	t.Run("cancel before request", func(t *testing.T) {
		r := newRig(t)
		p := r.ticketed()
		p.Frame.Kind = wire.KindCancel
		r.tb[0].HandleCancel(r.now, service, &p, &r.out)
		r.refusal(wire.OutcomeNotRun, wire.ReasonCancelled)
		p.Frame.Kind = wire.KindRequest
		r.request(0, p)
		r.refusal(wire.OutcomeNotRun, wire.ReasonCancelled)
	})
	t.Run("wrong service", func(t *testing.T) {
		r := newRig(t)
		p := r.ticketed()
		r.tb[0].HandleRequest(r.now, service+1, &p, &r.out)
		r.refusal(wire.OutcomeUnknown, wire.ReasonWrongService)
	})
	t.Run("stopping", func(t *testing.T) {
		r := newRig(t)
		p := r.ticketed()
		r.tb[0].Leave()
		r.request(0, packet(2, wire.FlagOnce))
		r.refusal(wire.OutcomeNotRun, wire.ReasonStopping)
		r.request(0, p)
		r.one(wire.ToServer)
		assert.Assert(t, !r.tb[0].Idle())
		r.tick(ticketTime)
		r.tick(0)
		assert.Assert(t, r.tb[0].Idle())
	})
	t.Run("full table keeps what it holds", func(t *testing.T) {
		r := newRig(t)
		r.tb[0].MaxTickets = 1
		p := r.ticketed()
		r.request(0, packet(2, wire.FlagOnce))
		r.refusal(wire.OutcomeNotRun, wire.ReasonTableFull)
		r.request(0, p)
		r.one(wire.ToServer)
	})
	t.Run("answer that does not fit", func(t *testing.T) {
		r := newRig(t)
		p := r.ticketed()
		r.tb[0].MaxBytes = 40
		r.request(0, p)
		s := r.one(wire.ToServer)
		r.reply(s, 0, 2, nil)
		r.reply(s, 1, 2, nil)
		assert.Equal(t, r.sends()[1].Packet.Frame.Outcome, wire.OutcomeDone)
		assert.Equal(t, r.tb[0].Size().Bytes, 0)
		r.request(0, p)
		r.refusal(wire.OutcomeUnknown, wire.ReasonTableFull)
	})
}

// A request with a ticket that a server sheds is reported as notRun. A second
// send after the shed, a repeat or a tick could run it all the same.
func TestShedTicketIsNotSentAgain(t *testing.T) {
	for name, tc := range map[string]struct {
		flags uint8
		why   wire.Reason
	}{
		"busy": {wire.FlagShed, wire.ReasonServerShed},
		"cold": {wire.FlagShed | wire.FlagCold, wire.ReasonColdLimit},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			p := r.ticketed()
			r.request(0, p)
			r.reply(r.one(wire.ToServer), 0, 1, func(f *wire.Frame) { f.Kind, f.Flags = wire.KindRefusal, tc.flags })
			for range 3 {
				assert.DeepEqual(t, r.refusal(wire.OutcomeNotRun, tc.why).Token, p.Frame.Token)
				r.tick(limits.Attempt)
				r.request(0, p)
			}
			r.refusal(wire.OutcomeNotRun, tc.why)
			r.tick(ticketTime)
			assert.Equal(t, len(r.sends()), 0)
			assert.Equal(t, r.pl[0].next, 1, "placements")
		})
	}
}

// A repeatable request whose last attempt was shed may run through another
// instance that got a copy of the frame. Reporting it as notRun would be false.
func TestShedRepeatableEndsUnknown(t *testing.T) {
	for why, block := range map[wire.Reason]func(*rig){
		wire.ReasonRetryBudget: func(r *rig) { r.tb[0].Budget = &budget{} },
		wire.ReasonNoServer:    func(r *rig) { r.pl[0].refuse = wire.ReasonNoServer },
	} {
		t.Run(why.String(), func(t *testing.T) {
			r := newRig(t)
			r.request(0, packet(1, 0))
			block(r)
			r.reply(r.one(wire.ToServer), 0, 1, shed)
			r.refusal(wire.OutcomeUnknown, why)
			assert.DeepEqual(t, r.pl[0].results, []reqs.Result{reqs.ResultShed})
			assert.Equal(t, r.tb[0].Size(), reqs.Size{})
		})
	}
}

// The largest relayed request must fit into a sealed control datagram, and one
// with a field out of range must not pass around the checks of Decode.
func TestRelayFits(t *testing.T) {
	r := newRig(t)
	p := r.ticketed()
	p.Frame.Flow, p.Frame.Body = 1<<63, make([]byte, wire.MaxBody)
	r.request(1, p)
	s := r.one(wire.ToPeer)
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
	r.tb[0].HandleRelay(r.now, r.tb[1].Self, m, &r.out)
	got := r.sends()
	assert.Equal(t, got[0].Target, wire.ToPeer)
	assert.Equal(t, got[1].Target, wire.ToServer)
	r.tb[1].HandleRelayAck(r.tb[0].Self, got[0].Peer.Body.(reqs.RelayAck))
	assert.Equal(t, r.tb[1].Size(), reqs.Size{})
}
