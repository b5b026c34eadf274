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

// figures are measured over the time after the warm-up.
type figures struct {
	// goodput is the answers in time over the lesser of requests and
	// capacity; peak is the maximum over the mean of the servers' utilisation
	// and spread its coefficient of variation.
	goodput, peak, spread, retries, local float64
	p99                                   time.Duration
}

func measure(policy string, rate float64, seed uint64) figures {
	s := newSim(policy, seed)
	s.load(rate)
	s.run(simFor)
	var f figures
	var sum, squares, capacity float64
	for _, b := range s.backends {
		u := b.useful.Seconds()
		sum, squares = sum+u, squares+u*u
		f.peak = max(f.peak, u)
		capacity += 2 / b.service.Seconds() * (simFor - simWarmup).Seconds()
	}
	mean := sum / 14
	f.peak, f.spread = f.peak/mean, math.Sqrt(max(squares/14-mean*mean, 0))/mean
	f.goodput = float64(s.good) / min(capacity, float64(s.requests))
	slices.Sort(s.latencies)
	f.p99 = s.latencies[len(s.latencies)*99/100]
	var spent, earned, local, placed uint64
	for _, b := range s.instances {
		spent, earned = spent+b.budget.Spent, earned+b.budget.Earned
		local, placed = local+b.Local, placed+b.Placed
	}
	f.local = float64(local) / float64(max(placed, 1))
	f.retries = float64(spent) / float64(earned)
	return f
}

func BenchmarkLoad(b *testing.B) {
	for _, policy := range []string{"random", "roundRobin", "leastInFlight", "picker"} {
		for _, rate := range []float64{0.5, 0.9, 1.2, 2} {
			b.Run(fmt.Sprintf("%s/%v", policy, rate), func(b *testing.B) {
				var f figures
				for b.Loop() {
					f = measure(policy, rate, 1)
				}
				b.ReportMetric(f.goodput, "goodput")
				b.ReportMetric(f.peak, "max/mean")
				b.ReportMetric(f.spread, "cv")
				b.ReportMetric(float64(f.p99.Milliseconds()), "p99-ms")
				b.ReportMetric(f.local, "local")
				b.ReportMetric(f.retries, "retries")
			})
		}
	}
}

// Guards against collapse above capacity, retry storms, and a balance worse
// than that of the baselines.
func TestLoadBounds(t *testing.T) {
	for seed := range uint64(3) {
		for _, rate := range []float64{0.5, 0.9, 1.2, 2} {
			t.Run(fmt.Sprintf("%d/%v", seed, rate), func(t *testing.T) {
				got := measure("picker", rate, seed)
				least, random := measure("leastInFlight", rate, seed), measure("random", rate, seed)
				assert.Assert(t, got.goodput >= 0.9, "%+v", got)
				assert.Assert(t, got.retries <= 0.1, "%+v", got)
				assert.Assert(t, got.spread < random.spread, "%+v against %+v", got, random)
				assert.Assert(t, rate > 0.5 || got.local > 0.5, "%+v", got)
				assert.Assert(t, rate > 1 || got.spread < least.spread && got.p99 < least.p99, "%+v against %+v", got, least)
			})
		}
	}
}

// Guards against work for a server that fell into cold start silently: when
// every instance knows, no more than the highest total may be in progress. It
// must be warm again in time, also when only places of its own domain live.
func TestSilentFall(t *testing.T) {
	for name, c := range map[string]struct {
		id, instances int
		rate          float64
		within        time.Duration
	}{
		"fast":      {0, 8, 0.9, 10 * time.Second},
		"slow":      {3, 8, 0.9, 20 * time.Second},
		"cut off":   {0, 2, 0.1, 20 * time.Second},
		"one place": {0, 1, 0.1, 40 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSim("picker", 1)
			s.instances, s.cut = s.instances[:c.instances], c.instances < 8
			s.load(c.rate)
			s.run(5 * time.Second)
			be := s.backends[c.id]
			be.boot, be.coldDone = 2, 60
			known, warm := time.Duration(0), 0
			for warm < c.instances || known == 0 {
				s.run(s.at() + 5*time.Millisecond)
				total := 0
				if total, warm = s.view(c.id); known == 0 && warm == 0 {
					known = s.at()
				}
				busy := be.busy + len(be.queue)
				assert.Assert(t, known == 0 || warm > 0 || s.at() < known+callerFor || busy <= total, "%d of %d at %v", busy, total, s.at())
				assert.Assert(t, s.at() < 5*time.Second+c.within, "not warm at %v", s.at())
			}
			t.Logf("known to all after %v, warm after %v", known-5*time.Second, s.at()-5*time.Second)
			assert.Assert(t, known < 5500*time.Millisecond, "known at %v", known)
		})
	}
}

// Guards against allocation in Place, and against rows too large for 140,000
// servers within 256 MB, which is 1,880 bytes a server.
func TestPlaceCost(t *testing.T) {
	for _, n := range []int{18, 500, 6400} {
		before := heapInUse()
		p, tab := warmPicker(n)
		perServer := float64(int64(heapInUse())-int64(before)) / float64(n)
		place, finish := placeOnce(p)
		allocs := testing.AllocsPerRun(100, func() { finish(place()) })
		t.Logf("%d servers: %.0f bytes a server, %v allocations", n, perServer, allocs)
		assert.Equal(t, allocs, 0.0)
		assert.Assert(t, n < 500 || perServer < 1880, "%v bytes a server", perServer)
		runtime.KeepAlive(tab)
	}
}

func heapInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// warmPicker returns a picker over n warm servers.
func warmPicker(n int) (*Picker, *server.Table) {
	cfg := settings(n)
	tab := &server.Table{Rand: rand.New(rand.NewPCG(1, 1))}
	tab.Apply(begin, cfg)
	p := &Picker{Entry: "a0", Domain: "a", Servers: tab, Rand: tab.Rand}
	p.Apply(begin, cfg)
	for _, rec := range cfg.Servers {
		f := wire.Frame{Kind: wire.KindProbed, Service: 7, Server: rec.ID, Generation: 1, Boot: 1}
		tab.Receive(begin, rec.Addr, &f, 0)
		tab.Merge(begin, []server.Update{{Server: rec.ID, Generation: 1, Boot: 1, Stage: 3, Heard: begin.UnixMilli()}})
	}
	return p, tab
}

func placeOnce(p *Picker) (func() Choice, func(Choice)) {
	now := begin.Add(time.Millisecond)
	ask := &Criteria{Service: 7, Deadline: now.Add(time.Second), CrossUntil: now.Add(time.Second)}
	return func() Choice { c, _ := p.Place(now, ask); return c },
		func(c Choice) { p.Finished(now, c, Result{Outcome: Done, Latency: 10 * time.Millisecond}) }
}

func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{18, 500, 6400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p, _ := warmPicker(n)
			place, finish := placeOnce(p)
			b.ReportAllocs()
			for b.Loop() {
				finish(place())
			}
		})
	}
}
