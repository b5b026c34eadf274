package pick

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/conf"
)

// Guards against candidates that differ from the settings after small changes.
func TestStepsEqualWhole(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		s := settings(20)
		id := conf.ServiceID(8)
		s.Nodes["/k/other"] = conf.Node{Values: conf.Values{ServiceID: &id}}
		stepped := &Picker{Entry: "a0", Domain: "a"}
		stepped.Apply(begin, s)
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
			stepped.Apply(begin, s)
			whole := &Picker{Entry: "a0", Domain: "a"}
			whole.Apply(begin, s)
			assert.Equal(t, fmt.Sprint(listed(stepped)), fmt.Sprint(listed(whole)), "seed %d", seed)
		}
	}
}

// listed returns the rows by service and distance in their order.
func listed(p *Picker) map[conf.ServiceID][]string {
	out := map[conf.ServiceID][]string{0: {fmt.Sprint(len(p.rows))}}
	for id, svc := range p.services {
		for _, r := range append(append([]*row{}, svc.own...), svc.other...) {
			out[id] = append(out[id], fmt.Sprint(r.id, r.generation, r.local, r.place, r.limits, p.rows[r.id] == r))
		}
	}
	return out
}
