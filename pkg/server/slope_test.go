package server

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/wire"
)

// BenchmarkSlopeTable measures the heap and the time of Apply by server.
func BenchmarkSlopeTable(b *testing.B) {
	for _, n := range []int{2000, 8000, 32000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			s := snapshot(n)
			runtime.GC()
			runtime.ReadMemStats(&before)
			tab := newTable(0)
			tab.Apply(epoch0, s)
			runtime.GC()
			runtime.ReadMemStats(&after)
			per := float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
			for b.Loop() {
				tab.Apply(epoch0, s)
			}
			b.ReportMetric(per, "B/server")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/server")
			assert.Assert(b, per < 600, "%.0f bytes a server", per)
		})
	}
}

// BenchmarkSlopeStages measures what one instance sends with the peers and the
// interval of the core: while n servers warm up, the way a failure domain
// returns, and while n warm servers fall into cold start within 10 s.
func BenchmarkSlopeStages(b *testing.B) {
	for i := range 6 {
		n, fall := []int{20, 80, 320}[i%3], i >= 3
		b.Run(fmt.Sprintf("fall=%v/%d", fall, n), func(b *testing.B) {
			m := meter{b: b, tab: newTable(n)}
			assert.NilError(b, m.sealer.SetKey(make([]byte, 16)))
			m.sealer.Rand = zeros{}
			for b.Loop() {
				m.tab, m.bytes = newTable(n), 0
				m.run(0, func(int) uint64 { return 1 << 60 })
				assert.Equal(b, m.tab.State(1), StateWarm)
				if fall {
					m.bytes = 0
					m.run(500, func(id int) uint64 { return 1<<60 + min(1, uint64(m.step/((id*500+n)/n+500))) })
					assert.Equal(b, m.tab.Falls, uint64(n))
				}
			}
			b.ReportMetric(float64(m.bytes)/10, "B/s")
			b.ReportMetric(float64(m.bytes)/float64(max(m.sends, 1)), "B/datagram")
		})
	}
}

// meter counts what a table sends about stages.
type meter struct {
	b                  *testing.B
	tab                *Table
	sealer             wire.Sealer
	step, bytes, sends int
	sent               time.Time
}

// run lets every server answer each 20 ms for 10 s from a step on, as the
// process that boot returns.
func (m *meter) run(from int, boot func(id int) uint64) {
	m.sends = 0
	for m.step = from; m.step < from+500; m.step++ {
		now := epoch0.Add(time.Duration(m.step) * 20 * time.Millisecond)
		for id, r := range m.tab.order {
			f := frame(wire.KindAnswer, boot(id), 0)
			f.Server = r.id
			m.tab.Receive(now, r.addr, f, 10*time.Millisecond)
		}
		peers := 2
		if m.tab.Urgent() {
			peers = 32
		} else if now.Sub(m.sent) < time.Second && !now.Before(m.sent) {
			continue
		}
		m.sent = now
		msg, err := m.sealer.Seal(wire.PeerMsg{Kind: wire.PeerStages, Body: m.tab.Updates(nil)})
		assert.NilError(m.b, err)
		m.bytes, m.sends = m.bytes+len(msg)*peers, m.sends+peers
	}
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) { clear(b); return len(b), nil }
