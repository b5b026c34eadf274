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

// BenchmarkSlopeStages returns n servers from a cold start within 2 s, the
// way a failure domain returns, and measures what one instance sends in the
// 10 s after that, with the peers and the interval of the core.
func BenchmarkSlopeStages(b *testing.B) {
	const tick, every, peers, urgentPeers = 20 * time.Millisecond, time.Second, 2, 32
	for _, n := range []int{20, 80, 320} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			sealer := wire.Sealer{Rand: zeros{}}
			assert.NilError(b, sealer.SetKey(make([]byte, 16)))
			bytes := 0
			for b.Loop() {
				tab, sent := newTable(n), epoch0
				bytes = 0
				for i := range 500 {
					now := epoch0.Add(time.Duration(i) * tick)
					for id := range n {
						f := frame(wire.KindAnswer, 5, 0)
						f.Server = tab.order[id].id
						tab.Heard(now, tab.order[id].addr, f, 10*time.Millisecond)
					}
					urgent := tab.Urgent()
					if !urgent && now.Sub(sent) < every {
						continue
					}
					sent = now
					m, err := sealer.Seal(wire.PeerMsg{Kind: wire.PeerStages, Body: tab.Updates(nil)})
					assert.NilError(b, err)
					if to := peers; urgent {
						bytes += len(m) * urgentPeers
					} else {
						bytes += len(m) * to
					}
				}
				assert.Equal(b, tab.State(1), StateWarm)
			}
			b.ReportMetric(float64(bytes)/10, "B/s")
		})
	}
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) { clear(b); return len(b), nil }
