package router

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

// workView is the expected work in progress at each server as each instance knows
// it: its own, and that of the others as they reported it. Each instance reports
// once in an interval, at a time of its own, and gets the sums of all latest reports.
type workView struct {
	sim      *loadSim
	interval time.Duration
	total    []float64
	reported [][]float64 // by instance
	others   [][]float64
}

func newWorkView(sim *loadSim, interval time.Duration) *workView {
	n := 2*sim.servers + 1
	v := &workView{sim: sim, interval: interval, total: make([]float64, n)}
	for i := range sim.instances {
		v.reported = append(v.reported, make([]float64, n))
		v.others = append(v.others, make([]float64, n))
		if interval > 0 {
			sim.schedule(interval*time.Duration(i)/time.Duration(sim.instances), func() { v.report(i) })
		}
	}
	return v
}

func (v *workView) report(i int) {
	own, reported := v.sim.sentWork[i], v.reported[i]
	for s := range v.total {
		v.total[s] += own[s] - reported[s]
		reported[s] = own[s]
		v.others[i][s] = v.total[s] - own[s]
	}
	v.sim.schedule(v.interval, func() { v.report(i) })
}

// left returns the work in progress at a server as instance i knows it.
func (v *workView) left(i int, srv *server) float64 {
	return max(v.others[i][srv.ID]+v.sim.sentWork[i][srv.ID], 0)
}

// completion returns the expected time in nanoseconds until a server has done the
// request that is being placed. Speeds of servers are known, or follow from the
// latency that the instance sees.
func (v *workView) completion(lb *Balancer, now time.Time, srv *server) float64 {
	wait := max(v.left(instanceOf(lb), srv)-(srv.slots()-1)*v.sim.meanWork, 0) / srv.slots()
	work := v.sim.expected(v.sim.current) + wait
	if v.sim.speedsSeen {
		return work / v.sim.meanWork * float64(lb.baseLatency(now, lb.pool("s"), srv))
	}
	return work / v.sim.backends[srv.ID].speed
}

// instanceOf returns the number of an instance.
func instanceOf(lb *Balancer) int { return int(lb.Seed % maxSimInstances) }

// earliest returns the candidate with the earliest completion.
func (v *workView) earliest(lb *Balancer, now time.Time, candidates []*server, failed *server) (*server, time.Duration) {
	var best *server
	lowest := math.Inf(1)
	for _, srv := range candidates {
		if srv == failed || !lb.healthy(now, srv) {
			continue
		}
		if e := v.completion(lb, now, srv) * (1 + estimateJitter*lb.rnd.Float64()); e < lowest {
			best, lowest = srv, e
		}
	}
	if best == nil {
		return nil, 0
	}
	return best, time.Duration(lowest)
}

// costPolicy makes a placing policy for a simulation.
type costPolicy func(sim *loadSim) choosePolicy

// leastWork takes the server with the earliest completion.
func leastWork(interval time.Duration) costPolicy {
	return func(sim *loadSim) choosePolicy {
		v := newWorkView(sim, interval)
		return func(lb *Balancer, now time.Time, _ *pool, candidates []*server, failed *server) (*server, time.Duration) {
			return v.earliest(lb, now, candidates, failed)
		}
	}
}

// choices takes the earliest completion of n random servers.
func choices(interval time.Duration, n int) costPolicy {
	return func(sim *loadSim) choosePolicy {
		v := newWorkView(sim, interval)
		return func(lb *Balancer, now time.Time, _ *pool, candidates []*server, failed *server) (*server, time.Duration) {
			return v.earliest(lb, now, draw(lb, candidates, n), failed)
		}
	}
}

// draw returns n random candidates.
func draw(lb *Balancer, candidates []*server, n int) []*server {
	var drawn []*server
	for range 8 * n {
		if len(candidates) == 0 || len(drawn) == n {
			break
		}
		if srv := candidates[lb.rnd.IntN(len(candidates))]; !slices.Contains(drawn, srv) {
			drawn = append(drawn, srv)
		}
	}
	return drawn
}

// fairShared is fairServer with the wait at a server taken from the work of all
// instances.
func fairShared(interval time.Duration) costPolicy {
	return func(sim *loadSim) choosePolicy {
		v := newWorkView(sim, interval)
		return func(lb *Balancer, now time.Time, p *pool, candidates []*server, failed *server) (*server, time.Duration) {
			i, unit := instanceOf(lb), float64(p.meanWork(now))
			waiting := func(srv *server) float64 { return v.left(i, srv) / sim.meanWork / srv.slots() }
			var lowest time.Duration
			lb.estimates = lb.estimates[:0]
			for _, srv := range candidates {
				if srv == failed || !lb.healthy(now, srv) {
					continue
				}
				e := time.Duration(float64(lb.baseLatency(now, p, srv)) * (1 + waiting(srv)) * (1 + estimateJitter*lb.rnd.Float64()))
				lb.estimates = append(lb.estimates, estimate{srv, e})
				if lowest == 0 || e < lowest {
					lowest = e
				}
			}
			var best *server
			bestScore, leastWork := math.Inf(1), math.Inf(1)
			for _, c := range lb.estimates {
				if c.latency > goodEnoughRatio*lowest {
					continue
				}
				work := max(c.server.load.sentWork, p.virtualWork)
				leastWork = min(leastWork, work)
				score := work + waiting(c.server)*float64(lb.baseLatency(now, p, c.server)) + shareJitter*unit*lb.rnd.Float64()
				if now.Sub(c.server.health.answeredAt) < freshAnswerAge {
					score -= freshWorkLead * unit / c.server.slots()
				}
				if score < bestScore {
					best, bestScore = c.server, score
				}
			}
			if best != nil {
				p.virtualWork = leastWork
			}
			return best, lowest
		}
	}
}

// twoSets takes four random servers and gives short and long requests servers of their own, in proportion to
// their work. A short one goes to the others if they finish it in half the time.
func twoSets(interval time.Duration) costPolicy {
	return func(sim *loadSim) choosePolicy {
		v := newWorkView(sim, interval)
		long := map[ServerID]bool{}
		total, part := make([]float64, sim.domains), make([]float64, sim.domains)
		share := sim.longWork()
		for id := ServerID(1); int(id) <= sim.servers; id++ {
			total[sim.backends[id].domain] += sim.backends[id].speed
		}
		for id := ServerID(1); int(id) <= sim.servers; id++ {
			srv := sim.backends[id]
			long[id] = part[srv.domain]+srv.speed/2 < share*total[srv.domain]
			part[srv.domain] += srv.speed
		}
		return func(lb *Balancer, now time.Time, _ *pool, candidates []*server, failed *server) (*server, time.Duration) {
			var sets [2][]*server
			for _, srv := range candidates {
				set := &sets[0]
				if long[srv.ID] {
					set = &sets[1]
				}
				*set = append(*set, srv)
			}
			if !sim.current.short {
				sets[0], sets[1] = sets[1], nil
			}
			best, own := v.earliest(lb, now, draw(lb, sets[0], 4), failed)
			other, e := v.earliest(lb, now, draw(lb, sets[1], 4), failed)
			if best == nil || other != nil && 2*e < own {
				return other, e
			}
			return best, own
		}
	}
}

// longWork returns the share of the work of requests that are not short.
func (sim *loadSim) longWork() float64 {
	rnd := rand.New(rand.NewPCG(1, 9))
	long, all := 0.0, 0.0
	for range 100_000 {
		for _, c := range sim.classes {
			x := sim.spread(rnd)
			work := c.share * c.work.Seconds() * x
			all += work
			if x >= 2 || c.costly {
				long += work
			}
		}
	}
	return long / all
}

// subset sends to n servers of each failure domain, chosen by rendezvous hashing,
// the one with the earliest completion.
func subset(interval time.Duration, n int) costPolicy {
	return func(sim *loadSim) choosePolicy {
		v := newWorkView(sim, interval)
		chosen := map[string][]*server{}
		return func(lb *Balancer, now time.Time, _ *pool, candidates []*server, failed *server) (*server, time.Duration) {
			if len(candidates) == 0 {
				return nil, 0
			}
			key := fmt.Sprint(instanceOf(lb), candidates[0].Domain)
			if chosen[key] == nil {
				list := slices.Clone(candidates)
				rank := func(srv *server) uint64 { return xxhash.Sum64String(fmt.Sprint(srv.name, "/", instanceOf(lb))) }
				slices.SortFunc(list, func(a, b *server) int { return cmp.Compare(rank(a), rank(b)) })
				chosen[key] = list[:min(n, len(list))]
			}
			return v.earliest(lb, now, chosen[key], failed)
		}
	}
}

type namedPolicy struct {
	name   string
	policy costPolicy
}

// costPolicies are the policies that are compared. In those with a star an instance
// knows the work of each request in advance, in those with a plus it knows the speeds
// of servers from its own answers only.
var costPolicies = []namedPolicy{
	{"today", nil},
	{"fair, sums 50 ms", fairShared(50 * time.Millisecond)},
	{"fair, sums 100 ms", fairShared(100 * time.Millisecond)},
	{"fair, sums 200 ms", fairShared(200 * time.Millisecond)},
	{"least, sums 50 ms", leastWork(50 * time.Millisecond)},
	{"least, sums 100 ms", leastWork(100 * time.Millisecond)},
	{"least, sums 200 ms", leastWork(200 * time.Millisecond)},
	{"least, sums 500 ms", leastWork(500 * time.Millisecond)},
	{"two, sums 200 ms", choices(200*time.Millisecond, 2)},
	{"two, sums 200 ms+", choices(200*time.Millisecond, 2)},
	{"two, sums 100 ms+", choices(100*time.Millisecond, 2)},
	{"four, sums 50 ms", choices(50*time.Millisecond, 4)},
	{"four, sums 200 ms", choices(200*time.Millisecond, 4)},
	{"four, sums 50 ms+", choices(50*time.Millisecond, 4)},
	{"four, sums 100 ms+", choices(100*time.Millisecond, 4)},
	{"four, sums 200 ms+", choices(200*time.Millisecond, 4)},
	{"four, sums 200 ms*", choices(200*time.Millisecond, 4)},
	{"four, sums 500 ms", choices(500*time.Millisecond, 4)},
	{"two sets, sums 200 ms*", twoSets(200 * time.Millisecond)},
	{"subset 4, own", subset(0, 4)},
	{"subset 8, own", subset(0, 8)},
	{"subset 8, sums 200 ms", subset(200*time.Millisecond, 8)},
}

// single is one class of requests that cost 50 ms on average, on flows of their own.
func single(work time.Duration, share float64) loadClass {
	return loadClass{priority: 1, share: share, worth: 1, work: work, target: 600 * time.Millisecond, deadline: 4 * time.Second, size: 800}
}

// costLoads are the costs of requests. The mean is 50 ms, except in the mix.
var costLoads = []struct {
	name    string
	classes []loadClass
	spread  func(*rand.Rand) float64
}{
	{"mix", samePriority(twoClasses), lookalike},
	{"1:1", []loadClass{single(50*time.Millisecond, 1)}, func(*rand.Rand) float64 { return 1 }},
	{"1:3", []loadClass{single(25*time.Millisecond, 0.5), costly(single(75*time.Millisecond, 0.5))}, func(*rand.Rand) float64 { return 1 }},
	{"3% x 7", []loadClass{single(50*time.Millisecond, 1)}, func(rnd *rand.Rand) float64 {
		if rnd.Float64() < 0.03 {
			return 7 / 1.18
		}
		return 1 / 1.18
	}},
	{"heavy", []loadClass{single(50*time.Millisecond, 1)}, heavyTail},
}

// heavyTail draws from a Pareto distribution with a mean of 1 and exponent 1.5, cut
// at 50 times its least value.
func heavyTail(rnd *rand.Rand) float64 {
	const alpha, highest = 1.5, 50.0
	mean := alpha / (alpha - 1) * (1 - math.Pow(highest, 1-alpha)) / (1 - math.Pow(highest, -alpha))
	u := rnd.Float64() * (1 - math.Pow(highest, -alpha))
	return math.Pow(1-u, -1/alpha) / mean
}

func costly(c loadClass) loadClass {
	c.costly = true
	return c
}

// samePriority returns classes that call for no admission.
func samePriority(classes []loadClass) []loadClass {
	out := slices.Clone(classes)
	for i := range out {
		out[i].priority = 1
	}
	return out
}

const costRunFor = 5 * time.Second

// costRun measures a policy at a constant load.
func costRun(size, l int, x float64, p namedPolicy, seed uint64) *loadSim {
	s := loadSizes[size]
	return newLoadSim(seed, loadConfig{
		instances: s.instances, servers: s.servers, domains: s.domains, classes: costLoads[l].classes, spread: costLoads[l].spread,
		calm: x, surge: x, surgeFor: costRunFor,
		sums: sumsConfig{off: true}, policy: p.policy,
		sizeKnown: strings.HasSuffix(p.name, "*"), speedsSeen: strings.HasSuffix(p.name, "+"),
	}).playPhases(phaseLength{warming, time.Second + time.Duration(s.servers/s.domains)*50*time.Millisecond}, phaseLength{surging, costRunFor})
}

// BenchmarkCost compares placing policies by the latency of short requests and by
// goodput over several seeds. COST selects the sizes, as in COST=8,86.
func BenchmarkCost(b *testing.B) {
	for size, s := range loadSizes {
		if !slices.Contains(strings.Split(os.Getenv("COST"), ","), strconv.Itoa(s.instances)) {
			continue
		}
		for l, c := range costLoads {
			for _, x := range []float64{0.3, 0.6, 0.8, 0.95, 1.2} {
				for _, p := range costPolicies {
					b.Run(fmt.Sprintf("%d/%s/%v/%s", s.instances, c.name, x, p.name), func(b *testing.B) {
						for b.Loop() {
							measureCost(b, size, l, x, p)
						}
					})
				}
			}
		}
	}
}

func measureCost(b *testing.B, size, l int, x float64, p namedPolicy) {
	seeds := []uint64{12, 3, 1}[size]
	var all tally
	var ratio float64
	var p99 []time.Duration
	for seed := range seeds {
		sim := costRun(size, l, x, p, seed+1)
		t := sim.sum(surging, -1, -1)
		p99 = append(p99, percentile(t.shortLatencies, 99))
		all.add(&t)
		r, _ := sim.maxUtilization()
		ratio += r / float64(seeds)
	}
	for name, d := range map[string]time.Duration{
		"short-p50-ms": percentile(all.shortLatencies, 50), "short-p99-ms": percentile(all.shortLatencies, 99),
		"least-p99-ms": slices.Min(p99), "most-p99-ms": slices.Max(p99), "p99-ms": percentile(all.latencies, 99),
	} {
		b.ReportMetric(float64(d.Milliseconds()), name)
	}
	b.ReportMetric(all.worth(), "goodput")
	b.ReportMetric(ratio, "max/mean")
}
