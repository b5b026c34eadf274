package reqs

import (
	"net/netip"
	"time"

	"ebonypaddle/pkg/token"
	"ebonypaddle/pkg/wire"
)

// relayWait is the time between the tries of a relay, and relayTries their
// number; docs/design.md section 8 sets both.
const (
	relayWait  = 250 * time.Millisecond
	relayTries = 2
)

// CallerGrace is how long after its deadline a caller waits for an outcome
// before it assumes unknown: both tries of a relay, and as much again for the
// network and the tick.
const CallerGrace = 2 * relayTries * relayWait

// Relay carries a caller's frame to the owner of its ticket.
type Relay struct {
	_ struct{} `cbor:",toarray"`
	// Seq is repeated in the acknowledgement.
	Seq   uint64
	Frame wire.Frame
	// Caller and Service are the addresses of the caller's packet, and Via
	// the fabric address through which the owner answers.
	Caller, Service, Via netip.AddrPort
}

// Check refuses a relay whose frame no caller could have sent.
func (m *Relay) Check() error { return m.Frame.Check() }

// RelayAck acknowledges a Relay.
type RelayAck struct {
	_   struct{} `cbor:",toarray"`
	Seq uint64
}

// relay is a relayed frame without acknowledgement.
type relay struct {
	msg   Relay
	owner netip.AddrPort
	tries int
	timer timer
}

func (t *Table) relay(now time.Time, owner netip.AddrPort, p *wire.Packet, out *wire.Outbox) {
	if len(t.relays) >= t.MaxRelays {
		t.unknown(p, wire.ReasonTableFull, out)
		return
	}
	t.relaySeq++
	r := &relay{owner: owner, msg: Relay{Seq: t.relaySeq, Frame: p.Frame, Caller: p.Caller, Service: p.Service, Via: p.Via}}
	r.timer.relay = r
	t.relays[r.msg.Seq] = r
	t.tryRelay(now, r, out)
}

func (t *Table) tryRelay(now time.Time, r *relay, out *wire.Outbox) {
	r.tries++
	t.Log.Info("request relayed", "request", r.msg.Frame.ID, "caller", r.msg.Caller, "owner", r.owner, "try", r.tries)
	out.Peer(r.owner, wire.PeerRelay, r.msg)
	t.timers.set(&r.timer, now.Add(relayWait))
}

// relayDue repeats an unacknowledged relay, or gives up. The owner may have
// run the request all the same, so the outcome is unknown.
func (t *Table) relayDue(now time.Time, r *relay, out *wire.Outbox) {
	if r.tries < relayTries {
		// The caller's time has gone on since the first try.
		if wait := uint32(relayWait.Milliseconds()); r.msg.Frame.Timeout > wait {
			r.msg.Frame.Timeout -= wait
		}
		t.tryRelay(now, r, out)
		return
	}
	delete(t.relays, r.msg.Seq)
	t.unknown(r.msg.packet(), wire.ReasonOwnerGone, out)
}

func (m *Relay) packet() *wire.Packet {
	return &wire.Packet{Caller: m.Caller, Service: m.Service, Via: m.Via, Frame: m.Frame}
}

// HandleRelay handles a frame that the instance at from passed on to this
// instance as the owner of its ticket. Repeats are acknowledged again.
func (t *Table) HandleRelay(now time.Time, from netip.AddrPort, m Relay, out *wire.Outbox) {
	t.init()
	out.Peer(from, wire.PeerRelayAck, RelayAck{Seq: m.Seq})
	p := m.packet()
	f := &p.Frame
	if f.Kind != wire.KindCancel && (f.Kind != wire.KindRequest || !f.Has(wire.FlagOnce)) {
		t.drop(f, wire.ReasonMalformed)
		return
	}
	var tk token.Ticket
	if r := t.openTicket(f.Service, p, &tk); r != wire.ReasonNone {
		t.unknown(p, r, out)
		return
	}
	if tk.Owner != t.Self {
		// Relaying once more could send the frame round in circles.
		t.unknown(p, wire.ReasonBadTicket, out)
		return
	}
	t.own(now, &tk, p, out)
}

// HandleRelayAck ends the relay that the owner at from acknowledges.
func (t *Table) HandleRelayAck(from netip.AddrPort, m RelayAck) {
	r := t.relays[m.Seq]
	if r == nil || r.owner != from {
		return
	}
	t.timers.remove(&r.timer)
	delete(t.relays, m.Seq)
}
