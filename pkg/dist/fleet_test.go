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

type node struct {
	member.Table
	Replica
	Freshness
	Distributor
	started, polled time.Time
	off             bool
}

// fleet runs instances over datagrams that are late, out of order, doubled or
// lost, beside a platform that keeps every revision.
type fleet struct {
	vtime.Clock

	t       testing.TB
	r       *rand.Rand
	nodes   []*node
	read    int
	history []*conf.Snapshot // platform's, by revision
	edited  []time.Time
	away    bool
	reaches func(i int) bool
	cut     func(a, b int) bool
}

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}
func index(a netip.AddrPort) int { b := a.Addr().As4(); return int(b[2])<<8 | int(b[3]) }
func domain(i int) string        { return fmt.Sprint("fi-south-", i%domains) }

func newFleet(t testing.TB, n int, seed uint64) *fleet {
	f := &fleet{Clock: vtime.Clock{Now: epoch}, t: t, r: rand.New(rand.NewPCG(seed, 1)), nodes: make([]*node, n),
		history: []*conf.Snapshot{{}}, edited: []time.Time{epoch},
		reaches: func(int) bool { return true }, cut: func(int, int) bool { return false }}
	f.edit()
	for i := range n {
		f.start(i)
	}
	return f
}

func (f *fleet) start(i int) {
	n := &node{started: f.Now}
	n.Table = member.Table{Self: addr(i), Domain: domain(i), Rand: rand.New(rand.NewPCG(f.r.Uint64(), 2)), Freshness: &n.Freshness}
	n.Freshness = Freshness{Domain: domain(i), FreshFor: freshFor}
	n.Distributor = Distributor{Self: addr(i), Replica: &n.Replica, Members: func() []netip.AddrPort { return n.Alive("") }}
	n.Start(f.Now)
	for j := range f.nodes {
		n.Seed(f.Now, addr(j), domain(j))
	}
	f.nodes[i] = n
}

// edit accepts a change: the node is set, or deleted and created again.
func (f *fleet) edit() uint64 {
	rev := uint64(len(f.history))
	s := &conf.Snapshot{Rev: rev, Nodes: map[string]conf.Node{"/": {Path: "/", Generation: rev / 2}}}
	if rev%3 != 0 {
		s.Nodes["/utility"] = conf.Node{Path: "/utility", Generation: rev}
	}
	f.history, f.edited = append(f.history, s), append(f.edited, f.Now)
	return rev
}

func (f *fleet) run(d time.Duration) {
	for end := f.Now.Add(d); f.Now.Before(end); {
		f.RunFor(step)
		for i, n := range f.nodes {
			if !n.off {
				f.tick(i, n)
			}
		}
	}
}

func (f *fleet) tick(i int, n *node) {
	var out wire.Outbox
	n.Tick(f.Now, &out)
	if !f.away && f.reaches(i) && f.Now.Sub(n.polled) >= 500*time.Millisecond && f.Now.Sub(n.started) >= 3*time.Second &&
		IsReader(n.Table.Self, n.Table.Domain, n.Candidates(f.Now, n.Table.Domain)) {
		n.polled = f.Now
		f.read++
		latest := f.history[len(f.history)-1]
		if from := n.Rev(); n.ApplySnapshot(latest) {
			n.applied(from, &out)
		}
		n.Confirm(f.Now, f.Now, latest.Rev)
	}
	f.send(i, &out)
	// Settings that were replaced before the last freshFor must not decide
	// what crosses a failure domain.
	if rev := n.Rev(); !n.CrossUntil(f.Now).IsZero() && int(rev)+1 < len(f.edited) {
		assert.Assert(f.t, f.Now.Sub(f.edited[rev+1]) <= freshFor, "instance %d crosses at revision %d", i, rev)
	}
}

func (n *node) applied(from uint64, out *wire.Outbox) {
	all := make([]string, domains)
	for i := range all {
		all[i] = domain(i)
	}
	n.SetRevision(n.Rev())
	n.SetApplied(n.Rev(), all)
	n.Announce(from, out)
}

func (f *fleet) deliver(from, to int, body any) {
	n := f.nodes[to]
	if n.off {
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

func (f *fleet) send(from int, out *wire.Outbox) {
	for _, s := range out.Sends {
		if to := index(s.To); f.r.Float64() >= 0.05 && !f.cut(from, to) {
			for range 1 + f.r.IntN(20)/19 {
				late := time.Duration(1+f.r.IntN(20)) * time.Millisecond
				if f.r.IntN(50) == 0 {
					late = time.Duration(f.r.IntN(8)) * time.Second
				}
				f.After(late, func() { f.deliver(from, to, s.Peer.Body) })
			}
		}
	}
}

// inForce requires the latest revision on the instances after 4 s.
func (f *fleet) inForce(on func(i int) bool) {
	f.t.Helper()
	rev := f.edit()
	f.run(4 * time.Second)
	for i, n := range f.nodes {
		if on(i) {
			assert.Equal(f.t, n.Rev(), rev, "instance %d", i)
			assert.DeepEqual(f.t, n.Current().Nodes, f.history[rev].Nodes)
		}
	}
}

// crossing counts the instances that may send to other domains.
func (f *fleet) crossing() (c int) {
	for _, n := range f.nodes {
		if !n.off && !n.CrossUntil(f.Now).IsZero() {
			c++
		}
	}
	return c
}
