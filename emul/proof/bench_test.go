package proof_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wire"
)

// BenchmarkFlowPacket measures one packet of an established flow through
// HandleCaller.
func BenchmarkFlowPacket(b *testing.B) {
	w := warmed(b, 1)
	var in *inst
	var p wire.Packet
	for _, fl := range w.flows {
		if fl.host != nil {
			in, p = w.instsOf(fl.host.domain, false)[0], fl.packet(wire.KindData)
		}
	}
	p.Via = fabric
	now := in.clock()
	allocs := testing.AllocsPerRun(100, func() {
		if n := len(in.core.HandleCaller(now, &p)); n != 1 {
			b.Fatalf("%d sends for a packet of an established flow", n)
		}
	})
	assert.Equal(b, allocs, 0.0)
	b.ReportAllocs()
	for b.Loop() {
		in.core.HandleCaller(now, &p)
	}
}

// BenchmarkDomain measures each second while a failure domain leaves and
// returns. Requests of the domain's servers may be lost at the moment it leaves.
func BenchmarkDomain(b *testing.B) {
	for range b.N {
		w := warmed(b, 7)
		w.loss, w.rate = 0, 20
		w.addFlows(100)
		w.RunFor(20 * time.Second)
		w.After(5*time.Second, func() { w.plat.markDomain("a", conf.MarkOut) })
		w.After(20*time.Second, func() { w.domainIn("a") })
		lowest, ended, refused := 1.0, 0, 0
		for s := range 40 {
			was, over := w.score, len(w.over)
			w.RunFor(time.Second)
			all := len(w.over) - over
			share := float64(w.score.done-was.done) / float64(all)
			lowest = min(lowest, share)
			ended += w.score.given - was.given
			refused += w.score.notRun - was.notRun
			if given := w.score.given - was.given; share < 1 || given > 0 {
				b.Logf("second %2d: share done %.3f of %d, notRun %d, unknown %d, flows given up %d",
					s, share, all, w.score.notRun-was.notRun, w.score.unknown-was.unknown, given)
			}
		}
		w.verify("domain")
		assert.Equal(b, w.score.broken, 0)
		b.ReportMetric(lowest, "lowest-share")
		b.ReportMetric(float64(ended), "flows-given-up")
		b.ReportMetric(float64(refused), "refused")
		b.ReportMetric(float64(w.score.broken), "flows-broken")
	}
}
