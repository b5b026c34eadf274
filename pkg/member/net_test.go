package member

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"ebonypaddle/pkg/wire"

	"gotest.tools/v3/assert"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const step = 50 * time.Millisecond

type datagram struct {
	at       time.Time
	n        int
	from, to netip.AddrPort
	sealed   []byte
}

type queue []datagram

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].n < q[j].n
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(datagram)) }
func (q *queue) Pop() any     { d := (*q)[len(*q)-1]; *q = (*q)[:len(*q)-1]; return d }

// lossy delivers sealed datagrams late, out of order, twice or never.
type lossy struct {
	t      testing.TB
	r      *rand.Rand
	now    time.Time
	loss   float64
	nodes  []*Table
	off    []bool // off nodes neither tick nor receive
	q      queue
	sealer wire.Sealer
	n      int
	bytes  int
	cut    func(from, to int) bool
}

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

func index(a netip.AddrPort) int { b := a.Addr().As4(); return int(b[2])<<8 | int(b[3]) }

func newLossy(t testing.TB, n int, seed uint64, loss float64) *lossy {
	r := rand.New(rand.NewPCG(seed, 1))
	l := &lossy{t: t, r: r, now: epoch, loss: loss, nodes: make([]*Table, n), off: make([]bool, n),
		sealer: wire.Sealer{Rand: rand.NewChaCha8([32]byte{byte(seed)})}}
	assert.NilError(t, l.sealer.SetKey(make([]byte, 16)))
	for i := range n {
		l.start(i)
	}
	return l
}

func (l *lossy) start(i int) {
	n := &Table{Self: addr(i), Domain: fmt.Sprintf("fi-south-%d", i%4), Rand: rand.New(rand.NewPCG(l.r.Uint64(), 2))}
	n.Start(l.now)
	for j := range l.nodes {
		n.Seed(l.now, addr(j), fmt.Sprintf("fi-south-%d", j%4))
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
			l.n++
			at := l.now.Add(time.Duration(1+l.r.IntN(20)) * time.Millisecond)
			heap.Push(&l.q, datagram{at, l.n, addr(from), s.To, b})
		}
	}
}

// run advances virtual time; each calls check after every step.
func (l *lossy) run(d time.Duration, check ...func()) {
	for end := l.now.Add(d); l.now.Before(end); {
		next := l.now.Add(step)
		for len(l.q) > 0 && !l.q[0].at.After(next) {
			l.deliver(heap.Pop(&l.q).(datagram))
		}
		l.now = next
		for i, n := range l.nodes {
			if !l.off[i] {
				var out wire.Outbox
				n.Tick(l.now, &out)
				l.send(i, &out)
			}
		}
		for _, f := range check {
			f()
		}
	}
}

func (l *lossy) deliver(d datagram) {
	to := index(d.to)
	if l.off[to] {
		return
	}
	l.now = d.at
	_, body, err := l.sealer.Open(d.sealed)
	assert.NilError(l.t, err)
	m, err := wire.DecodePeer[Message](body)
	assert.NilError(l.t, err)
	var out wire.Outbox
	l.nodes[to].Receive(d.at, d.from, m, &out)
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
	for end := l.now.Add(d); !l.agreed(); l.run(step) {
		assert.Assert(l.t, l.now.Before(end), "no agreement within %v", d)
	}
}
