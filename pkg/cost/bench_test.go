package cost

import (
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Benchmarks of the calls for a packet.
func BenchmarkObserve(b *testing.B) {
	w := newWorld(1)
	w.run(2000)
	for i := range b.N {
		w.Observe(w.now, keyOf(i%3), uint64(i%5), baseWork)
	}
}

func BenchmarkExpected(b *testing.B) {
	w := newWorld(1)
	w.run(2000)
	for i := range b.N {
		w.Expected(keyOf(i % 3))
	}
}

func BenchmarkLeft(b *testing.B) {
	w := newWorld(1)
	w.run(2000)
	for i := range b.N {
		w.Left(keyOf(i%3), baseWork)
	}
}

// Guards against models that outgrow the memory of a daemon: 140,000 servers of 300
// services with 6,900 routes and four lengths of requests of each.
func TestMemory(t *testing.T) {
	const services, servers, routes, lengths = 300, 140_000, 6900, 4
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	models := make([]Model, services)
	for i := range models {
		models[i].Start()
		for n := range servers / services {
			k := keyOf(n * routes / servers)
			k.Bucket = uint8(n % lengths)
			models[i].Observe(testStart, k, uint64(n), baseWork)
		}
		for n := range routes / services * lengths {
			k := keyOf(n / lengths)
			k.Bucket = uint8(n % lengths)
			models[i].Observe(testStart, k, 0, time.Second)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	mb := float64(after.HeapAlloc-before.HeapAlloc) / 1e6
	t.Logf("%.1f MB", mb)
	assert.Assert(t, mb < 25.6, "%.1f MB, a tenth of a daemon's 256 MB is planned", mb)
	runtime.KeepAlive(models)
}
