package conf

import (
	"fmt"
	"maps"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a change of a server that no table hears of.
func TestServerStep(t *testing.T) {
	base := Empty()
	for i := range 300 {
		name := fmt.Sprint(i)
		base.Servers[name] = Server{ID: ServerID(i), Name: name, Generation: 1}
	}
	for name, c := range map[string]struct {
		change    func(*Snapshot)
		set, gone int
		ok        bool
	}{
		"nothing":  {func(*Snapshot) {}, 0, 0, true},
		"changed":  {func(s *Snapshot) { s.Servers["7"] = Server{ID: 7, Generation: 2} }, 1, 1, true},
		"added":    {func(s *Snapshot) { s.Servers["x"] = Server{ID: 301} }, 1, 0, true},
		"deleted":  {func(s *Snapshot) { delete(s.Servers, "7") }, 0, 1, true},
		"replaced": {func(s *Snapshot) { delete(s.Servers, "7"); s.Servers["x"] = Server{ID: 7} }, 1, 1, true},
		"all gone": {func(s *Snapshot) { clear(s.Servers) }, 0, 300, false},
		"domains":  {func(s *Snapshot) { s.Domains = maps.Clone(s.Domains) }, 0, 0, false},
		"nodes":    {func(s *Snapshot) { s.Nodes = maps.Clone(s.Nodes) }, 0, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			next := *base
			next.Servers = maps.Clone(base.Servers)
			c.change(&next)
			step, ok := ServerStep(base, &next)
			assert.Equal(t, ok, c.ok)
			assert.Equal(t, len(step.Set), c.set)
			assert.Equal(t, len(step.Gone), c.gone)
		})
	}
	_, ok := ServerStep(nil, base)
	assert.Assert(t, !ok)
}
