package daemon

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/core"
	"ebonypaddle/pkg/logs"
	"ebonypaddle/pkg/stats"
	"ebonypaddle/pkg/store"
)

var testStart = time.UnixMilli(1_700_000_000_000)

// fakePlatform answers watch and list requests with fixed responses. since is
// the revision that the last request asked for.
type fakePlatform struct {
	status int
	rev    uint64
	events []store.Event
	since  string
	// era is that of all responses, 0 for none. confirmed is the era that
	// operators confirmed.
	era, confirmed uint64
	objects        []store.Object
	puts           []string // paths of the writes
}

func (p *fakePlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.since = r.URL.Query().Get("since")
	if p.era > 0 {
		w.Header().Set(store.EraHeader, strconv.FormatUint(p.era, 10))
	}
	switch {
	case r.Method == http.MethodPut:
		p.puts = append(p.puts, r.URL.Path)
		_ = json.NewEncoder(w).Encode(map[string]any{"rev": p.rev})
		return
	case r.URL.Path == "/v1/objects/era/confirmed" && p.confirmed > 0:
		_ = json.NewEncoder(w).Encode(store.Object{Rev: p.rev, Value: fmt.Appendf(nil, `{"era":%d}`, p.confirmed)})
		return
	case strings.HasPrefix(r.URL.Path, "/v1/objects/"):
		w.WriteHeader(http.StatusNotFound)
		return
	case r.URL.Path != "/v1/watch":
		found := []store.Object{}
		for _, o := range p.objects {
			if strings.HasPrefix(o.Kind+"/", r.URL.Query().Get("prefix")) {
				found = append(found, o)
			}
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"rev": p.rev, "objects": found})
		return
	}
	if p.status != 0 {
		w.WriteHeader(p.status)
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"rev": p.rev, "events": p.events})
}

// selfEntry is the entry of the daemon under test.
var selfEntry = conf.Entry{Name: "a0", Data: netip.MustParseAddrPort("10.0.0.1:7000"), Peer: netip.MustParseAddrPort("10.0.0.1:7001")}

// newDaemon returns a daemon with settings at revision 5 that were confirmed
// 2.5 s ago. It reads from p.
func newDaemon(t *testing.T, p *fakePlatform) *Daemon {
	t.Helper()
	srv := httptest.NewServer(p)
	t.Cleanup(srv.Close)
	d := &Daemon{
		Process: &conf.Process{}, Clock: func() time.Time { return testStart.Add(2500 * time.Millisecond) },
		Stats: &stats.Counters{}, Counters: &Counters{},
		Store: &store.Client{Addrs: []string{srv.URL}, HTTP: srv.Client(), Rand: rand.New(rand.NewPCG(1, 1)), Timeout: time.Second},
	}
	d.log = (*logs.Switch)(nil).Logger("daemon")
	d.core = &core.Core{Half: "k", Domain: "a", Entry: selfEntry, Nonces: rand.NewChaCha8([32]byte{})}
	d.core.Start(testStart)
	snap := conf.Empty()
	snap.Rev = 5
	snap.Nodes["/"], snap.Nodes["/k"] = conf.Node{Path: "/"}, conf.Node{Path: "/k"}
	_, _, err := d.core.ApplySettings(testStart, testStart, snap)
	assert.NilError(t, err)
	return d
}

// assertFresh checks whether the settings count as fresh 4 s after testStart.
func assertFresh(t *testing.T, d *Daemon, want bool) {
	t.Helper()
	assert.Equal(t, !d.core.Freshness.CrossUntil(testStart.Add(4*time.Second)).IsZero(), want)
}

// Guards against a settings revision that rises when an instance restarts, and
// against settings that do not stay fresh when no setting changed.
func TestWatchIgnoresInstanceList(t *testing.T) {
	p := &fakePlatform{rev: 7, events: []store.Event{{Rev: 7, Kind: store.KindInstance, Name: "a0", Value: []byte(`{}`)}}}
	d := newDaemon(t, p)
	assert.NilError(t, d.watchStore(t.Context()))
	assert.Equal(t, d.rev(), uint64(5))
	assertFresh(t, d, true)
	p.events = nil
	assert.NilError(t, d.watchStore(t.Context()))
	assert.Equal(t, p.since, "7")
}

// Guards against a response of a lagging replica that reverts the settings or
// confirms the current ones.
func TestWatchLaggingReplica(t *testing.T) {
	d := newDaemon(t, &fakePlatform{rev: 4})
	assert.NilError(t, d.watchStore(t.Context()))
	assert.Equal(t, d.rev(), uint64(5))
	assert.Equal(t, d.Counters.SettingsRegressed.Load(), uint64(1))
	assertFresh(t, d, false)
}

// Guards against lost events, and against one malformed object that prevents
// the others from being applied.
func TestWatchAppliesEvents(t *testing.T) {
	d := newDaemon(t, &fakePlatform{rev: 9, events: []store.Event{
		{Rev: 6, Kind: store.KindNode, Name: "/k/order", Value: []byte(`{"generation":1,"values":{"slots":3}}`)},
		{Rev: 7, Kind: store.KindNode, Name: "/k/intake", Value: []byte(`{"slots":"many"}`)},
		{Rev: 8, Kind: store.KindNode, Name: "/k", Deleted: true},
		{Rev: 9, Kind: store.KindNode, Name: "/k", Value: []byte(`{"generation":2,"values":{}}`)},
	}})
	assert.NilError(t, d.watchStore(t.Context()))
	s := d.settings()
	assert.Equal(t, s.Rev, uint64(9))
	assert.Equal(t, *s.Nodes["/k/order"].Values.Slots, 3)
	assert.Equal(t, s.Nodes["/k"].Generation, uint64(2))
	assert.Equal(t, d.Counters.SettingsRefused.Load(), uint64(1))
	assertFresh(t, d, true)
}

// Guards against a reader that gets no further when the platform no longer has
// the events that it requests.
func TestWatchGoneListsAgain(t *testing.T) {
	d := newDaemon(t, &fakePlatform{status: http.StatusGone, rev: 12})
	assert.NilError(t, d.watchStore(t.Context()))
	assert.Equal(t, d.rev(), uint64(12))
}
