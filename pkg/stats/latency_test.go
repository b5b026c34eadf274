package stats_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/stats"
)

// Guards against latencies that are not counted because they are out of range,
// and quantiles that are not in milliseconds, as documented.
func TestLatencyRangeAndUnit(t *testing.T) {
	var l stats.Latency
	assert.DeepEqual(t, l.Map(), map[string]float64{"count": 0})
	for i := range 99 {
		l.Record(time.Duration(i+1) * time.Millisecond)
	}
	l.Record(time.Hour)
	l.Record(-time.Second)
	m := l.Map()
	assert.Equal(t, m["count"], 101.0)
	assert.Assert(t, m["p50"] >= 49 && m["p50"] <= 51, "%v", m)
	assert.Assert(t, m["max"] >= 59_000 && m["max"] <= 61_000, "%v", m)
}
