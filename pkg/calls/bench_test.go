package calls_test

import (
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/calls"
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
				r.reply(0, &r.out.Sends[0], 0, 1, nil)
				r.out.Reset()
			}
		})
	}
}

// BenchmarkStored measures a once-only request with a stored answer beside n
// stored outcomes. bytes/outcome is the memory that one outcome holds.
func BenchmarkStored(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			r := store(b, n)
			runtime.GC()
			runtime.ReadMemStats(&after)
			assert.Equal(b, r.tb[0].Size().Tickets, n)
			per := float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
			b.ReportAllocs()
			for b.Loop() {
				storeOne(r)
			}
			b.ReportMetric(per, "bytes/outcome")
			assert.Assert(b, per < 1280, "%.0f bytes exceed half of 256 MB for 100,000 outcomes", per)
		})
	}
}

func store(b testing.TB, n int) *rig {
	r := newRig(b)
	r.tb[0].MaxTickets, r.tb[0].MaxBytes = 1<<30, 1<<40
	for range n {
		storeOne(r)
	}
	return r
}

func storeOne(r *rig) {
	r.request(0, r.ticketed(1))
	s := r.out.Sends[0]
	r.out.Reset()
	r.reply(0, &s, 0, 1, nil)
	r.out.Reset()
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
				r.reply(0, s, 0, 1, shed)
			} else {
				r.reply(0, s, 0, 1, nil)
			}
		}
		if r.one(wire.ToCaller).Packet.Frame.Outcome == wire.OutcomeDone {
			answered++
		}
	}
	t.Logf("%d requests, %d sends, %d answered", requests, sends, answered)
	assert.Assert(t, sends <= requests*11/10, "%d sends for %d requests", sends, requests)
	assert.Assert(t, sends > requests, "no request was retried")
	assert.Equal(t, r.tb[0].Size(), calls.Size{})
}
