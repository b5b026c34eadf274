package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// errSetup means that the case could not run.
var errSetup = errors.New("the case could not run")

// world is a deployment on loopback addresses.
type world struct {
	rec     *recorder
	root    string // of the repository
	dir     string // temporary folder
	net     byte   // second byte of all addresses
	port    uint16 // DataAddr; the other ports follow it
	drainMs time.Duration

	store     *store
	machines  []*machine
	hosts     []*host
	hostCount int

	lock     net.Listener // keeps other runs off this network
	out, in  *net.UDPConn // of the routers, of the clients
	mu       sync.Mutex
	flows    map[uint16]*flow
	nextPort uint16
	// onReset is called for each reset that a client gets, with the machine or the
	// host that sent it.
	takenBy sync.Map // machine that got the latest opening, by key
	onReset func(k key, by *machine, from *host)
	stop    chan struct{}
}

// received is a packet that a client got: by names the machine that sent a reset of
// the system's own, host the host that sent the packet.
type received struct {
	packet
	by, host string
}

// machine is one machine of the system with its process.
type machine struct {
	w                    *world
	name, zone           string
	ip                   netip.Addr
	cpu                  float64
	cmd                  *exec.Cmd
	exited               chan struct{}
	inRotation           atomic.Bool
	misses               int
	mu                   sync.Mutex
	disturbedUntil       time.Time
	data, ready, control netip.AddrPort
}

func (w *world) ip(a, b byte) netip.Addr { return netip.AddrFrom4([4]byte{127, w.net, a, b}) }

// newWorld finds a free network and starts the store, routers and clients' socket.
func newWorld(dir string) (*world, error) {
	root := os.Getenv("REPOSITORY")
	tmp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	rec, err := newRecorder(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &world{rec: rec, root: root, dir: tmp, drainMs: 3 * time.Second, flows: map[uint16]*flow{}, nextPort: 40000, stop: make(chan struct{})}
	for try := 0; ; try++ {
		w.net, w.port = byte(20+rand.IntN(200)), uint16(12000+rand.IntN(18000))
		if err = w.claim(); err == nil {
			break
		}
		if try > 20 {
			return nil, err
		}
	}
	if w.out, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(w.ip(4, 1), 0))); err != nil {
		return nil, err
	}
	if w.store, err = startStore(w.storeAddr()); err != nil {
		return nil, err
	}
	go w.receive()
	return w, nil
}

// metricsPort is the port of the deploy file at which machines serve their metrics.
const metricsPort = 9464

// claim takes a network for this run, and the clients' socket. Two runs on one network
// would use the same metrics port.
func (w *world) claim() error {
	l, err := net.Listen("tcp4", netip.AddrPortFrom(w.ip(6, 1), metricsPort).String())
	if err != nil {
		return err
	}
	if w.in, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(w.ip(5, 1), w.port))); err != nil {
		_ = l.Close()
	}
	w.lock = l
	return err
}

func (w *world) storeAddr() netip.AddrPort { return netip.AddrPortFrom(w.ip(3, 1), w.port+3) }

// route returns the address of route n.
func (w *world) route(n int) netip.AddrPort { return netip.AddrPortFrom(w.ip(9, byte(n)), 443) }

// configure writes the configuration. routes gives the service of each route.
func (w *world) configure(version int, routes map[int]string, kind map[int]string, timeoutMs int) time.Time {
	rs := []map[string]any{}
	services := map[string]bool{}
	for n, service := range routes {
		rs = append(rs, map[string]any{"Name": fmt.Sprintf("r-%d", n), "Host": w.route(n).Addr(), "Prefix": "/443/", "Kind": kind[n], "TimeoutMs": timeoutMs, "GoalMs": 100, "Priority": 1, "Service": service, "MaxAttempts": 2})
		services[service] = true
	}
	ss := []map[string]any{}
	for s := range services {
		ss = append(ss, map[string]any{"Name": s, "HealthPath": "/health", "MaxConns": 2000, "Protocol": "h1", "Tls": false, "WarmupS": 2.0, "ColdPerS": 0.0})
	}
	b, _ := json.Marshal(map[string]any{"Version": version, "Routes": rs, "Services": ss, "Limits": map[string]any{"HeaderBytes": 16384, "BodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}})
	at := w.store.put("config", "main", b, string(b), false)
	w.rec.line("store acknowledged configuration version %d with %d routes", version, len(routes))
	return at
}

// addMachine adds a machine. Its process is started by start.
func (w *world) addMachine(name, zone string, cpu float64) *machine {
	m := &machine{w: w, name: name, zone: zone, ip: w.ip(1, byte(10+len(w.machines))), cpu: cpu}
	m.misses = 2
	m.data = netip.AddrPortFrom(m.ip, w.port)
	m.ready = netip.AddrPortFrom(m.ip, w.port+1)
	m.control = netip.AddrPortFrom(m.ip, w.port+2)
	w.machines = append(w.machines, m)
	return m
}

// start starts the process of a machine with the command of the deploy file.
func (m *machine) start(bootstrap bool) error {
	zones := map[string]string{}
	seeds := []string{}
	for i, o := range m.w.machines {
		zones[o.zone] = "region"
		if i < 3 {
			seeds = append(seeds, o.control.String())
		}
	}
	settings, _ := json.Marshal(map[string]any{
		"Node": m.name, "Role": "entry", "Class": "edge", "Serves": []string{"edge", "control"}, "Ip": m.ip, "Zone": m.zone, "Region": "region", "Zones": zones,
		"Listen":    map[string]any{"DataAddr": m.data, "Ready": m.ready, "Control": m.control},
		"PortRange": []int{int(m.w.port) + 20, int(m.w.port) + 35}, "Seeds": seeds, "Bootstrap": bootstrap, "InFaultBudget": false,
		"Limits":  map[string]any{"CpuShare": m.cpu, "Cores": 1, "MemoryMb": 284, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
		"DataDir": nil, "Discovery": "platform", "Entry": "announce", "HeartbeatMs": heartbeat.Milliseconds(),
		"Contracts":      []string{"base", "drain", "config", "cost", "recover", "flows", "places", "platform"},
		"FaultTolerance": map[string]any{"Machines": 2, "Zones": 1, "Regions": 0},
		"Bounds": map[string]any{
			"SeedLagS": 3, "AddrReuseS": 2, "ContactMs": contact.Milliseconds(), "AckMs": 5000, "CatchUpS": 4, "DrainMs": 3000, "GraceS": 6, "LossSlackMs": 200, "ApplyMs": 3000,
			"DowngradeMs": 250, "MaxSkewMs": 12000, "ColdOver": 1.5, "ColdSlack": 5, "EvacuateMs": 5000, "RecoveryS": 12, "ReorderMs": 2000, "FlowTtlS": 60,
		},
		"Hash": "mod", "Forwarding": "echo",
		"platform": map[string]any{"Address": m.w.storeAddr(), "Forwarding": "objects", "WritesPerS": 400, "ReadsPerS": 2000, "RetentionS": 20, "ValueBytes": 1048576, "TtlMinMs": 1000},
	})
	boot := filepath.Join(m.w.dir, m.name+".json")
	if err := os.WriteFile(boot, settings, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.w.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.cmd = exec.Command("target/ebonyplat", "run")
	m.cmd.Dir = m.w.root
	m.cmd.Env = []string{"EBONYPADDLE_BOOT=" + boot, "PATH=" + os.Getenv("PATH"), "HOME=" + m.w.dir}
	m.cmd.Stdout, m.cmd.Stderr = log, log
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.disturb(0)
	m.w.rec.line("process of %s started", m.name)
	m.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}(m.cmd, m.exited)
	return nil
}

// contact is ContactMs.
const contact = 4 * time.Second

// disturb notes that the machine is disturbed for a time from now on.
func (m *machine) disturb(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if until := time.Now().Add(d); until.After(m.disturbedUntil) {
		m.disturbedUntil = until
	}
}

// inTouch says whether the machine was undisturbed for ContactMs. The store and the
// links are never disturbed.
func (m *machine) inTouch() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.disturbedUntil) > contact
}

// signal sends a signal to the machine's process.
func (m *machine) signal(sig syscall.Signal) {
	m.disturb(0)
	m.w.rec.say("%v sent to the process of %s", sig, m.name)
	_ = m.cmd.Process.Signal(sig)
}

// pollReady checks all machines twice a second; after two misses a machine is out
// of rotation until it answers 200 again.
func (w *world) pollReady() {
	c := &http.Client{Timeout: 450 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for range time.Tick(500 * time.Millisecond) {
		for _, m := range w.machines {
			go func() {
				res, err := c.Get("http://" + m.ready.String() + "/v1/ready")
				ok := err == nil && res.StatusCode == http.StatusOK
				if err == nil {
					_ = res.Body.Close()
				}
				m.mu.Lock()
				defer m.mu.Unlock()
				m.misses++
				if ok {
					m.misses = 0
				}
				if now := m.misses < 2; now != m.inRotation.Load() {
					m.inRotation.Store(now)
					w.rec.line("%s in rotation: %v", m.name, now)
				}
			}()
		}
	}
}

// awaitReady waits until all machines are in rotation.
func (w *world) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, m := range w.machines {
			if m.inRotation.Load() {
				n++
			}
		}
		if n == len(w.machines) {
			return nil
		}
	}
	return fmt.Errorf("%w: not all machines are ready", errSetup)
}

// pick returns the machine that gets a client's packet. All clients are in the zone
// of the first machine.
func (w *world) pick(p *packet) *machine {
	var zone, ready []*machine
	for _, m := range w.machines {
		if m.zone != w.machines[0].zone {
			continue
		}
		zone = append(zone, m)
		if m.inRotation.Load() {
			ready = append(ready, m)
		}
	}
	if 2*len(ready) < len(zone) {
		ready = zone
	}
	h := fnv.New32a()
	fmt.Fprint(h, p.src, p.dst)
	return ready[int(h.Sum32())%len(ready)]
}

// send sends a client's packet to the machine that the routers choose.
func (w *world) send(p packet) {
	m := w.pick(&p)
	if p.flags&flagSYN != 0 {
		w.takenBy.Store(key{p.src, p.dst}, m)
	}
	w.sendTo(m, p)
}

func (w *world) sendTo(m *machine, p packet) {
	_, _ = w.out.WriteToUDPAddrPort(p.encode(), m.data)
}

// receive passes packets to the clients.
func (w *world) receive() {
	buf := make([]byte, 2048)
	for {
		n, from, err := w.in.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p, intact, own := decode(buf[:n])
		if !intact && !own {
			w.rec.say("MIXED? client got a packet that was changed on its way from %v", from)
			continue
		}
		r := received{packet: p}
		var by *machine
		for _, m := range w.machines {
			if m.ip == from.Addr() {
				by = m
			}
		}
		if by != nil {
			r.by = by.name
		}
		var sender *host
		for _, h := range w.hosts {
			if h.addr == from {
				sender, r.host = h, h.name
			}
		}
		if p.flags&flagRST != 0 && w.onReset != nil {
			w.onReset(key{p.dst, p.src}, by, sender)
		}
		w.mu.Lock()
		f := w.flows[p.dst.Port()]
		w.mu.Unlock()
		if f != nil {
			select {
			case f.in <- r:
			default:
			}
		}
	}
}

// takePort gives a flow a new port of the client.
func (w *world) takePort(f *flow) netip.AddrPort {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextPort++
	w.flows[w.nextPort] = f
	return netip.AddrPortFrom(w.ip(5, 1), w.nextPort)
}

func (w *world) dropPort(f *flow) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.flows, f.k.client.Port())
}

// holder returns the host that is alive and has the flow open.
func (w *world) holder(k key) *host {
	for _, h := range w.hosts {
		if h.holds(k) {
			return h
		}
	}
	return nil
}

// end ends all processes and removes the temporary folder, unless KEEP is set.
func (w *world) end() {
	close(w.stop)
	for _, m := range w.machines {
		if m.cmd != nil && m.cmd.Process != nil {
			_ = m.cmd.Process.Signal(syscall.SIGKILL)
			<-m.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
	w.rec.close()
}

// logContains says whether a machine's log has a line with all texts.
func (m *machine) logContains(texts ...string) bool {
	b, _ := os.ReadFile(filepath.Join(m.w.dir, m.name+".log"))
	for _, l := range strings.Split(string(b), "\n") {
		all := true
		for _, t := range texts {
			all = all && strings.Contains(l, t)
		}
		if all {
			return true
		}
	}
	return false
}

// restart stops the process of a machine with SIGTERM and starts it again.
func (m *machine) restart() error {
	m.signal(syscall.SIGTERM)
	select {
	case <-m.exited:
	case <-time.After(6 * time.Second):
		m.signal(syscall.SIGKILL)
		<-m.exited
	}
	return m.start(false)
}
