package flow_test

import (
	crand "crypto/rand"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/flow"
	"ebonypaddle/pkg/token"
	"ebonypaddle/pkg/vtime"
	"ebonypaddle/pkg/wire"
)

var (
	start   = time.UnixMilli(1_700_000_000_000)
	service = netip.MustParseAddrPort("127.0.0.1:9000")
)

// schedule simulates routers, flows and settings changes in virtual time.
type schedule struct {
	vtime.Clock

	rnd     *rand.Rand
	snap    conf.Snapshot
	routers []*flow.Router
	alive   []bool
	// localTables are the servers of flows by instance, for mode hashLocal.
	localTables []map[uint64]conf.ServerID
	flows       map[uint64]*testFlow
	mode        mode

	openedFlows, brokenFlows, lostFlows int
	// controlMessages counts messages between instances.
	controlMessages int
	// revisions are the settings revisions of the instances. They only rise.
	revisions []uint64
	// applied holds the settings of each instance.
	applied map[*flow.Router]*conf.Snapshot
}

// mode is the way in which flows are routed.
type mode int

const (
	hashOnly   mode = iota // every packet by hash
	hashLocal              // by hash, with a table of known flows in each instance
	withToken              // by flow token
	withOwners             // by bucket, with owners during a transition
)

func (m mode) String() string {
	return [...]string{"hash", "hash+local", "token", "buckets+owners"}[m]
}

// testFlow is a simulated flow. done is set when it is broken or lost.
type testFlow struct {
	server conf.ServerID
	token  []byte
	done   bool
}

func newSchedule(t testing.TB, m mode, seed uint64, instances, servers int) *schedule {
	t.Helper()
	s := &schedule{Clock: vtime.Clock{Now: start}, mode: m, rnd: rand.New(rand.NewPCG(seed, 1)), flows: map[uint64]*testFlow{}, applied: map[*flow.Router]*conf.Snapshot{}}
	id := conf.ServiceID(1)
	s.snap = conf.Snapshot{
		Rev:     1,
		Nodes:   map[string]conf.Node{"/h/order": {Path: "/h/order", Values: conf.Values{ServiceID: &id, Address: &service}}},
		Domains: map[string]conf.Domain{"a": {Name: "a", Half: "h", Mark: conf.MarkIn}},
		Servers: map[string]conf.Server{},
		Keys:    map[string]conf.Key{"k": {ID: 1, Secret: make([]byte, 32), SealFrom: start}},
	}
	for i := range servers {
		s.setServer(conf.ServerID(i+1), conf.MarkIn)
	}
	for range instances {
		s.join(t)
	}
	return s
}

// setServer sets the mark of a server. The change reaches each instance after a
// random delay of up to 3 s.
func (s *schedule) setServer(id conf.ServerID, mark conf.Mark) {
	servers := map[string]conf.Server{}
	for k, v := range s.snap.Servers {
		servers[k] = v
	}
	since := s.Now
	if s.Now.Equal(start) {
		since = time.Time{}
	}
	servers[fmt.Sprint(id)] = conf.Server{ID: id, Service: "/h/order", Domain: "a", Generation: 1, Mark: mark, Since: since}
	s.snap.Servers = servers
	s.snap.Rev++
	snap := s.snap
	for i, r := range s.routers {
		s.After(time.Duration(s.rnd.IntN(3000))*time.Millisecond, func() {
			if s.alive[i] && snap.Rev > s.revisions[i] {
				s.revisions[i] = snap.Rev
				s.applied[r] = &snap
				r.Apply(s.Now, &snap)
			}
		})
	}
}

// join starts a new instance.
func (s *schedule) join(t testing.TB) {
	t.Helper()
	box := &token.Box{Rand: crand.Reader}
	assert.NilError(t, box.SetKeys(s.snap.Keys))
	i := len(s.routers)
	r := &flow.Router{Self: fmt.Sprint(i), Box: box, Rand: s.rnd}
	snap := s.snap
	r.Apply(s.Now, &snap)
	s.applied[r] = &snap
	s.routers = append(s.routers, r)
	s.alive = append(s.alive, true)
	s.revisions = append(s.revisions, snap.Rev)
	s.localTables = append(s.localTables, map[uint64]conf.ServerID{})
	s.tick(i)
	s.updateMembers()
}

// kill ends an instance. The others remove it from their members after 3 s.
func (s *schedule) kill(i int) {
	s.alive[i] = false
	s.After(3*time.Second, s.updateMembers)
}

// updateMembers sets the live instances in all routers.
func (s *schedule) updateMembers() {
	var ms []flow.Member
	for i, up := range s.alive {
		if up {
			ms = append(ms, flow.Member{Name: fmt.Sprint(i), Peer: peerAddr(i)})
		}
	}
	for _, r := range s.routers {
		r.SetMembers(ms)
	}
}

func peerAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(5000+i))
}

func (s *schedule) tick(i int) {
	if !s.alive[i] {
		return
	}
	s.release(s.routers[i].Tick(s.Now))
	s.After(50*time.Millisecond, func() { s.tick(i) })
}

// flush sends the queued control messages of an instance. They arrive after 1 to
// 3 ms.
func (s *schedule) flush(i int) {
	var out wire.Outbox
	s.routers[i].Flush(&out)
	for _, m := range out.Sends {
		to := int(m.To.Port()) - 5000
		s.controlMessages++
		s.After(time.Millisecond+time.Duration(s.rnd.IntN(2000))*time.Microsecond, func() { s.deliver(i, to, m.Peer.Body) })
	}
}

func (s *schedule) deliver(from, to int, body any) {
	if !s.alive[to] {
		return
	}
	switch b := body.(type) {
	case flow.Registration:
		s.routers[to].HandleRegistration(s.Now, b)
	case flow.Lookup:
		reply := s.routers[to].HandleLookup(s.Now, b)
		s.controlMessages++
		s.After(2*time.Millisecond, func() { s.deliver(to, from, reply) })
	case flow.LookupReply:
		s.release(s.routers[to].HandleLookupReply(s.Now, b))
	}
}

func (s *schedule) release(rs []flow.Released) {
	for _, r := range rs {
		s.checkRoute(r.Packet.Frame.Flow, r.Route)
	}
}

// checkRoute compares the route of a packet with the server of the flow. It counts
// a flow with another route as lost if its server was removed, else as broken.
func (s *schedule) checkRoute(id uint64, rt flow.Route) {
	f := s.flows[id]
	if f.done {
		return
	}
	if rt.Verdict == flow.Forward && rt.Server == f.server {
		return
	}
	f.done = true
	if mark := s.snap.Servers[fmt.Sprint(f.server)].Mark; mark == conf.MarkRemoved {
		s.lostFlows++
		return
	}
	s.brokenFlows++
}

// pickInstance returns a random live instance.
func (s *schedule) pickInstance() int {
	for {
		if i := s.rnd.IntN(len(s.alive)); s.alive[i] {
			return i
		}
	}
}

func (s *schedule) packet(id uint64, kind wire.Kind) *wire.Packet {
	p := &wire.Packet{Caller: netip.MustParseAddrPort("127.0.0.1:7000"), Service: service}
	p.Frame.Kind, p.Frame.Flow = kind, id
	if s.mode == withToken {
		p.Frame.Token = s.flows[id].token
	} else {
		p.Frame.Flags = wire.FlagStateless
	}
	return p
}

// openFlow opens a flow at a random instance. The caller then sends a packet every
// second, each through a random instance.
func (s *schedule) openFlow() {
	id := uint64(s.openedFlows + 1)
	s.openedFlows++
	f := &testFlow{}
	s.flows[id] = f
	i := s.pickInstance()
	r := s.routers[i]
	rt := r.Route(s.Now, s.packet(id, wire.KindOpen))
	if s.mode == withToken {
		f.server = s.chooseServer(r)
		f.token, _ = r.IssueToken(s.Now, nil, 1, f.server, 1, id)
	} else {
		f.server = rt.Server
		s.localTables[i][id] = rt.Server
	}
	s.flush(i)
	// The caller sends only after the answer to its open frame, which takes a
	// round trip of at least 4 ms.
	s.After(4*time.Millisecond, func() { s.sendPackets(id) })
}

// chooseServer returns a random server on which the instance may open flows.
func (s *schedule) chooseServer(r *flow.Router) conf.ServerID {
	for {
		id := conf.ServerID(s.rnd.IntN(len(s.snap.Servers)) + 1)
		rec, ok := s.applied[r].Servers[fmt.Sprint(id)]
		if ok && rec.Mark == conf.MarkIn && !s.Now.Before(s.applied[r].MarkedSince(&rec).Add(conf.EffectAfter)) {
			return id
		}
	}
}

// sendPackets sends a packet of the flow every second until the flow is done.
func (s *schedule) sendPackets(id uint64) {
	f := s.flows[id]
	if f.done {
		return
	}
	i := s.pickInstance()
	r := s.routers[i]
	switch s.mode {
	case hashOnly:
		s.checkRoute(id, r.Route(s.Now, s.packet(id, wire.KindOpen)))
	case hashLocal:
		server, ok := s.localTables[i][id]
		if !ok {
			server = r.Route(s.Now, s.packet(id, wire.KindOpen)).Server
			s.localTables[i][id] = server
		}
		s.checkRoute(id, flow.Route{Verdict: flow.Forward, Server: server})
	default:
		rt := r.Route(s.Now, s.packet(id, wire.KindData))
		s.flush(i)
		if rt.Verdict != flow.Hold {
			s.checkRoute(id, rt)
		}
	}
	s.After(time.Second, func() { s.sendPackets(id) })
}

// runPlannedChanges runs a schedule of 3 minutes in which servers drain and join
// and instances stop and join, while settings reach the instances at different
// times.
func runPlannedChanges(t testing.TB, m mode, seed uint64) *schedule {
	s := newSchedule(t, m, seed, 8, 14)
	for range 500 {
		s.After(time.Duration(s.rnd.IntN(5000))*time.Millisecond, s.openFlow)
	}
	for range 500 {
		s.After(5*time.Second+time.Duration(s.rnd.IntN(60_000))*time.Millisecond, s.openFlow)
	}
	s.After(10*time.Second, func() { s.setServer(3, conf.MarkLeaving) })
	s.After(15*time.Second, func() { s.setServer(15, conf.MarkIn) })
	s.After(17*time.Second, func() { s.kill(2) })
	s.After(22*time.Second, func() { s.join(t) })
	s.After(30*time.Second, func() { s.setServer(4, conf.MarkLeaving) })
	s.After(31*time.Second, func() { s.setServer(16, conf.MarkIn) })
	s.After(33*time.Second, func() { s.kill(5) })
	s.After(36*time.Second, func() { s.join(t) })
	s.After(45*time.Second, func() { s.setServer(3, conf.MarkIn) })
	s.RunFor(3 * time.Minute)
	return s
}

// Guards against flows that break when servers drain and join while instances are
// replaced and receive the changes at different times. The first two modes are
// baselines, in which flows must break.
func TestPlannedChangeBreaksNoFlow(t *testing.T) {
	for _, m := range []mode{hashOnly, hashLocal, withToken, withOwners} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%s/%d", m, seed), func(t *testing.T) {
				s := runPlannedChanges(t, m, seed)
				t.Logf("%s: %d of %d flows broken, %d control messages", m, s.brokenFlows, s.openedFlows, s.controlMessages)
				assert.Equal(t, s.openedFlows, 1000)
				if m == withToken || m == withOwners {
					assert.Equal(t, s.brokenFlows, 0)
				} else {
					assert.Assert(t, s.brokenFlows > 0, "the schedule breaks no flow of the baseline")
				}
			})
		}
	}
}

// Guards against a removed server that breaks flows of other servers.
func TestServerDeathBreaksOnlyItsFlows(t *testing.T) {
	for _, m := range []mode{withToken, withOwners} {
		t.Run(m.String(), func(t *testing.T) {
			s := newSchedule(t, m, 1, 8, 14)
			for range 1000 {
				s.After(time.Duration(s.rnd.IntN(5000))*time.Millisecond, s.openFlow)
			}
			s.After(10*time.Second, func() { s.setServer(3, conf.MarkRemoved) })
			s.RunFor(30 * time.Second)
			assert.Equal(t, s.brokenFlows, 0)
			assert.Assert(t, s.lostFlows > 0)
		})
	}
}

func BenchmarkAlternatives(b *testing.B) {
	for _, m := range []mode{hashOnly, hashLocal, withToken, withOwners} {
		b.Run(m.String(), func(b *testing.B) {
			broken, control := 0, 0
			for b.Loop() {
				s := runPlannedChanges(b, m, 1)
				broken, control = s.brokenFlows, s.controlMessages
			}
			b.ReportMetric(float64(broken)/10, "%broken")
			b.ReportMetric(float64(control)/180/8, "msgs/s/instance")
		})
	}
}
