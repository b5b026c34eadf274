package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
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
	"gotest.tools/v3/poll"

	"ebonypaddle/pkg/admin"
	"ebonypaddle/pkg/cache"
	"ebonypaddle/pkg/router"
	"ebonypaddle/pkg/stats"
	"ebonypaddle/pkg/store"
	"ebonypaddle/pkg/wire"
)

// fakeStore plays the store. It holds the same facts for all instances.
type fakeStore struct {
	mu      sync.Mutex
	rev     uint64
	version uint64
	news    chan struct{}
	calls   map[string]int // by instance
	waits   map[string][]time.Duration
	down    bool
	away    string // the instance that is turned away
}

func newFakeStore() *fakeStore {
	return &fakeStore{rev: 1, news: make(chan struct{}), calls: map[string]int{}, waits: map[string][]time.Duration{}}
}

// change puts new settings in the store.
func (s *fakeStore) change() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.version = s.rev
	close(s.news)
	s.news = make(chan struct{})
	return s.version
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) callsOf(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[name]
}

var errDown = errors.New("store is down")

// view is the store as one instance sees it.
type view struct {
	s    *fakeStore
	name string
}

func (v view) List(_ context.Context, k cache.Kind, _ time.Duration) (cache.Delta, error) {
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	v.s.calls[v.name]++
	if v.s.down {
		return cache.Delta{}, &store.UnavailableError{Err: errDown}
	}
	return v.s.delta(k, 0), nil
}

// delta returns the facts of a kind after a revision. The caller holds mu.
func (s *fakeStore) delta(k cache.Kind, since uint64) cache.Delta {
	d := cache.Delta{Kind: k, Since: since, Rev: s.rev, Full: since == 0}
	if k == cache.Settings && s.version > since {
		spec, err := cache.Pack(fmt.Append(nil, s.version))
		if err != nil {
			panic(err)
		}
		d.Objects = []cache.Object{{Name: "main", Rev: s.version, Spec: spec}}
	}
	return d
}

func (v view) Watch(ctx context.Context, k cache.Kind, since uint64, wait time.Duration) (cache.Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	v.s.mu.Lock()
	v.s.calls[v.name]++
	v.s.waits[v.name] = append(v.s.waits[v.name], wait)
	for {
		d, news, down := v.s.delta(k, since), v.s.news, v.s.down || v.s.away == v.name
		v.s.mu.Unlock()
		switch {
		case down:
			return cache.Delta{}, &store.UnavailableError{Err: errDown}
		case len(d.Objects) > 0 || ctx.Err() != nil:
			return d, nil
		}
		select {
		case <-ctx.Done():
		case <-news:
		}
		v.s.mu.Lock()
	}
}

// decoder reads settings that consist of their version.
type decoder struct{}

func (decoder) Servers([]cache.Object) ([]router.Change[router.Server], []error) { return nil, nil }
func (decoder) Domains([]cache.Object) ([]router.Change[router.ExcludedDomain], []error) {
	return nil, nil
}
func (decoder) Settings(facts []cache.Object) ([]router.Settings, []error) {
	var out []router.Settings
	for _, f := range facts {
		var v uint64
		raw, err := cache.Unpack(f.Spec)
		if err != nil {
			return nil, []error{err}
		}
		if _, err := fmt.Sscan(string(raw), &v); err != nil {
			return nil, []error{err}
		}
		out = append(out, router.Settings{Version: v, Rev: f.Rev})
	}
	return out, nil
}

// codec takes every datagram for an opening and sends nothing else.
type codec struct{}

func (codec) Decode(_ []byte, p *router.Packet) error {
	*p = router.Packet{Open: true, Caller: netip.MustParseAddrPort("127.0.0.1:9"), Service: netip.MustParseAddrPort("127.0.0.1:8")}
	return nil
}
func (codec) Forward(dst, raw []byte, _ router.Target) []byte { return append(dst, raw...) }
func (codec) Refuse(dst []byte, p *router.Packet) ([]byte, netip.AddrPort) {
	return append(dst, "refused"...), p.Caller
}

// reading returns a store with settings, their version, and an instance that has
// read them.
func reading(t *testing.T) (*fakeStore, uint64, *instance) {
	t.Helper()
	s := newFakeStore()
	v := s.change()
	first := start(t, s, "first", 9)
	soon(t, "the first has the settings", func() bool { return first.version() == v })
	return s, v, first
}

// free returns a loopback address that nobody uses.
func free(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	a := netip.MustParseAddrPort(l.Addr().String())
	assert.NilError(t, l.Close())
	return a
}

// instance is one running Relay.
type instance struct {
	*Relay
	stop func()
}

// start runs an instance until stop or the end of the test. Weight orders the
// instances: the first reads the store.
func start(t *testing.T, s *fakeStore, name string, weight uint32, seeds ...netip.AddrPort) *instance {
	t.Helper()
	r := &Relay{
		Name: name, Weight: weight, Data: free(t), Ready: free(t), Control: free(t), ReadyPath: "/ready", Seeds: seeds, Codec: codec{},
		Store: view{s, name}, Decoder: decoder{}, MaxPacket: 1500, Clock: time.Now, Log: slog.New(slog.DiscardHandler),
		ReadPolicy: cache.ReadPolicy{StartedAt: time.Now(), MaxDelay: 3 * time.Second},
		Times:      Times{Leave: 2 * time.Second, LeaveAtLeast: 100 * time.Millisecond, Quiet: 50 * time.Millisecond},
		Balancer:   &router.Balancer{Domain: "a", Seed: uint64(weight)},
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

// soon waits until ok. The limit is only there to end a run that fails.
func soon(t *testing.T, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", what)
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(10*time.Millisecond))
}

// Guards against instances that each read the store, and against changes that
// reach only the one that does.
func TestOneReadsForAll(t *testing.T) {
	s, v, first := reading(t)
	second := start(t, s, "second", 5, first.Control)
	third := start(t, s, "third", 1, first.Control)
	all := []*instance{first, second, third}
	soon(t, "all have the settings", func() bool { return second.version() == v && third.version() == v })
	soon(t, "others no longer read", func() bool { return !second.reads() && !third.reads() })
	time.Sleep(2 * second.ReadPolicy.ConfirmInterval()) // calls that were in progress end
	before := [2]int{s.callsOf("second"), s.callsOf("third")}
	v = s.change()
	for _, i := range all {
		soon(t, i.Name+" has the change", func() bool { return i.version() == v })
	}
	assert.Equal(t, [2]int{s.callsOf("second"), s.callsOf("third")}, before)
}

func (i *instance) reads() bool {
	i.fmu.Lock()
	defer i.fmu.Unlock()
	return i.reading
}

// Guards against instances that go on with old settings because the one that
// read them ended.
func TestReaderEnds(t *testing.T) {
	s, v, first := reading(t)
	second := start(t, s, "second", 1, first.Control)
	soon(t, "the second no longer reads", func() bool { return second.version() == v && !second.reads() })
	first.stop()
	v = s.change()
	soon(t, "the second reads itself", func() bool { return second.version() == v })
}

// Guards against the whole fleet reading the store when the reader is turned
// away: the instances below a new reader wait only a moment for what it reads.
func TestNewReaderConfirmsAtOnce(t *testing.T) {
	s, v, first := reading(t)
	second := start(t, s, "second", 1, first.Control)
	soon(t, "the second no longer reads", func() bool { return second.version() == v && !second.reads() })
	time.Sleep(2 * second.ReadPolicy.ConfirmInterval()) // calls that were in progress end
	s.mu.Lock()
	s.away, s.waits = "first", map[string][]time.Duration{}
	s.mu.Unlock()
	soon(t, "the second reads all kinds", func() bool { return len(s.waitsOf("second")) >= int(cache.Kinds) })
	for _, w := range s.waitsOf("second")[:cache.Kinds] {
		assert.Equal(t, w, confirmWait)
	}
}

func (s *fakeStore) waitsOf(name string) []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.waits[name])
}

// Guards against an instance that cannot start while the store is away,
// although others know everything.
func TestStartsFromOthersWhileStoreIsAway(t *testing.T) {
	s, v, first := reading(t)
	s.setDown(true)
	second := start(t, s, "second", 1, first.Control)
	soon(t, "the second has the settings", func() bool { return second.version() == v })
	assert.Equal(t, status(t, second), http.StatusOK)
}

func status(t *testing.T, i *instance) int {
	t.Helper()
	res, err := http.Get("http://" + i.Ready.String() + i.ReadyPath)
	assert.NilError(t, err)
	defer res.Body.Close()
	return res.StatusCode
}

// Guards against routers that send flows to an instance that stops, and against
// packets that it drops before they go elsewhere.
func TestStopForwardsUntilQuiet(t *testing.T) {
	s := newFakeStore()
	v := s.change()
	i := start(t, s, "only", 1)
	i.Times.LeaveAtLeast = time.Second
	soon(t, "it serves", func() bool { return i.version() == v })
	assert.Equal(t, status(t, i), http.StatusOK)
	go i.stop()
	soon(t, "it reports that it stops", func() bool { return i.leaving.Load() })
	assert.Equal(t, status(t, i), http.StatusServiceUnavailable)
	c, err := net.Dial("udp4", i.Data.String())
	assert.NilError(t, err)
	_, err = c.Write([]byte("packet"))
	assert.NilError(t, err)
	assert.NilError(t, c.Close())
	soon(t, "the packet is answered", func() bool { return i.Counts.Out.Load() == 1 })
}

// Guards against a stop that ends before routers have noticed it, or goes on
// longer than the platform allows.
func TestStopIsOver(t *testing.T) {
	w := Times{Leave: 5 * time.Second, LeaveAtLeast: time.Second, Quiet: 300 * time.Millisecond}
	for _, tc := range []struct {
		stopping, quiet time.Duration
		want            bool
	}{
		{900 * time.Millisecond, time.Minute, false},
		{time.Second, 299 * time.Millisecond, false},
		{time.Second, 300 * time.Millisecond, true},
		{4999 * time.Millisecond, 0, false},
		{5 * time.Second, 0, true},
	} {
		assert.Equal(t, w.over(tc.stopping, tc.quiet), tc.want, "%+v", tc)
	}
}

// Guards against connections that every instance which ever started leaves at a
// seed.
func TestIdleConnectionsClose(t *testing.T) {
	var open atomic.Int32
	codec, err := admin.NewCodec()
	assert.NilError(t, err)
	answer := func(context.Context, cache.Request) (cache.Response, error) { return cache.Response{}, nil }
	seed := httptest.NewUnstartedServer(connect.NewUnaryHandler(askPath, admin.Unary(answer), connect.WithCodec(codec)))
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
	a, err := newAsker()
	assert.NilError(t, err)
	_, err = a.ask(t.Context(), netip.MustParseAddrPort(seed.Listener.Addr().String()), cache.Request{})
	assert.NilError(t, err)
	assert.Equal(t, open.Load(), int32(1))
	soon(t, "the connection is closed", func() bool { return open.Load() == 0 })
}

// Guards against a flood of malformed datagrams that stops the packets between
// them, or leaves no line.
func TestMalformed(t *testing.T) {
	var lines bytes.Buffer
	r := &Relay{
		Codec: strict{}, Clock: time.Now, Log: slog.New(slog.NewTextHandler(&lines, nil)),
		Balancer: &router.Balancer{Domain: "a", Stats: &stats.Counters{}},
	}
	r.Balancer.Start(time.Now())
	for range 3 {
		r.handle([]byte("odd"), nil)
	}
	assert.Equal(t, r.Counts.Malformed.Load(), uint64(3))
	assert.Equal(t, r.Balancer.Stats.Dropped.Get(wire.ReasonMalformed), uint64(3))
	assert.Equal(t, strings.Count(lines.String(), "datagram dropped"), 3)
}

// strict takes no datagram.
type strict struct{ codec }

func (strict) Decode([]byte, *router.Packet) error { return errDown }

// Guards against a packet that the system refuses to send without a line.
func TestSendFails(t *testing.T) {
	var lines bytes.Buffer
	_, _, i := reading(t)
	i.stop()
	i.Log = slog.New(slog.NewTextHandler(&lines, nil))
	i.handle([]byte("packet"), nil) // the socket is closed
	assert.Equal(t, i.Counts.SendErrors.Load(), uint64(1))
	assert.Assert(t, strings.Contains(lines.String(), `msg="datagram not sent" flow=127.0.0.1:9>127.0.0.1:8`), lines.String())
}

// Guards against counters that cannot be published as JSON.
func TestVars(t *testing.T) {
	i := start(t, newFakeStore(), "only", 1)
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

// Guards against silence that is blamed on servers while the instance's own thin
// link carries settings to others: a hunted mix of acru-points-grown, seed
// 177734815895, at 10 Mbit/s.
func TestAnswersOccupyTheLink(t *testing.T) {
	now := time.Now()
	r := &Relay{LinkRate: 10e6, Clock: time.Now, Balancer: &router.Balancer{Domain: "a"}}
	r.Balancer.Start(now)
	r.countSending(now, nil)
	assert.Assert(t, r.sending.IsZero())
	big := []cache.Delta{{Objects: []cache.Object{{Spec: make([]byte, 50_000)}}}}
	for i := range 3 {
		r.countSending(now, big)
		assert.Equal(t, r.sending.Sub(now), time.Duration(i+1)*40*time.Millisecond)
	}
}
