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

// BenchmarkSlopePicker measures the heap size and the time of Apply for each
// server.
func BenchmarkSlopePicker(b *testing.B) {
	for _, n := range []int{2000, 8000, 32000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			s := settings(n)
			runtime.GC()
			runtime.ReadMemStats(&before)
			p := &Picker{Entry: "a0", Domain: "a", Rand: rand.New(rand.NewPCG(1, 1))}
			p.Apply(testStart, s)
			runtime.GC()
			runtime.ReadMemStats(&after)
			perServer := float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
			for b.Loop() {
				p.Apply(testStart, s)
			}
			b.ReportMetric(perServer, "B/server")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/server")
			assert.Assert(b, perServer < 800, "%.0f bytes a server", perServer)
		})
	}
}

// BenchmarkSlopePlaces reports the share of new flows that are placed when one of
// the n entries in a half gets one new flow an epoch for a service of 20 idle
// servers.
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
				placed, attempts := 0, 2000
				for b.Loop() {
					p := &Picker{Entry: "place-1", Domain: "d1", Servers: &fixedServers{total: 1, warm: warm}, Rand: rand.New(rand.NewPCG(1, 1))}
					p.Apply(testStart, s)
					placed = 0
					for i := range attempts {
						now := testStart.Add(5*time.Second + time.Duration(i)*2*time.Second)
						if _, reason := p.Place(now, flowCriteria(now)); reason == wire.ReasonNone {
							placed++
						}
					}
				}
				b.ReportMetric(100*float64(placed)/float64(attempts), "%placed")
				assert.Assert(b, placed > 0)
			})
		}
	}
}
