package pick

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// figures are measured over the time after the warm-up.
type figures struct {
	// goodput is the answers in time over the lesser of requests and
	// capacity; peak is the maximum over the mean of the servers' utilisation
	// and spread its coefficient of variation.
	goodput, peak, spread, retries, local float64
	p99                                   time.Duration
}

func measure(policy string, rate float64, seed uint64) figures {
	s := newSim(policy, seed)
	s.load(rate)
	s.run(simFor)
	var f figures
	var sum, squares, capacity float64
	for _, b := range s.backends {
		u := b.useful.Seconds()
		sum, squares = sum+u, squares+u*u
		f.peak = max(f.peak, u)
		capacity += 2 / b.service.Seconds() * (simFor - simWarmup).Seconds()
	}
	mean := sum / 14
	f.peak, f.spread = f.peak/mean, math.Sqrt(max(squares/14-mean*mean, 0))/mean
	f.goodput = float64(s.good) / min(capacity, float64(s.requests))
	slices.Sort(s.latencies)
	f.p99 = s.latencies[len(s.latencies)*99/100]
	var spent, earned, local, placed uint64
	for _, b := range s.instances {
		spent, earned = spent+b.budget.Spent, earned+b.budget.Earned
		local, placed = local+b.Local, placed+b.Placed
	}
	f.local = float64(local) / float64(max(placed, 1))
	f.retries = float64(spent) / float64(earned)
	return f
}

func BenchmarkLoad(b *testing.B) {
	for _, policy := range []string{"random", "roundRobin", "leastInFlight", "picker"} {
		for _, rate := range []float64{0.5, 0.9, 1.2, 2} {
			b.Run(fmt.Sprintf("%s/%v", policy, rate), func(b *testing.B) {
				var f figures
				for b.Loop() {
					f = measure(policy, rate, 1)
				}
				b.ReportMetric(f.goodput, "goodput")
				b.ReportMetric(f.peak, "max/mean")
				b.ReportMetric(f.spread, "cv")
				b.ReportMetric(float64(f.p99.Milliseconds()), "p99-ms")
				b.ReportMetric(f.local, "local")
				b.ReportMetric(f.retries, "retries")
			})
		}
	}
}
