// Package soak runs several processes of ebonyplat on one machine and disturbs
// them from outside, while simulated callers and servers check the packets that
// reach them.
//
// SOAK_RUNS runs that many seeds instead of the fixed ones, beginning with
// SOAK_SEED. SOAK_EDGES sets the number of instances, 4 by default. Every seed
// that once failed is kept in seeds.
package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	serversPerDomain   = 3 // of each service; there are two domains
	callersPerInstance = 10
	soakTime           = 12 * time.Second
	// recoveryTime is the time from the last disturbance until requests must be
	// served again: settleTime, and the time of a request.
	recoveryTime = settleTime + 2*time.Second
	measureTime  = 3 * time.Second
)

// seeds are run by CI. The first only exercises the code; the others once failed.
var seeds = []uint64{
	1,
	// 104, 110: the record of a draining server was removed and came back as
	// ready, because backendServer did not remember its state. The fault was in
	// the test. The seeds stay for their sequence of disturbances.
	104, 110,
	// 701, 702, 713, 727: flows to leaving servers whose records the store had lost.
	// The fault was in the test, which counted from the lost acknowledgement.
	701, 702, 713, 727,
	// 715, 728: changed routes that are not in force at the end.
	715, 728,
}

// programPath is the path of the program under test.
var programPath string

func TestMain(m *testing.M) {
	os.Exit(build(m))
}

// build builds the program under test, runs the tests and returns the exit code.
func build(m *testing.M) int {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	programPath = filepath.Join(dir, "ebonyplat")
	if out, err := exec.Command("go", "build", "-o", programPath, "ebonypaddle/platform/cmd/ebonyplat").CombinedOutput(); err != nil {
		fmt.Printf("build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// envOr returns the number in an environment variable, or fallback if there is
// none.
func envOr(name string, fallback uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return n
	}
	return fallback
}

// TestSoak guards against violations of the promises in docs/design.md while
// disturbances follow one another and overlap.
func TestSoak(t *testing.T) {
	list := seeds
	if n := envOr("SOAK_RUNS", 0); n > 0 {
		list = nil
		for i := range n {
			list = append(list, envOr("SOAK_SEED", 1)+i)
		}
	}
	for i, seed := range list {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, seed, byte(40+i%200))
		})
	}
}

// runSeed disturbs a deployment for soakTime, and then requires that 99% of the
// requests are served.
func runSeed(t *testing.T, seed uint64, network byte) {
	dep := newDeployment(t, seed, network)
	stop, stopPolling := make(chan struct{}), make(chan struct{})
	go dep.receive()
	for _, inst := range dep.instances {
		inst.start(true)
	}
	go dep.pollReady(stopPolling)
	time.Sleep(4 * time.Second)
	for i := range callersPerInstance * len(dep.instances) {
		c := &caller{dep: dep, rnd: rand.New(rand.NewPCG(seed, uint64(1000+i)))}
		go c.run(stop)
	}
	var disturbances []string
	// Separate, so that older seeds keep their sequence.
	trafficRand, storeRand := rand.New(rand.NewPCG(seed, 8)), rand.New(rand.NewPCG(seed, 9))
	for end := time.Now().Add(soakTime); time.Now().Before(end); {
		disturbances = append(disturbances, dep.disturb())
		if trafficRand.IntN(3) == 0 {
			disturbances = append(disturbances, dep.disturbTraffic(trafficRand))
		}
		if storeRand.IntN(8) == 0 {
			disturbances = append(disturbances, dep.restoreStore(storeRand))
		}
		time.Sleep(time.Duration(200+dep.rnd.IntN(900)) * time.Millisecond)
	}
	time.Sleep(recoveryTime)
	dep.inFinalPhase.Store(true)
	dep.toggleRoute() // every instance must apply it now
	time.Sleep(measureTime)
	close(stop)
	time.Sleep(2 * time.Second) // lets requests in progress end
	dep.stopAll()
	close(stopPolling)
	_ = dep.conn.Close()
	t.Logf("seed %d: served %d of %d under disturbances, %d of %d afterwards", seed, dep.disturbedPhase.served.Load(), dep.disturbedPhase.sent.Load(), dep.finalPhase.served.Load(), dep.finalPhase.sent.Load())
	dep.mu.Lock()
	violations := dep.violations
	dep.mu.Unlock()
	if served, sent := dep.finalPhase.served.Load(), dep.finalPhase.sent.Load(); sent == 0 || float64(served) < 0.99*float64(sent) {
		violations = append(violations, fmt.Sprintf("served %d of %d after the disturbances ended", served, sent))
	}
	if served, sent := dep.disturbedPhase.served.Load(), dep.disturbedPhase.sent.Load(); float64(served) < 0.5*float64(sent) {
		violations = append(violations, fmt.Sprintf("served %d of %d under disturbances", served, sent))
	}
	if len(violations) > 0 {
		keep := filepath.Join(os.TempDir(), fmt.Sprintf("soak-%d", seed))
		assert.Check(t, os.CopyFS(keep, os.DirFS(dep.dir)))
		t.Errorf("seed %d, logs in %s\ndisturbances: %q\nviolations: %q", seed, keep, disturbances, violations)
	}
}

// newDeployment creates a deployment with its store, proxies and servers. Its
// instances are not started yet.
func newDeployment(t *testing.T, seed uint64, network byte) *deployment {
	dep := &deployment{
		t: t, rnd: rand.New(rand.NewPCG(seed, 7)), dir: t.TempDir(), network: network, port: 8172, store: newFakeStore(),
		callersByPort: map[uint16]*caller{}, nextPort: 20_000, routes: map[netip.AddrPort]string{},
	}
	dep.callerAddr = dep.ip(9, 1)
	dep.routes[extraRoute] = "order"
	var err error
	dep.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(dep.callerAddr, dep.port)))
	assert.NilError(t, err)
	dep.serveStore()
	for i := range envOr("SOAK_EDGES", 4) {
		ip := dep.ip(1, byte(i+1))
		p, err := newProxy(netip.AddrPortFrom(dep.ip(8, byte(i+1)), 8169).String(), netip.AddrPortFrom(dep.ip(7, 1), 8169).String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = p.listener.Close() })
		dep.instances = append(dep.instances, &instance{
			dep: dep, name: fmt.Sprintf("edge-%d", i), domain: string(rune('a' + i%2)), proxy: p,
			configPath: filepath.Join(dep.dir, fmt.Sprintf("edge-%d.json", i)),
			data:       netip.AddrPortFrom(ip, dep.port), ready: netip.AddrPortFrom(ip, 8167),
		})
	}
	for i, service := range []string{"order", "intake"} {
		for j := range 2 {
			a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i), byte(j + 1)}), 443)
			dep.routes[a] = service
			dep.liveRoutes = append(dep.liveRoutes, a)
		}
		for j := range 2 * serversPerDomain {
			dep.startServer(service, byte(i*100+j+1), string(rune('a'+j%2)))
		}
	}
	dep.putSettings()
	return dep
}

// serveStore starts the HTTP server of the store.
func (dep *deployment) serveStore() {
	l, err := net.Listen("tcp4", netip.AddrPortFrom(dep.ip(7, 1), 8169).String())
	assert.NilError(dep.t, err)
	srv := newHTTPServer(dep.store)
	go func() { _ = srv.Serve(l) }() // returns after Close
	dep.t.Cleanup(func() { _ = srv.Close() })
}

// startServer starts a backend server and registers it in the store.
func (dep *deployment) startServer(service string, n byte, domain string) {
	srv := &backendServer{dep: dep, service: service, domain: domain, addr: netip.AddrPortFrom(dep.ip(2, n), 9000), flowsByCaller: map[netip.AddrPort]*serverFlow{}}
	srv.id = dep.rnd.Uint64() >> 24
	srv.name = fmt.Sprintf("i-%010x", srv.id)
	var err error
	srv.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(srv.addr))
	assert.NilError(dep.t, err)
	dep.t.Cleanup(func() { _ = srv.conn.Close() })
	dep.servers = append(dep.servers, srv)
	srv.setState("ready")
	srv.putRecord()
	go srv.run()
}

// disturb begins one disturbance and returns a description of it.
func (dep *deployment) disturb() string {
	inst := dep.instances[dep.rnd.IntN(len(dep.instances))]
	d := time.Duration(300+dep.rnd.IntN(1700)) * time.Millisecond
	after := func(f func()) { time.AfterFunc(d, f) }
	switch n := dep.rnd.IntN(13); n {
	case 0:
		inst.signal(syscall.SIGSTOP, d)
		after(func() { inst.signal(syscall.SIGCONT, time.Millisecond) })
		return fmt.Sprintf("freeze %s %v", inst.name, d)
	case 1, 2:
		inst.replace(syscall.SIGKILL, d)
		return fmt.Sprintf("kill %s %v", inst.name, d)
	case 3, 4:
		inst.replace(syscall.SIGTERM, d)
		return fmt.Sprintf("stop %s %v", inst.name, d)
	case 5:
		inst.signal(syscall.SIGHUP, 0)
		return "reload " + inst.name
	case 6:
		mode := int32(1 + dep.rnd.IntN(3))
		inst.signal(syscall.SIGCONT, d+time.Second)
		inst.proxy.mode.Store(mode)
		after(func() { inst.proxy.mode.Store(modePass) })
		return fmt.Sprintf("proxy %s mode %d %v", inst.name, mode, d)
	case 7:
		inst.signal(syscall.SIGCONT, d+time.Second)
		inst.proxy.delay.Store(int64(200 * time.Millisecond))
		after(func() { inst.proxy.delay.Store(0) })
		return fmt.Sprintf("delay %s %v", inst.name, d)
	case 8:
		dep.markStoreDisturbed(d + time.Second)
		dep.store.busy.Store(true)
		after(func() { dep.store.busy.Store(false) })
		return fmt.Sprintf("store busy %v", d)
	case 9:
		dep.markStoreDisturbed(d + time.Second)
		dep.store.dropHistory()
		return "store drops history"
	case 10:
		return dep.toggleRoute()
	case 11:
		return dep.drainServer(dep.servers[dep.rnd.IntN(len(dep.servers))])
	default:
		return dep.removeRecord(dep.servers[dep.rnd.IntN(len(dep.servers))], d)
	}
}

// disturbTraffic delays or drops the datagrams to an instance, or delays the
// answers of the store, and returns a description.
func (dep *deployment) disturbTraffic(rnd *rand.Rand) string {
	inst := dep.instances[rnd.IntN(len(dep.instances))]
	d := time.Duration(300+rnd.IntN(1700)) * time.Millisecond
	if rnd.IntN(3) == 0 {
		dep.markStoreDisturbed(d + time.Second)
		dep.store.answerDelay.Store(int64(250 * time.Millisecond))
		time.AfterFunc(d, func() { dep.store.answerDelay.Store(0) })
		return fmt.Sprintf("store slow %v", d)
	}
	delay := time.Duration(rnd.IntN(4)) * 100 * time.Millisecond
	inst.signal(syscall.SIGCONT, d+2*delay+time.Second)
	inst.datagramDelay.Store(int64(max(delay, dropDatagrams)))
	time.AfterFunc(d, func() { inst.datagramDelay.Store(0) })
	return fmt.Sprintf("datagrams to %s delayed by %v (0s: dropped) for %v", inst.name, delay, d)
}

// restoreStore makes the store unavailable and lets it come back from a copy some
// seconds old. The operator and the servers then write again what they had written,
// each after a second at most.
func (dep *deployment) restoreStore(rnd *rand.Rand) string {
	d := time.Duration(rnd.IntN(1500)) * time.Millisecond
	age := time.Duration(500+rnd.IntN(8000)) * time.Millisecond
	dep.markStoreDisturbed(d + time.Second)
	dep.store.busy.Store(true)
	soon := func(f func()) { time.AfterFunc(time.Duration(rand.Int64N(int64(time.Second))), f) }
	time.AfterFunc(d, func() {
		for _, srv := range dep.servers {
			srv.setDraining(time.Time{})
		}
		dep.store.restore(age + d)
		dep.store.busy.Store(false)
		soon(func() { dep.writeSettings() })
		for _, srv := range dep.servers {
			soon(func() { srv.setDraining(srv.putRecord()) })
		}
	})
	return fmt.Sprintf("store away for %v, back from a copy %v old", d, age)
}

// drainServer marks a server as draining in its record, and as ready again 2 s
// after new flows to it must have stopped.
func (dep *deployment) drainServer(srv *backendServer) string {
	srv.setState("draining")
	srv.setDraining(srv.putRecord())
	time.AfterFunc(drainWithin+2*time.Second, func() {
		srv.mu.Lock()
		srv.noOpenAfter = time.Time{}
		srv.mu.Unlock()
		srv.setState("ready")
		srv.putRecord()
	})
	return "drain " + srv.name
}

// removeRecord removes the record of a running server for d.
func (dep *deployment) removeRecord(srv *backendServer, d time.Duration) string {
	dep.markStoreDisturbed(d)
	dep.store.put("servers", srv.name, nil)
	time.AfterFunc(d, func() { srv.putRecord() })
	return fmt.Sprintf("remove the record of %s for %v", srv.name, d)
}

// replace ends the process with a signal, and starts another one d after its
// end.
func (inst *instance) replace(sig syscall.Signal, d time.Duration) {
	inst.signal(syscall.SIGCONT, 0)
	inst.signal(sig, d+stopWithin)
	inst.mu.Lock()
	exited := inst.exited
	inst.mu.Unlock()
	go func() {
		<-exited
		time.Sleep(d)
		inst.mu.Lock()
		current := inst.exited == exited
		inst.mu.Unlock()
		if current && !inst.dep.inFinalPhase.Load() {
			inst.start(false)
		}
	}()
}

// stopAll ends all processes with SIGTERM. Each must exit with code 0 within
// stopWithin.
func (dep *deployment) stopAll() {
	for _, inst := range dep.instances {
		inst.signal(syscall.SIGTERM, 0)
	}
	timedOut := time.After(stopWithin)
	for _, inst := range dep.instances {
		select {
		case <-inst.exited:
			if code := inst.cmd.ProcessState.ExitCode(); code != 0 {
				dep.errorf("%s ended with code %d", inst.name, code)
			}
		case <-timedOut:
			dep.errorf("%s did not stop within %v", inst.name, stopWithin)
			inst.signal(syscall.SIGKILL, 0)
		}
	}
}
