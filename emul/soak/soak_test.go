// Package soak runs the program of the users' platform as processes on one
// machine and disturbs them from outside, while callers and servers check what
// reaches them. SOAK_SEED and SOAK_RUNS choose fresh seeds; each seed that ever
// failed stays in seeds.
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
	perDomain = 3  // servers of each service in each of two domains
	callers   = 10 // for each instance
	soakTime  = 12 * time.Second
	// calm is the time after the last disturbance until everything must be
	// served: the time in which a machine counts as in touch, and a request.
	calm     = contact + 2*time.Second
	measured = 3 * time.Second
)

// seeds are run by CI. The first is there for the path; the others once failed.
var seeds = []uint64{
	1,
	// 104, 110: a record that lapsed while its server was leaving came back as
	// ready, because the stand-in server forgot what it had said. The fault was
	// the test's; the seeds stay for the course.
	104, 110,
}

// program is the path of the program under test.
var program string

func TestMain(m *testing.M) {
	os.Exit(build(m))
}

func build(m *testing.M) int {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "ebonyplat")
	if out, err := exec.Command("go", "build", "-o", program, "ebonypaddle/platform/cmd/ebonyplat").CombinedOutput(); err != nil {
		fmt.Printf("build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

func env(name string, def uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return n
	}
	return def
}

// Guards against everything that the promises of docs/design.md exclude, under
// disturbances in series and at once.
func TestSoak(t *testing.T) {
	list := seeds
	if n := env("SOAK_RUNS", 0); n > 0 {
		list = nil
		for i := range n {
			list = append(list, env("SOAK_SEED", 1)+i)
		}
	}
	for i, seed := range list {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			run(t, seed, byte(40+i%200))
		})
	}
}

func run(t *testing.T, seed uint64, network byte) {
	w := newWorld(t, seed, network)
	stop, quiet := make(chan struct{}), make(chan struct{})
	go w.receive()
	for _, e := range w.edges {
		e.start(true)
	}
	go w.probeReady(quiet)
	time.Sleep(4 * time.Second)
	for i := range callers * len(w.edges) {
		c := &caller{w: w, rnd: rand.New(rand.NewPCG(seed, uint64(1000+i)))}
		go c.run(stop)
	}
	var plan []string
	paths := rand.New(rand.NewPCG(seed, 8)) // of its own, so that older seeds keep their course
	for end := time.Now().Add(soakTime); time.Now().Before(end); {
		plan = append(plan, w.disturb())
		if paths.IntN(3) == 0 {
			plan = append(plan, w.slowDown(paths))
		}
		time.Sleep(time.Duration(200+w.rnd.IntN(900)) * time.Millisecond)
	}
	time.Sleep(calm)
	w.closing.Store(true)
	time.Sleep(measured)
	close(stop)
	time.Sleep(2 * time.Second) // requests in progress end
	w.stopAll()
	close(quiet)
	_ = w.conn.Close()
	t.Logf("seed %d: %d of %d served, %d of %d at the end", seed, w.total.served.Load(), w.total.asked.Load(), w.final.served.Load(), w.final.asked.Load())
	w.mu.Lock()
	faults := w.faults
	w.mu.Unlock()
	if served, asked := w.final.served.Load(), w.final.asked.Load(); asked == 0 || float64(served) < 0.99*float64(asked) {
		faults = append(faults, fmt.Sprintf("served %d of %d after everything healed", served, asked))
	}
	if served, asked := w.total.served.Load(), w.total.asked.Load(); float64(served) < 0.5*float64(asked) {
		faults = append(faults, fmt.Sprintf("served %d of %d in all", served, asked))
	}
	if len(faults) > 0 {
		keep := filepath.Join(os.TempDir(), fmt.Sprintf("soak-%d", seed))
		assert.Check(t, os.CopyFS(keep, os.DirFS(w.dir)))
		t.Errorf("seed %d, logs in %s\nplan: %q\nbroken: %q", seed, keep, plan, faults)
	}
}

func newWorld(t *testing.T, seed uint64, network byte) *world {
	w := &world{
		t: t, rnd: rand.New(rand.NewPCG(seed, 7)), dir: t.TempDir(), net: network, port: 8172, store: newStand(),
		waiting: map[uint16]*caller{}, nextPort: 20_000, routes: map[netip.AddrPort]string{},
	}
	w.callers = w.ip(9, 1)
	w.routes[extraRoute] = "order"
	var err error
	w.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(w.callers, w.port)))
	assert.NilError(t, err)
	w.serveStore()
	for i := range env("SOAK_EDGES", 4) {
		ip := w.ip(1, byte(i+1))
		p, err := newProxy(netip.AddrPortFrom(w.ip(8, byte(i+1)), 8169).String(), netip.AddrPortFrom(w.ip(7, 1), 8169).String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = p.l.Close() })
		w.edges = append(w.edges, &edge{
			w: w, name: fmt.Sprintf("edge-%d", i), domain: string(rune('a' + i%2)), proxy: p,
			config: filepath.Join(w.dir, fmt.Sprintf("edge-%d.json", i)),
			data:   netip.AddrPortFrom(ip, w.port), ready: netip.AddrPortFrom(ip, 8167),
		})
	}
	for i, service := range []string{"order", "intake"} {
		for j := range 2 {
			a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i), byte(j + 1)}), 443)
			w.routes[a] = service
			w.live = append(w.live, a)
		}
		for j := range 2 * perDomain {
			w.addHost(service, byte(i*100+j+1), string(rune('a'+j%2)))
		}
	}
	w.config()
	return w
}

func (w *world) serveStore() {
	l, err := net.Listen("tcp4", netip.AddrPortFrom(w.ip(7, 1), 8169).String())
	assert.NilError(w.t, err)
	srv := newServer(w.store)
	go func() { _ = srv.Serve(l) }() // ends with Close
	w.t.Cleanup(func() { _ = srv.Close() })
}

func (w *world) addHost(service string, n byte, domain string) {
	h := &host{w: w, service: service, domain: domain, addr: netip.AddrPortFrom(w.ip(2, n), 9000), flows: map[netip.AddrPort]*state{}}
	h.id = w.rnd.Uint64() >> 24
	h.name = fmt.Sprintf("i-%010x", h.id)
	var err error
	h.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(h.addr))
	assert.NilError(w.t, err)
	w.t.Cleanup(func() { _ = h.conn.Close() })
	w.hosts = append(w.hosts, h)
	h.setState("ready")
	h.register()
	go h.run()
}

// disturb begins one disturbance and returns what it is.
func (w *world) disturb() string {
	e := w.edges[w.rnd.IntN(len(w.edges))]
	d := time.Duration(300+w.rnd.IntN(1700)) * time.Millisecond
	after := func(f func()) { time.AfterFunc(d, f) }
	switch n := w.rnd.IntN(13); n {
	case 0:
		e.signal(syscall.SIGSTOP, d)
		after(func() { e.signal(syscall.SIGCONT, time.Millisecond) })
		return fmt.Sprintf("freeze %s %v", e.name, d)
	case 1, 2:
		e.replace(syscall.SIGKILL, d)
		return fmt.Sprintf("kill %s %v", e.name, d)
	case 3, 4:
		e.replace(syscall.SIGTERM, d)
		return fmt.Sprintf("stop %s %v", e.name, d)
	case 5:
		e.signal(syscall.SIGHUP, 0)
		return "reload " + e.name
	case 6:
		mode := int32(1 + w.rnd.IntN(3))
		e.signal(syscall.SIGCONT, d+time.Second)
		e.proxy.mode.Store(mode)
		after(func() { e.proxy.mode.Store(pass) })
		return fmt.Sprintf("proxy %s mode %d %v", e.name, mode, d)
	case 7:
		e.signal(syscall.SIGCONT, d+time.Second)
		e.proxy.delay.Store(int64(200 * time.Millisecond))
		after(func() { e.proxy.delay.Store(0) })
		return fmt.Sprintf("delay %s %v", e.name, d)
	case 8:
		w.upsetFor(d + time.Second)
		w.store.busy.Store(true)
		after(func() { w.store.busy.Store(false) })
		return fmt.Sprintf("store busy %v", d)
	case 9:
		w.upsetFor(d + time.Second)
		w.store.forget()
		return "store forgets"
	case 10:
		return w.reroute()
	case 11:
		return w.leave(w.hosts[w.rnd.IntN(len(w.hosts))])
	default:
		return w.lapse(w.hosts[w.rnd.IntN(len(w.hosts))], d)
	}
}

// slowDown begins a disturbance of datagrams or of the store's answers and
// returns what it is.
func (w *world) slowDown(rnd *rand.Rand) string {
	e := w.edges[rnd.IntN(len(w.edges))]
	d := time.Duration(300+rnd.IntN(1700)) * time.Millisecond
	if rnd.IntN(3) == 0 {
		w.upsetFor(d + time.Second)
		w.store.slow.Store(int64(250 * time.Millisecond))
		time.AfterFunc(d, func() { w.store.slow.Store(0) })
		return fmt.Sprintf("store slow %v", d)
	}
	late := time.Duration(rnd.IntN(4)) * 100 * time.Millisecond
	e.signal(syscall.SIGCONT, d+2*late+time.Second)
	e.late.Store(int64(max(late, lost)))
	time.AfterFunc(d, func() { e.late.Store(0) })
	return fmt.Sprintf("datagrams to %s late by %v for %v", e.name, late, d)
}

// leave lets a server say that it leaves, and come back after its flows may
// have ended.
func (w *world) leave(h *host) string {
	h.setState("draining")
	at := h.register()
	h.mu.Lock()
	h.notAfter = at.Add(leaveWithin)
	h.mu.Unlock()
	time.AfterFunc(leaveWithin+2*time.Second, func() {
		h.mu.Lock()
		h.notAfter = time.Time{}
		h.mu.Unlock()
		h.setState("ready")
		h.register()
	})
	return "leave " + h.name
}

// lapse removes the record of a living server for a while.
func (w *world) lapse(h *host, d time.Duration) string {
	w.upsetFor(d)
	w.store.put("servers", h.name, nil)
	time.AfterFunc(d, func() { h.register() })
	return fmt.Sprintf("lapse %s %v", h.name, d)
}

// replace ends a process with a signal and starts another after its end and a
// while.
func (e *edge) replace(sig syscall.Signal, d time.Duration) {
	e.signal(syscall.SIGCONT, 0)
	e.signal(sig, d+stopWithin)
	e.mu.Lock()
	exited := e.exited
	e.mu.Unlock()
	go func() {
		<-exited
		time.Sleep(d)
		e.mu.Lock()
		same := e.exited == exited
		e.mu.Unlock()
		if same && !e.w.closing.Load() {
			e.start(false)
		}
	}()
}

// stopAll ends all processes; each must end by itself in time.
func (w *world) stopAll() {
	for _, e := range w.edges {
		e.signal(syscall.SIGTERM, 0)
	}
	late := time.After(stopWithin)
	for _, e := range w.edges {
		select {
		case <-e.exited:
			if code := e.cmd.ProcessState.ExitCode(); code != 0 {
				w.broken("%s ended with code %d", e.name, code)
			}
		case <-late:
			w.broken("%s did not stop within %v", e.name, stopWithin)
			e.signal(syscall.SIGKILL, 0)
		}
	}
}
