package member

import (
	"net/netip"
	"time"

	"ebonypaddle/pkg/wire"
)

// maxReceived bounds the updates of one message.
const maxReceived = 32

// Receive handles a heartbeat. now is read after the datagram, because the
// ages in the answer are only as old as now.
func (t *Table) Receive(now time.Time, from netip.AddrPort, m Message, out *wire.Outbox) {
	if len(m.Updates) > maxReceived || m.Self.Addr != from || from == t.Self {
		t.Counters.Malformed++
		return
	}
	known := t.merge(now, m.Self, !m.Ack)
	for _, u := range m.Updates {
		t.merge(now, u, false)
	}
	if !m.Ack {
		t.answer(now, from, m.Nonce, known, out)
		return
	}
	for i := range t.pending {
		p := &t.pending[i]
		if p.nonce == m.Nonce && p.to == from && !p.answered && !now.Before(p.sent) {
			p.answered = true
			t.acked(now, *p, m)
			return
		}
	}
	t.Counters.UnknownNonce++
}

func (t *Table) answer(now time.Time, to netip.AddrPort, nonce uint64, known bool, out *wire.Outbox) {
	ack := Message{Nonce: nonce, Ack: true, Self: t.me, Clock: now.UnixMilli()}
	if t.Freshness != nil {
		ack.Freshness = t.Freshness.Report(now)
	}
	ack.Updates = t.updates(to, maxBody, &ack.Freshness)
	if m := t.members[to]; !known && m.State < Suspect {
		// A restarted process with a lower incarnation overtakes the old one.
		ack.Updates = append(ack.Updates, m.Update)
	}
	out.Peer(to, wire.PeerHeartbeat, ack)
}

// acked takes an answer to a probe. A late answer still proves that the member
// lived after the probe was sent, so all that is learned counts from there.
func (t *Table) acked(now time.Time, p probe, m Message) {
	t.Counters.Acks++
	if mem := t.members[p.to]; mem != nil && p.sent.After(mem.Heard) {
		mem.Heard = p.sent
		if p.sent.After(t.heard) {
			t.heard = p.sent
		}
	}
	t.skews.add(now, p.sent, m.Clock)
	if t.Freshness != nil {
		t.Freshness.ReceiveReport(now, p.sent, m.Self.Domain, m.Freshness)
	}
}

// merge takes an update if it overrides what the table holds. It reports
// whether the table now agrees with the update.
func (t *Table) merge(now time.Time, u Update, direct bool) bool {
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
		t.tell(u)
		return true
	}
	if u.Incarnation < m.Incarnation || u.Incarnation == m.Incarnation && u.State < m.State {
		return !direct
	}
	if u.Incarnation == m.Incarnation && u.State == m.State {
		m.Revision = max(m.Revision, u.Revision)
		return true
	}
	if m.Incarnation == 0 && u.State == Dead {
		return true
	}
	t.set(now, m, u)
	return true
}

// predecessorGap is added to the incarnation of a process that ran before this
// one at the same address. That process may have refuted suspicions of which
// the sender had not heard; one more than the sender's figure was then the
// predecessor's own incarnation.
const predecessorGap = 1000

// refute answers what others say of this instance with a higher incarnation.
func (t *Table) refute(u Update) {
	next := t.me.Incarnation
	switch {
	case u.Incarnation > t.me.Incarnation:
		next = u.Incarnation + predecessorGap
	case u.Incarnation == t.me.Incarnation && u.State > t.me.State:
		next++
	default:
		return
	}
	t.Counters.Refuted++
	t.me.Incarnation = next
	t.tell(t.me)
}
