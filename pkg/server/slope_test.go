package server

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/wire"
)

// BenchmarkSlopeTable measures the heap and the time of Apply per server.
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
			assert.Assert(b, per < 600, "%.0f bytes per server", per)
		})
	}
}

// BenchmarkSlopeStages measures the stage updates that one instance sends to
// its peers while n servers warm up, as when a failure domain returns, and
// while n warm servers return to a cold start within 10 s. The number of peers
// and the send interval are those of the core.
func BenchmarkSlopeStages(b *testing.B) {
	for i := range 6 {
		n, fall := []int{20, 80, 320}[i%3], i >= 3
		b.Run(fmt.Sprintf("fall=%v/%d", fall, n), func(b *testing.B) {
			traffic := stageTraffic{b: b, tab: newTable(n)}
			assert.NilError(b, traffic.sealer.SetKey(make([]byte, 16)))
			traffic.sealer.Rand = zeros{}
			for b.Loop() {
				traffic.tab, traffic.bytes = newTable(n), 0
				traffic.run(0, func(int) uint64 { return 1 << 60 })
				assert.Equal(b, traffic.tab.State(1), StateWarm)
				if fall {
					traffic.bytes = 0
					traffic.run(500, func(id int) uint64 { return 1<<60 + min(1, uint64(traffic.step/((id*500+n)/n+500))) })
					assert.Equal(b, traffic.tab.Falls, uint64(n))
				}
			}
			b.ReportMetric(float64(traffic.bytes)/10, "B/s")
			b.ReportMetric(float64(traffic.bytes)/float64(max(traffic.sends, 1)), "B/datagram")
		})
	}
}

// stageTraffic measures the stage updates that a table sends.
type stageTraffic struct {
	b                  *testing.B
	tab                *Table
	sealer             wire.Sealer
	step, bytes, sends int
	lastSend           time.Time
}

// run makes every server answer every 20 ms for 10 s, beginning at step from.
// boot returns the boot identifier of a server's process at the current step.
func (s *stageTraffic) run(from int, boot func(id int) uint64) {
	s.sends = 0
	for s.step = from; s.step < from+500; s.step++ {
		now := epoch0.Add(time.Duration(s.step) * 20 * time.Millisecond)
		for id, e := range s.tab.probeOrder {
			f := frame(wire.KindAnswer, boot(id), 0)
			f.Server = e.id
			s.tab.Receive(now, e.addr, f, 10*time.Millisecond)
		}
		peers := 2
		if s.tab.Urgent() {
			peers = 32
		} else if now.Sub(s.lastSend) < time.Second && !now.Before(s.lastSend) {
			continue
		}
		s.lastSend = now
		msg, err := s.sealer.Seal(wire.PeerMsg{Kind: wire.PeerStages, Body: s.tab.Updates(nil)})
		assert.NilError(s.b, err)
		s.bytes, s.sends = s.bytes+len(msg)*peers, s.sends+peers
	}
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) { clear(b); return len(b), nil }
