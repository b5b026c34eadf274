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

var testStart = time.Unix(1_000_000, 0)

// settings returns a snapshot with 4 failure domains of 2 entries each, and one
// service whose n servers are spread over the domains.
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

// fixedServers is a server table that returns the same values for all servers.
type fixedServers struct {
	total  int
	warm   bool
	reason wire.Reason
}

func (f *fixedServers) Usable(now time.Time, _ conf.ServerID) (time.Time, wire.Reason) {
	return now.Add(2 * time.Second), f.reason
}
func (f *fixedServers) Stage(conf.ServerID) (int, int, bool) { return f.total, 0, f.warm }

// simProcess is one instance's process in a simulated schedule.
type simProcess struct {
	Picker
	skew                time.Duration
	startAt, replacedAt int // steps at which it starts and is replaced at its entry
	pauseAt, resumeAt   int
	changeAt            int // step at which it receives the changed settings
	coldUntil           time.Time
	delayed             []Choice
}

// runningRequest is a request that the server runs between two steps.
type runningRequest struct {
	process *simProcess
	choice  Choice
	from    int
	until   int
	outcome Outcome
}

const (
	stepTime  = 5 * time.Millisecond
	stepCount = 6000 // 30 s
	freshFor  = 3 * time.Second
)

// runColdSchedule simulates processes that send requests to one cold server. It
// returns the largest number of requests in progress and how many ran.
func runColdSchedule(draw func(int) int, maxTotal int) (maxBusy, ran int) {
	skew := func() time.Duration { return time.Duration(draw(201)-100) * time.Millisecond }
	var procs []*simProcess
	for i := range 8 {
		for second := range 2 {
			p := &simProcess{skew: skew(), replacedAt: stepCount}
			p.Entry, p.Domain = fmt.Sprintf("%c%d", 'a'+i/2, i%2), string(rune('a'+i/2))
			p.Rand = rand.New(rand.NewPCG(uint64(i), uint64(second)))
			p.Servers = &fixedServers{total: 1 + draw(maxTotal)}
			p.pauseAt = draw(stepCount)
			p.resumeAt, p.changeAt = p.pauseAt+draw(1200), stepCount/2+draw(700)
			if second == 1 {
				p.startAt = draw(stepCount)
				procs[len(procs)-1].replacedAt = p.startAt
			}
			procs = append(procs, p)
		}
	}
	serverSkew := skew()
	changed := settings(1)
	changed.Domains["e"] = conf.Domain{Name: "e", Half: "k", Mark: conf.MarkIn, Entries: []conf.Entry{{Name: "e0"}}}
	changed.Domains["a"] = conf.Domain{Name: "a", Half: "k", Mark: conf.MarkIn, Entries: []conf.Entry{{Name: "a1"}}}
	var queue []runningRequest
	for step := range stepCount {
		now := testStart.Add(time.Duration(step) * stepTime)
		for _, p := range procs {
			if step == p.startAt {
				p.Apply(now.Add(p.skew), settings(1))
			}
			paused := step >= p.pauseAt && step < p.resumeAt
			if step < p.startAt || paused {
				continue
			}
			if step >= p.changeAt {
				p.changeAt = stepCount
				p.Apply(now.Add(p.skew), changed)
			}
			queue = p.run(queue, now.Add(p.skew), step, draw)
		}
		busy := 0
		keep := queue[:0]
		for _, q := range queue {
			late := !now.Add(serverSkew).Before(q.choice.Deadline)
			if step < q.until && !late {
				if step >= q.from {
					busy++
				}
				keep = append(keep, q)
				continue
			}
			ran++
			q.process.Finished(now, q.choice, Result{Outcome: q.outcome, Latency: time.Millisecond})
		}
		queue = keep
		maxBusy = max(maxBusy, busy)
	}
	return maxBusy, ran
}

// run places one request and appends it to the queue of the server. Some sends
// are delayed until the process's next step, which may come after a pause.
func (p *simProcess) run(queue []runningRequest, now time.Time, step int, draw func(int) int) []runningRequest {
	if step < p.replacedAt {
		p.coldUntil = now.Add(freshFor)
	}
	for _, c := range p.delayed {
		queue = append(queue, runningRequest{p, c, step + draw(10), step + 10 + draw(60), Done})
	}
	p.delayed = p.delayed[:0]
	crit := Criteria{Service: 7, Deadline: now.Add(5 * time.Second), CrossUntil: p.coldUntil, ColdUntil: p.coldUntil}
	c, reason := p.Place(now, &crit)
	if reason != wire.ReasonNone {
		return queue
	}
	switch n := draw(16); {
	case n < 4:
		p.delayed = append(p.delayed, c)
	case n < 7:
		// The caller cancels and the cancellation does not reach the server.
		p.Finished(now, c, Result{Outcome: Cancelled})
		queue = append(queue, runningRequest{p, c, step, step + 20 + draw(60), 0})
	default:
		queue = append(queue, runningRequest{p, c, step + draw(10), step + 10 + draw(60), Done})
	}
	return queue
}

// Guards against more requests in progress on a cold server than its limit. The
// schedules have instances that join unnoticed, two processes at one entry,
// pauses, clock skew, changed entries, and instances that see different totals
// up to maxTotal.
func TestColdQuota(t *testing.T) {
	for _, maxTotal := range []int{1, 2, 4} {
		t.Run(fmt.Sprint(maxTotal), func(t *testing.T) {
			for seed := range uint64(60) {
				r := rand.New(rand.NewPCG(seed, 3))
				maxBusy, ran := runColdSchedule(r.IntN, maxTotal)
				assert.Assert(t, maxBusy <= maxTotal, "seed %d: %d requests in progress", seed, maxBusy)
				// In some of the later schedules fewer requests run, because few
				// quota units fall to processes that run at the time.
				assert.Assert(t, ran > 20 || seed >= 12, "seed %d: only %d requests ran", seed, ran)
			}
		})
	}
}

// Guards against the same failure as TestColdQuota, with schedules that rapid
// generates and shrinks.
func TestColdQuotaRapid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 4))
		maxTotal := rapid.IntRange(1, 6).Draw(t, "total")
		maxBusy, _ := runColdSchedule(r.IntN, maxTotal)
		assert.Assert(t, maxBusy <= maxTotal, "%d requests in progress", maxBusy)
	})
}

// Guards against a quota unit that belongs to two entries or to none, for any
// number of entries, offset, epoch and total.
func TestQuotaUnitHasOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		same, other := rapid.IntRange(0, 9).Draw(t, "same"), rapid.IntRange(0, 30).Draw(t, "other")
		offset, epoch := rapid.Uint64Max(1<<62).Draw(t, "offset"), rapid.Int64Range(0, 1<<40).Draw(t, "epoch")
		unit, owners := rapid.IntRange(0, 40).Draw(t, "unit"), 0
		for i := range same + other {
			pos := position{index: i, sameDomain: true, sameCount: same, otherCount: other}
			if i >= same {
				pos.index, pos.sameDomain = i-same, false
			}
			owners += pos.units(offset, epoch, unit+1) - pos.units(offset, epoch, unit)
		}
		assert.Equal(t, owners, min(same+other, 1))
	})
}

// Guards against a cold server that gets no work while only one of the two
// entries of its failure domain has a live instance. The instance gets a unit in
// at least one of four epochs.
func TestColdQuotaWithOneLiveEntry(t *testing.T) {
	p := &Picker{Entry: "a0", Domain: "a", Servers: &fixedServers{total: 1}, Rand: rand.New(rand.NewPCG(1, 1))}
	p.Apply(testStart, settings(1))
	last, longest := testStart, time.Duration(0)
	for i := range 12000 {
		now := testStart.Add(time.Duration(i) * stepTime)
		c, reason := p.Place(now, &Criteria{Service: 7, Deadline: now.Add(time.Second), ColdUntil: now.Add(freshFor)})
		if reason == wire.ReasonNone {
			longest, last = max(longest, now.Sub(last)), now
			p.Finished(now, c, Result{Outcome: Done, Latency: time.Millisecond})
		}
	}
	assert.Assert(t, longest <= 4*2*time.Second+coldSettleTime, "longest gap %v", longest)
	assert.Assert(t, testStart.Add(time.Minute).Sub(last) <= 8*time.Second)
}

// pickers returns one picker for each of the 8 entries.
func pickers(n int, f *fixedServers) (all []*Picker) {
	for i := range 8 {
		p := &Picker{Entry: fmt.Sprintf("%c%d", 'a'+i/2, i%2), Domain: string(rune('a' + i/2)), Servers: f, Rand: rand.New(rand.NewPCG(1, uint64(i)))}
		p.Apply(testStart, settings(n))
		all = append(all, p)
	}
	return all
}

// flowCriteria returns the criteria of a new flow at a fresh instance.
func flowCriteria(now time.Time) *Criteria {
	return &Criteria{Service: 7, Flow: true, Deadline: now.Add(time.Second), CrossUntil: now.Add(freshFor), ColdUntil: now.Add(freshFor)}
}

// Guards against more flows on a server than it has connections, counted over
// all instances with load reports as old as an epoch, and against flows that
// concentrate on few servers.
func TestConnections(t *testing.T) {
	all, open := pickers(4, &fixedServers{total: 6, warm: true}), [4]int{}
	var history [][4]int
	r := rand.New(rand.NewPCG(5, 5))
	for i := range 2000 {
		now := testStart.Add(time.Duration(i) * 10 * time.Millisecond)
		history = append(history, open)
		old := history[max(i-200, 0)]
		for range 200 {
			p := all[min(r.IntN(8), r.IntN(8))]
			for id := range open {
				p.Reported(now, conf.ServerID(id+1), wire.Load{Flows: uint16(old[id])})
			}
			if c, reason := p.Place(now, flowCriteria(now)); reason == wire.ReasonNone {
				open[c.Server-1]++
			}
		}
		assert.Assert(t, max(open[0], open[1], open[2], open[3]) <= 2000, "%v", open)
	}
	assert.Assert(t, min(open[0], open[1], open[2], open[3]) > 1600, "%v", open)
}

// Guards against more requests on a server than its warm limit, and against a
// request whose expected wait ends after the caller's deadline.
func TestOverload(t *testing.T) {
	p := pickers(1, &fixedServers{total: 6, warm: true})[0]
	crit := &Criteria{Service: 7, Deadline: testStart.Add(time.Second)}
	var last Choice
	for range 6 {
		c, reason := p.Place(testStart, crit)
		assert.Equal(t, reason, wire.ReasonNone)
		last = c
	}
	_, reason := p.Place(testStart, crit)
	assert.Equal(t, reason, wire.ReasonOverloaded)
	// A shed request shows a full queue: 6 requests of 500 ms before a new one.
	p.states[1].InFlight, p.states[1].Latency = 1, 500*time.Millisecond
	p.Finished(testStart, last, Result{Outcome: Shed})
	_, reason = p.Place(testStart, crit)
	assert.Equal(t, reason, wire.ReasonOverloaded)
}

// Guards against more new flows on a cold server in any second than its limit,
// summed over all instances. The limit is the default coldFlows of 20 a second,
// and the test allows one more.
func TestColdFlowRate(t *testing.T) {
	all := pickers(1, &fixedServers{total: 1})
	var opened []time.Time
	for i := range 6000 {
		now := testStart.Add(time.Duration(i) * stepTime)
		for _, p := range all {
			if _, reason := p.Place(now, flowCriteria(now)); reason == wire.ReasonNone {
				opened = append(opened, now)
			}
		}
	}
	assert.Assert(t, len(opened) > 300, "%d flows", len(opened))
	for i := 21; i < len(opened); i++ {
		assert.Assert(t, opened[i].Sub(opened[i-21]) >= time.Second, "22 flows within a second")
	}
}

// Guards against a choice that a mark, stale settings, an unconfirmed identity,
// an earlier attempt or the deadline forbids, and against a wrong reason.
func TestRefusals(t *testing.T) {
	for name, c := range map[string]struct {
		reason wire.Reason
		change func(*conf.Snapshot, *fixedServers, *Criteria)
	}{
		"usable":      {wire.ReasonNone, func(*conf.Snapshot, *fixedServers, *Criteria) {}},
		"leaving":     {wire.ReasonServerLeft, func(_ *conf.Snapshot, f *fixedServers, _ *Criteria) { f.reason = wire.ReasonServerLeft }},
		"unconfirmed": {wire.ReasonUnconfirmed, func(_ *conf.Snapshot, f *fixedServers, _ *Criteria) { f.reason = wire.ReasonUnconfirmed }},
		"not fresh":   {wire.ReasonNotFresh, func(_ *conf.Snapshot, _ *fixedServers, a *Criteria) { a.CrossUntil = testStart }},
		"tried":       {wire.ReasonNoServer, func(_ *conf.Snapshot, _ *fixedServers, a *Criteria) { a.Tried = []conf.ServerID{1} }},
		"deadline":    {wire.ReasonDeadline, func(_ *conf.Snapshot, _ *fixedServers, a *Criteria) { a.Deadline = testStart }},
		"service":     {wire.ReasonUnknownService, func(_ *conf.Snapshot, _ *fixedServers, a *Criteria) { a.Service = 8 }},
		"cold": {wire.ReasonColdLimit, func(_ *conf.Snapshot, f *fixedServers, a *Criteria) {
			f.warm, f.total, a.ColdUntil = false, 60, testStart
		}},
		"out": {wire.ReasonDomainOut, func(s *conf.Snapshot, _ *fixedServers, _ *Criteria) {
			d := s.Domains["a"]
			d.Mark = conf.MarkOut
			s.Domains["a"] = d
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s, f := settings(1), &fixedServers{total: 6, warm: true}
			a := &Criteria{Service: 7, Deadline: testStart.Add(time.Second), CrossUntil: testStart.Add(300 * time.Millisecond), ColdUntil: testStart.Add(time.Second)}
			c.change(s, f, a)
			p := &Picker{Entry: "b0", Domain: "b", Servers: f, Rand: rand.New(rand.NewPCG(1, 1))}
			p.Apply(testStart.Add(-coldSettleTime), s)
			got, reason := p.Place(testStart.Add(time.Millisecond*150), a)
			assert.Equal(t, reason, c.reason)
			if reason == wire.ReasonNone {
				assert.Equal(t, got.Expires, a.CrossUntil)
			}
		})
	}
}

// Guards against new work on a server before every instance knows it: the other
// instances would refuse the tokens of its flows. The same holds for all servers
// of a failure domain that is marked in again.
func TestNewServerWaitsForAllInstances(t *testing.T) {
	for name, mark := range map[string]func(s *conf.Snapshot){
		"server": func(s *conf.Snapshot) { v := s.Servers["0"]; v.Since = testStart; s.Servers["0"] = v },
		"domain": func(s *conf.Snapshot) { d := s.Domains["a"]; d.Since = testStart; s.Domains["a"] = d },
	} {
		t.Run(name, func(t *testing.T) {
			s := settings(1)
			mark(s)
			p := &Picker{Entry: "b0", Domain: "b", Servers: &fixedServers{total: 6, warm: true}, Rand: rand.New(rand.NewPCG(1, 1))}
			p.Apply(testStart, s)
			for at, want := range map[time.Duration]wire.Reason{3999 * time.Millisecond: wire.ReasonNoServer, 4 * time.Second: wire.ReasonNone} {
				now := testStart.Add(at)
				_, reason := p.Place(now, &Criteria{Service: 7, Deadline: now.Add(time.Second), CrossUntil: now.Add(time.Second)})
				assert.Equal(t, reason, want)
			}
		})
	}
}

// Guards against a single-attempt request that starts on a cold server so late in
// an epoch that the server abandons it at the end: such a request must not be
// repeated. The instance has just started, requests arrive continuously, and
// their service times are distributed exponentially.
func TestColdRequestsEndInTime(t *testing.T) {
	const mean = 40 * time.Millisecond
	draw := rand.New(rand.NewPCG(3, 4))
	p := &Picker{Entry: "a0", Domain: "a", Servers: &fixedServers{total: 1}, Rand: rand.New(rand.NewPCG(1, 1))}
	p.Apply(testStart.Add(-coldSettleTime), settings(200))
	var sent, abandoned int
	var busy []runningRequest
	for step := range 12000 {
		now := testStart.Add(time.Duration(step) * stepTime)
		keep := busy[:0]
		for _, q := range busy {
			if step < q.until {
				keep = append(keep, q)
				continue
			}
			p.Finished(now, q.choice, Result{Outcome: q.outcome, Latency: time.Duration(q.until-q.from) * stepTime})
		}
		busy = keep
		c, reason := p.Place(now, &Criteria{
			Service: 7, Once: true, Deadline: now.Add(5 * time.Second),
			CrossUntil: now.Add(freshFor), ColdUntil: now.Add(freshFor),
		})
		if reason != wire.ReasonNone {
			continue
		}
		sent++
		end := now.Add(time.Duration(draw.ExpFloat64() * float64(mean)))
		q := runningRequest{choice: c, from: step, until: step + max(int(end.Sub(now)/stepTime), 1), outcome: Done}
		if end.After(c.Deadline) {
			abandoned++
			q.outcome = TimedOut
		}
		busy = append(busy, q)
	}
	assert.Assert(t, sent > 3000, "%d requests sent", sent)
	assert.Assert(t, abandoned*1000 <= sent, "%d of %d requests abandoned at the end of the epoch", abandoned, sent)
}

// Guards against a request that starts just before the end of the epoch on a cold
// server whose service time is unknown: the server abandons the request, and the
// wait for its answer is lost even if the request may be repeated.
func TestColdUnknownServiceTime(t *testing.T) {
	for name, tc := range map[string]struct {
		left time.Duration // time to the end of the epoch
		wait time.Duration // time to the caller's deadline
		flow bool
		want wire.Reason
	}{
		"early":          {1500 * time.Millisecond, 5 * time.Second, false, wire.ReasonNone},
		"short deadline": {1500 * time.Millisecond, 300 * time.Millisecond, false, wire.ReasonNone},
		"late":           {5 * time.Millisecond, 5 * time.Second, false, wire.ReasonColdLimit},
		"late flow":      {5 * time.Millisecond, 5 * time.Second, true, wire.ReasonNone},
	} {
		t.Run(name, func(t *testing.T) {
			got := wire.ReasonColdLimit
			for _, p := range pickers(1, &fixedServers{total: 60}) {
				l := p.states[1].limits
				now := testStart.Truncate(l.epoch).Add(4*l.epoch - l.skew - tc.left)
				crit := &Criteria{Service: 7, Flow: tc.flow, Deadline: now.Add(tc.wait), CrossUntil: now.Add(freshFor), ColdUntil: now.Add(freshFor)}
				if _, reason := p.Place(now, crit); reason == wire.ReasonNone {
					got = reason
				}
			}
			assert.Equal(t, got, tc.want)
		})
	}
}
