package proof_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wire"
)

// BenchmarkFlowPacket measures how long HandleCaller takes for one packet of an
// established flow, and requires that it allocates nothing.
func BenchmarkFlowPacket(b *testing.B) {
	sim := newWarmSimulation(b, 1)
	var inst *instance
	var p wire.Packet
	for _, fl := range sim.flows {
		if fl.server != nil {
			inst, p = sim.instancesOf(fl.server.domain, false)[0], fl.packet(wire.KindData)
		}
	}
	p.Via = fabricAddr
	now := inst.localTime()
	allocs := testing.AllocsPerRun(100, func() {
		if n := len(inst.core.HandleCaller(now, &p)); n != 1 {
			b.Fatalf("%d sends for a packet of an established flow", n)
		}
	})
	assert.Equal(b, allocs, 0.0)
	b.ReportAllocs()
	for b.Loop() {
		inst.core.HandleCaller(now, &p)
	}
}

// BenchmarkDomain takes a failure domain out of service and returns it, and
// measures each second of that time. Requests on the domain's servers may be
// lost at the moment it goes out; no flow outside of it may break.
func BenchmarkDomain(b *testing.B) {
	for range b.N {
		sim := newWarmSimulation(b, 7)
		sim.lossRate, sim.requestsPer100ms = 0, 20
		sim.addFlows(100)
		sim.RunFor(20 * time.Second)
		sim.After(5*time.Second, func() { sim.platform.markDomain("a", conf.MarkOut) })
		sim.After(20*time.Second, func() { sim.returnDomain("a") })
		lowestShare, endedFlows, refused := 1.0, 0, 0
		for s := range 40 {
			before, finished := sim.counts, len(sim.finished)
			sim.RunFor(time.Second)
			total := len(sim.finished) - finished
			share := float64(sim.counts.done-before.done) / float64(total)
			lowestShare = min(lowestShare, share)
			endedFlows += sim.counts.ended - before.ended
			refused += sim.counts.notRun - before.notRun
			if endedNow := sim.counts.ended - before.ended; share < 1 || endedNow > 0 {
				b.Logf("second %2d: share done %.3f of %d, notRun %d, unknown %d, flows ended %d",
					s, share, total, sim.counts.notRun-before.notRun, sim.counts.unknown-before.unknown, endedNow)
			}
		}
		sim.verify("domain")
		assert.Equal(b, sim.counts.broken, 0)
		b.ReportMetric(lowestShare, "lowest-share")
		b.ReportMetric(float64(endedFlows), "flows-ended")
		b.ReportMetric(float64(refused), "refused")
		b.ReportMetric(float64(sim.counts.broken), "flows-broken")
	}
}
