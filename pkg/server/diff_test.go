package server

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/conf"
)

// Guards against a table that differs from the settings after incremental
// changes: swapped addresses, changed identifiers, and records that are marked,
// deleted or added.
func TestDiffMatchesFullApply(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		s := snapshot(30)
		incremental := newTable(0)
		incremental.Apply(epoch0, s)
		for range 50 {
			next := *s
			next.Servers = maps.Clone(s.Servers)
			for range 1 + r.IntN(4) {
				name := strconv.Itoa(1 + r.IntN(40))
				rec := conf.Server{ID: conf.ServerID(1 + r.IntN(40)), Service: "/k/order", Domain: "a", Generation: uint32(r.IntN(2)), Addr: addr(conf.ServerID(r.IntN(60)))}
				rec.Mark = []conf.Mark{conf.MarkIn, conf.MarkLeaving, conf.MarkRemoved}[r.IntN(3)]
				maps.DeleteFunc(next.Servers, func(_ string, o conf.Server) bool { return o.ID == rec.ID || o.Addr == rec.Addr })
				if r.IntN(4) > 0 {
					next.Servers[name] = rec
				} else {
					delete(next.Servers, name)
				}
			}
			s = &next
			incremental.Apply(epoch0, s)
			full := newTable(0)
			full.Apply(epoch0, s)
			assert.DeepEqual(t, indexedServers(incremental), indexedServers(full))
			assert.Equal(t, len(incremental.byAddr), len(full.byAddr), "seed %d", seed)
		}
	}
}

type indexedServer struct {
	ID     conf.ServerID
	State  string
	Gen    uint32
	Addr   string
	Marked bool
	Found  bool
}

func indexedServers(t *Table) (out []indexedServer) {
	for _, e := range t.probeOrder {
		out = append(out, indexedServer{e.id, e.state, e.generation, e.addr.String(), e.markedLeaving, t.byAddr[e.addr] == e && t.entries[e.id] == e})
	}
	return slices.Clip(out)
}
