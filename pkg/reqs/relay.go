package reqs

import (
	"net/netip"
	"time"

	"ebonypaddle/pkg/token"
	"ebonypaddle/pkg/wire"
)

// relayTimeout is how long a relay waits for an acknowledgement, and
// maxRelayTries how often it is sent. Both are specified in section 8 of
// docs/design.md.
const (
	relayTimeout  = 250 * time.Millisecond
	maxRelayTries = 2
)

// CallerGrace is how long after its deadline a caller waits for an outcome
// before it assumes unknown. It covers all tries of a relay, and the same time
// again for the network and the tick interval.
const CallerGrace = 2 * maxRelayTries * relayTimeout

// Relay is the control message that carries a caller's frame to the owner of its
// ticket.
type Relay struct {
	_ struct{} `cbor:",toarray"`
	// Seq identifies the relay in its acknowledgement.
	Seq   uint64
	Frame wire.Frame
	// Caller and Service are the addresses of the caller's packet. Via is the
	// fabric address to which the owner sends its answers.
	Caller, Service, Via netip.AddrPort
}

// Check returns an error if a field of the frame is out of range.
func (m *Relay) Check() error { return m.Frame.Check() }

// RelayAck acknowledges a Relay.
type RelayAck struct {
	_   struct{} `cbor:",toarray"`
	Seq uint64
}

// pendingRelay is a relayed frame that has not been acknowledged.
type pendingRelay struct {
	msg   Relay
	owner netip.AddrPort
	tries int
	timer timer
}

// startRelay relays a packet to the owner of its ticket.
func (t *Table) startRelay(now time.Time, owner netip.AddrPort, p *wire.Packet, out *wire.Outbox) {
	if len(t.relays) >= t.MaxRelays {
		t.refuseUnknown(p, wire.ReasonTableFull, out)
		return
	}
	t.relaySeq++
	r := &pendingRelay{owner: owner, msg: Relay{Seq: t.relaySeq, Frame: p.Frame, Caller: p.Caller, Service: p.Service, Via: p.Via}}
	r.timer.relay = r
	t.relays[r.msg.Seq] = r
	t.sendRelay(now, r, out)
}

// sendRelay sends a relay, or sends it again, and sets its timeout.
func (t *Table) sendRelay(now time.Time, r *pendingRelay, out *wire.Outbox) {
	r.tries++
	t.Log.Info("request relayed", "request", r.msg.Frame.ID, "caller", r.msg.Caller, "owner", r.owner, "try", r.tries)
	out.Peer(r.owner, wire.PeerRelay, r.msg)
	t.timers.set(&r.timer, now.Add(relayTimeout))
}

// relayTimerExpired retransmits an unacknowledged relay. After the last try it
// refuses the request as unknown, because the owner may have run it.
func (t *Table) relayTimerExpired(now time.Time, r *pendingRelay, out *wire.Outbox) {
	if r.tries < maxRelayTries {
		// The caller's timeout ran on while the relay waited.
		if elapsed := uint32(relayTimeout.Milliseconds()); r.msg.Frame.Timeout > elapsed {
			r.msg.Frame.Timeout -= elapsed
		}
		t.sendRelay(now, r, out)
		return
	}
	delete(t.relays, r.msg.Seq)
	t.refuseUnknown(r.msg.packet(), wire.ReasonOwnerGone, out)
}

// packet returns the packet that the caller sent.
func (m *Relay) packet() *wire.Packet {
	return &wire.Packet{Caller: m.Caller, Service: m.Service, Via: m.Via, Frame: m.Frame}
}

// HandleRelay handles a frame that the instance at address from relayed to this
// instance as the owner of its ticket. Retransmissions are acknowledged again.
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
		t.refuseUnknown(p, r, out)
		return
	}
	if tk.Owner != t.Self {
		// Relaying the frame again could make it loop between instances.
		t.refuseUnknown(p, wire.ReasonBadTicket, out)
		return
	}
	t.handleOwned(now, &tk, p, out)
}

// HandleRelayAck removes the relay that the owner at address from acknowledges.
func (t *Table) HandleRelayAck(from netip.AddrPort, m RelayAck) {
	r := t.relays[m.Seq]
	if r == nil || r.owner != from {
		return
	}
	t.timers.remove(&r.timer)
	delete(t.relays, m.Seq)
}
