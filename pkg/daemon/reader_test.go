package daemon

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/core"
	"ebonypaddle/pkg/logs"
	"ebonypaddle/pkg/stats"
	"ebonypaddle/pkg/store"
)

var begin = time.UnixMilli(1_700_000_000_000)

// platform answers watches and lists from a script.
type platform struct {
	status int
	rev    uint64
	events []store.Event
	asked  string
}

func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.asked = r.URL.Query().Get("since")
	if r.URL.Path != "/v1/watch" {
		_ = json.NewEncoder(w).Encode(map[string]any{"rev": p.rev, "objects": []store.Object{}})
		return
	}
	if p.status != 0 {
		w.WriteHeader(p.status)
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"rev": p.rev, "events": p.events})
}

// newDaemon returns a daemon at revision 5 of the settings that reads the
// scripted platform 2.5 s after it was last confirmed.
func newDaemon(t *testing.T, p *platform) *Daemon {
	t.Helper()
	srv := httptest.NewServer(p)
	t.Cleanup(srv.Close)
	d := &Daemon{
		Process: &conf.Process{}, Clock: func() time.Time { return begin.Add(2500 * time.Millisecond) },
		Stats: &stats.Counters{}, Counters: &Counters{},
		Store: &store.Client{Addrs: []string{srv.URL}, HTTP: srv.Client(), Rand: rand.New(rand.NewPCG(1, 1)), Timeout: time.Second},
	}
	d.log = (*logs.Switch)(nil).Logger("daemon")
	d.core = &core.Core{Half: "k", Domain: "a", Nonces: rand.NewChaCha8([32]byte{})}
	d.core.Start(begin)
	snap := conf.Empty()
	snap.Rev = 5
	snap.Nodes["/"], snap.Nodes["/k"] = conf.Node{Path: "/"}, conf.Node{Path: "/k"}
	_, _, err := d.core.ApplySettings(begin, begin, snap)
	assert.NilError(t, err)
	return d
}

func assertFresh(t *testing.T, d *Daemon, want bool) {
	t.Helper()
	assert.Equal(t, !d.core.Freshness.CrossUntil(begin.Add(4*time.Second)).IsZero(), want)
}

// Guards against settings that move with every restart of an instance, and
// against a reader that loses its freshness because nothing changed.
func TestWatchIgnoresInstanceList(t *testing.T) {
	p := &platform{rev: 7, events: []store.Event{{Rev: 7, Kind: store.KindInstance, Name: "a0", Value: []byte(`{}`)}}}
	d := newDaemon(t, p)
	assert.NilError(t, d.watch(t.Context()))
	assert.Equal(t, d.rev(), uint64(5))
	assertFresh(t, d, true)
	p.events = nil
	assert.NilError(t, d.watch(t.Context()))
	assert.Equal(t, p.asked, "7")
}

// Guards against a lagging replica that takes settings back or counts as a
// confirmation of the present ones.
func TestWatchLaggingReplica(t *testing.T) {
	d := newDaemon(t, &platform{rev: 4})
	assert.NilError(t, d.watch(t.Context()))
	assert.Equal(t, d.rev(), uint64(5))
	assert.Equal(t, d.Counters.SettingsRegressed.Load(), uint64(1))
	assertFresh(t, d, false)
}

// Guards against events that are lost, and against one malformed object that
// stops all others.
func TestWatchAppliesEvents(t *testing.T) {
	d := newDaemon(t, &platform{rev: 9, events: []store.Event{
		{Rev: 6, Kind: store.KindNode, Name: "/k/order", Value: []byte(`{"generation":1,"values":{"slots":3}}`)},
		{Rev: 7, Kind: store.KindNode, Name: "/k/intake", Value: []byte(`{"slots":"many"}`)},
		{Rev: 8, Kind: store.KindNode, Name: "/k", Deleted: true},
		{Rev: 9, Kind: store.KindNode, Name: "/k", Value: []byte(`{"generation":2,"values":{}}`)},
	}})
	assert.NilError(t, d.watch(t.Context()))
	s := d.settings()
	assert.Equal(t, s.Rev, uint64(9))
	assert.Equal(t, *s.Nodes["/k/order"].Values.Slots, 3)
	assert.Equal(t, s.Nodes["/k"].Generation, uint64(2))
	assert.Equal(t, d.Counters.SettingsRefused.Load(), uint64(1))
	assertFresh(t, d, true)
}

// Guards against a reader that is stuck when the platform no longer has the
// events it asks for.
func TestWatchGoneLists(t *testing.T) {
	d := newDaemon(t, &platform{status: http.StatusGone, rev: 12})
	assert.NilError(t, d.watch(t.Context()))
	assert.Equal(t, d.rev(), uint64(12))
}
