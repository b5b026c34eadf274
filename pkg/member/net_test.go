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

// lossy delivers sealed datagrams late, out of order, twice or never.
type lossy struct {
	vtime.Clock

	t      testing.TB
	r      *rand.Rand
	loss   float64
	nodes  []*Table
	off    []bool // off nodes neither tick nor receive
	sealer wire.Sealer
	bytes  int
	cut    func(from, to int) bool
}

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

func index(a netip.AddrPort) int { b := a.Addr().As4(); return int(b[2])<<8 | int(b[3]) }

func newLossy(t testing.TB, n int, seed uint64, loss float64) *lossy {
	r := rand.New(rand.NewPCG(seed, 1))
	l := &lossy{Clock: vtime.Clock{Now: epoch}, t: t, r: r, loss: loss, nodes: make([]*Table, n), off: make([]bool, n),
		sealer: wire.Sealer{Rand: rand.NewChaCha8([32]byte{byte(seed)})}}
	assert.NilError(t, l.sealer.SetKey(make([]byte, 16)))
	for i := range n {
		l.start(i)
	}
	return l
}

func (l *lossy) start(i int) {
	n := &Table{Self: addr(i), Domain: fmt.Sprintf("fi-south-%d", i%4), Rand: rand.New(rand.NewPCG(l.r.Uint64(), 2))}
	n.Start(l.Now)
	for j := range l.nodes {
		n.Seed(l.Now, addr(j), fmt.Sprintf("fi-south-%d", j%4))
	}
	l.nodes[i], l.off[i] = n, false
}

func (l *lossy) send(from int, out *wire.Outbox) {
	for _, s := range out.Sends {
		b, err := l.sealer.Seal(s.Peer)
		assert.NilError(l.t, err)
		l.bytes += len(b) + 28
		if l.r.Float64() < l.loss || l.cut != nil && l.cut(from, index(s.To)) {
			continue
		}
		for range 1 + l.r.IntN(20)/19 { // one in 20 arrives twice
			late := time.Duration(1+l.r.IntN(20)) * time.Millisecond
			l.After(late, func() { l.deliver(addr(from), s.To, b) })
		}
	}
}

// run advances virtual time; each calls check after every step.
func (l *lossy) run(d time.Duration, check ...func()) {
	for end := l.Now.Add(d); l.Now.Before(end); {
		l.RunFor(step)
		for i, n := range l.nodes {
			if !l.off[i] {
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

func (l *lossy) deliver(from, at netip.AddrPort, sealed []byte) {
	to := index(at)
	if l.off[to] {
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

// agreed reports whether every running node holds exactly the running ones
// for alive.
func (l *lossy) agreed() bool {
	for i, n := range l.nodes {
		for j := range l.nodes {
			if m, ok := n.Get(addr(j)); i != j && !l.off[i] && (!ok || m.live() == l.off[j]) {
				return false
			}
		}
	}
	return true
}

// agreeWithin requires that all nodes agree within d.
func (l *lossy) agreeWithin(d time.Duration) {
	l.t.Helper()
	for end := l.Now.Add(d); !l.agreed(); l.run(step) {
		assert.Assert(l.t, l.Now.Before(end), "no agreement within %v", d)
	}
}
