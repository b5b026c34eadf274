package conf

import (
	"fmt"
	"maps"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against changed server records that are missing from the diff, so that
// the tables that apply it would keep the old records.
func TestDiffServers(t *testing.T) {
	base := Empty()
	for i := range 300 {
		name := fmt.Sprint(i)
		base.Servers[name] = Server{ID: ServerID(i), Name: name, Generation: 1}
	}
	for name, tc := range map[string]struct {
		change                 func(*Snapshot)
		newRecords, oldRecords int
		ok                     bool
	}{
		"nothing":     {func(*Snapshot) {}, 0, 0, true},
		"changed":     {func(s *Snapshot) { s.Servers["7"] = Server{ID: 7, Generation: 2} }, 1, 1, true},
		"added":       {func(s *Snapshot) { s.Servers["x"] = Server{ID: 301} }, 1, 0, true},
		"deleted":     {func(s *Snapshot) { delete(s.Servers, "7") }, 0, 1, true},
		"replaced":    {func(s *Snapshot) { delete(s.Servers, "7"); s.Servers["x"] = Server{ID: 7} }, 1, 1, true},
		"all deleted": {func(s *Snapshot) { clear(s.Servers) }, 0, 300, false},
		"domains":     {func(s *Snapshot) { s.Domains = maps.Clone(s.Domains) }, 0, 0, false},
		"nodes":       {func(s *Snapshot) { s.Nodes = maps.Clone(s.Nodes) }, 0, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			next := *base
			next.Servers = maps.Clone(base.Servers)
			tc.change(&next)
			diff, ok := DiffServers(base, &next)
			assert.Equal(t, ok, tc.ok)
			assert.Equal(t, len(diff.New), tc.newRecords)
			assert.Equal(t, len(diff.Old), tc.oldRecords)
		})
	}
	_, ok := DiffServers(nil, base)
	assert.Assert(t, !ok)
}

// Guards against results that differ from Resolve, such as the values of the
// service for a failure domain that has its own node, and against a cache entry
// for each failure domain without a node.
func TestCacheEqualsResolve(t *testing.T) {
	s, two, five := Empty(), 2, 5
	s.Nodes["/"], s.Nodes["/h"] = Node{Path: "/"}, Node{Path: "/h"}
	s.Nodes["/h/a"] = Node{Path: "/h/a", Values: Values{Slots: &two}}
	s.Nodes["/h/a/d1"] = Node{Path: "/h/a/d1", Values: Values{Slots: &five}}
	for i := range 3 {
		name := fmt.Sprint("d", i)
		s.Domains[name] = Domain{Name: name, Half: "h"}
	}
	c := Cache{Snapshot: s}
	for i := range 6 {
		name := fmt.Sprint("d", i%3)
		want, err := s.Resolve("/h/a/" + name)
		assert.NilError(t, err)
		assert.Equal(t, c.Server(&Server{Service: "/h/a", Domain: name}).Slots, want.Slots, name)
	}
	assert.Equal(t, len(c.byPath), 2)
}
