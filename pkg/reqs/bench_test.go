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

// BenchmarkRequest measures a repeatable request with one answer part beside n
// requests in progress.
func BenchmarkRequest(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := newRig(b)
			r.tb[0].MaxPending = n + 1
			p := packet(0, 0)
			for i := range n {
				p.Frame.ID = wire.RequestID{1, byte(i), byte(i >> 8), byte(i >> 16)}
				r.request(0, p)
				r.out.Reset()
			}
			p.Frame.ID = wire.RequestID{2}
			b.ReportAllocs()
			for b.Loop() {
				r.tb[0].HandleRequest(r.now, service, &p, &r.out)
				r.reply(&r.out.Sends[0], 0, 1, nil)
				r.out.Reset()
			}
		})
	}
}

// BenchmarkStored fills the table with outcomes once for each size, reads the
// heap, and measures a repeat that gets the stored answer.
func BenchmarkStored(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := newRig(b)
			r.tb[0].MaxTickets, r.tb[0].MaxBytes = n, 1<<30
			before := heap()
			var p wire.Packet
			for i := range n {
				p = packet(0, wire.FlagOnce)
				p.Frame.ID = wire.RequestID{1, byte(i), byte(i >> 8), byte(i >> 16)}
				p.Frame.Body = make([]byte, wire.MaxBody)
				r.request(0, p)
				p.Frame.Token = r.out.Sends[0].Packet.Frame.Token
				r.out.Reset()
				r.request(0, p)
				r.reply(&r.out.Sends[0], 0, 1, func(f *wire.Frame) { f.Body = make([]byte, storedBody) })
				r.out.Reset()
			}
			per := float64(heap()-before) / float64(n)
			assert.Equal(b, r.tb[0].Size(), reqs.Size{Tickets: n, Bytes: r.tb[0].Size().Bytes, Attempts: n, Timers: n})
			b.ReportAllocs()
			for b.Loop() {
				r.tb[0].HandleRequest(r.now, service, &p, &r.out)
				if r.out.Sends[0].Packet.Frame.Outcome != wire.OutcomeDone {
					b.Fatal("no stored answer")
				}
				r.out.Reset()
			}
			b.ReportMetric(per, "heap-B/outcome")
			b.ReportMetric(per-storedBody, "overhead-B/outcome")
			assert.Assert(b, per-storedBody < maxOverhead, "%.0f bytes beside the answer", per-storedBody)
		})
	}
}

// storedBody is the size in bytes of the answers that BenchmarkStored keeps.
// maxOverhead is what an outcome may take beside its answer, in bytes: 100,000
// tickets in half of the 256 MB that section 1 of docs/design.md allows.
const (
	storedBody  = 256
	maxOverhead = 128_000_000 / 100_000
)

// heap returns the bytes in use after a collection.
func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestOverloadSends bounds the sends to servers at twice the capacity: servers
// shed every second request, and retries come out of the 10% budget of
// section 4.6 of docs/design.md.
func TestOverloadSends(t *testing.T) {
	const requests = 20_000
	r := newRig(t)
	r.tb[0].Budget = &budget{share: 0.1}
	sends, answered := 0, 0
	for i := range requests {
		p := packet(0, 0)
		p.Frame.ID = wire.RequestID{byte(i), byte(i >> 8)}
		r.request(0, p)
		for len(r.out.Sends) > 0 && r.out.Sends[0].Target == wire.ToServer {
			s := r.one(wire.ToServer)
			if sends++; sends%2 == 0 {
				r.reply(s, 0, 1, shed)
			} else {
				r.reply(s, 0, 1, nil)
			}
		}
		if r.one(wire.ToCaller).Packet.Frame.Outcome == wire.OutcomeDone {
			answered++
		}
	}
	t.Logf("%d requests, %d sends, %d answered", requests, sends, answered)
	assert.Assert(t, sends <= requests*11/10, "%d sends for %d requests", sends, requests)
	assert.Assert(t, sends > requests, "no request was retried")
	assert.Equal(t, r.tb[0].Size(), reqs.Size{})
}
