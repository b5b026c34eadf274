// Package member keeps the membership of instances: it probes members, spreads
// what it learns with the probes, and measures the clock offset to peers.
package member

import (
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"ebonypaddle/pkg/logs"
	"ebonypaddle/pkg/wire"
)

// Times of the protocol, counted from the probe that was not answered.
const (
	ProbeEvery   = 500 * time.Millisecond
	SuspectAfter = time.Second
	DeadAfter    = 3 * time.Second
	// MaxTickGap is the longest gap between ticks that is not taken for a
	// pause of this process. After a pause the missing answers say nothing
	// about the peers.
	MaxTickGap = ProbeEvery
	// ForgetAfter exceeds the minutes for which regions lose each other, so
	// that both sides still probe each other when they heal.
	ForgetAfter = time.Hour
	// seedFor is how long a seed is thought to be starting. With 512 instances,
	// readers chosen among live members alone made 574 reads in the first 10 s,
	// with seeds 120.
	seedFor = 30 * time.Second
)

// Member is an entry of the table.
type Member struct {
	Update
	// Since is when the state was entered, on the clock of this instance.
	Since time.Time
	// Heard is when the probe was sent that the member answered last.
	Heard time.Time
}

// FreshnessTracker exchanges freshness reports with peers.
type FreshnessTracker interface {
	// Report returns what this instance knows at now.
	Report(now time.Time) wire.FreshnessReport
	// ReceiveReport takes a report from an instance of the domain. It was made
	// no earlier than asked.
	ReceiveReport(now, asked time.Time, domain string, h wire.FreshnessReport)
}

// Counters of a table.
type Counters struct {
	Probes, Acks, UnknownNonce, Malformed, Refuted, Pauses, Suspected, Died uint64
}

// Table is the membership as one instance sees it. It is not safe for
// concurrent use. The times passed to it must carry a monotonic reading or
// otherwise not step; a step larger than the tick interval is taken for a
// pause.
type Table struct {
	Self   netip.AddrPort
	Domain string
	Rand   *rand.Rand
	// Freshness may be nil.
	Freshness FreshnessTracker
	// Log takes a line for each change of an instance's state; it may be nil.
	Log      *slog.Logger
	Counters Counters

	me      Update
	members map[netip.AddrPort]*Member
	order   []*Member // shuffled
	next    int
	fill    int
	pending []probe // in order of sending
	suspect []*Member
	dead    int
	news    []item
	skews   skews
	last    time.Time
	due     time.Time
	deadDue time.Time
	swept   time.Time
	heard   time.Time
	sorted  []*Member        // those that count as alive by address, nil when not valid
	alive   []netip.AddrPort // addresses of sorted
}

type probe struct {
	nonce    uint64
	to       netip.AddrPort
	sent     time.Time
	answered bool
	// again is when the probe is repeated; zero for the repeats themselves,
	// which raise no suspicion of their own.
	again time.Time
}

// Start begins at now as a new incarnation. The clock makes a restarted
// process's incarnation higher in general; where it does not, a peer's memory
// of the previous process is refuted like a suspicion.
func (t *Table) Start(now time.Time) {
	t.me = Update{Addr: t.Self, Domain: t.Domain, Incarnation: uint64(max(1, now.UnixMilli())), State: Alive}
	t.members = map[netip.AddrPort]*Member{}
	t.Log = logs.OrDiscard(t.Log)
	t.sorted, t.heard = nil, time.Time{}
	t.last, t.due, t.swept = now, now, now
}

// Seed adds a member that the settings or the platform's list name. It is
// probed like a dead one and becomes alive only by a heartbeat.
func (t *Table) Seed(now time.Time, addr netip.AddrPort, domain string) {
	if addr == t.Self || t.members[addr] != nil {
		return
	}
	t.add(now, Update{Addr: addr, Domain: domain, State: Dead})
}

// SetRevision sets the revision of the settings this instance applied.
func (t *Table) SetRevision(rev uint64) { t.me.Revision = max(t.me.Revision, rev) }

// Leave announces the planned stop of this instance.
func (t *Table) Leave() {
	t.me.Leaving = true
	t.sorted = nil
	t.me.Incarnation++
	t.tell(t.me)
}

// SelfUpdate returns what this instance says of itself.
func (t *Table) SelfUpdate() Update { return t.me }

// Get returns a member.
func (t *Table) Get(addr netip.AddrPort) (Member, bool) {
	if m := t.members[addr]; m != nil {
		return *m, true
	}
	return Member{}, false
}

// All returns all members but this instance in order of address.
func (t *Table) All() []Member {
	all := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		all = append(all, *m)
	}
	slices.SortFunc(all, func(a, b Member) int { return a.Addr.Compare(b.Addr) })
	return all
}

// Candidates returns the live members of the domain and, for seedFor, the
// seeds that were not heard yet. A role that only few take is chosen among
// them: after a restart of all, tables fill in seconds, and those who see only
// themselves would all take it.
func (t *Table) Candidates(now time.Time, domain string) []netip.AddrPort {
	out := t.Alive(domain)
	for _, m := range t.order {
		if m.Domain == domain && m.State == Dead && m.Incarnation == 0 && now.Sub(m.Since) < seedFor {
			out = append(out, m.Addr)
		}
	}
	return out
}

func (m *Member) live() bool { return m.State != Dead }

func (t *Table) add(now time.Time, u Update) {
	m := &Member{Update: u, Since: now}
	t.members[u.Addr] = m
	t.sorted = nil
	i := t.Rand.IntN(len(t.order) + 1)
	t.order = append(t.order, m)
	switch u.State {
	case Dead:
		t.dead++
	case Suspect:
		t.suspect = append(t.suspect, m)
	}
	last := len(t.order) - 1
	t.order[i], t.order[last] = t.order[last], t.order[i]
}

// set replaces an entry by an update and keeps the indexes.
func (t *Table) set(now time.Time, m *Member, u Update) {
	if u.State != m.State || u.Leaving != m.Leaving {
		t.Log.Info("instance state changed", "addr", u.Addr, "domain", u.Domain, "from", m.State, "to", u.State, "leaving", u.Leaving,
			"incarnation", u.Incarnation, "heardAt", m.Heard)
	}
	if u.State != m.State {
		m.Since = now
		if m.State == Dead {
			t.dead--
		}
		switch u.State {
		case Dead:
			t.dead++
		case Suspect:
			t.suspect = append(t.suspect, m)
		}
	}
	if counts := u.State != Dead && !u.Leaving; counts != m.counts() || u.Domain != m.Domain {
		t.sorted = nil
	}
	m.Update = u
	t.tell(u)
}
