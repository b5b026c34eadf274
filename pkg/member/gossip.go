package member

import (
	"math/bits"
	"net/netip"

	"ebonypaddle/pkg/wire"
)

const (
	// maxBodyBytes is the encoded size of a heartbeat up to which updates are
	// added. It keeps four heartbeats a second below 4 KB, which leaves room for
	// settings and stages in the budget of 5 KB/s for control traffic. It also
	// keeps a heartbeat with a report of 22 failure domains below wire.MaxPeerBytes.
	maxBodyBytes = 800
	// maxExtraBodyBytes replaces maxBodyBytes in probes to members that did not
	// answer. These probes come in addition to the four heartbeats a second,
	// and most updates sent to such members are lost.
	maxExtraBodyBytes = 250
	// maxQueuedPerMessage is the maximum number of queued updates in a message.
	// It leaves room below maxUpdatesPerMessage for repeats and for the two updates
	// that describe the receiver itself, see updates and sendAck.
	maxQueuedPerMessage = maxUpdatesPerMessage - maxRepeatsPerMessage - 2
	// maxRepeatsPerMessage is the maximum number of updates in a message that
	// repeat known entries. Repeats repair tables that missed an update and
	// distribute applied revisions.
	maxRepeatsPerMessage = 3
	// An update is sent retransmitFactor times log2 of the number of members.
	retransmitFactor = 3
	// maxQueuedUpdates bounds the queue when many members change at once.
	// Updates that do not fit still spread as repeats.
	maxQueuedUpdates = 1024
)

// queuedUpdate is a member whose update is to be sent sendsLeft more times.
type queuedUpdate struct {
	addr      netip.AddrPort
	sendsLeft int
}

// enqueue queues an update for the next heartbeats.
func (t *Table) enqueue(u Update) {
	sends := retransmitFactor * bits.Len(uint(len(t.members)+1))
	for i := range t.queue {
		if t.queue[i].addr == u.Addr {
			t.queue[i].sendsLeft = sends
			return
		}
	}
	if len(t.queue) < maxQueuedUpdates {
		t.queue = append(t.queue, queuedUpdate{u.Addr, sends})
	}
}

// updates returns the updates for a heartbeat of at most maxBytes to a member:
// first the member's own entry if it is suspect or dead, so that it can refute
// that, then queued updates, then repeats. report is the freshness report that
// the heartbeat carries.
func (t *Table) updates(to netip.AddrPort, maxBytes int, report *wire.FreshnessReport) []Update {
	bytesLeft := maxBytes - envelopeSize - size(&t.selfUpdate) - reportSize(report)
	out := make([]Update, 0, maxUpdatesPerMessage)
	if m := t.members[to]; m != nil && m.Incarnation > 0 && m.State >= Suspect {
		out = append(out, m.Update)
		bytesLeft -= size(&m.Update)
	}
	out, bytesLeft = t.addQueued(out, to, bytesLeft-maxRepeatsPerMessage*size(&t.selfUpdate))
	return t.addRepeats(out, to, bytesLeft+maxRepeatsPerMessage*size(&t.selfUpdate))
}

// addQueued appends queued updates to out while they fit and returns the bytes
// that are left. It appends at least one even if that does not fit, so that a
// large freshness report cannot stop the distribution of updates.
func (t *Table) addQueued(out []Update, to netip.AddrPort, bytesLeft int) ([]Update, int) {
	kept, removed := make([]queuedUpdate, 0, min(len(t.queue), maxQueuedPerMessage)), 0
	for _, item := range t.queue[:min(len(t.queue), maxQueuedPerMessage)] {
		if u, ok := t.lookup(item.addr); ok && item.addr != to {
			need := size(&u)
			if removed > 0 && need > bytesLeft {
				break
			}
			out, bytesLeft = append(out, u), bytesLeft-need
		}
		removed++
		if item.sendsLeft--; item.sendsLeft > 0 {
			kept = append(kept, item)
		}
	}
	// Updates to be sent again go to the end of the queue, so that all updates
	// of a burst are sent in turn.
	t.queue = append(t.queue[:copy(t.queue, t.queue[removed:])], kept...)
	return out, bytesLeft
}

// addRepeats appends the entries of the next members in turn to out while they
// fit.
func (t *Table) addRepeats(out []Update, to netip.AddrPort, bytesLeft int) []Update {
	for range min(maxRepeatsPerMessage, len(t.shuffled)) {
		m := t.shuffled[(t.lastRepeatIndex+1)%len(t.shuffled)]
		if bytesLeft -= size(&m.Update); bytesLeft < 0 {
			break
		}
		t.lastRepeatIndex = (t.lastRepeatIndex + 1) % len(t.shuffled)
		if m.Incarnation > 0 && m.Addr != to {
			out = append(out, m.Update)
		}
	}
	return out
}

// lookup returns the current update of this instance or of a member. It returns
// false for members that are unknown or were never heard from.
func (t *Table) lookup(addr netip.AddrPort) (Update, bool) {
	if addr == t.Self {
		return t.selfUpdate, true
	}
	if m := t.members[addr]; m != nil && m.Incarnation > 0 {
		return m.Update, true
	}
	return Update{}, false
}
