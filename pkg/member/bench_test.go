package member

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"ebonypaddle/pkg/wire"
)

// maxControl is the target for control traffic, in bytes a second.
const maxControl = 5000

// Churn of 18,000 restarts and 690 failures a day over 13,000 instances.
const churn = 18690.0 / 13000 / 86400

// allDomains reports as many failure domains as the target names.
type allDomains struct{}

func (allDomains) ReceiveReport(_, _ time.Time, _ string, _ wire.FreshnessReport) {}
func (allDomains) Report(time.Time) (h wire.FreshnessReport) {
	h = wire.FreshnessReport{Known: 1 << 20, Confirmed: 1 << 20, Age: 2000}
	for i := range 22 {
		h.Domains = append(h.Domains, wire.DomainAge{Domain: fmt.Sprintf("fi-south-%02d", i), Age: 2000})
	}
	return h
}

func BenchmarkControlBytes(b *testing.B) {
	for _, n := range []int{8, 64, 256, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				l := newLossy(b, n, 1, 0.01)
				for _, n := range l.nodes {
					n.Freshness = &allDomains{}
				}
				l.run(20 * time.Second)
				l.bytes = 0
				const seconds = 30
				for range seconds {
					// One restart at least, so that churn shows in a short run.
					if l.r.Float64() < max(churn*float64(n), 1.0/seconds) {
						i := l.r.IntN(n)
						l.start(i)
						l.nodes[i].Freshness = &allDomains{}
					}
					l.run(time.Second)
				}
				rate := float64(l.bytes) / seconds / float64(n)
				b.ReportMetric(rate, "B/s/instance")
				if rate > maxControl {
					b.Fatalf("%.0f B/s per instance exceed the bound of %d", rate, maxControl)
				}
			}
		})
	}
}

// BenchmarkMemory holds one table to the share of 256 MB that 13,000 members
// may take: a tenth, 2,000 bytes a member.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{600, 2400, 9600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				t := newLossy(b, 1, 1, 0).nodes[0]
				for i := range n {
					t.merge(epoch, Update{Addr: addr(i + 1), Domain: "fi-south-1", Incarnation: 1, State: Alive}, false)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				per := float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
				b.ReportMetric(per, "B/member")
				if per > 2000 {
					b.Fatalf("%.0f bytes a member exceed the bound", per)
				}
				runtime.KeepAlive(t)
			}
		})
	}
}

func BenchmarkTick(b *testing.B) {
	for _, n := range []int{600, 2400, 9600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := newLossy(b, 1, 1, 0)
			t := l.nodes[0]
			for i := range n {
				t.merge(epoch, Update{Addr: addr(i + 1), Domain: "fi-south-1", Incarnation: 1, State: Alive}, false)
				// The member takes no datagrams, however long the run is.
				l.nodes, l.off = append(l.nodes, nil), append(l.off, true)
			}
			for b.Loop() {
				l.run(step)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/member")
		})
	}
}
