package pick

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/conf"
)

// Guards against picker state that differs from the settings after incremental
// changes. Each state is compared with that of a picker which applied the whole
// snapshot.
func TestDiffsMatchFullApply(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		s := settings(20)
		id := conf.ServiceID(8)
		s.Nodes["/k/other"] = conf.Node{Values: conf.Values{ServiceID: &id}}
		incremental := &Picker{Entry: "a0", Domain: "a"}
		incremental.Apply(testStart, s)
		for range 50 {
			next := *s
			next.Servers = maps.Clone(s.Servers)
			i := r.IntN(30)
			rec := conf.Server{ID: conf.ServerID(i + 1), Service: []string{"/k/order", "/k/other", "/k/none"}[r.IntN(3)], Domain: string(rune('a' + r.IntN(4))), Generation: uint32(r.IntN(2)), Mark: conf.MarkIn}
			if r.IntN(4) == 0 {
				rec.Mark = conf.MarkRemoved
			}
			next.Servers[fmt.Sprint(i)] = rec
			if r.IntN(4) == 0 {
				delete(next.Servers, fmt.Sprint(i))
			}
			s = &next
			incremental.Apply(testStart, s)
			full := &Picker{Entry: "a0", Domain: "a"}
			full.Apply(testStart, s)
			assert.Equal(t, fmt.Sprint(serversByService(incremental)), fmt.Sprint(serversByService(full)), "seed %d", seed)
		}
	}
}

// serversByService describes the servers of each service in their order, those
// in the picker's failure domain first.
func serversByService(p *Picker) map[conf.ServiceID][]string {
	out := map[conf.ServiceID][]string{0: {fmt.Sprint(len(p.states))}}
	for id, svc := range p.services {
		for _, r := range append(append([]*serverState{}, svc.local...), svc.remote...) {
			out[id] = append(out[id], fmt.Sprint(r.id, r.generation, r.local, r.position, r.limits, p.states[r.id] == r))
		}
	}
	return out
}
