package flow_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/flow"
	"ebonypaddle/pkg/wire"
)

// BenchmarkSlopeTables measures the heap size of a router for services of 20
// servers: per server with tokens only, and per bucket table after each service
// got a packet without a token. A bucket table holds 4,096 identifiers of 4
// bytes, and the allocator rounds its size up by at most an eighth.
func BenchmarkSlopeTables(b *testing.B) {
	for _, n := range []int{100, 400, 1600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := conf.Empty()
			var at []netip.AddrPort
			for i := range n {
				id, path := conf.ServiceID(i+1), fmt.Sprint("/h/", i)
				a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 9000)
				at = append(at, a)
				s.Nodes[path] = conf.Node{Path: path, Values: conf.Values{ServiceID: &id, Address: &a}}
				for j := range 20 {
					sid := conf.ServerID(i*20 + j + 1)
					s.Servers[fmt.Sprint(sid)] = conf.Server{ID: sid, Service: path, Domain: "a", Generation: 1, Mark: conf.MarkIn}
				}
			}
			var before, token, bucket runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			r := &flow.Router{Self: "0"}
			r.Apply(start, s)
			runtime.GC()
			runtime.ReadMemStats(&token)
			for _, a := range at {
				p := wire.Packet{Caller: at[0], Service: a}
				p.Frame.Kind, p.Frame.Flags = wire.KindOpen, wire.FlagStateless
				assert.Equal(b, r.Route(start, &p).Verdict, flow.Forward)
			}
			runtime.GC()
			runtime.ReadMemStats(&bucket)
			for b.Loop() {
				r.Apply(start, s)
			}
			tables := float64(bucket.HeapAlloc-token.HeapAlloc) / float64(n)
			b.ReportMetric(float64(token.HeapAlloc-before.HeapAlloc)/float64(n)/20, "B/server")
			b.ReportMetric(tables, "B/table")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n)/20, "ns/server")
			assert.Assert(b, tables < 4*flow.Buckets*9/8+512, "%.0f bytes a table", tables)
		})
	}
}
