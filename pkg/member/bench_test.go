package member

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"ebonypaddle/pkg/wire"
)

// maxControlBytesPerSecond is the limit for the control traffic of an instance.
const maxControlBytesPerSecond = 5000

// churnPerSecond is the rate of restarts and failures per instance: 18,000
// restarts and 690 failures a day among 13,000 instances.
const churnPerSecond = 18690.0 / 13000 / 86400

// fullReportTracker returns reports of the maximum size, with 22 failure domains.
type fullReportTracker struct{}

func (fullReportTracker) ReceiveReport(_, _ time.Time, _ string, _ wire.FreshnessReport) {}
func (fullReportTracker) Report(time.Time) (report wire.FreshnessReport) {
	report = wire.FreshnessReport{Known: 1 << 20, Confirmed: 1 << 20, Age: 2000}
	for i := range 22 {
		report.Domains = append(report.Domains, wire.DomainAge{Domain: fmt.Sprintf("fi-south-%02d", i), Age: 2000})
	}
	return report
}

// BenchmarkControlBytes measures the control traffic of an instance with 1% of
// the datagrams lost.
func BenchmarkControlBytes(b *testing.B) {
	for _, n := range []int{8, 64, 256, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				l := newLossyNetwork(b, n, 1, 0.01)
				for _, n := range l.nodes {
					n.Freshness = &fullReportTracker{}
				}
				l.run(20 * time.Second)
				l.bytes = 0
				const seconds = 30
				for range seconds {
					// At least one restart is expected, so that a short run
					// includes churn.
					if l.rng.Float64() < max(churnPerSecond*float64(n), 1.0/seconds) {
						i := l.rng.IntN(n)
						l.start(i)
						l.nodes[i].Freshness = &fullReportTracker{}
					}
					l.run(time.Second)
				}
				rate := float64(l.bytes) / seconds / float64(n)
				b.ReportMetric(rate, "B/s/instance")
				if rate > maxControlBytesPerSecond {
					b.Fatalf("%.0f B/s per instance exceed the limit of %d", rate, maxControlBytesPerSecond)
				}
			}
		})
	}
}

// BenchmarkMemory measures the heap per member. A table of 13,000 members may
// take a tenth of 256 MB, which is 2,000 bytes per member.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{600, 2400, 9600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				t := newLossyNetwork(b, 1, 1, 0).nodes[0]
				for i := range n {
					t.merge(epoch, Update{Addr: addr(i + 1), Domain: "fi-south-1", Incarnation: 1, State: Alive}, false)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				per := float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
				b.ReportMetric(per, "B/member")
				if per > 2000 {
					b.Fatalf("%.0f bytes per member exceed the limit of 2000", per)
				}
				runtime.KeepAlive(t)
			}
		})
	}
}

// BenchmarkTick measures the time of one step, with its ticks, per member.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{600, 2400, 9600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := newLossyNetwork(b, 1, 1, 0)
			t := l.nodes[0]
			for i := range n {
				t.merge(epoch, Update{Addr: addr(i + 1), Domain: "fi-south-1", Incarnation: 1, State: Alive}, false)
				// The member stays stopped and never receives datagrams.
				l.nodes, l.stopped = append(l.nodes, nil), append(l.stopped, true)
			}
			for b.Loop() {
				l.run(step)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/member")
		})
	}
}
