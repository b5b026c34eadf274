package pick

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/server"
	"ebonypaddle/pkg/wire"
)

// loadStats are the results of a simulation after its warm-up time.
type loadStats struct {
	// goodput is the number of answers in time divided by the lesser of the
	// requests and the servers' capacity. maxUtilization is the maximum
	// server utilization divided by the mean, variation the coefficient of
	// variation of the utilization. retryRatio is retries per request, and
	// localShare the share of choices in the instance's own failure domain.
	goodput, maxUtilization, variation, retryRatio, localShare float64
	p99                                                        time.Duration
}

// measureLoad simulates a policy at a request rate, given as a multiple of the
// servers' capacity.
func measureLoad(policy string, rate float64, seed uint64) loadStats {
	s := newSim(policy, seed)
	s.generateLoad(rate)
	s.runTo(simDuration)
	var stats loadStats
	var sum, squares, capacity float64
	for _, b := range s.backends {
		u := b.usefulTime.Seconds()
		sum, squares = sum+u, squares+u*u
		stats.maxUtilization = max(stats.maxUtilization, u)
		capacity += 2 / b.serviceTime.Seconds() * (simDuration - simWarmup).Seconds()
	}
	mean := sum / 14
	stats.maxUtilization, stats.variation = stats.maxUtilization/mean, math.Sqrt(max(squares/14-mean*mean, 0))/mean
	stats.goodput = float64(s.answered) / min(capacity, float64(s.requests))
	slices.Sort(s.latencies)
	stats.p99 = s.latencies[len(s.latencies)*99/100]
	var spent, earned, local, placed uint64
	for _, inst := range s.instances {
		spent, earned = spent+inst.budget.Spent, earned+inst.budget.Earned
		local, placed = local+inst.Local, placed+inst.Placed
	}
	stats.localShare = float64(local) / float64(max(placed, 1))
	stats.retryRatio = float64(spent) / float64(earned)
	return stats
}

func BenchmarkLoad(b *testing.B) {
	for _, policy := range []string{"random", "roundRobin", "leastInFlight", "picker"} {
		for _, rate := range []float64{0.5, 0.9, 1.2, 2} {
			b.Run(fmt.Sprintf("%s/%v", policy, rate), func(b *testing.B) {
				var f loadStats
				for b.Loop() {
					f = measureLoad(policy, rate, 1)
				}
				b.ReportMetric(f.goodput, "goodput")
				b.ReportMetric(f.maxUtilization, "max/mean")
				b.ReportMetric(f.variation, "cv")
				b.ReportMetric(float64(f.p99.Milliseconds()), "p99-ms")
				b.ReportMetric(f.localShare, "local")
				b.ReportMetric(f.retryRatio, "retries")
			})
		}
	}
}

// Guards against a collapse of goodput above capacity, retry storms, and load
// that is spread less evenly than by the baseline policies.
func TestLoadBounds(t *testing.T) {
	for seed := range uint64(3) {
		for _, rate := range []float64{0.5, 0.9, 1.2, 2} {
			t.Run(fmt.Sprintf("%d/%v", seed, rate), func(t *testing.T) {
				got := measureLoad("picker", rate, seed)
				least, random := measureLoad("leastInFlight", rate, seed), measureLoad("random", rate, seed)
				assert.Assert(t, got.goodput >= 0.9, "%+v", got)
				assert.Assert(t, got.retryRatio <= 0.1, "%+v", got)
				assert.Assert(t, got.variation < random.variation, "%+v against %+v", got, random)
				assert.Assert(t, rate > 0.5 || got.localShare > 0.5, "%+v", got)
				assert.Assert(t, rate > 1 || got.variation < least.variation && got.p99 < least.p99, "%+v against %+v", got, least)
			})
		}
	}
}

// Guards against too much work for a server that restarted without notice and is
// in cold start again: once every instance knows, no more requests than the
// highest total may be in progress. The server must become warm in time, also
// when only instances of its own failure domain are alive.
func TestServerRestart(t *testing.T) {
	for name, c := range map[string]struct {
		id, instances int
		rate          float64
		within        time.Duration
	}{
		"fast":         {0, 8, 0.9, 10 * time.Second},
		"slow":         {3, 8, 0.9, 20 * time.Second},
		"cut off":      {0, 2, 0.1, 20 * time.Second},
		"one instance": {0, 1, 0.1, 40 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSim("picker", 1)
			s.instances, s.domainCutOff = s.instances[:c.instances], c.instances < 8
			s.generateLoad(c.rate)
			s.runTo(5 * time.Second)
			backend := s.backends[c.id]
			backend.boot, backend.coldLeft = 2, 60
			known, warm := time.Duration(0), 0
			for warm < c.instances || known == 0 {
				s.runTo(s.elapsed() + 5*time.Millisecond)
				total := 0
				if total, warm = s.stageView(c.id); known == 0 && warm == 0 {
					known = s.elapsed()
				}
				busy := backend.busy + len(backend.queue)
				assert.Assert(t, known == 0 || warm > 0 || s.elapsed() < known+callerTimeout || busy <= total, "%d requests in progress, limit %d, at %v", busy, total, s.elapsed())
				assert.Assert(t, s.elapsed() < 5*time.Second+c.within, "server not warm at %v", s.elapsed())
			}
			t.Logf("restart known to all instances after %v, warm after %v", known-5*time.Second, s.elapsed()-5*time.Second)
			assert.Assert(t, known < 5500*time.Millisecond, "restart known at %v", known)
		})
	}
}

// Guards against allocations in Place, and against server state that is too large
// to hold 140,000 servers in 256 MB, which allows 1,880 bytes a server.
func TestPlaceMemory(t *testing.T) {
	for _, n := range []int{18, 500, 6400} {
		before := heapInUse()
		p, table := warmPicker(n)
		perServer := float64(int64(heapInUse())-int64(before)) / float64(n)
		place, finish := placeAndFinish(p)
		allocs := testing.AllocsPerRun(100, func() { finish(place()) })
		t.Logf("%d servers: %.0f bytes a server, %v allocations", n, perServer, allocs)
		assert.Equal(t, allocs, 0.0)
		assert.Assert(t, n < 500 || perServer < 1880, "%v bytes a server", perServer)
		runtime.KeepAlive(table)
	}
}

// heapInUse returns the size of the live heap in bytes.
func heapInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// warmPicker returns a picker and a server table with n warm servers.
func warmPicker(n int) (*Picker, *server.Table) {
	cfg := settings(n)
	table := &server.Table{Rand: rand.New(rand.NewPCG(1, 1))}
	table.Apply(testStart, cfg)
	p := &Picker{Entry: "a0", Domain: "a", Servers: table, Rand: table.Rand}
	p.Apply(testStart, cfg)
	for _, rec := range cfg.Servers {
		f := wire.Frame{Kind: wire.KindProbed, Service: 7, Server: rec.ID, Generation: 1, Boot: 1}
		table.Receive(testStart, rec.Addr, &f, 0)
		table.Merge(testStart, []server.Update{{Server: rec.ID, Generation: 1, Boot: 1, Stage: 3, HeardAt: testStart.UnixMilli()}})
	}
	return p, table
}

// placeAndFinish returns functions that place a request and that finish it.
func placeAndFinish(p *Picker) (func() Choice, func(Choice)) {
	now := testStart.Add(time.Millisecond)
	crit := &Criteria{Service: 7, Deadline: now.Add(time.Second), CrossUntil: now.Add(time.Second)}
	return func() Choice { c, _ := p.Place(now, crit); return c },
		func(c Choice) { p.Finished(now, c, Result{Outcome: Done, Latency: 10 * time.Millisecond}) }
}

func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{18, 500, 6400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p, _ := warmPicker(n)
			place, finish := placeAndFinish(p)
			b.ReportAllocs()
			for b.Loop() {
				finish(place())
			}
		})
	}
}
