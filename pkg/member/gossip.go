package member

import (
	"math/bits"
	"net/netip"

	"ebonypaddle/pkg/wire"
)

const (
	// maxBody is the encoded size in bytes up to which updates fill a
	// heartbeat. Four heartbeats a second stay below 4 KB with it, which
	// leaves room for settings and stages in the 5 KB a second for control,
	// and a report of 22 failure domains below wire.MaxPeer.
	maxBody = 800
	// extraBody replaces maxBody in probes to members that did not answer:
	// they come on top of the four, and news sent there mostly are lost.
	extraBody = 250
	// maxNewsSent leaves room below maxReceived for the other updates.
	maxNewsSent = maxReceived - maxFill - 2
	// maxFill bounds updates that repeat what is not new. They repair tables
	// that missed an update and carry applied revisions.
	maxFill = 3
	// spreadFactor times log2 of the members is how often an update is sent.
	spreadFactor = 3
	// maxNews bounds the queue when many members change at once. Updates that
	// fall out still spread as repeats.
	maxNews = 1024
)

type item struct {
	addr netip.AddrPort
	left int
}

// tell queues an update for the next heartbeats.
func (t *Table) tell(u Update) {
	left := spreadFactor * bits.Len(uint(len(t.members)+1))
	for i := range t.news {
		if t.news[i].addr == u.Addr {
			t.news[i].left = left
			return
		}
	}
	if len(t.news) < maxNews {
		t.news = append(t.news, item{u.Addr, left})
	}
}

// updates returns what a heartbeat to a member carries in a body of the given
// size: what is held against that member first, then news, then repeats. The
// hint is the one that the heartbeat carries.
func (t *Table) updates(to netip.AddrPort, body int, hint *wire.FreshnessReport) []Update {
	room := body - envelopeSize - size(&t.me) - hintSize(hint)
	out := make([]Update, 0, maxReceived)
	if m := t.members[to]; m != nil && m.Incarnation > 0 && m.State >= Suspect {
		out = append(out, m.Update)
		room -= size(&m.Update)
	}
	out, room = t.addNews(out, to, room-maxFill*size(&t.me))
	return t.fillUp(out, to, room+maxFill*size(&t.me))
}

// addNews appends news while they fit and returns the room that is left. One
// goes out even when none fits, so that a large report cannot stop the spread.
func (t *Table) addNews(out []Update, to netip.AddrPort, room int) ([]Update, int) {
	keep, n := make([]item, 0, min(len(t.news), maxNewsSent)), 0
	for _, it := range t.news[:min(len(t.news), maxNewsSent)] {
		if u, ok := t.lookup(it.addr); ok && it.addr != to {
			need := size(&u)
			if n > 0 && need > room {
				break
			}
			out, room = append(out, u), room-need
		}
		n++
		if it.left--; it.left > 0 {
			keep = append(keep, it)
		}
	}
	// The queue turns, so that each update waits its turn in a burst.
	t.news = append(t.news[:copy(t.news, t.news[n:])], keep...)
	return out, room
}

func (t *Table) fillUp(out []Update, to netip.AddrPort, room int) []Update {
	for range min(maxFill, len(t.order)) {
		m := t.order[(t.fill+1)%len(t.order)]
		if room -= size(&m.Update); room < 0 {
			break
		}
		t.fill = (t.fill + 1) % len(t.order)
		if m.Incarnation > 0 && m.Addr != to {
			out = append(out, m.Update)
		}
	}
	return out
}

func (t *Table) lookup(addr netip.AddrPort) (Update, bool) {
	if addr == t.Self {
		return t.me, true
	}
	if m := t.members[addr]; m != nil && m.Incarnation > 0 {
		return m.Update, true
	}
	return Update{}, false
}
