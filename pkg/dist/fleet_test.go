package dist

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/member"
	"ebonypaddle/pkg/vtime"
	"ebonypaddle/pkg/wire"

	"gotest.tools/v3/assert"
)

const (
	step     = 50 * time.Millisecond
	freshFor = 3 * time.Second
	domains  = 4
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// node is a simulated instance.
type node struct {
	member.Table
	Replica
	Freshness
	Distributor
	started, lastRead time.Time
	stopped           bool
}

// testFleet simulates instances and a platform that keeps every revision.
// Datagrams between instances are delayed, reordered, duplicated or lost.
type testFleet struct {
	vtime.Clock

	t               testing.TB
	rng             *rand.Rand
	nodes           []*node
	reads           int
	history         []*conf.Snapshot // snapshots of the platform, by revision
	editedAt        []time.Time
	platformDown    bool
	reachesPlatform func(i int) bool
	isCut           func(a, b int) bool
}

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}
func index(a netip.AddrPort) int { b := a.Addr().As4(); return int(b[2])<<8 | int(b[3]) }
func domain(i int) string        { return fmt.Sprint("fi-south-", i%domains) }

func newTestFleet(t testing.TB, n int, seed uint64) *testFleet {
	f := &testFleet{Clock: vtime.Clock{Now: epoch}, t: t, rng: rand.New(rand.NewPCG(seed, 1)), nodes: make([]*node, n),
		history: []*conf.Snapshot{{}}, editedAt: []time.Time{epoch},
		reachesPlatform: func(int) bool { return true }, isCut: func(int, int) bool { return false }}
	f.edit()
	for i := range n {
		f.start(i)
	}
	return f
}

func (f *testFleet) start(i int) {
	n := &node{started: f.Now}
	n.Table = member.Table{Self: addr(i), Domain: domain(i), Rand: rand.New(rand.NewPCG(f.rng.Uint64(), 2)), Freshness: &n.Freshness}
	n.Freshness = Freshness{Domain: domain(i), FreshFor: freshFor}
	n.Distributor = Distributor{Self: addr(i), Replica: &n.Replica, Members: func() []netip.AddrPort { return n.Alive("") }}
	n.Start(f.Now)
	for j := range f.nodes {
		n.Seed(f.Now, addr(j), domain(j))
	}
	f.nodes[i] = n
}

// edit adds a revision to the platform and returns it. The node "/" changes with
// every second revision. "/utility" changes with each and is missing in every
// third one.
func (f *testFleet) edit() uint64 {
	rev := uint64(len(f.history))
	s := &conf.Snapshot{Rev: rev, Nodes: map[string]conf.Node{"/": {Path: "/", Generation: rev / 2}}}
	if rev%3 != 0 {
		s.Nodes["/utility"] = conf.Node{Path: "/utility", Generation: rev}
	}
	f.history, f.editedAt = append(f.history, s), append(f.editedAt, f.Now)
	return rev
}

func (f *testFleet) run(d time.Duration) {
	for end := f.Now.Add(d); f.Now.Before(end); {
		f.RunFor(step)
		for i, n := range f.nodes {
			if !n.stopped {
				f.tick(i, n)
			}
		}
	}
}

func (f *testFleet) tick(i int, n *node) {
	var out wire.Outbox
	n.Tick(f.Now, &out)
	if !f.platformDown && f.reachesPlatform(i) && f.Now.Sub(n.lastRead) >= 500*time.Millisecond && f.Now.Sub(n.started) >= 3*time.Second &&
		IsReader(n.Table.Self, n.Table.Domain, n.Candidates(f.Now, n.Table.Domain)) {
		n.lastRead = f.Now
		f.reads++
		latest := f.history[len(f.history)-1]
		if from := n.Rev(); n.ApplySnapshot(latest) {
			n.applied(from, &out)
		}
		n.Confirm(f.Now, f.Now, latest.Rev)
	}
	f.send(i, &out)
	// An instance must not send to other failure domains with settings that
	// were replaced more than freshFor ago.
	if rev := n.Rev(); !n.CrossUntil(f.Now).IsZero() && int(rev)+1 < len(f.editedAt) {
		assert.Assert(f.t, f.Now.Sub(f.editedAt[rev+1]) <= freshFor, "instance %d sends to other domains at outdated revision %d", i, rev)
	}
}

// applied updates the parts of a node after its replica advanced from a
// revision, as the core does.
func (n *node) applied(from uint64, out *wire.Outbox) {
	all := make([]string, domains)
	for i := range all {
		all[i] = domain(i)
	}
	n.SetRevision(n.Rev())
	n.SetApplied(n.Rev(), all)
	n.Announce(from, out)
}

func (f *testFleet) deliver(from, to int, body any) {
	n := f.nodes[to]
	if n.stopped {
		return
	}
	before, out := n.Rev(), wire.Outbox{}
	switch m := body.(type) {
	case member.Message:
		n.Table.Receive(f.Now, addr(from), m, &out)
		n.ObserveRevision(f.Now, addr(from), m.Self.Revision, &out)
	case Message:
		if n.Distributor.Receive(f.Now, addr(from), m, &out) {
			n.applied(before, &wire.Outbox{})
		}
	}
	assert.Assert(f.t, n.Rev() >= before)
	f.send(to, &out)
}

func (f *testFleet) send(from int, out *wire.Outbox) {
	for _, s := range out.Sends {
		if to := index(s.To); f.rng.Float64() >= 0.05 && !f.isCut(from, to) {
			for range 1 + f.rng.IntN(20)/19 {
				delay := time.Duration(1+f.rng.IntN(20)) * time.Millisecond
				if f.rng.IntN(50) == 0 {
					delay = time.Duration(f.rng.IntN(8)) * time.Second
				}
				f.After(delay, func() { f.deliver(from, to, s.Peer.Body) })
			}
		}
	}
}

// requireInForce edits the settings and fails the test if a selected instance
// does not have the new revision after 4 s.
func (f *testFleet) requireInForce(selected func(i int) bool) {
	f.t.Helper()
	rev := f.edit()
	f.run(4 * time.Second)
	for i, n := range f.nodes {
		if selected(i) {
			assert.Equal(f.t, n.Rev(), rev, "instance %d", i)
			assert.DeepEqual(f.t, n.Current().Nodes, f.history[rev].Nodes)
		}
	}
}

// countFresh returns the number of running instances that may send to other
// failure domains.
func (f *testFleet) countFresh() (count int) {
	for _, n := range f.nodes {
		if !n.stopped && !n.CrossUntil(f.Now).IsZero() {
			count++
		}
	}
	return count
}
