package pick

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wire"
)

// BenchmarkSlopePicker measures the heap and the time of Apply by server.
func BenchmarkSlopePicker(b *testing.B) {
	for _, n := range []int{2000, 8000, 32000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			s := settings(n)
			runtime.GC()
			runtime.ReadMemStats(&before)
			p := &Picker{Entry: "a0", Domain: "a", Rand: rand.New(rand.NewPCG(1, 1))}
			p.Apply(begin, s)
			runtime.GC()
			runtime.ReadMemStats(&after)
			per := float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
			for b.Loop() {
				p.Apply(begin, s)
			}
			b.ReportMetric(per, "B/server")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/server")
			assert.Assert(b, per < 800, "%.0f bytes a server", per)
		})
	}
}

// BenchmarkSlopePlaces offers one new flow an epoch to a service of 20 idle
// servers at one place of n in the half, and reports the share that is placed.
func BenchmarkSlopePlaces(b *testing.B) {
	for _, n := range []int{8, 64, 512, 4096, 13000} {
		for _, warm := range []bool{true, false} {
			b.Run(fmt.Sprintf("%d/warm=%v", n, warm), func(b *testing.B) {
				s := settings(20)
				s.Domains = map[string]conf.Domain{}
				for i := range min(22, n) {
					d := conf.Domain{Name: fmt.Sprint("d", i), Half: "k", Mark: conf.MarkIn}
					for k := i; k < n; k += 22 {
						d.Entries = append(d.Entries, conf.Entry{Name: fmt.Sprint("place-", k)})
					}
					s.Domains[d.Name] = d
				}
				for name, rec := range s.Servers {
					rec.Domain = fmt.Sprint("d", int(rec.ID)%min(22, n))
					s.Servers[name] = rec
				}
				placed, asked := 0, 2000
				for b.Loop() {
					p := &Picker{Entry: "place-1", Domain: "d1", Servers: &fixed{total: 1, warm: warm}, Rand: rand.New(rand.NewPCG(1, 1))}
					p.Apply(begin, s)
					placed = 0
					for i := range asked {
						now := begin.Add(5*time.Second + time.Duration(i)*2*time.Second)
						if _, reason := p.Place(now, flowAsk(now)); reason == wire.ReasonNone {
							placed++
						}
					}
				}
				b.ReportMetric(100*float64(placed)/float64(asked), "%placed")
				assert.Assert(b, placed > 0)
			})
		}
	}
}
