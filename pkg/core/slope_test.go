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

// settingsWithServers returns settings with n servers, 20 for each service, in 22
// failure domains.
func settingsWithServers(n int) *conf.Snapshot {
	s := conf.Empty()
	s.Rev = 1
	s.Keys["k"] = conf.Key{ID: 1, Secret: make([]byte, 32)}
	for d := range 22 {
		name := fmt.Sprintf("fi-south-%02d", d)
		e := conf.Entry{Name: name, Peer: testAddr(1, d), Data: testAddr(2, d), Admin: testAddr(3, d)}
		s.Domains[name] = conf.Domain{Name: name, Half: "h", Mark: conf.MarkIn, Entries: []conf.Entry{e}}
	}
	for i := range n {
		path, id, a := fmt.Sprintf("/h/s%d", i/20), conf.ServiceID(i/20+1), testAddr(4, i/20)
		s.Nodes[path] = conf.Node{Path: path, Values: conf.Values{ServiceID: &id, Address: &a}}
		name := fmt.Sprintf("server-%06d", i)
		s.Servers[name] = conf.Server{ID: conf.ServerID(i + 1), Name: name, Service: path, Domain: fmt.Sprintf("fi-south-%02d", i%22), Addr: testAddr(5, i), Generation: 1, Mark: conf.MarkIn}
	}
	return s
}

// testAddr returns address i of a network.
func testAddr(net byte, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, net, byte(i >> 8), byte(i)}), 9000)
}

// BenchmarkSlopeSettings measures how the cost of one instance grows with the
// number of servers in its settings: heap, the time to put one changed server or
// one marked failure domain in force, and probes a second. A change of one server
// must not allocate memory for all of them: it once allocated 4,520 bytes for
// each server, and the limit is less than a quarter of that. Probes are at least a
// sixth of the identity TTL of 2 s apart, that is at most three a second. The
// instance stays fresh, since otherwise it probes only its own failure domain.
func BenchmarkSlopeSettings(b *testing.B) {
	for i := range 6 {
		n, mark := []int{2000, 8000, 32000}[i%3], i >= 3
		b.Run(fmt.Sprintf("mark=%v/%d", mark, n), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			snap := settingsWithServers(n)
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
				assert.Assert(b, garbage < 1000, "a change of one server allocated %.0f bytes for each server", garbage)
			}
			b.ReportMetric(perServer, "B/server")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/server/change")
			b.ReportMetric(float64(probes)/10/float64(n), "probes/s/server")
			b.ReportMetric(float64(bytes)/float64(probes), "B/probe")
			assert.Assert(b, perServer < 1800, "%.0f bytes for each server exceed 256 MB with 140,000 servers", perServer)
			assert.Assert(b, probes <= 30*n, "%d probes in 10 s of %d servers", probes, n)
		})
	}
}
