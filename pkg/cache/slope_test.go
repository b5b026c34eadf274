package cache

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// bound of control traffic of one instance, in bytes a second.
const trafficBound = 5000

// BenchmarkExchange is the size of the messages between two instances that have
// nothing new, and what an instance with the most children sends in a second.
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{88, 591} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := fleet(1, n, func(i, _ int) bool { return i == 0 })[0]
			var cache Cache
			for k := range Kinds {
				cache.Apply(begin, Delta{Kind: k, Rev: 1 << 40, Full: true})
			}
			cache.SetOrigin("edge-some-domain-1")
			var asked, answered []byte
			for b.Loop() {
				q := Request{Members: m.Sample(begin), Have: cache.Revs(), Age: 1200, Wait: 1500}
				a := cache.Respond(begin.Add(time.Second), q.Have)
				a.Members = m.Sample(begin)
				var err error
				asked, err = cbor.Marshal(q)
				assert.NilError(b, err)
				answered, err = cbor.Marshal(a)
				assert.NilError(b, err)
			}
			// Confirmations pass every 1.2 s; 2*fan children, one parent.
			perSecond := float64(2*fan*(len(answered)+httpHead)+len(asked)+httpHead) / 1.2
			b.ReportMetric(float64(len(asked)), "B/question")
			b.ReportMetric(float64(len(answered)), "B/answer")
			b.ReportMetric(perSecond, "B/s-at-most")
			assert.Assert(b, perSecond <= trafficBound, "%.0f bytes a second", perSecond)
		})
	}
}

// httpHead is about the size of the headers of one message.
const httpHead = 200

// BenchmarkBook is the memory for the records of all servers, and the time to
// take one change.
func BenchmarkBook(b *testing.B) {
	for _, n := range []int{1_000, 140_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			d := Delta{Kind: Servers, Rev: 1, Full: true}
			for i := range n {
				// A record of a server has about 170 bytes.
				d.Objects = append(d.Objects, Object{Name: fmt.Sprintf("i-%010x", i), Rev: 1, Spec: make([]byte, 170)})
			}
			var cache Cache
			cache.Apply(begin, d)
			d.Objects = nil
			runtime.GC()
			runtime.ReadMemStats(&after)
			rev := uint64(1)
			for b.Loop() {
				rev++
				cache.Apply(begin, Delta{Kind: Servers, Since: rev - 1, Rev: rev, Objects: []Object{{Name: "i-0000000001", Rev: rev}}})
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/server")
		})
	}
}
