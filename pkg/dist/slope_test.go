package dist

import (
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/conf"
)

// serverSnapshot returns a snapshot with n server records at a revision.
func serverSnapshot(rev uint64, n int) *conf.Snapshot {
	s := conf.Empty()
	s.Rev = rev
	for i := range n {
		name := fmt.Sprintf("server-%06d", i)
		s.Servers[name] = conf.Server{ID: conf.ServerID(i + 1), Name: name, Service: fmt.Sprint("/koysipaja/s", i/20), Domain: "fi-south-00", Addr: addr(i), Generation: 1, Mark: conf.MarkIn, Edit: "0123456789abcdef"}
	}
	return s
}

// BenchmarkSlopeSnapshot measures a full delta per record: encoded bytes, heap
// after decoding, and the time to encode it.
func BenchmarkSlopeSnapshot(b *testing.B) {
	for _, n := range []int{1000, 4000, 16000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := fullDelta(serverSnapshot(1, n))
			enc, err := d.Encode()
			assert.NilError(b, err)
			var before, after runtime.MemStats
			// The encoder's pooled buffers survive one garbage collection.
			runtime.GC()
			runtime.GC()
			runtime.ReadMemStats(&before)
			got, err := DecodeDelta(enc)
			assert.NilError(b, err)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				_, err = d.Encode()
			}
			assert.NilError(b, err)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/record")
			b.ReportMetric(float64(len(enc))/float64(n), "B-wire/record")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B-heap/record")
			assert.Assert(b, len(enc) < MaxDelta/140_000*n, "%d bytes for %d records", len(enc), n)
			runtime.KeepAlive(got)
		})
	}
}

// BenchmarkSlopeOffer measures the time per record in which a reader finds the
// changes in a snapshot of the platform.
func BenchmarkSlopeOffer(b *testing.B) {
	for _, n := range []int{1000, 4000, 16000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := Replica{}
			r.ApplySnapshot(serverSnapshot(1, n))
			next := serverSnapshot(2, n)
			next.Servers["server-000000"] = conf.Server{}
			for b.Loop() {
				next.Rev = r.Rev() + 1
				s := *next
				assert.Assert(b, r.ApplySnapshot(&s))
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/record")
		})
	}
}
