package daemon

import (
	"errors"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/revs"
	"ebonypaddle/pkg/store"
)

// Guards against accepted settings that revert, and a store that is ignored for good.
func TestRestoredStoreRevertsNoSettings(t *testing.T) {
	node := func(name, value string) store.Object {
		return store.Object{Kind: store.KindNode, Name: name, Rev: 2, Value: []byte(value)}
	}
	same := []store.Object{node("/", `{"path":"/"}`), node("/k", `{"path":"/k"}`)}
	edited := []store.Object{same[0], node("/k", `{"path":"/k","values":{"slots":9}}`)}
	for _, tc := range []struct {
		name      string
		rev       uint64 // of the store; the instance is at 5
		objects   []store.Object
		confirmed uint64
		adopted   bool
	}{
		{"settings lost, lower revision", 3, same[:1], 0, false},
		{"settings lost, same revision", 5, same[:1], 0, false},
		{"settings lost, higher revision", 9, same[:1], 0, false},
		{"settings edited", 9, edited, 0, false},
		{"settings equal, lower revision", 3, same, 0, true},
		{"settings equal, higher revision", 9, same, 0, true},
		{"confirmed by operators", 9, edited, 1, true},
		{"another era confirmed by operators", 9, edited, 7, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := &fakePlatform{era: 1, rev: tc.rev, objects: tc.objects, confirmed: tc.confirmed}
			d := newDaemon(t, p)
			err := d.watchStore(t.Context())
			rev := revs.Rev(d.rev())
			if tc.adopted {
				assert.NilError(t, err)
				assert.Equal(t, rev.String(), "1."+revs.Rev(tc.rev).String())
				assert.Equal(t, len(d.settings().Nodes), len(tc.objects))
				assertFresh(t, d, true)
				return
			}
			var lost *LostSettingsError
			assert.Assert(t, errors.As(err, &lost), "%v", err)
			assert.Equal(t, rev, revs.Rev(5))
			assert.Equal(t, d.Counters.SettingsRegressed.Load(), uint64(1))
			assertFresh(t, d, false)
		})
	}
}

// Guards against changes that are missed because a watch goes on in a new era.
func TestNoWatchAcrossEras(t *testing.T) {
	d := newDaemon(t, &fakePlatform{era: 1, rev: 9, events: []store.Event{{Rev: 9, Kind: store.KindNode, Name: "/k/order", Value: []byte(`{"generation":1,"values":{"slots":3}}`)}}})
	assert.Assert(t, d.watchStore(t.Context()) != nil)
	assert.Assert(t, d.settings().Nodes["/k/order"].Path == "")
}

// Guards against a live instance that gets no packets because the store lost its entry.
func TestLostInstanceIsListedAgain(t *testing.T) {
	live, leaving := []byte(`{"state":"live"}`), []byte(`{"state":"leaving"}`)
	for _, tc := range []struct {
		name   string
		listed []store.Object
		puts   []string
	}{
		{"entry lost", nil, []string{"/v1/objects/instance/a0"}},
		{"entry of the last stop", []store.Object{{Kind: store.KindInstance, Name: "a0", Rev: 1, Value: leaving}}, []string{"/v1/objects/instance/a0"}},
		{"entry kept", []store.Object{{Kind: store.KindInstance, Name: "a0", Rev: 1, Value: live}}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := &fakePlatform{rev: 6}
			d := newDaemon(t, p)
			snap := *d.settings()
			snap.Rev = 6
			dead := conf.Entry{Name: "a1", Data: netip.MustParseAddrPort("10.0.0.2:7000"), Peer: netip.MustParseAddrPort("10.0.0.2:7001")}
			snap.Domains = map[string]conf.Domain{"a": {Name: "a", Half: "k", Mark: conf.MarkIn, Entries: []conf.Entry{selfEntry, dead}}}
			_, _, err := d.core.ApplySettings(testStart, testStart, &snap)
			assert.NilError(t, err)
			assert.NilError(t, d.watchStore(t.Context()))
			assert.Equal(t, len(p.puts), 0)
			p.era, p.rev, p.objects = 1, 9, tc.listed
			for range 2 { // the second read of the same era writes nothing
				var lost *LostSettingsError
				err = d.watchStore(t.Context())
				assert.Assert(t, errors.As(err, &lost), "%v", err)
			}
			assert.DeepEqual(t, p.puts, tc.puts)
		})
	}
}
