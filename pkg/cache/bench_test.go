package cache

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/revs"
)

// maxControlBytesPerSecond bounds the control traffic of one instance.
const maxControlBytesPerSecond = 5000

// BenchmarkExchange measures the size of a request and its response between two
// instances that have nothing new, and how much an instance with the most
// children sends a second.
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{88, 591} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := newMembers(1, n, func(i, _ int) bool { return i == 0 })[0]
			var cache Cache
			for k := range Kinds {
				cache.Apply(testStart, Delta{Kind: k, Rev: 1 << 40, Full: true})
			}
			cache.SetOrigin("edge-some-domain-1")
			var request, response []byte
			for b.Loop() {
				req := Request{Members: m.Sample(testStart), KnownRevs: cache.Revs(), Age: 1200, MaxWait: 1500}
				res := cache.Respond(testStart.Add(time.Second), req.KnownRevs)
				res.Members = m.Sample(testStart)
				var err error
				request, err = cbor.Marshal(req)
				assert.NilError(b, err)
				response, err = cbor.Marshal(res)
				assert.NilError(b, err)
			}
			// Confirmations pass every 1.2 s. The root of a domain has one parent and
			// up to 2*fanout children: members of its domain and roots of others.
			perSecond := float64(2*fanout*(len(response)+httpHeaderSize)+len(request)+httpHeaderSize) / 1.2
			b.ReportMetric(float64(len(request)), "B/request")
			b.ReportMetric(float64(len(response)), "B/response")
			b.ReportMetric(perSecond, "B/s-max")
			assert.Assert(b, perSecond <= maxControlBytesPerSecond, "%.0f bytes a second", perSecond)
		})
	}
}

// httpHeaderSize is about the size of the HTTP headers of one message, in
// bytes.
const httpHeaderSize = 200

// BenchmarkApply measures the memory for the records of all servers and the
// time to apply one change.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{1_000, 140_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			d := Delta{Kind: Servers, Rev: 1, Full: true}
			for i := range n {
				// A server's record has about 170 bytes.
				d.Objects = append(d.Objects, Object{Name: fmt.Sprintf("i-%010x", i), Rev: 1, Spec: make([]byte, 170)})
			}
			var cache Cache
			cache.Apply(testStart, d)
			d.Objects = nil
			runtime.GC()
			runtime.ReadMemStats(&after)
			rev := revs.Rev(1)
			for b.Loop() {
				rev++
				cache.Apply(testStart, Delta{Kind: Servers, Since: rev - 1, Rev: rev, Objects: []Object{{Name: "i-0000000001", Rev: rev}}})
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/server")
		})
	}
}
