// Package proof_test runs the cores of several instances in one process under
// virtual time, injects faults, and checks the requirements of the load balancer
// on every datagram that reaches a server or a caller.
package proof_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"ebonypaddle/emul/server"
	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/vtime"
	"ebonypaddle/pkg/wire"
)

const (
	instanceTick = 20 * time.Millisecond
	serverTick   = 5 * time.Millisecond
	// applyWithin is the time within which a change of the settings must be in
	// force on every instance.
	applyWithin = 4 * time.Second
	// coldDetectTime is how long a server that fell back into cold start without
	// a restart may get more requests than its limit. It begins with the arrival
	// of the first refusal that reports the cold start.
	coldDetectTime = 500 * time.Millisecond
	// fabricLag is how long the fabric takes to notice that an instance started,
	// left or died.
	fabricLag = time.Second
	// stallTime is how long a flow may go without an echo while an instance is
	// able to serve it. Callers repeat a keepalive every 100 ms.
	stallTime = 8 * time.Second
)

var (
	simStart   = time.UnixMilli(1_700_000_000_000)
	fabricAddr = testAddr(9, 1)
	domains    = []string{"a", "b", "c"}
)

// testAddr returns the address 127.1.n.i:4000.
func testAddr(n, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(n), byte(i)}), 4000)
}

// backendServer is a backend server and the state that the checks need.
type backendServer struct {
	*server.Server
	domain         string
	name           string
	stopped        bool // does not run, so packets to it are dropped
	diedAt         time.Time
	unreportedCold bool      // in cold start without a restart, and no refusal has reported it yet
	coldReportedAt time.Time // when the first refusal that reports the cold start arrived
}

// simulation is a deployment under virtual time: the instances, servers, callers
// and the platform, and the datagrams between them.
type simulation struct {
	vtime.Clock

	t             testing.TB
	rnd           *rand.Rand
	platform      platform
	instances     []*instance
	serversByAddr map[netip.AddrPort]*backendServer
	servers       []*backendServer
	flows         []*flow
	requests      map[wire.RequestID]*request
	finished      []*request
	partitioned   map[string]bool // failure domains without any link to the others
	// controlCut holds the failure domains whose instances reach all servers, but
	// neither the platform nor instances of other domains.
	controlCut map[string]bool
	// platformCut holds the failure domains that cannot reach the platform.
	platformCut map[string]bool
	// maxTicketDelay is the longest time for which callers keep a ticket before
	// they use it.
	maxTicketDelay   time.Duration
	lossRate         float64 // share of datagrams that are lost
	requestsPer100ms int
	// Samples of datagrams of callers and of instances, which the fault "forge"
	// repeats and alters.
	callerSamples, peerSamples [][]byte
	violations                 []string
	counts                     counts
}

// counts are the totals of a run.
type counts struct {
	opened, done, notRun, unknown, edits int
	// broken counts flows that ended although they had to continue, ended those
	// that operators or the death of a server ended, delivered the frames that
	// reached servers.
	broken, ended, delivered int
}

// errorf records a violated requirement. The first 8 are kept for verify.
func (sim *simulation) errorf(format string, args ...any) {
	if len(sim.violations) < 8 {
		sim.violations = append(sim.violations, fmt.Sprintf("%7.3fs ", sim.Now.Sub(simStart).Seconds())+fmt.Sprintf(format, args...))
	}
}

// every calls do every d.
func (sim *simulation) every(d time.Duration, do func()) {
	sim.After(d, func() { do(); sim.every(d, do) })
}

// reachable reports whether datagrams pass between two failure domains. Callers
// and the platform have the domain "".
func (sim *simulation) reachable(a, b string) bool {
	return a == b || !sim.partitioned[a] && !sim.partitioned[b]
}

// controlReachable reports whether control messages pass between two failure
// domains.
func (sim *simulation) controlReachable(a, b string) bool {
	return sim.reachable(a, b) && (a == b || !sim.controlCut[a] && !sim.controlCut[b])
}

// transmit delivers one datagram with random delay, which reorders datagrams,
// and loss, and with mayDuplicate duplicates some.
func (sim *simulation) transmit(from, to string, mayDuplicate bool, deliver func()) {
	if !sim.reachable(from, to) || sim.rnd.Float64() < sim.lossRate {
		return
	}
	delay := 300*time.Microsecond + time.Duration(sim.rnd.Int64N(int64(time.Millisecond)))
	if sim.rnd.Float64() < 2*sim.lossRate {
		delay += time.Duration(sim.rnd.Int64N(int64(200 * time.Millisecond)))
	}
	sim.After(delay, deliver)
	if mayDuplicate && sim.rnd.Float64() < sim.lossRate {
		sim.transmit(from, to, false, deliver)
	}
}

// deliverToServer checks a datagram of an instance and hands it to the server at
// its address.
func (sim *simulation) deliverToServer(from *instance, to netip.AddrPort, b []byte) {
	srv := sim.serversByAddr[to]
	var p wire.Packet
	if srv == nil || srv.stopped || wire.Decode(b, &p) != nil {
		return
	}
	sim.sendFromServer(srv, srv.Tick(sim.Now))
	sim.checkFrame(from, srv, &p.Frame)
	sim.sendFromServer(srv, srv.Handle(sim.Now, from.entry.Data, &p))
}

// checkFrame checks the requirements on a frame that reaches a server. A frame
// whose deadline has passed is not checked: a process that is paused between
// its decision and the send cannot take the frame back, and the server discards
// it.
func (sim *simulation) checkFrame(from *instance, srv *backendServer, f *wire.Frame) {
	sim.counts.delivered++
	if f.Deadline != 0 && sim.Now.After(f.DeadlineTime()) {
		return
	}
	desc := fmt.Sprintf("frame kind %d from %s to server %s", f.Kind, from.entry.Name, srv.name)
	newWork := f.Kind == wire.KindOpen || f.Kind == wire.KindRequest
	if f.Kind != wire.KindProbe && (f.Service != srv.Service || f.Server != srv.ID || f.Generation != srv.Generation) {
		sim.errorf("wrong service: %s is for service %d server %d", desc, f.Service, f.Server)
	}
	sim.checkMarks(from, srv, desc, newWork)
	sim.checkCold(srv, desc, f.Kind == wire.KindRequest)
}

// checkMarks checks that no frame reaches a failure domain that operators took
// out of service, and no new work a server that they took out, once applyWithin
// has passed. An instance of the same domain that a fault impaired within
// applyWithin is excused.
func (sim *simulation) checkMarks(from *instance, srv *backendServer, desc string, newWork bool) {
	if from.domain == srv.domain && sim.Now.Sub(from.lastDisturbed) < applyWithin {
		return
	}
	domain := sim.platform.latest().Domains[srv.domain]
	if domain.Mark == conf.MarkOut && sim.Now.Sub(domain.Since) > applyWithin {
		sim.errorf("domain out: %s after %v", desc, sim.Now.Sub(domain.Since))
	}
	record := sim.platform.latest().Servers[srv.name]
	if newWork && record.Mark != conf.MarkIn && sim.Now.Sub(record.Since) > applyWithin {
		sim.errorf("leaving server: %s after %v", desc, sim.Now.Sub(record.Since))
	}
}

// checkCold checks that a server in cold start gets no request beyond its limit.
func (sim *simulation) checkCold(srv *backendServer, desc string, request bool) {
	if srv.Health(sim.Now) != "cold" {
		srv.unreportedCold = false
		return
	}
	inFlight := int(srv.Load(sim.Now).InFlight)
	if !request || inFlight < srv.ColdSlots {
		return
	}
	if !srv.unreportedCold && sim.Now.Sub(srv.coldReportedAt) > coldDetectTime {
		sim.errorf("cold start: %s with %d in progress of %d", desc, inFlight, srv.ColdSlots)
	}
}

// sendFromServer transmits the packets of a server to their instances.
func (sim *simulation) sendFromServer(srv *backendServer, sends []server.Outgoing) {
	for i := range sends {
		b, err := wire.Encode(&sends[i].Packet)
		if err != nil {
			sim.errorf("server %s cannot encode: %v", srv.name, err)
			continue
		}
		for _, inst := range sim.instances {
			if inst.entry.Data == sends[i].To {
				showsCold := sends[i].Packet.Frame.Has(wire.FlagCold)
				sim.transmit(srv.domain, inst.domain, true, func() {
					// Instances cannot know that the server is cold again
					// before a refusal that reports it has arrived. The
					// network may lose the first such refusals.
					if showsCold && srv.unreportedCold {
						srv.unreportedCold, srv.coldReportedAt = false, sim.Now
					}
					inst.receiveData(srv.Addr, b)
				})
			}
		}
	}
}

// sendFromCaller sends a caller's packet to a random instance out of those that
// the fabric takes for running.
func (sim *simulation) sendFromCaller(p wire.Packet) {
	b, err := wire.Encode(&p)
	if err != nil {
		sim.errorf("caller cannot encode: %v", err)
		return
	}
	var known []*instance
	for _, inst := range sim.instances {
		stale := sim.Now.Sub(inst.statusChangedAt) < fabricLag
		if inst.up && !inst.leaving || stale && inst.up == inst.leaving {
			known = append(known, inst)
		}
	}
	if len(known) == 0 {
		return
	}
	inst := known[sim.rnd.IntN(len(known))]
	if sim.rnd.Float64() < 0.02 && len(sim.callerSamples) < 400 {
		sim.callerSamples = append(sim.callerSamples, b)
	}
	sim.transmit("", "", true, func() { inst.receiveData(fabricAddr, b) })
}

// newSimulation starts six instances, nine servers and the callers.
func newSimulation(t testing.TB, seed uint64) *simulation {
	sim := &simulation{
		Clock: vtime.Clock{Now: simStart}, t: t, rnd: rand.New(rand.NewPCG(seed, 77)), serversByAddr: map[netip.AddrPort]*backendServer{},
		requests: map[wire.RequestID]*request{}, partitioned: map[string]bool{}, controlCut: map[string]bool{}, platformCut: map[string]bool{}, lossRate: 0.01, requestsPer100ms: 4,
	}
	sim.platform.sim = sim
	sim.platform.snapshots = []*conf.Snapshot{initialSettings(sim)}
	for i, d := range domains {
		for j := range 2 {
			inst := &instance{sim: sim, domain: d, entry: sim.platform.latest().Domains[d].Entries[j], seed: seed*100 + uint64(2*i+j)}
			sim.instances = append(sim.instances, inst)
			inst.start()
			sim.every(instanceTick, inst.tick)
			sim.every(5*instanceTick, inst.readSettings)
		}
	}
	for _, s := range slices.SortedFunc(maps.Values(sim.platform.latest().Servers), byName) {
		sim.startServer(s)
	}
	sim.every(serverTick, func() {
		for _, srv := range sim.servers {
			if !srv.stopped {
				sim.sendFromServer(srv, srv.Tick(sim.Now))
			}
		}
	})
	sim.every(100*time.Millisecond, sim.stepCallers)
	return sim
}

// startServer starts the backend server of a settings record.
func (sim *simulation) startServer(s conf.Server) {
	svc := *sim.platform.latest().Nodes[s.Service].Values.ServiceID
	srv := &backendServer{domain: s.Domain, name: s.Name, Server: &server.Server{
		Rand: rand.New(rand.NewPCG(uint64(s.ID), 3)),
		Config: server.Config{
			Service: svc, ID: s.ID, Generation: s.Generation, Addr: s.Addr, Slots: 2, Queue: 4, Connections: 2000,
			Mean: conf.Duration(20 * time.Millisecond), ColdTime: conf.Duration(coldTime), ColdSlots: 1, ColdMargin: 100, ColdFactor: 5,
			DownTime: conf.Duration(3 * time.Second),
		},
	}}
	srv.Start(sim.Now)
	sim.serversByAddr[s.Addr] = srv
	sim.servers = append(sim.servers, srv)
}

// verify checks the outcomes of requests against the runs on the servers, and
// fails the test with every violation that was recorded.
func (sim *simulation) verify(name string) {
	sim.t.Helper()
	runs := map[string]int{}
	for _, srv := range sim.servers {
		for _, r := range srv.Report().Records {
			runs[r.ID] += r.Runs
		}
	}
	for _, r := range sim.finished {
		r.verify(sim, runs[fmt.Sprintf("%x", r.id)])
	}
	for _, b := range sim.violations {
		sim.t.Errorf("%s: %s", name, b)
	}
	if sim.counts.delivered == 0 || sim.counts.opened == 0 || sim.counts.done == 0 {
		sim.t.Errorf("%s: nothing was served: %+v", name, sim.counts)
	}
}
