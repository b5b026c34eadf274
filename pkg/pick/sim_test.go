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

// backend is a server with 2 slots, a queue of 4 and reports 300 ms old.
type backend struct {
	service  time.Duration
	addr     netip.AddrPort
	busy     int
	queue    []func()
	useful   time.Duration // time in slots for answers in time
	boot     uint64
	coldDone int // answers still to give before it is warm again
	history  []int
}

// balancer is one instance.
type balancer struct {
	Picker
	table  *server.Table
	budget retry.Budget
	turn   int
	flying []int
}

type sim struct {
	vtime.Clock

	r         *rand.Rand
	rounds    *rand.Rand // apart, so that the rounds change no other draw
	policy    string
	cut       bool // instances are not fresh for other domains
	backends  []*backend
	instances []*balancer
	requests  int
	good      int
	refused   int
	latencies []time.Duration
}

const (
	tries     = 3
	callerFor = time.Second
	hop       = 500 * time.Microsecond
	simFor    = 12 * time.Second
	simWarmup = 4 * time.Second
)

func newSim(policy string, seed uint64) *sim {
	s := &sim{Clock: vtime.Clock{Now: begin}, policy: policy, r: rand.New(rand.NewPCG(seed, 9)), rounds: rand.New(rand.NewPCG(seed, 9))}
	cfg := settings(14)
	for i := range 14 {
		speed := []int{1, 2, 4, 8}[(i*5+i/4)%4]
		s.backends = append(s.backends, &backend{service: time.Duration(speed) * 10 * time.Millisecond, boot: 1, addr: cfg.Servers[fmt.Sprint(i)].Addr})
	}
	for i := range 8 {
		b := &balancer{table: &server.Table{Rand: s.r}, budget: retry.Budget{Ratio: 0.1, Burst: 10, Window: 10 * time.Second}, flying: make([]int, 14)}
		b.Entry, b.Domain, b.Rand, b.Servers = fmt.Sprintf("%c%d", 'a'+i/2, i%2), string(rune('a'+i/2)), s.r, b.table
		b.table.Apply(s.Now, cfg)
		b.Apply(s.Now, cfg)
		s.instances = append(s.instances, b)
		for id := range 14 {
			b.table.Merge(s.Now, []server.Update{{Server: conf.ServerID(id + 1), Generation: 1, Boot: 1, Stage: 3, Heard: s.Now.UnixMilli()}})
		}
	}
	s.After(0, s.tick)
	return s
}

// at returns the time since the simulation began.
func (s *sim) at() time.Duration { return s.Now.Sub(begin) }

func (s *sim) run(until time.Duration) { s.RunUntil(begin.Add(until)) }

// tick answers probes and records the loads that reports show 300 ms later.
func (s *sim) tick() {
	for _, b := range s.backends {
		b.history = append(b.history, b.busy+len(b.queue))
	}
	for _, b := range s.instances {
		for _, p := range b.table.Probes(s.Now, nil) {
			s.heard(b, int(p.Server)-1, wire.KindProbed, 0, 0)
		}
		// The core sends stages that are not urgent to two peers each second.
		if s.at()%time.Second == 0 {
			n := len(s.instances)
			s.spread(b, s.instances[s.rounds.IntN(n)], s.instances[s.rounds.IntN(n)])
		}
	}
	s.After(100*time.Millisecond, s.tick)
}

// heard hands a frame of server id to an instance and spreads its news.
func (s *sim) heard(b *balancer, id int, kind wire.Kind, flags uint8, latency time.Duration) {
	be := s.backends[id]
	f := wire.Frame{Kind: kind, Service: 7, Server: conf.ServerID(id + 1), Generation: 1, Boot: be.boot, Flags: flags}
	f.Load.InFlight = uint16(be.history[max(len(be.history)-4, 0)])
	b.table.Receive(s.Now, be.addr, &f, latency)
	b.Reported(s.Now, f.Server, f.Load)
	if b.table.Urgent() {
		s.spread(b, s.instances...)
	}
}

func (s *sim) spread(b *balancer, peers ...*balancer) {
	news := b.table.Updates(nil)
	for _, other := range peers {
		s.After(2*time.Millisecond, func() { other.table.Merge(s.Now, news) })
	}
}

// load offers requests at a multiple of the servers' capacity. Instances get
// shares of 1 to 4.
func (s *sim) load(rate float64) {
	perSecond := 0.0
	for _, b := range s.backends {
		perSecond += 2 / b.service.Seconds()
	}
	var arrive func()
	arrive = func() {
		b := s.instances[[]int{0, 1, 2, 2, 3, 3, 4, 4, 4, 5, 5, 5, 6, 6, 6, 6, 7, 7, 7, 7}[s.r.IntN(20)]%len(s.instances)]
		if s.at() > simWarmup {
			s.requests++
		}
		b.budget.Earn(s.Now)
		s.try(b, &request{start: s.at(), ask: Criteria{Service: 7, Deadline: s.Now.Add(callerFor)}})
		s.After(time.Duration(s.r.ExpFloat64()/(perSecond*rate)*float64(time.Second)), arrive)
	}
	arrive()
}

type request struct {
	start time.Duration
	ask   Criteria
}

func (s *sim) try(b *balancer, q *request) {
	q.ask.CrossUntil, q.ask.ColdUntil = s.Now.Add(fresh), s.Now.Add(fresh)
	if s.cut {
		q.ask.CrossUntil = s.Now
	}
	c, reason := s.choose(b, q)
	if reason != wire.ReasonNone {
		if s.at() > simWarmup {
			s.refused++
		}
		return
	}
	id, sent, over := int(c.Server)-1, s.at(), false
	b.flying[id]++
	end := func(o Outcome) {
		if over {
			return
		}
		over = true
		b.flying[id]--
		b.Finished(s.Now, c, Result{Outcome: o, Latency: s.at() - sent})
		if o == Done {
			s.heard(b, id, wire.KindAnswer, 0, s.at()-sent)
			s.finish(q)
			return
		}
		if o == Shed {
			s.heard(b, id, wire.KindRefusal, wire.FlagShed, 0)
		} else {
			b.table.TimedOut(s.Now, c.Server)
		}
		q.ask.Tried = append(q.ask.Tried, c.Server)
		if len(q.ask.Tried) < tries && b.budget.Spend(s.Now) {
			s.try(b, q)
		}
	}
	s.After(hop, func() { s.serve(s.backends[id], c.Deadline, end) })
	s.After(c.Deadline.Sub(s.Now)+2*hop, func() { end(TimedOut) })
}

func (s *sim) finish(q *request) {
	if q.start > simWarmup {
		s.good++
		s.latencies = append(s.latencies, s.at()-q.start)
	}
}

// serve queues, sheds or runs one request; work ends at its deadline.
func (s *sim) serve(be *backend, deadline time.Time, end func(Outcome)) {
	run := func() {
		d := time.Duration(float64(be.service) * (0.5 + s.r.Float64()))
		if be.coldDone > 0 {
			d *= 4
		}
		be.busy++
		left := deadline.Sub(s.Now)
		s.After(max(min(d, left), 0), func() {
			be.busy--
			if d <= left {
				be.coldDone = max(be.coldDone-1, 0)
				if s.at() > simWarmup {
					be.useful += d
				}
				s.After(hop, func() { end(Done) })
			}
			if len(be.queue) > 0 && be.busy < 2 {
				next := be.queue[0]
				be.queue = be.queue[1:]
				next()
			}
		})
	}
	switch {
	case be.busy < 2:
		run()
	case len(be.queue) < 4:
		be.queue = append(be.queue, run)
	default:
		s.After(hop, func() { end(Shed) })
	}
}

// choose applies the policy under test: ours or a baseline.
func (s *sim) choose(b *balancer, q *request) (Choice, wire.Reason) {
	if s.policy == "picker" {
		return b.Place(s.Now, &q.ask)
	}
	best := -1
	for i, n := range s.r.Perm(14) {
		if s.policy == "roundRobin" {
			n = (b.turn + 1 + i) % 14
		}
		if slices.Contains(q.ask.Tried, conf.ServerID(n+1)) {
			continue
		}
		if best < 0 || s.policy == "leastInFlight" && b.flying[n] < b.flying[best] {
			best = n
		}
	}
	b.turn = best
	deadline := s.Now.Add(500 * time.Millisecond)
	if q.ask.Deadline.Before(deadline) {
		deadline = q.ask.Deadline
	}
	return Choice{Server: conf.ServerID(best + 1), Generation: 1, Deadline: deadline}, wire.ReasonNone
}

// view returns the highest total among the instances' views of a server, and
// how many of them see it warm.
func (s *sim) view(id int) (total, warm int) {
	for _, b := range s.instances {
		n, _, ready := b.table.Stage(conf.ServerID(id + 1))
		total = max(total, n)
		if ready {
			warm++
		}
	}
	return total, warm
}
