package member

import (
	"math/bits"
	"net/netip"
)

const (
	// maxUpdates bounds a heartbeat well below wire.MaxPeer and keeps four
	// heartbeats a second below 5 KB.
	maxUpdates = 8
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

// updates returns what a heartbeat to a member carries: what is held against
// that member first, then news, then repeats.
func (t *Table) updates(to netip.AddrPort) []Update {
	out := make([]Update, 0, maxUpdates+1)
	if m := t.members[to]; m != nil && m.Incarnation > 0 && m.State >= Suspect {
		out = append(out, m.Update)
	}
	n := min(len(t.news), maxUpdates-maxFill)
	keep := make([]item, 0, n)
	for _, it := range t.news[:n] {
		if u, ok := t.lookup(it.addr); ok && it.addr != to {
			out = append(out, u)
		}
		if it.left--; it.left > 0 {
			keep = append(keep, it)
		}
	}
	// The queue turns, so that each update waits its turn in a burst.
	t.news = append(t.news[:copy(t.news, t.news[n:])], keep...)
	return t.fillUp(out, to)
}

func (t *Table) fillUp(out []Update, to netip.AddrPort) []Update {
	for range min(maxFill, len(t.order)) {
		t.fill = (t.fill + 1) % len(t.order)
		if m := t.order[t.fill]; m.Incarnation > 0 && m.Addr != to {
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
