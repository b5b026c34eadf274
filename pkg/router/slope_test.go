package router

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"
)

// grid returns n servers of n/20 services over 22 failure domains, as at the
// size that the design aims at.
func grid(n int) []Change[Server] {
	out := make([]Change[Server], n)
	for i := range out {
		out[i] = Change[Server]{Name: fmt.Sprintf("i-%010x", i+1), Rev: 1, Value: Server{
			ID: ServerID(i + 1), Service: fmt.Sprint("s", i%(n/20)), Domain: fmt.Sprint("d", i%22), Slots: 2, Rev: 1,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 80),
		}}
	}
	return out
}

func newGrid(n int) *Balancer {
	s := &Balancer{Domain: "d0", Seed: 1}
	s.Start(begin)
	set := settings(1)
	for i := range n / 20 {
		set.Routes = append(set.Routes, Route{
			Addr:             netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443),
			WeightedServices: []WeightedService{{fmt.Sprint("s", i), 1}}, Repeatable: true, LatencyTarget: 150 * time.Millisecond,
		})
	}
	s.ApplySettings(set)
	s.ApplyServers(begin, grid(n), true)
	s.SetSynced()
	return s
}

// BenchmarkOpen is the cost of placing a flow.
func BenchmarkOpen(b *testing.B) {
	for _, n := range []int{1_000, 140_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newGrid(n)
			now := begin
			i := 0
			for b.Loop() {
				i++
				now = now.Add(time.Microsecond)
				p := Packet{Open: true, Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 16), byte(i >> 8)}), uint16(i)), Service: s.settings.Routes[i%(n/20)].Addr}
				s.Handle(now, &p)
			}
		})
	}
}

// BenchmarkFollow is the cost of a packet of an open flow.
func BenchmarkFollow(b *testing.B) {
	for _, n := range []int{1_000, 140_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newGrid(n)
			p := Packet{Open: true, Caller: netip.MustParseAddrPort("100.64.0.1:5"), Service: s.settings.Routes[0].Addr}
			token := s.Handle(begin, &p).To.Token
			p = Packet{Ack: true, Caller: p.Caller, Service: p.Service, Token: token, Seq: 1, Size: 100}
			for b.Loop() {
				s.Handle(begin, &p)
			}
		})
	}
}

// BenchmarkServerChange is the cost of one changed record.
func BenchmarkServerChange(b *testing.B) {
	for _, n := range []int{1_000, 140_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newGrid(n)
			c := grid(n)[:1]
			for b.Loop() {
				c[0].Rev++
				c[0].Value.Leaving = !c[0].Value.Leaving
				s.ApplyServers(begin, c, false)
			}
		})
	}
}

// BenchmarkMemory is the memory for a server and its place in the tables.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1_000, 140_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			s := newGrid(n)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				s.Tick(begin)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/server")
		})
	}
}

// BenchmarkTick is the cost of the systems that run ten times a second.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{1_000, 140_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newGrid(n)
			now := begin
			for b.Loop() {
				now = now.Add(100 * time.Millisecond)
				s.Tick(now)
			}
		})
	}
}
