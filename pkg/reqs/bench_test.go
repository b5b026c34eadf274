package reqs_test

import (
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/reqs"
	"ebonypaddle/pkg/wire"
)

var benchSizes = []int{1_000, 10_000, 100_000}

// BenchmarkRequest measures a repeatable request with an answer of one part,
// while n other requests are in progress.
func BenchmarkRequest(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := newHarness(b)
			h.tables[0].MaxPending = n + 1
			p := requestPacket(0, 0)
			for i := range n {
				p.Frame.ID = wire.RequestID{1, byte(i), byte(i >> 8), byte(i >> 16)}
				h.request(0, p)
				h.out.Reset()
			}
			p.Frame.ID = wire.RequestID{2}
			b.ReportAllocs()
			for b.Loop() {
				h.tables[0].HandleRequest(h.now, service, &p, &h.out)
				h.answer(&h.out.Sends[0], 0, 1, nil)
				h.out.Reset()
			}
		})
	}
}

// BenchmarkStored fills the table with n outcomes, reads the size of the heap,
// and measures a retransmission that gets a stored answer.
func BenchmarkStored(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := newHarness(b)
			h.tables[0].MaxTickets, h.tables[0].MaxBytes = n, 1<<30
			before := heapInUse()
			var p wire.Packet
			for i := range n {
				p = requestPacket(0, wire.FlagOnce)
				p.Frame.ID = wire.RequestID{1, byte(i), byte(i >> 8), byte(i >> 16)}
				p.Frame.Body = make([]byte, wire.MaxBody)
				h.request(0, p)
				p.Frame.Token = h.out.Sends[0].Packet.Frame.Token
				h.out.Reset()
				h.request(0, p)
				h.answer(&h.out.Sends[0], 0, 1, func(f *wire.Frame) { f.Body = make([]byte, storedBody) })
				h.out.Reset()
			}
			per := float64(heapInUse()-before) / float64(n)
			assert.Equal(b, h.tables[0].Size(), reqs.Size{Tickets: n, Bytes: h.tables[0].Size().Bytes, Attempts: n, Timers: n})
			b.ReportAllocs()
			for b.Loop() {
				h.tables[0].HandleRequest(h.now, service, &p, &h.out)
				if h.out.Sends[0].Packet.Frame.Outcome != wire.OutcomeDone {
					b.Fatal("no stored answer")
				}
				h.out.Reset()
			}
			b.ReportMetric(per, "heap-B/outcome")
			b.ReportMetric(per-storedBody, "overhead-B/outcome")
			assert.Assert(b, per-storedBody < maxOverhead, "%.0f bytes in addition to the answer", per-storedBody)
		})
	}
}

// storedBody is the size in bytes of the answers in BenchmarkStored, and
// maxOverhead the memory in bytes that an outcome may take in addition to its
// answer: 100,000 tickets must fit into half of the 256 MB that section 1 of
// docs/design.md allows.
const (
	storedBody  = 256
	maxOverhead = 128_000_000 / 100_000
)

// heapInUse returns the bytes in use after a garbage collection.
func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against retries that add to an overload. Servers at twice their capacity
// shed every second request, and retries must stay within the 10% budget of
// section 4.6 of docs/design.md.
func TestOverloadSends(t *testing.T) {
	const requests = 20_000
	h := newHarness(t)
	h.tables[0].Budget = &fakeBudget{perRequest: 0.1}
	sends, answered := 0, 0
	for i := range requests {
		p := requestPacket(0, 0)
		p.Frame.ID = wire.RequestID{byte(i), byte(i >> 8)}
		h.request(0, p)
		for len(h.out.Sends) > 0 && h.out.Sends[0].Target == wire.ToServer {
			s := h.onlySend(wire.ToServer)
			if sends++; sends%2 == 0 {
				h.answer(s, 0, 1, shed)
			} else {
				h.answer(s, 0, 1, nil)
			}
		}
		if h.onlySend(wire.ToCaller).Packet.Frame.Outcome == wire.OutcomeDone {
			answered++
		}
	}
	t.Logf("%d requests, %d sends, %d answered", requests, sends, answered)
	assert.Assert(t, sends <= requests*11/10, "%d sends for %d requests", sends, requests)
	assert.Assert(t, sends > requests, "no request was retried")
	assert.Equal(t, h.tables[0].Size(), reqs.Size{})
}
