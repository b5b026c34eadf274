package member

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkSlopeViews measures the time to list members. The core does that five
// times a second and the daemon ten times.
func BenchmarkSlopeViews(b *testing.B) {
	for _, n := range []int{800, 3200, 12800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t := newLossyNetwork(b, 1, 1, 0).nodes[0]
			for i := range n {
				t.merge(epoch, Update{Addr: addr(i + 1), Domain: fmt.Sprint("domain-", i%22), Incarnation: 1, State: Alive}, false)
			}
			b.ReportAllocs()
			for b.Loop() {
				if len(t.Alive("")) != n+1 || len(t.Alive("domain-1")) < n/22 {
					b.Fatal("a member is missing")
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/member")
		})
	}
}

// BenchmarkSlopeSpread measures the virtual time until every instance knows that
// one is leaving, and until every instance considers a failure domain with 1/22
// of the instances dead. It runs without loss and with 1% of the datagrams lost,
// starting without queued updates 5 s earlier. A result of 120 s means at least
// 120 s. An instance's leaving must be known within 4 s, the time in which a
// change must be in force everywhere.
func BenchmarkSlopeSpread(b *testing.B) {
	for _, loss := range []float64{0, 0.01} {
		for _, n := range []int{44, 132, 440} {
			b.Run(fmt.Sprintf("leave/loss=%v/%d", loss, n), func(b *testing.B) {
				for b.Loop() {
					l := newIdleNetwork(b, n, loss)
					l.nodes[0].Leave()
					took := l.timeUntil(1, func(m Member) bool { return m.Leaving }, 1)
					b.ReportMetric(took.Seconds(), "s-virtual")
					if took > 4*time.Second {
						b.Fatalf("%v exceed the 4 s in which a change must be in force", took)
					}
				}
			})
			b.Run(fmt.Sprintf("domain/loss=%v/%d", loss, n), func(b *testing.B) {
				for b.Loop() {
					l := newIdleNetwork(b, n, loss)
					for i := range n / 22 {
						l.stopped[i] = true
					}
					took := l.timeUntil(n/22, func(m Member) bool { return m.State == Dead }, n/22)
					b.ReportMetric(took.Seconds(), "s-virtual")
				}
			})
		}
	}
}

// newIdleNetwork returns a network in which all instances know each other, after
// 5 s without changes. The freshness reports leave less room for updates.
func newIdleNetwork(b *testing.B, n int, loss float64) *lossyNetwork {
	l := newLossyNetwork(b, n, 1, loss)
	for _, t := range l.nodes {
		t.Freshness = &fullReportTracker{}
		for _, o := range l.nodes {
			t.merge(l.Now, o.selfUpdate, false)
		}
		t.queue = nil
	}
	l.run(5 * time.Second)
	return l
}

// timeUntil returns the virtual time until matches holds for members 0 to first-1
// in the tables of all instances from index from on. It returns after two minutes
// at the latest.
func (l *lossyNetwork) timeUntil(from int, matches func(Member) bool, first int) (took time.Duration) {
	for ; took < 2*time.Minute; took += step {
		missing := 0
		for _, t := range l.nodes[from:] {
			for i := range first {
				if m, _ := t.Get(addr(i)); !matches(m) {
					missing++
				}
			}
		}
		if missing == 0 {
			break
		}
		l.run(step)
	}
	return took
}
