package member

import (
	"net/netip"
	"time"

	"ebonypaddle/pkg/wire"
)

// maxUpdatesPerMessage is the maximum number of updates in one message.
const maxUpdatesPerMessage = 32

// Receive handles a heartbeat and appends an acknowledgement to out if it is a
// probe. The caller must read the clock for now after it received the datagram,
// because the ages in the acknowledgement are relative to now.
func (t *Table) Receive(now time.Time, from netip.AddrPort, m Message, out *wire.Outbox) {
	if len(m.Updates) > maxUpdatesPerMessage || m.Self.Addr != from || from == t.Self {
		t.Counters.Malformed++
		return
	}
	accepted := t.merge(now, m.Self, !m.Ack)
	for _, u := range m.Updates {
		t.merge(now, u, false)
	}
	if !m.Ack {
		t.sendAck(now, from, m.Nonce, accepted, out)
		return
	}
	for i := range t.pendingProbes {
		p := &t.pendingProbes[i]
		if p.nonce == m.Nonce && p.to == from && !p.answered && !now.Before(p.sent) {
			p.answered = true
			t.handleAck(now, *p, m)
			return
		}
	}
	t.Counters.UnknownNonce++
}

// sendAck acknowledges a probe. accepted is whether the table agrees with the
// sender's description of itself.
func (t *Table) sendAck(now time.Time, to netip.AddrPort, nonce uint64, accepted bool, out *wire.Outbox) {
	ack := Message{Nonce: nonce, Ack: true, Self: t.selfUpdate, Clock: now.UnixMilli()}
	if t.Freshness != nil {
		ack.Freshness = t.Freshness.Report(now)
	}
	ack.Updates = t.updates(to, maxBodyBytes, &ack.Freshness)
	if m := t.members[to]; !accepted && m.State < Suspect {
		// The sender restarted with a lower incarnation. It learns the
		// incarnation of its predecessor and chooses a higher one.
		ack.Updates = append(ack.Updates, m.Update)
	}
	out.Peer(to, wire.PeerHeartbeat, ack)
}

// handleAck handles the acknowledgement of a probe. Even a late one shows that
// the member was alive when it received the probe, so everything it reports is
// dated from the time the probe was sent.
func (t *Table) handleAck(now time.Time, p pendingProbe, m Message) {
	t.Counters.Acks++
	if mem := t.members[p.to]; mem != nil && p.sent.After(mem.HeardAt) {
		mem.HeardAt = p.sent
		if p.sent.After(t.lastHeard) {
			t.lastHeard = p.sent
		}
	}
	t.clockOffsets.add(now, p.sent, m.Clock)
	if t.Freshness != nil {
		t.Freshness.ReceiveReport(now, p.sent, m.Self.Domain, m.Freshness)
	}
}

// merge applies an update if it overrides the entry in the table. fromSender is
// set if a member describes itself in a probe. merge returns false only if such
// an update has a lower incarnation, or a lower state in the same incarnation,
// than the table.
func (t *Table) merge(now time.Time, u Update, fromSender bool) bool {
	if u.Addr == t.Self {
		t.refute(u)
		return true
	}
	if u.State == 0 || u.State >= stateEnd || !u.Addr.IsValid() || u.Incarnation == 0 {
		t.Counters.Malformed++
		return true
	}
	m := t.members[u.Addr]
	if m == nil {
		if u.State == Dead {
			return true
		}
		t.add(now, u)
		t.enqueue(u)
		return true
	}
	if u.Incarnation < m.Incarnation || u.Incarnation == m.Incarnation && u.State < m.State {
		return !fromSender
	}
	if u.Incarnation == m.Incarnation && u.State == m.State {
		m.Revision = max(m.Revision, u.Revision)
		return true
	}
	if m.Incarnation == 0 && u.State == Dead {
		return true
	}
	t.replace(now, m, u)
	return true
}

// predecessorIncarnationGap is added to the reported incarnation of a process
// that ran before this one at the same address. That process may have refuted
// suspicions, and so raised its incarnation, without the sender having learned
// of it. Adding only one could then give the incarnation that the predecessor
// already used.
const predecessorIncarnationGap = 1000

// refute raises the incarnation of this instance above that of an update which
// describes it as suspect or dead, or which describes a previous process at the
// same address.
func (t *Table) refute(u Update) {
	next := t.selfUpdate.Incarnation
	switch {
	case u.Incarnation > t.selfUpdate.Incarnation:
		next = u.Incarnation + predecessorIncarnationGap
	case u.Incarnation == t.selfUpdate.Incarnation && u.State > t.selfUpdate.State:
		next++
	default:
		return
	}
	t.Counters.Refuted++
	t.selfUpdate.Incarnation = next
	t.enqueue(t.selfUpdate)
}
