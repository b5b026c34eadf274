package pick

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wire"
)

var begin = time.Unix(1_000_000, 0)

// settings has 4 domains with 2 entry places each, and n servers in turn.
func settings(n int) *conf.Snapshot {
	coldTime, attempt := conf.Duration(time.Second), conf.Duration(500*time.Millisecond)
	id := conf.ServiceID(7)
	s := &conf.Snapshot{
		Nodes:   map[string]conf.Node{"/k/order": {Values: conf.Values{ServiceID: &id, ColdTime: &coldTime, AttemptTime: &attempt}}},
		Domains: map[string]conf.Domain{}, Servers: map[string]conf.Server{},
	}
	for _, d := range []string{"a", "b", "c", "d"} {
		s.Domains[d] = conf.Domain{Name: d, Half: "k", Mark: conf.MarkIn, Entries: []conf.Entry{{Name: d + "0"}, {Name: d + "1"}}}
	}
	for i := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 9000)
		s.Servers[fmt.Sprint(i)] = conf.Server{ID: conf.ServerID(i + 1), Service: "/k/order", Domain: string(rune('a' + i%4)), Addr: addr, Generation: 1, Mark: conf.MarkIn}
	}
	return s
}

// fixed is a table of servers with one answer.
type fixed struct {
	total  int
	warm   bool
	reason wire.Reason
}

func (f *fixed) Usable(now time.Time, _ conf.ServerID) (time.Time, wire.Reason) {
	return now.Add(2 * time.Second), f.reason
}
func (f *fixed) Stage(conf.ServerID) (int, int, bool) { return f.total, 0, f.warm }

// process is one instance's process in a schedule.
type process struct {
	Picker
	skew           time.Duration
	start, replace int // steps at which it starts and loses its place
	pauseAt, wake  int
	change         int // step at which it hears of a further domain
	coldUntil      time.Time
	held           []Choice
}

type running struct {
	p      *process
	c      Choice
	from   int
	until  int
	report Outcome
}

const (
	stepTime = 5 * time.Millisecond
	steps    = 6000 // 30 s
	fresh    = 3 * time.Second
)

// coldSchedule runs processes against one cold server and returns the largest
// number of requests in progress, and how many ran.
func coldSchedule(draw func(int) int, maxTotal int) (most, ran int) {
	skew := func() time.Duration { return time.Duration(draw(201)-100) * time.Millisecond }
	var procs []*process
	for i := range 8 {
		for second := range 2 {
			p := &process{skew: skew(), replace: steps}
			p.Entry, p.Domain = fmt.Sprintf("%c%d", 'a'+i/2, i%2), string(rune('a'+i/2))
			p.Rand = rand.New(rand.NewPCG(uint64(i), uint64(second)))
			p.Servers = &fixed{total: 1 + draw(maxTotal)}
			p.pauseAt = draw(steps)
			p.wake, p.change = p.pauseAt+draw(1200), steps/2+draw(700)
			if second == 1 {
				p.start = draw(steps)
				procs[len(procs)-1].replace = p.start
			}
			procs = append(procs, p)
		}
	}
	serverSkew := skew()
	wider := settings(1)
	wider.Domains["e"] = conf.Domain{Name: "e", Half: "k", Mark: conf.MarkIn, Entries: []conf.Entry{{Name: "e0"}}}
	wider.Domains["a"] = conf.Domain{Name: "a", Half: "k", Mark: conf.MarkIn, Entries: []conf.Entry{{Name: "a1"}}}
	var queue []running
	for step := range steps {
		now := begin.Add(time.Duration(step) * stepTime)
		for _, p := range procs {
			if step == p.start {
				p.Apply(now.Add(p.skew), settings(1))
			}
			paused := step >= p.pauseAt && step < p.wake
			if step < p.start || paused {
				continue
			}
			if step >= p.change {
				p.change = steps
				p.Apply(now.Add(p.skew), wider)
			}
			queue = p.act(queue, now.Add(p.skew), step, draw)
		}
		busy := 0
		keep := queue[:0]
		for _, q := range queue {
			late := !now.Add(serverSkew).Before(q.c.Deadline)
			if step < q.until && !late {
				if step >= q.from {
					busy++
				}
				keep = append(keep, q)
				continue
			}
			ran++
			q.p.Finished(now, q.c, Result{Outcome: q.report, Latency: time.Millisecond})
		}
		queue = keep
		most = max(most, busy)
	}
	return most, ran
}

// act asks for a server and sends what the choice allows. Some sends are held
// until the next step, which is after the pause of a paused process.
func (p *process) act(queue []running, now time.Time, step int, draw func(int) int) []running {
	if step < p.replace {
		p.coldUntil = now.Add(fresh)
	}
	for _, c := range p.held {
		queue = append(queue, running{p, c, step + draw(10), step + 10 + draw(60), Done})
	}
	p.held = p.held[:0]
	ask := Criteria{Service: 7, Deadline: now.Add(5 * time.Second), CrossUntil: p.coldUntil, ColdUntil: p.coldUntil}
	c, reason := p.Place(now, &ask)
	if reason != wire.ReasonNone {
		return queue
	}
	switch fate := draw(16); {
	case fate < 4:
		p.held = append(p.held, c)
	case fate < 7:
		// The caller cancels and the server does not hear of it.
		p.Finished(now, c, Result{Outcome: Cancelled})
		queue = append(queue, running{p, c, step, step + 20 + draw(60), 0})
	default:
		queue = append(queue, running{p, c, step + draw(10), step + 10 + draw(60), Done})
	}
	return queue
}

// Guards against more work for a cold server than it bears: unseen joiners,
// two processes on one place, pauses, skewed clocks, entry places that change,
// and views of the stage that differ up to maxTotal.
func TestColdQuota(t *testing.T) {
	for _, maxTotal := range []int{1, 2, 4} {
		t.Run(fmt.Sprint(maxTotal), func(t *testing.T) {
			for seed := range uint64(60) {
				r := rand.New(rand.NewPCG(seed, 3))
				most, ran := coldSchedule(r.IntN, maxTotal)
				assert.Assert(t, most <= maxTotal, "seed %d: %d in progress", seed, most)
				assert.Assert(t, ran > 20 || seed >= 12, "seed %d: only %d ran", seed, ran)
			}
		})
	}
}

// Guards as TestColdQuota, with schedules that rapid looks for and reduces.
func TestColdQuotaRapid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 4))
		maxTotal := rapid.IntRange(1, 6).Draw(t, "total")
		most, _ := coldSchedule(r.IntN, maxTotal)
		assert.Assert(t, most <= maxTotal, "%d in progress", most)
	})
}

// Guards against quota units that two places hold, for any number of places,
// offset, epoch and total.
func TestUnitHasOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		own, other := rapid.IntRange(0, 9).Draw(t, "own"), rapid.IntRange(0, 30).Draw(t, "other")
		offset, epoch := rapid.Uint64Max(1<<62).Draw(t, "offset"), rapid.Int64Range(0, 1<<40).Draw(t, "epoch")
		k, owners := rapid.IntRange(0, 40).Draw(t, "unit"), 0
		for i := range own + other {
			q := place{index: i, own: true, ownCount: own, otherCount: other}
			if i >= own {
				q.index, q.own = i-own, false
			}
			owners += q.units(offset, epoch, k+1) - q.units(offset, epoch, k)
		}
		assert.Equal(t, owners, min(own+other, 1))
	})
}

// Guards against a cold server that gets no turn while only one entry place
// of its own domain lives: two places of its own, every second epoch.
func TestColdShareWhenCutOff(t *testing.T) {
	p := &Picker{Entry: "a0", Domain: "a", Servers: &fixed{total: 1}, Rand: rand.New(rand.NewPCG(1, 1))}
	p.Apply(begin, settings(1))
	last, longest := begin, time.Duration(0)
	for i := range 12000 {
		now := begin.Add(time.Duration(i) * stepTime)
		c, reason := p.Place(now, &Criteria{Service: 7, Deadline: now.Add(time.Second), ColdUntil: now.Add(fresh)})
		if reason == wire.ReasonNone {
			longest, last = max(longest, now.Sub(last)), now
			p.Finished(now, c, Result{Outcome: Done, Latency: time.Millisecond})
		}
	}
	assert.Assert(t, longest <= 4*2*time.Second+settleTime, "longest gap %v", longest)
	assert.Assert(t, begin.Add(time.Minute).Sub(last) <= 8*time.Second)
}

// pickers returns one picker for each of the 8 entry places.
func pickers(n int, f *fixed) (all []*Picker) {
	for i := range 8 {
		p := &Picker{Entry: fmt.Sprintf("%c%d", 'a'+i/2, i%2), Domain: string(rune('a' + i/2)), Servers: f, Rand: rand.New(rand.NewPCG(1, uint64(i)))}
		p.Apply(begin, settings(n))
		all = append(all, p)
	}
	return all
}

func flowAsk(now time.Time) *Criteria {
	return &Criteria{Service: 7, Flow: true, Deadline: now.Add(time.Second), CrossUntil: now.Add(fresh), ColdUntil: now.Add(fresh)}
}

// Guards against more connections than a server has, over all instances and
// with reports as old as an epoch, and against flows piled on few servers.
func TestConnections(t *testing.T) {
	all, open := pickers(4, &fixed{total: 6, warm: true}), [4]int{}
	var history [][4]int
	r := rand.New(rand.NewPCG(5, 5))
	for i := range 2000 {
		now := begin.Add(time.Duration(i) * 10 * time.Millisecond)
		history = append(history, open)
		old := history[max(i-200, 0)]
		for range 200 {
			p := all[min(r.IntN(8), r.IntN(8))]
			for id := range open {
				p.Reported(now, conf.ServerID(id+1), wire.Load{Flows: uint16(old[id])})
			}
			if c, reason := p.Place(now, flowAsk(now)); reason == wire.ReasonNone {
				open[c.Server-1]++
			}
		}
		assert.Assert(t, max(open[0], open[1], open[2], open[3]) <= 2000, "%v", open)
	}
	assert.Assert(t, min(open[0], open[1], open[2], open[3]) > 1600, "%v", open)
}

// Guards against requests beyond the warm limit, and work whose expected wait
// passes the caller's deadline.
func TestOverload(t *testing.T) {
	p := pickers(1, &fixed{total: 6, warm: true})[0]
	ask := &Criteria{Service: 7, Deadline: begin.Add(time.Second)}
	var last Choice
	for range 6 {
		c, reason := p.Place(begin, ask)
		assert.Equal(t, reason, wire.ReasonNone)
		last = c
	}
	_, reason := p.Place(begin, ask)
	assert.Equal(t, reason, wire.ReasonOverloaded)
	// A shed shows a full queue: 6 requests of 500 ms before a new one.
	p.rows[1].InFlight, p.rows[1].Latency = 1, 500*time.Millisecond
	p.Finished(begin, last, Result{Outcome: Shed})
	_, reason = p.Place(begin, ask)
	assert.Equal(t, reason, wire.ReasonOverloaded)
}

// Guards against flows above the rate that a cold server bears, summed over
// all places, in any second.
func TestColdFlowRate(t *testing.T) {
	procs := pickers(1, &fixed{total: 1})
	var opened []time.Time
	for i := range 6000 {
		now := begin.Add(time.Duration(i) * stepTime)
		for _, p := range procs {
			if _, reason := p.Place(now, flowAsk(now)); reason == wire.ReasonNone {
				opened = append(opened, now)
			}
		}
	}
	assert.Assert(t, len(opened) > 300, "%d flows", len(opened))
	for i := 21; i < len(opened); i++ {
		assert.Assert(t, opened[i].Sub(opened[i-21]) >= time.Second, "22 flows within a second")
	}
}

// Guards against choices that marks, freshness, identity, tries or deadlines
// forbid, and against wrong reasons.
func TestRefusals(t *testing.T) {
	for name, c := range map[string]struct {
		reason wire.Reason
		change func(*conf.Snapshot, *fixed, *Criteria)
	}{
		"none":        {wire.ReasonNone, func(*conf.Snapshot, *fixed, *Criteria) {}},
		"leaving":     {wire.ReasonServerLeft, func(_ *conf.Snapshot, f *fixed, _ *Criteria) { f.reason = wire.ReasonServerLeft }},
		"unconfirmed": {wire.ReasonUnconfirmed, func(_ *conf.Snapshot, f *fixed, _ *Criteria) { f.reason = wire.ReasonUnconfirmed }},
		"not fresh":   {wire.ReasonNotFresh, func(_ *conf.Snapshot, _ *fixed, a *Criteria) { a.CrossUntil = begin }},
		"tried":       {wire.ReasonNoServer, func(_ *conf.Snapshot, _ *fixed, a *Criteria) { a.Tried = []conf.ServerID{1} }},
		"deadline":    {wire.ReasonDeadline, func(_ *conf.Snapshot, _ *fixed, a *Criteria) { a.Deadline = begin }},
		"service":     {wire.ReasonUnknownService, func(_ *conf.Snapshot, _ *fixed, a *Criteria) { a.Service = 8 }},
		"cold":        {wire.ReasonColdLimit, func(_ *conf.Snapshot, f *fixed, a *Criteria) { f.warm, f.total, a.ColdUntil = false, 60, begin }},
		"out": {wire.ReasonDomainOut, func(s *conf.Snapshot, _ *fixed, _ *Criteria) {
			d := s.Domains["a"]
			d.Mark = conf.MarkOut
			s.Domains["a"] = d
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s, f := settings(1), &fixed{total: 6, warm: true}
			a := &Criteria{Service: 7, Deadline: begin.Add(time.Second), CrossUntil: begin.Add(300 * time.Millisecond), ColdUntil: begin.Add(time.Second)}
			c.change(s, f, a)
			p := &Picker{Entry: "b0", Domain: "b", Servers: f, Rand: rand.New(rand.NewPCG(1, 1))}
			p.Apply(begin.Add(-settleTime), s)
			got, reason := p.Place(begin.Add(time.Millisecond*150), a)
			assert.Equal(t, reason, c.reason)
			if reason == wire.ReasonNone {
				assert.Equal(t, got.Expires, a.CrossUntil)
			}
		})
	}
}

// Guards against new flows on a server that some instances have not heard of:
// they would refuse the tokens of its flows. A failure domain that returns
// counts like its servers.
func TestNewServerWaitsForAllInstances(t *testing.T) {
	for name, mark := range map[string]func(s *conf.Snapshot){
		"server": func(s *conf.Snapshot) { v := s.Servers["0"]; v.Since = begin; s.Servers["0"] = v },
		"domain": func(s *conf.Snapshot) { d := s.Domains["a"]; d.Since = begin; s.Domains["a"] = d },
	} {
		t.Run(name, func(t *testing.T) {
			s := settings(1)
			mark(s)
			p := &Picker{Entry: "b0", Domain: "b", Servers: &fixed{total: 6, warm: true}, Rand: rand.New(rand.NewPCG(1, 1))}
			p.Apply(begin, s)
			for at, want := range map[time.Duration]wire.Reason{3999 * time.Millisecond: wire.ReasonNoServer, 4 * time.Second: wire.ReasonNone} {
				now := begin.Add(at)
				_, reason := p.Place(now, &Criteria{Service: 7, Deadline: now.Add(time.Second), CrossUntil: now.Add(time.Second)})
				assert.Equal(t, reason, want)
			}
		})
	}
}

// Requests that may run once must not start at a cold server so late in an
// epoch that the server gives them up half done: nobody may repeat them. The
// service times are exponential, the instance has just started, and requests
// come all the time.
func TestColdRequestsEndInTime(t *testing.T) {
	const mean = 40 * time.Millisecond
	draw := rand.New(rand.NewPCG(3, 4))
	p := &Picker{Entry: "a0", Domain: "a", Servers: &fixed{total: 1}, Rand: rand.New(rand.NewPCG(1, 1))}
	p.Apply(begin.Add(-settleTime), settings(200))
	var sent, cut int
	var busy []running
	for step := range 12000 {
		now := begin.Add(time.Duration(step) * stepTime)
		keep := busy[:0]
		for _, q := range busy {
			if step < q.until {
				keep = append(keep, q)
				continue
			}
			p.Finished(now, q.c, Result{Outcome: q.report, Latency: time.Duration(q.until-q.from) * stepTime})
		}
		busy = keep
		c, why := p.Place(now, &Criteria{
			Service: 7, Once: true, Deadline: now.Add(5 * time.Second),
			CrossUntil: now.Add(fresh), ColdUntil: now.Add(fresh),
		})
		if why != wire.ReasonNone {
			continue
		}
		sent++
		end := now.Add(time.Duration(draw.ExpFloat64() * float64(mean)))
		q := running{c: c, from: step, until: step + max(int(end.Sub(now)/stepTime), 1), report: Done}
		if end.After(c.Deadline) {
			cut++
			q.report = TimedOut
		}
		busy = append(busy, q)
	}
	assert.Assert(t, sent > 3000, "%d sent", sent)
	assert.Assert(t, cut*1000 <= sent, "%d of %d cut by the end of the epoch", cut, sent)
}

// Guards against a request that starts at a cold server of unknown service time
// just before the epoch ends: the server gives it up, and a repeatable one waits
// for its next attempt in vain.
func TestColdUnknownServiceTime(t *testing.T) {
	for name, tc := range map[string]struct {
		left time.Duration
		wait time.Duration // of the caller
		flow bool
		want wire.Reason
	}{
		"early":        {1500 * time.Millisecond, 5 * time.Second, false, wire.ReasonNone},
		"hasty caller": {1500 * time.Millisecond, 300 * time.Millisecond, false, wire.ReasonNone},
		"late":         {5 * time.Millisecond, 5 * time.Second, false, wire.ReasonColdLimit},
		"late flow":    {5 * time.Millisecond, 5 * time.Second, true, wire.ReasonNone},
	} {
		t.Run(name, func(t *testing.T) {
			why := wire.ReasonColdLimit
			for _, p := range pickers(1, &fixed{total: 60}) {
				l := p.rows[1].limits
				now := begin.Truncate(l.epoch).Add(4*l.epoch - l.skew - tc.left)
				ask := &Criteria{Service: 7, Flow: tc.flow, Deadline: now.Add(tc.wait), CrossUntil: now.Add(fresh), ColdUntil: now.Add(fresh)}
				if _, r := p.Place(now, ask); r == wire.ReasonNone {
					why = r
				}
			}
			assert.Equal(t, why, tc.want)
		})
	}
}
