package flow

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/conf"
)

// Guards against router state that differs from the settings after incremental
// changes. Each state is compared with that of a router which applied the whole
// snapshot.
func TestDiffsMatchFullApply(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		s := conf.Empty()
		for i, path := range []string{"/h/a", "/h/b"} {
			id, a := conf.ServiceID(i+1), netip.AddrPortFrom(netip.IPv6Loopback(), uint16(i+1))
			s.Nodes[path] = conf.Node{Path: path, Values: conf.Values{ServiceID: &id, Address: &a}}
		}
		var incremental Router
		incremental.Apply(time.Time{}, s)
		for range 50 {
			next := *s
			next.Servers = maps.Clone(s.Servers)
			i := r.IntN(20)
			next.Servers[strconv.Itoa(i)] = conf.Server{ID: conf.ServerID(i + 1), Service: []string{"/h/a", "/h/b", "/h/none"}[r.IntN(3)], Generation: uint32(r.IntN(2)), Mark: conf.MarkIn}
			if r.IntN(4) == 0 {
				delete(next.Servers, strconv.Itoa(i))
			}
			s = &next
			incremental.Apply(time.Time{}, s)
			var full Router
			full.Apply(time.Time{}, s)
			assert.Assert(t, maps.Equal(incremental.servers, full.servers), "seed %d", seed)
			for path, svc := range full.byPath {
				assert.Equal(t, len(svc.servers), len(incremental.byPath[path].servers))
				for i, id := range svc.servers {
					assert.Equal(t, incremental.byPath[path].servers[i], id, "seed %d", seed)
				}
			}
		}
	}
}
