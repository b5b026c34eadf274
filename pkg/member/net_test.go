package member

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"ebonypaddle/pkg/vtime"
	"ebonypaddle/pkg/wire"

	"gotest.tools/v3/assert"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const step = 50 * time.Millisecond

// lossyNetwork connects tables by sealed datagrams that it delays, reorders,
// duplicates and drops.
type lossyNetwork struct {
	vtime.Clock

	t       testing.TB
	rng     *rand.Rand
	loss    float64
	nodes   []*Table
	stopped []bool // stopped nodes neither tick nor receive
	sealer  wire.Sealer
	bytes   int
	isCut   func(from, to int) bool
}

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

func index(a netip.AddrPort) int { b := a.Addr().As4(); return int(b[2])<<8 | int(b[3]) }

func newLossyNetwork(t testing.TB, n int, seed uint64, loss float64) *lossyNetwork {
	r := rand.New(rand.NewPCG(seed, 1))
	l := &lossyNetwork{Clock: vtime.Clock{Now: epoch}, t: t, rng: r, loss: loss, nodes: make([]*Table, n), stopped: make([]bool, n),
		sealer: wire.Sealer{Rand: rand.NewChaCha8([32]byte{byte(seed)})}}
	assert.NilError(t, l.sealer.SetKey(make([]byte, 16)))
	for i := range n {
		l.start(i)
	}
	return l
}

func (l *lossyNetwork) start(i int) {
	n := &Table{Self: addr(i), Domain: fmt.Sprintf("fi-south-%d", i%4), Rand: rand.New(rand.NewPCG(l.rng.Uint64(), 2))}
	n.Start(l.Now)
	for j := range l.nodes {
		n.Seed(l.Now, addr(j), fmt.Sprintf("fi-south-%d", j%4))
	}
	l.nodes[i], l.stopped[i] = n, false
}

func (l *lossyNetwork) send(from int, out *wire.Outbox) {
	for _, s := range out.Sends {
		b, err := l.sealer.Seal(s.Peer)
		assert.NilError(l.t, err)
		l.bytes += len(b) + 28 // with the IP and UDP headers
		if l.rng.Float64() < l.loss || l.isCut != nil && l.isCut(from, index(s.To)) {
			continue
		}
		for range 1 + l.rng.IntN(20)/19 { // 1 of 20 is duplicated
			delay := time.Duration(1+l.rng.IntN(20)) * time.Millisecond
			l.After(delay, func() { l.deliver(addr(from), s.To, b) })
		}
	}
}

// run advances the virtual time by d and calls the checks after every step.
func (l *lossyNetwork) run(d time.Duration, check ...func()) {
	for end := l.Now.Add(d); l.Now.Before(end); {
		l.RunFor(step)
		for i, n := range l.nodes {
			if !l.stopped[i] {
				var out wire.Outbox
				n.Tick(l.Now, &out)
				l.send(i, &out)
			}
		}
		for _, f := range check {
			f()
		}
	}
}

func (l *lossyNetwork) deliver(from, at netip.AddrPort, sealed []byte) {
	to := index(at)
	if l.stopped[to] {
		return
	}
	_, body, err := l.sealer.Open(sealed)
	assert.NilError(l.t, err)
	m, err := wire.DecodePeer[Message](body)
	assert.NilError(l.t, err)
	var out wire.Outbox
	l.nodes[to].Receive(l.Now, from, m, &out)
	l.send(to, &out)
}

// converged reports whether every running node considers exactly the running
// nodes alive.
func (l *lossyNetwork) converged() bool {
	for i, n := range l.nodes {
		for j := range l.nodes {
			if m, ok := n.Get(addr(j)); i != j && !l.stopped[i] && (!ok || m.live() == l.stopped[j]) {
				return false
			}
		}
	}
	return true
}

// requireConvergence fails the test if the nodes do not converge within d.
func (l *lossyNetwork) requireConvergence(d time.Duration) {
	l.t.Helper()
	for end := l.Now.Add(d); !l.converged(); l.run(step) {
		assert.Assert(l.t, l.Now.Before(end), "nodes did not converge within %v", d)
	}
}
