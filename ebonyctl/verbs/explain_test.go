package verbs

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/ebonyctl/client"
	"ebonypaddle/pkg/cache"
	"ebonypaddle/pkg/relay"
	"ebonypaddle/pkg/revs"
	"ebonypaddle/pkg/router"
)

var errStoreDown = errors.New("store is down")

// downStore is a store that is down. The balancer gets its records from the test.
type downStore struct{}

func (downStore) List(context.Context, cache.Kind, time.Duration) (cache.Delta, error) {
	return cache.Delta{}, errStoreDown
}

func (downStore) Watch(context.Context, cache.Kind, revs.Rev, time.Duration) (cache.Delta, error) {
	return cache.Delta{}, errStoreDown
}

// freeAddr returns an address of an IP address that no other test uses.
func freeAddr(t *testing.T, ip string) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp4", ip+":0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	return netip.MustParseAddrPort(l.Addr().String())
}

// startInstance runs an instance in failure domain "a" with one server there and one,
// which is excluded, in "b". It returns the control address and a function that stops it.
func startInstance(t *testing.T) (control string, stop func()) {
	t.Helper()
	lb := &router.Balancer{Domain: "a", Seed: 1}
	now := time.Now()
	lb.Start(now)
	lb.ApplySettings(&router.Settings{Version: 7, Rev: 70, Services: []router.Service{{Name: "feed"}}, Routes: []router.Route{{
		Addr: netip.MustParseAddrPort("198.18.0.1:443"), WeightedServices: []router.WeightedService{{Service: "feed", Weight: 1}}, LatencyTarget: 100 * time.Millisecond,
	}}})
	var servers []router.Change[router.Server]
	for i, domain := range []string{"a", "b"} {
		servers = append(servers, router.Change[router.Server]{Name: "feed-" + domain, Rev: 1, Value: router.Server{
			ID: router.ServerID(i + 1), Service: "feed", Domain: domain, Slots: 2, Rev: 1, Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 62, 1, byte(i)}), 80),
		}})
	}
	lb.ApplyServers(now, servers, true)
	lb.ApplyDomains(now, []router.Change[router.ExcludedDomain]{{Name: "b", Rev: 1}}, true)
	lb.SetSynced()
	r := &relay.Relay{
		Name: "one", Data: freeAddr(t, "127.62.0.1"), Ready: freeAddr(t, "127.62.0.2"), Control: freeAddr(t, "127.62.0.3"), ReadyPath: "/ready",
		Store: downStore{}, MaxPacket: 1500, Clock: time.Now, Log: slog.New(slog.DiscardHandler), Balancer: lb,
		ReadPolicy: cache.ReadPolicy{StartedAt: now, MaxDelay: 3 * time.Second},
		Shutdown:   relay.ShutdownTimes{Max: time.Second, Idle: time.Millisecond},
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	stopped := false
	stop = func() {
		if !stopped {
			stopped = true
			cancel()
			assert.Check(t, <-done)
		}
	}
	t.Cleanup(stop)
	return r.Control.String(), stop
}

// runExplain runs a command line against a real instance.
func runExplain(t *testing.T, code int, args ...string) (stdout, stderr string) {
	t.Helper()
	env := newTestEnv(t)
	app := env.app()
	app.NewInstanceAPI = func(addrs []string, _ string) (client.InstanceAPI, error) {
		return &client.InstanceClient{Addrs: addrs, HTTP: &http.Client{Timeout: 5 * time.Second}}, nil
	}
	got := app.Run(t.Context(), append([]string{"ebonyctl"}, args...))
	assert.Equal(t, got, code, "%s%s", env.out.String(), env.err.String())
	return env.out.String(), env.err.String()
}

// awaitControl waits until an address accepts connections.
func awaitControl(t *testing.T, addr string) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		c, err := net.Dial("tcp4", addr)
		if err == nil {
			assert.NilError(t, c.Close())
			return
		}
		assert.Assert(t, time.Now().Before(end), "%v", err)
	}
}

// Guards against a command that shows other than what the instance answers, or that
// reports a missing route or instance as success.
func TestExplain(t *testing.T) {
	control, stop := startInstance(t)
	awaitControl(t, control)
	out, _ := runExplain(t, ExitOK, "explain", "198.18.0.1:443", "--caller", "100.64.0.7:40001", "--length", "900", "--instance", control)
	assertContains(t, out, "version 7 at revision 70", "placed at feed-a in a, 100.0%", "excludedDomain", "no plan of admission in force")
	out, _ = runExplain(t, ExitOK, "--output", "json", "--instance", control, "explain", "198.18.0.1:443")
	var ex router.Explanation
	assert.NilError(t, json.Unmarshal([]byte(out), &ex))
	assert.Equal(t, ex.Outcome.Server, "feed-a")
	assert.Equal(t, ex.Services[0].Servers[1].State, "excludedDomain")
	_, errs := runExplain(t, ExitNotFound, "explain", "198.18.0.9:443", "--instance", control)
	assertContains(t, errs, "198.18.0.9:443 in version 7")
	stop()
	_, errs = runExplain(t, ExitFailed, "explain", "198.18.0.1:443", "--instance", control)
	assertContains(t, errs, "no instance responded")
}

// Guards against errors that do not say that the instance is too old, or another program.
func TestExplainByOthers(t *testing.T) {
	for _, status := range []int{http.StatusNotFound, http.StatusUnauthorized} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		t.Cleanup(srv.Close)
		_, errs := runExplain(t, ExitFailed, "explain", "198.18.0.1:443", "--instance", strings.TrimPrefix(srv.URL, "http://"))
		assertContains(t, errs, "ebonyplat instance that is not older")
	}
}

// Guards against an instance that ends during the request and is reported as another
// fault.
func TestExplainConnectionLost(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	t.Cleanup(srv.Close)
	_, errs := runExplain(t, ExitFailed, "explain", "198.18.0.1:443", "--instance", strings.TrimPrefix(srv.URL, "http://"))
	assertContains(t, errs, "no instance responded")
}

// Guards against wrong command lines that reach an instance.
func TestExplainUsage(t *testing.T) {
	for _, args := range []string{"explain", "explain nowhere", "explain [::1]:9", "explain 198.18.0.1:443 --caller x", "explain 198.18.0.1:443", "--instance a:1 --instance b:1 explain 198.18.0.1:443"} {
		_, errs := runExplain(t, ExitUsage, strings.Fields(args)...)
		assert.Assert(t, errs != "")
	}
}
