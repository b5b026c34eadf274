// Package member keeps the membership of instances. It probes members to detect
// failures, distributes state changes in the same messages (gossip), and
// measures the clock offset to peers.
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

// Timeouts of the protocol. SuspectAfter and DeadAfter count from the time the
// unanswered probe was sent.
const (
	ProbeInterval = 500 * time.Millisecond
	SuspectAfter  = time.Second
	DeadAfter     = 3 * time.Second
	// MaxTickGap is the longest time between two ticks that does not count as a
	// pause of this process. After a pause, missing answers do not show that
	// peers failed.
	MaxTickGap = ProbeInterval
	// RemoveDeadAfter is how long a dead member is kept. It is longer than a
	// network partition between regions, which lasts minutes, so that both sides
	// still probe each other when the partition ends.
	RemoveDeadAfter = time.Hour
	// seedGracePeriod is how long a seed that was not heard from is assumed to
	// be starting. When 512 instances started, readers chosen among live members
	// alone made 574 reads in the first 10 s, and 120 with seeds included.
	seedGracePeriod = 30 * time.Second
)

// Member is a table entry.
type Member struct {
	Update
	// Since is when the member entered its state, on the clock of this instance.
	Since time.Time
	// HeardAt is when the latest probe that the member answered was sent.
	HeardAt time.Time
}

// FreshnessTracker exchanges freshness reports with peers.
type FreshnessTracker interface {
	// Report returns the freshness report of this instance at now.
	Report(now time.Time) wire.FreshnessReport
	// ReceiveReport handles a report from an instance in the failure domain. The
	// report was made no earlier than probeSent, the time the probe was sent.
	ReceiveReport(now, probeSent time.Time, domain string, report wire.FreshnessReport)
}

// Counters are the event counts of a table.
type Counters struct {
	// Probes counts probes sent, with repeats, and Acks the probes that were
	// acknowledged. UnknownNonce counts acknowledgements that match no pending
	// probe, and Malformed invalid messages and updates. Refuted counts updates
	// about this instance that it refuted, and Pauses detected pauses and clock
	// steps. Suspected and Died count the members whose timeouts passed here.
	Probes, Acks, UnknownNonce, Malformed, Refuted, Pauses, Suspected, Died uint64
}

// Table is the membership as one instance sees it. It is not safe for
// concurrent use. The times passed to it must have a monotonic clock reading or
// come from a clock that does not step. A step larger than MaxTickGap counts as
// a pause.
type Table struct {
	Self   netip.AddrPort
	Domain string
	Rand   *rand.Rand
	// Freshness may be nil.
	Freshness FreshnessTracker
	// Log receives a line for each change of a member's state. It may be nil.
	Log      *slog.Logger
	Counters Counters

	selfUpdate      Update
	members         map[netip.AddrPort]*Member
	shuffled        []*Member // probe order, shuffled again after each round
	nextLiveIndex   int
	lastRepeatIndex int
	pendingProbes   []pendingProbe // in order of sending
	suspects        []*Member
	deadCount       int
	queue           []queuedUpdate
	clockOffsets    clockOffsets
	lastTick        time.Time
	nextProbe       time.Time
	nextDeadProbe   time.Time
	lastRemoval     time.Time
	lastHeard       time.Time
	sortedAlive     []*Member        // available members by address, nil if outdated
	aliveAddrs      []netip.AddrPort // addresses of sortedAlive
}

// pendingProbe is a probe that was sent at most DeadAfter ago.
type pendingProbe struct {
	nonce    uint64
	to       netip.AddrPort
	sent     time.Time
	answered bool
	// repeatAt is when the probe is sent again. It is zero for repeats: they are
	// not repeated and do not make a member suspect.
	repeatAt time.Time
}

// Start initializes the table at now with a new incarnation of this instance.
// The incarnation is taken from the clock, so it is usually higher than that of
// the previous process. If it is not, the entry of the previous process that
// peers hold is refuted like a suspicion.
func (t *Table) Start(now time.Time) {
	t.selfUpdate = Update{Addr: t.Self, Domain: t.Domain, Incarnation: uint64(max(1, now.UnixMilli())), State: Alive}
	t.members = map[netip.AddrPort]*Member{}
	t.Log = logs.OrDiscard(t.Log)
	t.sortedAlive, t.lastHeard = nil, time.Time{}
	t.lastTick, t.nextProbe, t.lastRemoval = now, now, now
}

// Seed adds a member named by the settings or by the platform's list. It is
// probed like a dead member and becomes alive when a message from the member or
// from a peer describes it as alive.
func (t *Table) Seed(now time.Time, addr netip.AddrPort, domain string) {
	if addr == t.Self || t.members[addr] != nil {
		return
	}
	t.add(now, Update{Addr: addr, Domain: domain, State: Dead})
}

// SetRevision sets the revision of the settings this instance applied.
func (t *Table) SetRevision(rev uint64) { t.selfUpdate.Revision = max(t.selfUpdate.Revision, rev) }

// Leave announces the planned stop of this instance.
func (t *Table) Leave() {
	t.selfUpdate.Leaving = true
	t.sortedAlive = nil
	t.selfUpdate.Incarnation++
	t.enqueue(t.selfUpdate)
}

// SelfUpdate returns the update that describes this instance.
func (t *Table) SelfUpdate() Update { return t.selfUpdate }

// Get returns a member, and false if it is unknown.
func (t *Table) Get(addr netip.AddrPort) (Member, bool) {
	if m := t.members[addr]; m != nil {
		return *m, true
	}
	return Member{}, false
}

// All returns all members except this instance, sorted by address.
func (t *Table) All() []Member {
	all := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		all = append(all, *m)
	}
	slices.SortFunc(all, func(a, b Member) int { return a.Addr.Compare(b.Addr) })
	return all
}

// Candidates returns the live members of the failure domain and, for
// seedGracePeriod, the seeds that were not heard from yet. A role that only a
// few instances take, such as that of a reader, is assigned among them. After
// all instances restart, the tables take seconds to fill, and without the seeds
// every instance that knows only itself would take the role.
func (t *Table) Candidates(now time.Time, domain string) []netip.AddrPort {
	out := t.Alive(domain)
	for _, m := range t.shuffled {
		if m.Domain == domain && m.State == Dead && m.Incarnation == 0 && now.Sub(m.Since) < seedGracePeriod {
			out = append(out, m.Addr)
		}
	}
	return out
}

func (m *Member) live() bool { return m.State != Dead }

// add inserts a new member at a random position of the probe order.
func (t *Table) add(now time.Time, u Update) {
	m := &Member{Update: u, Since: now}
	t.members[u.Addr] = m
	t.sortedAlive = nil
	i := t.Rand.IntN(len(t.shuffled) + 1)
	t.shuffled = append(t.shuffled, m)
	switch u.State {
	case Dead:
		t.deadCount++
	case Suspect:
		t.suspects = append(t.suspects, m)
	}
	last := len(t.shuffled) - 1
	t.shuffled[i], t.shuffled[last] = t.shuffled[last], t.shuffled[i]
}

// replace applies an update to an entry and keeps the indexes up to date.
func (t *Table) replace(now time.Time, m *Member, u Update) {
	if u.State != m.State || u.Leaving != m.Leaving {
		t.Log.Info("instance state changed", "addr", u.Addr, "domain", u.Domain, "from", m.State, "to", u.State, "leaving", u.Leaving,
			"incarnation", u.Incarnation, "heardAt", m.HeardAt)
	}
	if u.State != m.State {
		m.Since = now
		if m.State == Dead {
			t.deadCount--
		}
		switch u.State {
		case Dead:
			t.deadCount++
		case Suspect:
			t.suspects = append(t.suspects, m)
		}
	}
	if available := u.State != Dead && !u.Leaving; available != m.available() || u.Domain != m.Domain {
		t.sortedAlive = nil
	}
	m.Update = u
	t.enqueue(u)
}
