package router

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// What callers are to get while they ask for more than the servers can process.
const (
	minUrgentWorth = 0.93 // of class 0, while it alone fits
	minFloodWorth  = 0.98 // of class 0, while lower classes alone come many times
	maxRejections  = 0.1  // of those without admission
	maxDomainGap   = 0.02 // between failure domains, while one of them has room
	// maxRecoveredGap is what a request may be worth less 2 s after the surge than
	// before it.
	maxRecoveredGap = 0.02
)

// assertUrgent checks what class 0 got in a surge.
func assertUrgent(t testing.TB, sim *loadSim, least float64) {
	t.Helper()
	urgent := sim.sum(surging, 0, -1)
	assert.Check(t, urgent.worth() >= least, "%v", sim)
}

// assertRecovered checks that callers get the same as before 2 s after the surge.
func assertRecovered(t testing.TB, sim *loadSim) {
	t.Helper()
	assert.Check(t, sim.worth(recovered, -1) >= sim.worth(calm, -1)-maxRecoveredGap, "%v", sim)
}

// assertSurge checks a surge of all classes against the same one without admission.
func assertSurge(t testing.TB, cfg loadConfig, seed uint64) {
	t.Helper()
	sim := newLoadSim(seed, cfg).play()
	cfg.sums.off = true
	without := newLoadSim(seed, cfg).play()
	assertUrgent(t, sim, minUrgentWorth)
	assertRecovered(t, sim)
	assert.Check(t, sim.worth(surging, -1) > without.worth(surging, -1), "%v\nwithout admission: %v", sim, without)
	got, before := sim.sum(surging, -1, -1), without.sum(surging, -1, -1)
	assert.Check(t, float64(got.rejected+got.overLimit) <= maxRejections*float64(before.rejected+before.overLimit), "%v\nwithout admission: %v", sim, without)
}

// fewUrgent returns twoClasses with a part of class 0 that fits into the servers
// alone at 4 times their capacity.
func fewUrgent() []loadClass {
	a, b := twoClasses[0], twoClasses[1]
	a.share, b.share = 0.15, 0.85
	return []loadClass{a, b}
}

// Guards against urgent requests that fail because lower classes fill the servers,
// and against servers that reject what could be refused before.
func TestUrgentRequestsInSurge(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { assertSurge(t, surgeOf(0, 2), seed) })
	}
}

// Guards against the same while the urgent requests alone nearly fill the servers.
func TestUrgentRequestsInHeavySurge(t *testing.T) {
	for seed := range uint64(2) {
		for _, x := range []float64{3, 4} {
			t.Run(fmt.Sprint(seed, "/", x), func(t *testing.T) {
				cfg := surgeOf(0, x)
				if x > 3 {
					cfg.classes = fewUrgent()
				}
				assertSurge(t, cfg, seed)
			})
		}
	}
}

// Guards against the same in a fleet where each instance sees a small part of its
// servers' requests.
func TestUrgentRequestsInSurgeOfLargeFleet(t *testing.T) {
	assertSurge(t, surgeOf(1, 2), 1)
}

// Guards against a step down in goodput when admission comes into force: at the
// capacity, callers get no less than without it.
func TestNoStepInGoodput(t *testing.T) {
	cfg := surgeOf(0, 1)
	sim := newLoadSim(1, cfg).play()
	cfg.sums.off = true
	without := newLoadSim(1, cfg).play()
	assert.Check(t, sim.worth(surging, -1) >= without.worth(surging, -1), "%v\nwithout admission: %v", sim, without)
	assertRecovered(t, sim)
}

// Guards against servers that get more flows than they hold, by instances that each
// see a part of them.
func TestFlowLimitInSurge(t *testing.T) {
	cfg := surgeOf(0, 1)
	cfg.maxFlows = 25
	sim := newLoadSim(1, cfg).play()
	cfg.sums.off = true
	without := newLoadSim(1, cfg).play()
	got, before := sim.sum(surging, -1, -1), without.sum(surging, -1, -1)
	assert.Check(t, before.overLimit > 0 && float64(got.overLimit) <= maxRejections*float64(before.overLimit), "%v\nwithout sums: %v", sim, without)
}

// Guards against lower classes that get more than higher ones.
func TestThreePrioritiesInSurge(t *testing.T) {
	cfg := surgeOf(0, 2)
	cfg.classes = threeClasses
	sim := newLoadSim(1, cfg).play()
	assertUrgent(t, sim, minUrgentWorth)
	second, third := sim.sum(surging, 1, -1), sim.sum(surging, 2, -1)
	assert.Check(t, second.worth() >= third.worth(), "%v", sim)
	assert.Check(t, third.inTime > 0, "%v", sim)
}

// Guards against callers of one route who pay for a flood of another one of lower
// priority.
func TestUrgentRequestsInFlood(t *testing.T) { assertFlood(t, 2) }

// Guards against the same with a flood of several times what the servers bear.
func TestUrgentRequestsInHeavyFlood(t *testing.T) {
	for _, x := range []float64{4, 8} {
		t.Run(fmt.Sprint(x), func(t *testing.T) { assertFlood(t, x) })
	}
}

func assertFlood(t *testing.T, x float64) {
	t.Helper()
	cfg := surgeOf(0, x)
	cfg.surgeClasses = []int{1}
	sim := newLoadSim(1, cfg).play()
	assertUrgent(t, sim, minFloodWorth)
	assertRecovered(t, sim)
}

// Guards against callers of a crowded failure domain who are refused while others
// have room, and against callers of the others who then pay for it.
func TestCrowdedDomain(t *testing.T) {
	t.Run("with room next door", func(t *testing.T) { assertCrowded(t, 1, false) })
	t.Run("servers of another domain replaced", func(t *testing.T) { assertCrowded(t, 1, true) })
}

// Guards against the same while the others have little room.
func TestVeryCrowdedDomain(t *testing.T) { assertCrowded(t, 2, false) }

func assertCrowded(t *testing.T, x float64, replace bool) {
	t.Helper()
	cfg := surgeOf(0, x)
	cfg.crowded, cfg.replace = true, replace
	sim := newLoadSim(1, cfg).play()
	for d := 1; d < sim.domains; d++ {
		assert.Check(t, sim.worth(surging, 0) >= sim.worth(surging, d)-maxDomainGap, "%v", sim)
		assert.Check(t, sim.worth(surging, d) >= sim.worth(surging, 0)-maxDomainGap, "%v", sim)
	}
	assertRecovered(t, sim)
}

// Guards against admission that rests on sums which are late, lost, repeated or hold
// a frozen instance.
func TestSurgeWithBadSums(t *testing.T) {
	for name, sums := range map[string]sumsConfig{
		"late": {delay: 100 * time.Millisecond}, "lost": {lost: 0.2}, "twice": {twice: true, delay: 20 * time.Millisecond}, "frozen": {frozen: 1},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := surgeOf(0, 2)
			cfg.sums = sums
			sim := newLoadSim(1, cfg).play()
			assertUrgent(t, sim, minUrgentWorth)
			assertRecovered(t, sim)
		})
	}
}

// Guards against decisions that change with the sums of load while there is room.
func TestRoomToSpareChangesNothing(t *testing.T) {
	for _, x := range []float64{0.3, 0.5} {
		for size := range 2 {
			t.Run(fmt.Sprint(x, "/", loadSizes[size].instances), func(t *testing.T) {
				cfg := surgeOf(size, x)
				cfg.surgeFor = 3 * time.Second
				sim := newLoadSim(1, cfg).play()
				cfg.sums.off = true
				without := newLoadSim(1, cfg).play()
				assert.Equal(t, sim.placed, without.placed, "%v\nwithout sums: %v", sim, without)
			})
		}
	}
}
