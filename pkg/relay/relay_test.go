package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/admin"
	"ebonypaddle/pkg/cache"
	"ebonypaddle/pkg/router"
	"ebonypaddle/pkg/stats"
	"ebonypaddle/pkg/wire"
)

// versionDecoder decodes settings that consist only of their version.
type versionDecoder struct{}

func (versionDecoder) Servers([]cache.Object) ([]router.Change[router.Server], []error) {
	return nil, nil
}
func (versionDecoder) Domains(objects []cache.Object) ([]router.Change[router.ExcludedDomain], []error) {
	var out []router.Change[router.ExcludedDomain]
	for _, o := range objects {
		out = append(out, router.Change[router.ExcludedDomain]{Name: o.Name, Rev: o.Rev})
	}
	return out, nil
}
func (versionDecoder) Settings(objects []cache.Object) ([]router.Settings, []error) {
	var out []router.Settings
	for _, o := range objects {
		var v uint64
		raw, err := cache.Unpack(o.Spec)
		if err != nil {
			return nil, []error{err}
		}
		if _, err := fmt.Sscan(string(raw), &v); err != nil {
			return nil, []error{err}
		}
		out = append(out, router.Settings{Version: v, Rev: o.Rev})
	}
	return out, nil
}

// fakeCodec decodes every datagram as the same opening packet, and forwards it
// unchanged.
type fakeCodec struct{}

func (fakeCodec) Decode(_ []byte, p *router.Packet) error {
	*p = router.Packet{Open: true, Caller: netip.MustParseAddrPort("127.0.0.1:9"), Service: netip.MustParseAddrPort("127.0.0.1:8")}
	return nil
}
func (fakeCodec) Forward(dst, raw []byte, _ router.Target) []byte { return append(dst, raw...) }
func (fakeCodec) Refuse(dst []byte, p *router.Packet) ([]byte, netip.AddrPort) {
	return append(dst, "refused"...), p.Caller
}

// startReader returns a store with settings, their version, and a running
// instance that has read them.
func startReader(t *testing.T) (*fakeStore, uint64, *instance) {
	t.Helper()
	s := newFakeStore()
	v := s.change()
	first := startInstance(t, s, "first", 9)
	waitUntil(t, "the first instance has the settings", func() bool { return first.version() == v })
	return s, v, first
}

var freeAddrs atomic.Uint32 // number of addresses that freeAddr returned

// freeAddr returns a loopback address that is not in use for TCP or UDP. Each has an
// IP address of its own, so that no port is given out twice.
func freeAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	n := freeAddrs.Add(1)
	l, err := net.Listen("tcp4", netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 61, byte(n >> 8), byte(n)}), 0).String())
	assert.NilError(t, err)
	a := netip.MustParseAddrPort(l.Addr().String())
	assert.NilError(t, l.Close())
	return a
}

// instance is a running Relay.
type instance struct {
	*Relay
	stop func()
}

// startInstance runs an instance until stop is called or the test ends. The
// instance with the highest weight becomes the reader of the store.
func startInstance(t *testing.T, s *fakeStore, name string, weight uint32, seeds ...netip.AddrPort) *instance {
	t.Helper()
	r := &Relay{
		Name: name, Weight: weight, Data: freeAddr(t), Ready: freeAddr(t), Control: freeAddr(t), ReadyPath: "/ready", Seeds: seeds, Codec: fakeCodec{},
		Store: storeView{s, name}, Decoder: versionDecoder{}, MaxPacket: 1500, Clock: time.Now, Log: slog.New(slog.DiscardHandler),
		ReadPolicy:  cache.ReadPolicy{StartedAt: time.Now(), MaxDelay: 3 * time.Second},
		Shutdown:    ShutdownTimes{Max: 2 * time.Second, Min: 100 * time.Millisecond, Idle: 50 * time.Millisecond},
		Balancer:    &router.Balancer{Domain: "a", Seed: uint64(weight)},
		TokenPauses: TokenPauses{Min: time.Millisecond, Max: 5 * time.Millisecond},
	}
	r.Balancer.Start(time.Now())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	var once sync.Once
	i := &instance{r, func() {
		once.Do(func() {
			cancel()
			assert.Check(t, <-done)
		})
	}}
	t.Cleanup(i.stop)
	return i
}

func (i *instance) version() uint64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	v, _ := i.Balancer.Vars()["version"].(uint64)
	return v
}

// excluded returns the number of failure domains that are out.
func (i *instance) excluded() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	n, _ := i.Balancer.Vars()["domainsOut"].(int)
	return n
}

// waitUntil waits until ok returns true. The timeout only ends a failing run.
func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	waitWithin(t, 30*time.Second, what, ok)
}

// Guards against instances that each read the store, and against changes that
// reach only the reader.
func TestOneInstanceReadsTheStore(t *testing.T) {
	s, v, first := startReader(t)
	second := startInstance(t, s, "second", 5, first.Control)
	third := startInstance(t, s, "third", 1, first.Control)
	all := []*instance{first, second, third}
	waitUntil(t, "all instances have the settings", func() bool { return second.version() == v && third.version() == v })
	waitUntil(t, "the other instances no longer read", func() bool { return !second.readsStore() && !third.readsStore() })
	time.Sleep(2 * second.ReadPolicy.ConfirmInterval()) // lets calls in progress end
	before := [2]int{s.callsOf("second"), s.callsOf("third")}
	v = s.change()
	for _, i := range all {
		waitUntil(t, i.Name+" has the change", func() bool { return i.version() == v })
	}
	assert.Equal(t, [2]int{s.callsOf("second"), s.callsOf("third")}, before)
}

func (i *instance) readsStore() bool {
	i.cacheMu.Lock()
	defer i.cacheMu.Unlock()
	return i.reading
}

// Guards against instances that keep old settings because the reader of the
// store stopped.
func TestReaderStops(t *testing.T) {
	s, v, first := startReader(t)
	second := startInstance(t, s, "second", 1, first.Control)
	waitUntil(t, "the second instance no longer reads", func() bool { return second.version() == v && !second.readsStore() })
	first.stop()
	v = s.change()
	waitUntil(t, "the second instance reads the change", func() bool { return second.version() == v })
}

// Guards against all instances reading the store when it refuses the reader. A
// new reader's first watch must return at once: the instances below it wait
// only briefly for its confirmation.
func TestNewReaderConfirmsAtOnce(t *testing.T) {
	s, v, first := startReader(t)
	second := startInstance(t, s, "second", 1, first.Control)
	waitUntil(t, "the second instance no longer reads", func() bool { return second.version() == v && !second.readsStore() })
	time.Sleep(2 * second.ReadPolicy.ConfirmInterval()) // lets calls in progress end
	s.refuse("first")
	waitUntil(t, "the second instance reads all kinds", func() bool { return len(s.watchWaitsOf("second")) >= int(cache.Kinds) })
	for _, w := range s.watchWaitsOf("second")[:cache.Kinds] {
		assert.Equal(t, w, firstWatchWait)
	}
}

func (s *fakeStore) watchWaitsOf(name string) []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.watchWaits[name])
}

// Guards against an instance that cannot start while the store is down,
// although other instances have all objects.
func TestStartsWhileStoreIsDown(t *testing.T) {
	s, v, first := startReader(t)
	s.setDown(true)
	second := startInstance(t, s, "second", 1, first.Control)
	waitUntil(t, "the second instance has the settings", func() bool { return second.version() == v })
	assert.Equal(t, readyStatus(t, second), http.StatusOK)
}

func readyStatus(t *testing.T, i *instance) int {
	t.Helper()
	res, err := http.Get("http://" + i.Ready.String() + i.ReadyPath)
	assert.NilError(t, err)
	defer res.Body.Close()
	return res.StatusCode
}

// Guards against the platform's routers sending new flows to a stopping
// instance, and against packets that it drops before the routers send them
// elsewhere.
func TestStopForwardsUntilIdle(t *testing.T) {
	s := newFakeStore()
	v := s.change()
	i := startInstance(t, s, "only", 1)
	i.Shutdown.Min = time.Second
	waitUntil(t, "the instance serves", func() bool { return i.version() == v })
	assert.Equal(t, readyStatus(t, i), http.StatusOK)
	go i.stop()
	waitUntil(t, "the instance is stopping", func() bool { return i.leaving.Load() })
	assert.Equal(t, readyStatus(t, i), http.StatusServiceUnavailable)
	c, err := net.Dial("udp4", i.Data.String())
	assert.NilError(t, err)
	_, err = c.Write([]byte("packet"))
	assert.NilError(t, err)
	assert.NilError(t, c.Close())
	waitUntil(t, "the packet is handled", func() bool { return i.Counters.Out.Load() == 1 })
}

// Guards against a stop that ends before the platform's routers noticed it, or
// that takes longer than the platform allows.
func TestShutdownTimes(t *testing.T) {
	times := ShutdownTimes{Max: 5 * time.Second, Min: time.Second, Idle: 300 * time.Millisecond}
	for _, tc := range []struct {
		stopping, idle time.Duration
		want           bool
	}{
		{900 * time.Millisecond, time.Minute, false},
		{time.Second, 299 * time.Millisecond, false},
		{time.Second, 300 * time.Millisecond, true},
		{4999 * time.Millisecond, 0, false},
		{5 * time.Second, 0, true},
	} {
		assert.Equal(t, times.done(tc.stopping, tc.idle), tc.want, "%+v", tc)
	}
}

// Guards against a seed that keeps a connection from every instance that ever
// started.
func TestIdleConnectionsClose(t *testing.T) {
	var open atomic.Int32
	codec, err := admin.NewCodec()
	assert.NilError(t, err)
	answer := func(context.Context, cache.Request) (cache.Response, error) { return cache.Response{}, nil }
	seed := httptest.NewUnstartedServer(connect.NewUnaryHandler(exchangePath, admin.Unary(answer), connect.WithCodec(codec)))
	seed.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		switch s {
		case http.StateNew:
			open.Add(1)
		case http.StateClosed:
			open.Add(-1)
		case http.StateActive, http.StateIdle, http.StateHijacked:
		}
	}
	seed.Start()
	t.Cleanup(seed.Close)
	client, err := newPeerClient()
	assert.NilError(t, err)
	_, err = client.call(t.Context(), netip.MustParseAddrPort(seed.Listener.Addr().String()), cache.Request{})
	assert.NilError(t, err)
	assert.Equal(t, open.Load(), int32(1))
	waitUntil(t, "the connection is closed", func() bool { return open.Load() == 0 })
}

// Guards against malformed datagrams that stop the handling of others, or that
// are not counted or logged.
func TestMalformed(t *testing.T) {
	var logged bytes.Buffer
	r := &Relay{
		Codec: rejectingCodec{}, Clock: time.Now, Log: slog.New(slog.NewTextHandler(&logged, nil)),
		Balancer: &router.Balancer{Domain: "a", Stats: &stats.Counters{}},
	}
	r.Balancer.Start(time.Now())
	for range 3 {
		r.handle([]byte("odd"), nil)
	}
	assert.Equal(t, r.Counters.Malformed.Load(), uint64(3))
	assert.Equal(t, r.Balancer.Stats.Dropped.Get(wire.ReasonMalformed), uint64(3))
	assert.Equal(t, strings.Count(logged.String(), "datagram dropped"), 3)
}

// rejectingCodec decodes no datagram.
type rejectingCodec struct{ fakeCodec }

func (rejectingCodec) Decode([]byte, *router.Packet) error { return errDown }

// Guards against a packet that the operating system does not accept and that
// leaves no log line.
func TestSendFails(t *testing.T) {
	var logged bytes.Buffer
	_, _, i := startReader(t)
	i.stop()
	i.Log = slog.New(slog.NewTextHandler(&logged, nil))
	i.handle([]byte("packet"), nil) // the socket is closed
	assert.Equal(t, i.Counters.SendErrors.Load(), uint64(1))
	assert.Assert(t, strings.Contains(logged.String(), `msg="datagram not sent" flow=127.0.0.1:9>127.0.0.1:8`), logged.String())
}

// Guards against counters that cannot be published as JSON.
func TestVars(t *testing.T) {
	i := startInstance(t, newFakeStore(), "only", 1)
	b, err := json.Marshal(i.Vars())
	assert.NilError(t, err)
	for _, name := range []string{"reasons", "openTimeMs", "ageMs", "malformed"} {
		assert.Assert(t, jsonHas(b, name), "%s is missing in %s", name, b)
	}
}

func jsonHas(b []byte, name string) bool {
	var all map[string]map[string]any
	_ = json.Unmarshal(b, &all) // members that are not objects stay empty
	for _, m := range all {
		if _, ok := m[name]; ok {
			return true
		}
	}
	return false
}

// Guards against delays that count as failures of servers while settings for
// other instances fill this instance's slow link. Found by a random mix of faults
// on acru-points-grown, seed 177734815895, at 10 Mbit/s.
func TestResponsesCountAsLinkUse(t *testing.T) {
	now := time.Now()
	r := &Relay{LinkRate: 10e6, Clock: time.Now, Balancer: &router.Balancer{Domain: "a"}}
	r.Balancer.Start(now)
	r.reportLinkUse(now, nil)
	assert.Assert(t, r.linkBusyUntil.IsZero())
	deltas := []cache.Delta{{Objects: []cache.Object{{Spec: make([]byte, 50_000)}}}}
	for i := range 3 {
		r.reportLinkUse(now, deltas)
		assert.Equal(t, r.linkBusyUntil.Sub(now), time.Duration(i+1)*40*time.Millisecond)
	}
}

// Guards against flows of servers that are gone which no instance ends, because the
// balancer is not told how recent its records are.
func TestConfirmationsReachTheBalancer(t *testing.T) {
	t.Parallel()
	s, v, first := startReader(t)
	second := startInstance(t, s, "second", 1, first.Control)
	waitUntil(t, "the second instance no longer reads", func() bool { return second.version() == v && !second.readsStore() })
	p := router.Packet{Ack: true, Token: 77, Size: 1, Caller: netip.MustParseAddrPort("127.0.0.1:9"), Service: netip.MustParseAddrPort("127.0.0.1:8")}
	for _, i := range []*instance{first, second} {
		waitUntil(t, "an unknown token is refused by "+i.Name, func() bool {
			i.mu.Lock()
			defer i.mu.Unlock()
			return i.Balancer.Handle(time.Now(), &p).Action == router.Refuse
		})
	}
}
