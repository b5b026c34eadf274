package soak

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Bounds of the settings that the instances get, as on the users' deployments.
const (
	contact     = 4 * time.Second
	applyWithin = 3 * time.Second
	leaveWithin = 3 * time.Second
	outWithin   = 5 * time.Second
	stopWithin  = 6 * time.Second
)

// edge is one instance: a process of the program.
type edge struct {
	w                    *world
	name, domain, config string
	data, ready          netip.AddrPort
	proxy                *proxy

	mu        sync.Mutex
	cmd       *exec.Cmd
	exited    chan struct{}
	disturbed time.Time // until when it is, or was
	inUse     atomic.Bool
	// late is by how many nanoseconds datagrams of callers come late and in
	// another order, or lost.
	late atomic.Int64
}

// lost is the delay that stands for datagrams that never come.
const lost = 1

// world is one deployment on a loopback network of its own.
type world struct {
	t       *testing.T
	rnd     *rand.Rand
	dir     string
	net     byte // second byte of all addresses
	port    uint16
	store   *stand
	edges   []*edge
	hosts   []*host
	callers netip.Addr
	conn    *net.UDPConn

	mu       sync.Mutex
	waiting  map[uint16]*caller
	nextPort uint16
	routes   map[netip.AddrPort]string // all that ever were
	live     []netip.AddrPort
	version  uint64
	extra    bool // the settings have extraRoute
	faults   []string
	upset    time.Time // until when the store is, or was, disturbed
	total    outcomes
	final    outcomes
	closing  atomic.Bool
}

func (w *world) ip(a, b byte) netip.Addr { return netip.AddrFrom4([4]byte{127, w.net, a, b}) }

// broken notes a broken promise.
func (w *world) broken(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.faults) < 20 {
		w.faults = append(w.faults, fmt.Sprintf(format, args...))
	}
}

func (w *world) window() *outcomes {
	if w.closing.Load() {
		return &w.final
	}
	return &w.total
}

func (w *world) allowed(to netip.AddrPort, service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.routes[to] == service
}

// register gives a caller a port that nobody uses.
func (w *world) register(c *caller) uint16 {
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.nextPort++; w.nextPort < 1024 || w.waiting[w.nextPort] != nil; w.nextPort++ {
		continue
	}
	c.in = make(chan packet, 16)
	w.waiting[w.nextPort] = c
	return w.nextPort
}

func (w *world) release(port uint16) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.waiting, port)
}

func (w *world) route(rnd *rand.Rand) netip.AddrPort {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.live[rnd.IntN(len(w.live))]
}

// send hands a caller's packet to an instance, as the platform's routers do.
func (w *world) send(p packet) {
	var in []*edge
	for _, e := range w.edges {
		if e.inUse.Load() {
			in = append(in, e)
		}
	}
	if len(in) < (len(w.edges)+1)/2 {
		in = w.edges
	}
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, p.src, p.dst) // a hash takes everything
	w.sendTo(in[int(h.Sum32())%len(in)], p)
}

func (w *world) sendTo(e *edge, p packet) {
	send := func() {
		_, _ = w.conn.WriteToUDPAddrPort(p.encode(), e.data) // a dead instance refuses
	}
	switch late := time.Duration(e.late.Load()); late {
	case 0:
		send()
	case lost:
	default:
		time.AfterFunc(late/2+time.Duration(rand.Int64N(int64(late))), send)
	}
}

// receive passes packets to callers and checks resets.
func (w *world) receive() {
	buf := make([]byte, 2048)
	for {
		n, from, err := w.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p, whole, foreign := decode(append([]byte{}, buf[:n]...))
		if !whole && (!foreign || p.flags != fReset) {
			w.broken("packet for %v changed on its way", p.dst)
			continue
		}
		if foreign {
			w.reset(p, from)
		}
		w.mu.Lock()
		c := w.waiting[p.dst.Port()]
		w.mu.Unlock()
		if c != nil {
			select {
			case c.in <- p:
			default:
			}
		}
	}
}

// reset checks a reset that an instance sent: the flow must not be open at a
// living server, unless its instance or the store is disturbed.
func (w *world) reset(p packet, from netip.AddrPort) {
	for _, h := range w.hosts {
		h.mu.Lock()
		open := h.flows[p.dst] != nil && !h.dead
		started := open && h.flows[p.dst].last != nil
		h.mu.Unlock()
		if started && w.inTouch(from) && w.allowedNow(p.src) {
			w.broken("open flow %v at %s reset by %v", p.dst, h.name, from)
		}
	}
}

func (w *world) allowedNow(to netip.AddrPort) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.live {
		if a == to {
			return true
		}
	}
	return false
}

// inTouch reports whether the instance at a data address and the store have been
// without disturbance for the contact time.
func (w *world) inTouch(data netip.AddrPort) bool {
	now := time.Now()
	w.mu.Lock()
	upset := w.upset
	w.mu.Unlock()
	if now.Before(upset.Add(contact)) {
		return false
	}
	for _, e := range w.edges {
		if e.data == data {
			e.mu.Lock()
			defer e.mu.Unlock()
			return now.After(e.disturbed.Add(contact))
		}
	}
	return false
}

func (w *world) upsetFor(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.upset = time.Now().Add(d)
}

// probeReady keeps the rotation: two misses at two a second take an instance out.
func (w *world) probeReady(stop <-chan struct{}) {
	c := &http.Client{Timeout: 400 * time.Millisecond}
	misses := make([]int, len(w.edges))
	for {
		for i, e := range w.edges {
			res, err := c.Get("http://" + e.ready.String() + "/v1/ready")
			ok := err == nil && res.StatusCode == http.StatusOK
			if err == nil {
				_ = res.Body.Close()
			}
			misses[i]++
			if ok {
				misses[i] = 0
			}
			e.inUse.Store(misses[i] < 2)
		}
		select {
		case <-stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// config writes settings with the live routes.
func (w *world) config() time.Time {
	w.mu.Lock()
	w.version += uint64(1 + w.rnd.IntN(3))
	routes := []map[string]any{}
	live := w.live
	if w.extra {
		live = append(live[:len(live):len(live)], extraRoute)
	}
	for _, a := range live {
		routes = append(routes, map[string]any{
			"Host": a.Addr(), "Prefix": fmt.Sprintf("/%d/", a.Port()), "Service": w.routes[a],
			"Kind": "idempotent", "TimeoutMs": 1500, "GoalMs": 150,
		})
	}
	spec := map[string]any{
		"Version": w.version, "Routes": routes, "Limits": map[string]any{"IdleTimeoutMs": 15000},
		"Services": []map[string]any{{"Name": "order", "WarmupS": 2.0}, {"Name": "intake", "WarmupS": 2.0}},
	}
	w.mu.Unlock()
	return w.store.put("config", "main", spec)
}

func (h *host) setState(state string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state = state
}

// extraRoute comes and goes with the settings; no caller uses it.
var extraRoute = netip.MustParseAddrPort("198.18.9.1:443")

// reroute adds or drops a route, and checks that all instances in touch handle
// openings so when the change must be in force.
func (w *world) reroute() string {
	w.mu.Lock()
	w.extra = !w.extra
	on, version := w.extra, w.version
	w.mu.Unlock()
	at := w.config()
	go func() {
		time.Sleep(time.Until(at.Add(applyWithin + 100*time.Millisecond)))
		for _, e := range w.edges {
			c := &caller{w: w}
			p := packet{flags: fOpen, src: netip.AddrPortFrom(w.callers, w.register(c)), dst: extraRoute, seq: 7}
			touch := w.inTouch(e.data)
			w.sendTo(e, p)
			select {
			case a := <-c.in:
				w.mu.Lock()
				same := w.version <= version+3 && w.extra == on
				w.mu.Unlock()
				if accepted := a.flags&fReset == 0; touch && same && accepted != on {
					w.broken("%s handles a route as before: accepted %v, %v after the change", e.name, accepted, time.Since(at))
				}
			case <-time.After(300 * time.Millisecond):
			}
			w.release(p.src.Port())
		}
	}()
	return fmt.Sprintf("route %v", on)
}

// register writes the record of a server.
func (h *host) register() time.Time {
	h.mu.Lock()
	state := h.state
	h.mu.Unlock()
	return h.w.store.put("servers", h.name, map[string]any{
		"Service": h.service, "Address": h.addr, "Zone": h.domain, "Version": "v1", "Capacity": 2,
		"State": state, "WarmupLeftMs": 0, "Sequence": 1, "born": 1,
	})
}

// start starts the process of an instance.
func (e *edge) start(first bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.disturbed = time.Now()
	log, err := os.OpenFile(filepath.Join(e.w.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(e.w.t, err)
	assert.NilError(e.w.t, os.WriteFile(e.config, e.settings(first), 0o600))
	e.cmd = exec.Command(program, "run", "--config", e.config)
	e.cmd.Stdout, e.cmd.Stderr = log, log
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	assert.NilError(e.w.t, e.cmd.Start())
	e.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait() // its state is read from the command
		_ = log.Close()
		close(exited)
	}(e.cmd, e.exited)
}

func (e *edge) settings(first bool) []byte {
	var seeds []string
	for _, o := range e.w.edges[:min(3, len(e.w.edges))] {
		seeds = append(seeds, netip.AddrPortFrom(o.data.Addr(), 8166).String())
	}
	b, err := json.Marshal(map[string]any{
		"Node": e.name, "Zone": e.domain, "Bootstrap": first, "Seeds": seeds, "HeartbeatMs": 1200,
		"Listen":    map[string]any{"DataAddr": e.data, "Ready": e.ready, "Control": netip.AddrPortFrom(e.data.Addr(), 8166)},
		"PortRange": []int{7720, 7735}, "Limits": map[string]any{"CpuShare": 0.4, "Cores": 1, "MemoryMb": 284, "LinkMbps": 1000},
		"Bounds": map[string]any{
			"GraceS": stopWithin.Seconds(), "FlowTtlS": 60, "ApplyMs": applyWithin.Milliseconds(),
			"DrainMs": leaveWithin.Milliseconds(), "EvacuateMs": outWithin.Milliseconds(),
		},
		"platform": map[string]any{"Address": e.proxy.l.Addr().String()},
	})
	assert.NilError(e.w.t, err)
	return b
}

// signal sends a signal to the process, and counts the instance as disturbed
// for a while.
func (e *edge) signal(sig syscall.Signal, disturbed time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if until := time.Now().Add(disturbed); disturbed > 0 && until.After(e.disturbed) {
		e.disturbed = until
	}
	_ = e.cmd.Process.Signal(sig) // it may have ended
}
