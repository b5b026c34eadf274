package router

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"
)

// manyServers returns n servers of n/20 services in 22 failure domains, as many
// domains as in the largest deployment that the design aims at.
func manyServers(n int) []Change[Server] {
	out := make([]Change[Server], n)
	for i := range out {
		out[i] = Change[Server]{Name: fmt.Sprintf("i-%010x", i+1), Rev: 1, Value: Server{
			ID: ServerID(i + 1), Service: fmt.Sprint("s", i%(n/20)), Domain: fmt.Sprint("d", i%22), Slots: 2, Rev: 1,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 80),
		}}
	}
	return out
}

func newLargeBalancer(n int) *Balancer {
	lb := &Balancer{Domain: "d0", Seed: 1}
	lb.Start(startTime)
	set := testSettings(1)
	for i := range n / 20 {
		set.Routes = append(set.Routes, Route{
			Addr:             netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443),
			WeightedServices: []WeightedService{{fmt.Sprint("s", i), 1}}, Repeatable: true, LatencyTarget: 150 * time.Millisecond,
		})
	}
	lb.ApplySettings(set)
	lb.ApplyServers(startTime, manyServers(n), true)
	lb.SetSynced()
	return lb
}

// BenchmarkOpen measures the placement of a flow.
func BenchmarkOpen(b *testing.B) {
	for _, n := range []int{1_000, 140_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			lb := newLargeBalancer(n)
			now := startTime
			i := 0
			for b.Loop() {
				i++
				now = now.Add(time.Microsecond)
				p := Packet{Open: true, Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 16), byte(i >> 8)}), uint16(i)), Service: lb.settings.Routes[i%(n/20)].Addr}
				lb.Handle(now, &p)
			}
		})
	}
}

// BenchmarkOpenFlowPacket measures the handling of a packet of an open flow.
func BenchmarkOpenFlowPacket(b *testing.B) {
	for _, n := range []int{1_000, 140_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			lb := newLargeBalancer(n)
			p := Packet{Open: true, Caller: netip.MustParseAddrPort("100.64.0.1:5"), Service: lb.settings.Routes[0].Addr}
			token := lb.Handle(startTime, &p).To.Token
			p = Packet{Ack: true, Caller: p.Caller, Service: p.Service, Token: token, Seq: 1, Size: 100}
			for b.Loop() {
				lb.Handle(startTime, &p)
			}
		})
	}
}

// BenchmarkServerChange measures the update of one server record.
func BenchmarkServerChange(b *testing.B) {
	for _, n := range []int{1_000, 140_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			lb := newLargeBalancer(n)
			c := manyServers(n)[:1]
			for b.Loop() {
				c[0].Rev++
				c[0].Value.Leaving = !c[0].Value.Leaving
				lb.ApplyServers(startTime, c, false)
			}
		})
	}
}

// BenchmarkMemory measures the memory per server, with all tables.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1_000, 140_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			lb := newLargeBalancer(n)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				lb.Tick(startTime)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/server")
		})
	}
}

// BenchmarkTick measures Tick, which runs ten times a second.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{1_000, 140_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			lb := newLargeBalancer(n)
			now := startTime
			for b.Loop() {
				now = now.Add(100 * time.Millisecond)
				lb.Tick(now)
			}
		})
	}
}
