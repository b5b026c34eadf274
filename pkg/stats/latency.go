package stats

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the largest time told apart; longer ones count as it.
	maxLatency = time.Minute
	// latencyDigits is the precision in decimal digits.
	latencyDigits = 2
)

// Latency is a histogram of times. The zero value is ready. It is not safe for
// concurrent use.
type Latency struct{ h *hdrhistogram.Histogram }

// Record counts one time.
func (l *Latency) Record(d time.Duration) {
	if l.h == nil {
		l.h = hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
	}
	// The value is within the range of the histogram, so it is taken.
	_ = l.h.RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds())
}

// Map returns the count, and quantiles in milliseconds.
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
