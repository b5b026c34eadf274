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

// Guards against a table that differs from the settings after small changes:
// addresses swapped, identifiers that move, records marked, deleted and added.
func TestStepsEqualWhole(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		s := snapshot(30)
		stepped := newTable(0)
		stepped.Apply(epoch0, s)
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
			stepped.Apply(epoch0, s)
			whole := newTable(0)
			whole.Apply(epoch0, s)
			assert.DeepEqual(t, states(stepped), states(whole))
			assert.Equal(t, len(stepped.addrs), len(whole.addrs), "seed %d", seed)
		}
	}
}

type listed struct {
	ID     conf.ServerID
	State  string
	Gen    uint32
	Addr   string
	Marked bool
	Found  bool
}

func states(t *Table) (out []listed) {
	for _, r := range t.order {
		out = append(out, listed{r.id, r.state, r.generation, r.addr.String(), r.marked, t.addrs[r.addr] == r && t.rows[r.id] == r})
	}
	return slices.Clip(out)
}
