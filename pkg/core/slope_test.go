package core_test

import (
	"crypto/rand"
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/core"
	"ebonypaddle/pkg/dist"
	"ebonypaddle/pkg/wire"
)

// slopeSettings lists n servers, 20 to a service, in 22 failure domains.
func slopeSettings(n int) *conf.Snapshot {
	s := conf.Empty()
	s.Rev = 1
	s.Keys["k"] = conf.Key{ID: 1, Secret: make([]byte, 32)}
	for d := range 22 {
		name := fmt.Sprintf("fi-south-%02d", d)
		e := conf.Entry{Name: name, Peer: slopeAddr(1, d), Data: slopeAddr(2, d), Admin: slopeAddr(3, d)}
		s.Domains[name] = conf.Domain{Name: name, Half: "h", Mark: conf.MarkIn, Entries: []conf.Entry{e}}
	}
	for i := range n {
		path, id, a := fmt.Sprintf("/h/s%d", i/20), conf.ServiceID(i/20+1), slopeAddr(4, i/20)
		s.Nodes[path] = conf.Node{Path: path, Values: conf.Values{ServiceID: &id, Address: &a}}
		name := fmt.Sprintf("server-%06d", i)
		s.Servers[name] = conf.Server{ID: conf.ServerID(i + 1), Name: name, Service: path, Domain: fmt.Sprintf("fi-south-%02d", i%22), Addr: slopeAddr(5, i), Generation: 1, Mark: conf.MarkIn}
	}
	return s
}

func slopeAddr(net byte, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, net, byte(i >> 8), byte(i)}), 9000)
}

// BenchmarkSlopeSettings measures one instance by the servers it knows: heap,
// the time until one changed server or one marked failure domain is in force,
// and probes a second. One server must not cost as much memory as all: the
// bound is below a quarter of the 4,520 bytes that it took. Probes lie at least
// a sixth of the identity TTL of 2 s apart, three a second. The instance stays
// fresh, since otherwise it probes its own failure domain only.
func BenchmarkSlopeSettings(b *testing.B) {
	for i := range 6 {
		n, mark := []int{2000, 8000, 32000}[i%3], i >= 3
		b.Run(fmt.Sprintf("mark=%v/%d", mark, n), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			snap := slopeSettings(n)
			c := &core.Core{Entry: snap.Domains["fi-south-00"].Entries[0], Half: "h", Domain: "fi-south-00", Nonces: rand.Reader}
			c.Start(now)
			_, _, err := c.ApplySettings(now, now, snap)
			assert.NilError(b, err)
			runtime.GC()
			runtime.ReadMemStats(&after)
			perServer := float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
			probes, bytes := 0, 0
			for i := range 500 {
				at := now.Add(time.Duration(i) * 20 * time.Millisecond)
				c.ConfirmSettings(at, at, snap.Rev)
				for _, s := range c.Tick(at) {
					if enc, err := wire.Encode(&s.Packet); s.Target == wire.ToServer && err == nil {
						probes, bytes = probes+1, bytes+len(enc)
					}
				}
			}
			rec, dom := snap.Servers["server-000000"], snap.Domains["fi-south-01"]
			apply := func(d dist.Delta) {
				d.From, d.To = c.Replica.Rev(), c.Replica.Rev()+1
				_, err := c.ApplyDelta(now, d)
				assert.NilError(b, err)
			}
			if mark {
				marks := []conf.Mark{conf.MarkOut, conf.MarkIn}
				for i := 0; b.Loop(); i++ {
					dom.Mark = marks[i%2]
					apply(dist.Delta{Domains: dist.RecordChanges[conf.Domain]{Set: map[string]conf.Domain{dom.Name: dom}}})
				}
			} else {
				runtime.ReadMemStats(&before)
				for b.Loop() {
					rec.Generation++
					apply(dist.Delta{Servers: dist.RecordChanges[conf.Server]{Set: map[string]conf.Server{rec.Name: rec}}})
				}
				runtime.ReadMemStats(&after)
				garbage := float64(after.TotalAlloc-before.TotalAlloc) / float64(b.N) / float64(n)
				assert.Assert(b, garbage < 1000, "%.0f bytes a server allocated for one record", garbage)
			}
			b.ReportMetric(perServer, "B/server")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/server/change")
			b.ReportMetric(float64(probes)/10/float64(n), "probes/s/server")
			b.ReportMetric(float64(bytes)/float64(probes), "B/probe")
			assert.Assert(b, perServer < 1800, "%.0f bytes a server exceed 256 MB for 140,000", perServer)
			assert.Assert(b, probes <= 30*n, "%d probes in 10 s of %d servers", probes, n)
		})
	}
}
