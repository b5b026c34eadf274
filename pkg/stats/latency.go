package stats

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the largest recorded latency; longer ones count as this.
	maxLatency = time.Minute
	// latencyDigits is the precision in significant decimal digits.
	latencyDigits = 2
)

// Latency is a histogram of latencies from 1 us to maxLatency. The zero value is
// ready to use. It is not safe for concurrent use.
type Latency struct{ h *hdrhistogram.Histogram }

// Record adds one latency. Values out of range count as the nearest bound.
func (l *Latency) Record(d time.Duration) {
	if l.h == nil {
		l.h = hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
	}
	// RecordValue fails only for values out of the histogram's range.
	_ = l.h.RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds())
}

// Map returns the number of latencies under count, and max, p50, p90, p99 and
// p999 in milliseconds if there are any.
func (l *Latency) Map() map[string]float64 {
	if l.h == nil {
		return map[string]float64{"count": 0}
	}
	m := map[string]float64{"count": float64(l.h.TotalCount()), "max": millis(l.h.Max())}
	for name, q := range map[string]float64{"p50": 50, "p90": 90, "p99": 99, "p999": 99.9} {
		m[name] = millis(l.h.ValueAtQuantile(q))
	}
	return m
}

func millis(us int64) float64 { return float64(us) / 1000 }
