package pick

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/retry"
	"ebonypaddle/pkg/server"
	"ebonypaddle/pkg/vtime"
	"ebonypaddle/pkg/wire"
)

// simBackend is a simulated server with 2 slots and a queue of 4. Its load
// reports are 300 ms old.
type simBackend struct {
	serviceTime time.Duration
	addr        netip.AddrPort
	busy        int
	queue       []func()
	usefulTime  time.Duration // slot time spent on requests answered in time
	boot        uint64
	coldLeft    int // slow answers left until its cold start is over
	loadHistory []int
}

// simInstance is one simulated instance.
type simInstance struct {
	Picker
	table      *server.Table
	budget     retry.Budget
	lastServer int
	inFlight   []int
}

// sim simulates instances, backend servers and callers in virtual time.
type sim struct {
	vtime.Clock

	r            *rand.Rand
	peerRand     *rand.Rand // separate, so that choosing peers changes no other random draw
	policy       string
	domainCutOff bool // instances may not use servers of other failure domains
	backends     []*simBackend
	instances    []*simInstance
	requests     int
	answered     int
	refused      int
	latencies    []time.Duration
}

const (
	maxAttempts   = 3
	callerTimeout = time.Second
	networkDelay  = 500 * time.Microsecond
	simDuration   = 12 * time.Second
	simWarmup     = 4 * time.Second
)

func newSim(policy string, seed uint64) *sim {
	s := &sim{Clock: vtime.Clock{Now: testStart}, policy: policy, r: rand.New(rand.NewPCG(seed, 9)), peerRand: rand.New(rand.NewPCG(seed, 9))}
	cfg := settings(14)
	for i := range 14 {
		speed := []int{1, 2, 4, 8}[(i*5+i/4)%4]
		s.backends = append(s.backends, &simBackend{serviceTime: time.Duration(speed) * 10 * time.Millisecond, boot: 1, addr: cfg.Servers[fmt.Sprint(i)].Addr})
	}
	for i := range 8 {
		inst := &simInstance{table: &server.Table{Rand: s.r}, budget: retry.Budget{Ratio: 0.1, Burst: 10, Window: 10 * time.Second}, inFlight: make([]int, 14)}
		inst.Entry, inst.Domain, inst.Rand, inst.Servers = fmt.Sprintf("%c%d", 'a'+i/2, i%2), string(rune('a'+i/2)), s.r, inst.table
		inst.table.Apply(s.Now, cfg)
		inst.Apply(s.Now, cfg)
		s.instances = append(s.instances, inst)
		for id := range 14 {
			inst.table.Merge(s.Now, []server.Update{{Server: conf.ServerID(id + 1), Generation: 1, Boot: 1, Stage: 3, HeardAt: s.Now.UnixMilli()}})
		}
	}
	s.After(0, s.tick)
	return s
}

// elapsed returns the virtual time since the simulation began.
func (s *sim) elapsed() time.Duration { return s.Now.Sub(testStart) }

func (s *sim) runTo(until time.Duration) { s.RunUntil(testStart.Add(until)) }

// tick answers probes and records the loads that reports show 300 ms later. It
// runs every 100 ms.
func (s *sim) tick() {
	for _, b := range s.backends {
		b.loadHistory = append(b.loadHistory, b.busy+len(b.queue))
	}
	for _, inst := range s.instances {
		for _, p := range inst.table.Probes(s.Now, nil) {
			s.receive(inst, int(p.Server)-1, wire.KindProbed, 0, 0)
		}
		// Like the core, send updates that are not urgent to two peers each
		// second.
		if s.elapsed()%time.Second == 0 {
			n := len(s.instances)
			s.sendUpdates(inst, s.instances[s.peerRand.IntN(n)], s.instances[s.peerRand.IntN(n)])
		}
	}
	s.After(100*time.Millisecond, s.tick)
}

// receive passes a frame of a server to an instance, and sends the resulting
// updates to all instances if they are urgent.
func (s *sim) receive(inst *simInstance, id int, kind wire.Kind, flags uint8, latency time.Duration) {
	backend := s.backends[id]
	f := wire.Frame{Kind: kind, Service: 7, Server: conf.ServerID(id + 1), Generation: 1, Boot: backend.boot, Flags: flags}
	f.Load.InFlight = uint16(backend.loadHistory[max(len(backend.loadHistory)-4, 0)])
	inst.table.Receive(s.Now, backend.addr, &f, latency)
	inst.Reported(s.Now, f.Server, f.Load)
	if inst.table.Urgent() {
		s.sendUpdates(inst, s.instances...)
	}
}

// sendUpdates sends the server updates of an instance to peers.
func (s *sim) sendUpdates(inst *simInstance, peers ...*simInstance) {
	updates := inst.table.Updates(nil)
	for _, other := range peers {
		s.After(2*time.Millisecond, func() { other.table.Merge(s.Now, updates) })
	}
}

// generateLoad starts requests at a rate given as a multiple of the servers'
// capacity. The instances get shares of 1 to 4.
func (s *sim) generateLoad(rate float64) {
	perSecond := 0.0
	for _, b := range s.backends {
		perSecond += 2 / b.serviceTime.Seconds()
	}
	var arrive func()
	arrive = func() {
		inst := s.instances[[]int{0, 1, 2, 2, 3, 3, 4, 4, 4, 5, 5, 5, 6, 6, 6, 6, 7, 7, 7, 7}[s.r.IntN(20)]%len(s.instances)]
		if s.elapsed() > simWarmup {
			s.requests++
		}
		inst.budget.Earn(s.Now)
		s.attempt(inst, &request{start: s.elapsed(), criteria: Criteria{Service: 7, Deadline: s.Now.Add(callerTimeout)}})
		s.After(time.Duration(s.r.ExpFloat64()/(perSecond*rate)*float64(time.Second)), arrive)
	}
	arrive()
}

// request is a caller's request. Its criteria hold the servers already tried.
type request struct {
	start    time.Duration
	criteria Criteria
}

// attempt sends a request to a server, and retries it within the budget after a
// refusal or a timeout.
func (s *sim) attempt(inst *simInstance, q *request) {
	q.criteria.CrossUntil, q.criteria.ColdUntil = s.Now.Add(freshFor), s.Now.Add(freshFor)
	if s.domainCutOff {
		q.criteria.CrossUntil = s.Now
	}
	c, reason := s.choose(inst, q)
	if reason != wire.ReasonNone {
		if s.elapsed() > simWarmup {
			s.refused++
		}
		return
	}
	id, sent, over := int(c.Server)-1, s.elapsed(), false
	inst.inFlight[id]++
	end := func(o Outcome) {
		if over {
			return
		}
		over = true
		inst.inFlight[id]--
		inst.Finished(s.Now, c, Result{Outcome: o, Latency: s.elapsed() - sent})
		if o == Done {
			s.receive(inst, id, wire.KindAnswer, 0, s.elapsed()-sent)
			s.finish(q)
			return
		}
		if o == Shed {
			s.receive(inst, id, wire.KindRefusal, wire.FlagShed, 0)
		} else {
			inst.table.TimedOut(s.Now, c.Server)
		}
		q.criteria.Tried = append(q.criteria.Tried, c.Server)
		if len(q.criteria.Tried) < maxAttempts && inst.budget.Spend(s.Now) {
			s.attempt(inst, q)
		}
	}
	s.After(networkDelay, func() { s.serve(s.backends[id], c.Deadline, end) })
	s.After(c.Deadline.Sub(s.Now)+2*networkDelay, func() { end(TimedOut) })
}

// finish counts an answered request.
func (s *sim) finish(q *request) {
	if q.start > simWarmup {
		s.answered++
		s.latencies = append(s.latencies, s.elapsed()-q.start)
	}
}

// serve runs, queues or sheds one request. A request that is still running at
// its deadline is abandoned.
func (s *sim) serve(backend *simBackend, deadline time.Time, end func(Outcome)) {
	run := func() {
		d := time.Duration(float64(backend.serviceTime) * (0.5 + s.r.Float64()))
		if backend.coldLeft > 0 {
			d *= 4
		}
		backend.busy++
		left := deadline.Sub(s.Now)
		s.After(max(min(d, left), 0), func() {
			backend.busy--
			if d <= left {
				backend.coldLeft = max(backend.coldLeft-1, 0)
				if s.elapsed() > simWarmup {
					backend.usefulTime += d
				}
				s.After(networkDelay, func() { end(Done) })
			}
			if len(backend.queue) > 0 && backend.busy < 2 {
				next := backend.queue[0]
				backend.queue = backend.queue[1:]
				next()
			}
		})
	}
	switch {
	case backend.busy < 2:
		run()
	case len(backend.queue) < 4:
		backend.queue = append(backend.queue, run)
	default:
		s.After(networkDelay, func() { end(Shed) })
	}
}

// choose chooses a server by the policy under test: the picker or a baseline.
func (s *sim) choose(inst *simInstance, q *request) (Choice, wire.Reason) {
	if s.policy == "picker" {
		return inst.Place(s.Now, &q.criteria)
	}
	best := -1
	for i, n := range s.r.Perm(14) {
		if s.policy == "roundRobin" {
			n = (inst.lastServer + 1 + i) % 14
		}
		if slices.Contains(q.criteria.Tried, conf.ServerID(n+1)) {
			continue
		}
		if best < 0 || s.policy == "leastInFlight" && inst.inFlight[n] < inst.inFlight[best] {
			best = n
		}
	}
	inst.lastServer = best
	deadline := s.Now.Add(500 * time.Millisecond)
	if q.criteria.Deadline.Before(deadline) {
		deadline = q.criteria.Deadline
	}
	return Choice{Server: conf.ServerID(best + 1), Generation: 1, Deadline: deadline}, wire.ReasonNone
}

// stageView returns the highest request limit that an instance has for a server,
// and how many instances see the server as warm.
func (s *sim) stageView(id int) (total, warm int) {
	for _, inst := range s.instances {
		n, _, ready := inst.table.Stage(conf.ServerID(id + 1))
		total = max(total, n)
		if ready {
			warm++
		}
	}
	return total, warm
}
