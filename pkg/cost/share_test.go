package cost

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/load"
)

// exchange lets all instances report to a ledger and merge the sums that it sends.
func exchange(t *testing.T, now time.Time, sequence uint64, l *load.Ledger, instances []*world) []load.Cost {
	t.Helper()
	for i, w := range instances {
		b, err := load.EncodeReport(&load.Report{Sequence: sequence, Services: []load.Service{{Name: "s", Costs: w.Costs(load.MaxReportCosts)}}})
		assert.NilError(t, err)
		r, err := load.DecodeReport(b)
		assert.NilError(t, err)
		r.Instance = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
		assert.Assert(t, l.Add(now, r))
	}
	sums := l.Sums(now, false)
	for _, w := range instances {
		w.Merge(now, sums.Services[0].Costs)
	}
	return sums.Services[0].Costs
}

// Guards against instances that know the kinds of their own callers only, and against
// a restarted one that begins without costs.
func TestKnowledgeOfOthers(t *testing.T) {
	l := &load.Ledger{Domain: "a"}
	l.Start()
	costs := []float64{0.5, 1, 2, 3, 4, 5, 6, 8}
	var instances []*world
	for i := range 28 {
		w := newWorld(uint64(i))
		w.draw, w.costs = draws["costly"], costs
		w.pick = func() (int, int) { return (i + w.rnd.IntN(3)) % len(costs), w.rnd.IntN(len(w.slow)) }
		instances = append(instances, w)
	}
	var sums []load.Cost
	for n := range 60 {
		for _, w := range instances {
			w.run(50) // half a second
		}
		sums = exchange(t, instances[0].now, uint64(n+1), l, instances)
	}
	for _, w := range instances {
		for i, c := range costs {
			assertWithin(t, "cost of a key", float64(w.Expected(keyOf(i))), c*float64(baseWork), 1.15)
		}
	}
	var restarted Model
	restarted.Start()
	restarted.Merge(instances[0].now, sums)
	for i, c := range costs {
		assertWithin(t, "cost of a key after a restart", float64(restarted.Expected(keyOf(i))), c*float64(baseWork), 1.1)
	}
	assert.Equal(t, len(restarted.Costs(8)), 0) // what others told is not told again
}

// Guards against wrong knowledge of others that outweighs own observations, and against
// one that stays where there are own observations again.
func TestOthersAreWrong(t *testing.T) {
	w := newWorld(1)
	w.run(900)
	wrong := []load.Cost{{Key: keyOf(0).hash(), Work: 100 * baseWork, Observations: 256}}
	for range 10 {
		w.Merge(w.now, wrong)
	}
	w.assertTruth(t, 1.1)
	restarted := newWorld(2)
	restarted.Merge(testStart, wrong)
	assert.Equal(t, restarted.Expected(keyOf(0)), 100*baseWork)
	assertWearsOff(t, restarted, len(restarted.costs))
}

// Guards against costs of keys and speeds of servers that nobody has seen for a minute
// being used.
func TestUnusedValuesFade(t *testing.T) {
	w := newWorld(1)
	w.run(3000)
	later := w.now.Add(idleTime)
	for range 50 { // only key 1 goes on, at server 2
		w.now = w.now.Add(idleTime / 50)
		w.Observe(w.now, keyOf(1), 2, w.work(1, 2))
	}
	assert.Assert(t, !w.now.Before(later))
	assert.Equal(t, w.Expected(keyOf(0)), w.Expected(keyOf(99)))
	assert.Equal(t, w.Slowness(0), 1.0)
	assert.Equal(t, len(w.Costs(8)), 1)
}

// Guards against tables that grow with the keys or servers that callers and the store
// name, and against losing what is in use to them.
func TestBoundedTables(t *testing.T) {
	w := newWorld(1)
	rnd := rand.New(rand.NewPCG(1, 1))
	for i := range 3 * maxServers {
		w.run(1)
		w.Observe(w.now, keyOf(100+rnd.IntN(10*maxKeys)), uint64(100+i), baseWork)
	}
	assert.Equal(t, w.keys.len(), maxKeys)
	assert.Equal(t, len(w.keys.slots), maxKeys)
	assert.Equal(t, w.servers.len(), maxServers)
	assert.Equal(t, len(w.servers.slots), maxServers)
	for i := range w.costs {
		assert.Assert(t, w.keys.get(keyOf(i).hash()) != nil)
	}
	for id := range uint64(4 * maxServers) {
		w.Forget(id)
	}
	assert.Equal(t, w.servers.len(), 0)
	w.run(10)
	assert.Equal(t, len(w.servers.slots), maxServers)
}

// Guards against costs that change their unit when the servers go and others come.
func TestServersComeAndGo(t *testing.T) {
	w := newWorld(1)
	w.run(3000)
	for i := range w.slow[1:] {
		w.Forget(uint64(i))
	}
	before := w.Expected(keyOf(2))
	assertWithin(t, "cost at the last server", float64(before), w.costs[2]*w.slow[4]*float64(baseWork), 1.1)
	w.Forget(4)
	w.pick = func() (int, int) { return w.rnd.IntN(len(w.costs)), 0 }
	w.slow = []float64{float64(before) / 3 / float64(baseWork)}
	w.run(1)
	assertWithin(t, "cost of a key", float64(w.Expected(keyOf(2))), float64(before), 1.01)
}

// Guards against one server with odd observations that takes all others with it in the
// mean.
func TestOddServer(t *testing.T) {
	w := newWorld(1)
	w.slow = make([]float64, 200)
	for i := range w.slow {
		w.slow[i] = 1
	}
	for range 500 {
		w.run(20)
		w.Observe(w.now, keyOf(0), 1000, time.Hour)
		w.Observe(w.now, keyOf(1), 1001, 1)
	}
	assertWithin(t, "slowness of a slow server", w.Slowness(1000), maxSlowness, 1.1)
	assertWithin(t, "slowness of a fast server", w.Slowness(1001), minSlowness, 1.1)
	assertWithin(t, "slowness of another server", w.Slowness(0), 200.0/264, 1.5)
}
