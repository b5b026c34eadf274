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

// Time limits of the requirements, as in the users' deployments. Instances get
// all but settleTime in their boot files.
const (
	// settleTime is how long an instance and the store must have been
	// undisturbed before the requirements apply to the instance.
	settleTime     = 4 * time.Second
	applyWithin    = 3 * time.Second
	drainWithin    = 3 * time.Second
	evacuateWithin = 5 * time.Second
	stopWithin     = 6 * time.Second
)

// instance is one instance: a process of the program.
type instance struct {
	dep                      *deployment
	name, domain, configPath string
	data, ready              netip.AddrPort
	proxy                    *proxy

	mu             sync.Mutex
	cmd            *exec.Cmd
	exited         chan struct{}
	disturbedUntil time.Time // end of the latest disturbance
	inRotation     atomic.Bool
	// datagramDelay is the mean delay of callers' datagrams in nanoseconds, or
	// dropDatagrams. Each delay is random between 0.5 and 1.5 times the mean, which
	// reorders the datagrams.
	datagramDelay atomic.Int64
}

// dropDatagrams as a delay means that all datagrams are dropped.
const dropDatagrams = 1

// deployment is one deployment: store, instances, servers and callers on a
// loopback network of its own.
type deployment struct {
	t          *testing.T
	rnd        *rand.Rand
	dir        string
	network    byte // second byte of all addresses
	port       uint16
	store      *fakeStore
	instances  []*instance
	servers    []*backendServer
	callerAddr netip.Addr
	conn       *net.UDPConn

	mu                  sync.Mutex
	callersByPort       map[uint16]*caller
	nextPort            uint16
	routes              map[netip.AddrPort]string // service of every route, extraRoute included
	liveRoutes          []netip.AddrPort
	version             uint64
	hasExtraRoute       bool // the settings have extraRoute
	violations          []string
	storeDisturbedUntil time.Time // end of the latest disturbance of the store
	disturbedPhase      requestCounts
	finalPhase          requestCounts // after recoveryTime
	inFinalPhase        atomic.Bool
}

func (dep *deployment) ip(a, b byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, dep.network, a, b})
}

// errorf records a violated requirement. The first 20 are kept.
func (dep *deployment) errorf(format string, args ...any) {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	if len(dep.violations) < 20 {
		dep.violations = append(dep.violations, fmt.Sprintf(format, args...))
	}
}

// currentPhase returns the counts that new requests belong to.
func (dep *deployment) currentPhase() *requestCounts {
	if dep.inFinalPhase.Load() {
		return &dep.finalPhase
	}
	return &dep.disturbedPhase
}

// everRouted reports whether an address is a route of the service, in the current
// settings or in earlier ones.
func (dep *deployment) everRouted(to netip.AddrPort, service string) bool {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	return dep.routes[to] == service
}

// allocatePort gives a caller an unused port and a new channel for its packets.
func (dep *deployment) allocatePort(c *caller) uint16 {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	for dep.nextPort++; dep.nextPort < 1024 || dep.callersByPort[dep.nextPort] != nil; dep.nextPort++ {
		continue
	}
	c.packets = make(chan packet, 16)
	dep.callersByPort[dep.nextPort] = c
	return dep.nextPort
}

func (dep *deployment) releasePort(port uint16) {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	delete(dep.callersByPort, port)
}

func (dep *deployment) randomRoute(rnd *rand.Rand) netip.AddrPort {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	return dep.liveRoutes[rnd.IntN(len(dep.liveRoutes))]
}

// send sends a caller's packet to an instance as the platform's routers do: by a
// hash over the instances in rotation, or over all if fewer than half are.
func (dep *deployment) send(p packet) {
	var rotation []*instance
	for _, inst := range dep.instances {
		if inst.inRotation.Load() {
			rotation = append(rotation, inst)
		}
	}
	if len(rotation) < (len(dep.instances)+1)/2 {
		rotation = dep.instances
	}
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, p.src, p.dst) // a hash never fails
	dep.sendTo(rotation[int(h.Sum32())%len(rotation)], p)
}

func (dep *deployment) sendTo(inst *instance, p packet) {
	send := func() {
		_, _ = dep.conn.WriteToUDPAddrPort(p.encode(), inst.data) // fails when the instance is down
	}
	switch delay := time.Duration(inst.datagramDelay.Load()); delay {
	case 0:
		send()
	case dropDatagrams:
	default:
		time.AfterFunc(delay/2+time.Duration(rand.Int64N(int64(delay))), send)
	}
}

// receive passes packets to callers, and checks that they were not altered and
// that resets by instances are justified.
func (dep *deployment) receive() {
	buf := make([]byte, 2048)
	for {
		n, from, err := dep.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p, intact, fromInstance := decode(append([]byte{}, buf[:n]...))
		if !intact && (!fromInstance || p.flags != flagReset) {
			dep.errorf("packet to %v was altered in transit", p.dst)
			continue
		}
		if fromInstance {
			dep.checkReset(p, from)
		}
		dep.mu.Lock()
		c := dep.callersByPort[p.dst.Port()]
		dep.mu.Unlock()
		if c != nil {
			select {
			case c.packets <- p:
			default:
			}
		}
	}
}

// checkReset checks a reset that an instance sent on one of the permanent routes.
// The flow must not be open on a server that has answered a request of it, unless
// the instance or the store was disturbed within settleTime.
func (dep *deployment) checkReset(p packet, from netip.AddrPort) {
	for _, srv := range dep.servers {
		srv.mu.Lock()
		open := srv.flowsByCaller[p.dst] != nil && !srv.dead
		started := open && srv.flowsByCaller[p.dst].lastAnswer != nil
		srv.mu.Unlock()
		if started && dep.settled(from) && dep.isRouted(p.src) {
			dep.errorf("open flow %v at %s reset by %v", p.dst, srv.name, from)
		}
	}
}

// isRouted reports whether an address is one of the permanent routes.
func (dep *deployment) isRouted(to netip.AddrPort) bool {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	for _, a := range dep.liveRoutes {
		if a == to {
			return true
		}
	}
	return false
}

// settled reports whether the instance at a data address and the store have been
// undisturbed for settleTime.
func (dep *deployment) settled(data netip.AddrPort) bool {
	now := time.Now()
	dep.mu.Lock()
	storeDisturbedUntil := dep.storeDisturbedUntil
	dep.mu.Unlock()
	if now.Before(storeDisturbedUntil.Add(settleTime)) {
		return false
	}
	for _, inst := range dep.instances {
		if inst.data == data {
			inst.mu.Lock()
			defer inst.mu.Unlock()
			return now.After(inst.disturbedUntil.Add(settleTime))
		}
	}
	return false
}

// markStoreDisturbed counts the store as disturbed for d.
func (dep *deployment) markStoreDisturbed(d time.Duration) {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	dep.storeDisturbedUntil = time.Now().Add(d)
}

// pollReady polls the readiness of all instances twice a second, as the
// platform's routers do. Two failures in a row take an instance out of rotation.
func (dep *deployment) pollReady(stop <-chan struct{}) {
	c := &http.Client{Timeout: 400 * time.Millisecond}
	misses := make([]int, len(dep.instances))
	for {
		for i, inst := range dep.instances {
			res, err := c.Get("http://" + inst.ready.String() + "/v1/ready")
			ok := err == nil && res.StatusCode == http.StatusOK
			if err == nil {
				_ = res.Body.Close()
			}
			misses[i]++
			if ok {
				misses[i] = 0
			}
			inst.inRotation.Store(misses[i] < 2)
		}
		select {
		case <-stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// putSettings writes settings with the live routes to the store, and returns the
// time of the change.
func (dep *deployment) putSettings() time.Time {
	dep.mu.Lock()
	dep.version += uint64(1 + dep.rnd.IntN(3))
	dep.mu.Unlock()
	return dep.writeSettings()
}

// writeSettings writes the settings of the current version to the store, and returns
// the time of the change.
func (dep *deployment) writeSettings() time.Time {
	dep.mu.Lock()
	routes := []map[string]any{}
	live := dep.liveRoutes
	if dep.hasExtraRoute {
		live = append(live[:len(live):len(live)], extraRoute)
	}
	for _, a := range live {
		routes = append(routes, map[string]any{
			"Host": a.Addr(), "Prefix": fmt.Sprintf("/%d/", a.Port()), "Service": dep.routes[a],
			"Kind": "idempotent", "TimeoutMs": 1500, "GoalMs": 150,
		})
	}
	spec := map[string]any{
		"Version": dep.version, "Routes": routes, "Limits": map[string]any{"IdleTimeoutMs": 15000},
		"Services": []map[string]any{{"Name": "order", "WarmupS": 2.0}, {"Name": "intake", "WarmupS": 2.0}},
	}
	dep.mu.Unlock()
	return dep.store.put("config", "main", spec)
}

// setDraining records when the store acknowledged that the server is draining; zero
// for not. It does nothing for a server that is ready.
func (srv *backendServer) setDraining(acknowledgedAt time.Time) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.noOpenAfter = time.Time{}
	if srv.state == "draining" && !acknowledgedAt.IsZero() {
		srv.noOpenAfter = acknowledgedAt.Add(drainWithin)
	}
}

func (srv *backendServer) setState(state string) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.state = state
}

// extraRoute is the route that toggleRoute adds and removes. No caller uses it.
var extraRoute = netip.MustParseAddrPort("198.18.9.1:443")

// toggleRoute adds or removes extraRoute. Once the change must be in force, it
// sends an open packet to every instance and checks that the settled ones accept
// or reset it as the settings say.
func (dep *deployment) toggleRoute() string {
	dep.mu.Lock()
	dep.hasExtraRoute = !dep.hasExtraRoute
	routed, version := dep.hasExtraRoute, dep.version
	dep.mu.Unlock()
	changedAt := dep.putSettings()
	go func() {
		time.Sleep(time.Until(changedAt.Add(applyWithin + 100*time.Millisecond)))
		for _, inst := range dep.instances {
			c := &caller{dep: dep}
			p := packet{flags: flagOpen, src: netip.AddrPortFrom(dep.callerAddr, dep.allocatePort(c)), dst: extraRoute, seq: 7}
			wasSettled := dep.settled(inst.data)
			dep.sendTo(inst, p)
			select {
			case a := <-c.packets:
				dep.mu.Lock()
				// putSettings raises the version by at most 3. If it is higher, the
				// settings have changed again.
				current := dep.version <= version+3 && dep.hasExtraRoute == routed
				dep.mu.Unlock()
				if accepted := a.flags&flagReset == 0; wasSettled && current && accepted != routed {
					dep.errorf("%s does not apply a changed route: accepted %v, %v after the change", inst.name, accepted, time.Since(changedAt))
				}
			case <-time.After(300 * time.Millisecond):
			}
			dep.releasePort(p.src.Port())
		}
	}()
	return fmt.Sprintf("route %v", routed)
}

// putRecord writes the record of the server to the store, and returns the time of
// the change.
func (srv *backendServer) putRecord() time.Time {
	srv.mu.Lock()
	srv.sequence++
	state, sequence := srv.state, srv.sequence
	srv.mu.Unlock()
	return srv.dep.store.put("servers", srv.name, map[string]any{
		"Service": srv.service, "Address": srv.addr, "Zone": srv.domain, "Version": "v1", "Capacity": 2,
		"State": state, "WarmupLeftMs": 0, "Sequence": sequence, "born": 1,
	})
}

// start starts the process. first says that it bootstraps a new deployment.
func (inst *instance) start(first bool) {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	inst.disturbedUntil = time.Now()
	log, err := os.OpenFile(filepath.Join(inst.dep.dir, inst.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(inst.dep.t, err)
	assert.NilError(inst.dep.t, os.WriteFile(inst.configPath, inst.configFile(first), 0o600))
	inst.cmd = exec.Command(programPath, "run", "--config", inst.configPath)
	inst.cmd.Stdout, inst.cmd.Stderr = log, log
	inst.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	assert.NilError(inst.dep.t, inst.cmd.Start())
	inst.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait() // the exit state is read from cmd
		_ = log.Close()
		close(exited)
	}(inst.cmd, inst.exited)
}

// configFile returns the boot file of the instance as JSON.
func (inst *instance) configFile(first bool) []byte {
	var seeds []string
	for _, o := range inst.dep.instances[:min(3, len(inst.dep.instances))] {
		seeds = append(seeds, netip.AddrPortFrom(o.data.Addr(), 8166).String())
	}
	b, err := json.Marshal(map[string]any{
		"Node": inst.name, "Zone": inst.domain, "Bootstrap": first, "Seeds": seeds, "HeartbeatMs": 1200,
		"Listen":    map[string]any{"DataAddr": inst.data, "Ready": inst.ready, "Control": netip.AddrPortFrom(inst.data.Addr(), 8166)},
		"PortRange": []int{7720, 7735}, "Limits": map[string]any{"CpuShare": 0.4, "Cores": 1, "MemoryMb": 284, "LinkMbps": 1000},
		"Bounds": map[string]any{
			"GraceS": stopWithin.Seconds(), "FlowTtlS": 60, "ApplyMs": applyWithin.Milliseconds(),
			"DrainMs": drainWithin.Milliseconds(), "EvacuateMs": evacuateWithin.Milliseconds(),
		},
		"platform": map[string]any{"Address": inst.proxy.listener.Addr().String()},
	})
	assert.NilError(inst.dep.t, err)
	return b
}

// signal sends a signal to the process, and counts the instance as disturbed for
// at least the given time. SIGCONT has no effect on a running process, so callers
// send it just to count an instance as disturbed by something else.
func (inst *instance) signal(sig syscall.Signal, disturbed time.Duration) {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if until := time.Now().Add(disturbed); disturbed > 0 && until.After(inst.disturbedUntil) {
		inst.disturbedUntil = until
	}
	_ = inst.cmd.Process.Signal(sig) // fails when the process has ended
}
