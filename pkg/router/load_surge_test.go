package router

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// loadSizes are the fleets of which decisions under load are measured.
var loadSizes = []struct{ instances, servers, domains int }{{8, 15, 3}, {86, 120, 3}, {300, 480, 6}}

// surgeOf returns a load that rises to a multiple of what the servers can process.
func surgeOf(size int, x float64) loadConfig {
	s := loadSizes[size]
	return loadConfig{instances: s.instances, servers: s.servers, domains: s.domains, classes: twoClasses, calm: 0.3, surge: x, surgeFor: 10 * time.Second, warmFor: 2 * time.Second}
}

// surges are loads with surges of several kinds.
func surges(size int) map[string]loadConfig {
	out := map[string]loadConfig{}
	for _, x := range []float64{0.5, 1, 2, 3, 4, 8} {
		out[fmt.Sprintf("all/%v", x)] = surgeOf(size, x)
	}
	for _, x := range []float64{2, 4} {
		three := surgeOf(size, x)
		three.classes = threeClasses
		out[fmt.Sprintf("three/%v", x)] = three
	}
	for _, x := range []float64{2, 4, 8} {
		flood := surgeOf(size, x)
		flood.surgeClasses = []int{1}
		out[fmt.Sprintf("flood/%v", x)] = flood
	}
	for _, x := range []float64{1, 2, 4} {
		crowded := surgeOf(size, x)
		crowded.crowded = true
		out[fmt.Sprintf("crowded/%v", x)] = crowded
		crowded.replace = true
		out[fmt.Sprintf("replaced/%v", x)] = crowded
	}
	return out
}

// BenchmarkSurge measures what callers get of a surge. LOAD=all measures all surges,
// with and without sums.
func BenchmarkSurge(b *testing.B) {
	all := os.Getenv("LOAD") == "all"
	for size, s := range loadSizes {
		for name, cfg := range surges(size) {
			if !all && name != "all/2" {
				continue
			}
			for _, off := range []bool{true, false} {
				if cfg.sums.off = off; off && !all {
					continue
				}
				b.Run(fmt.Sprintf("%d/%s/%s", s.instances, name, map[bool]string{true: "without", false: "sums"}[off]), func(b *testing.B) {
					var sim *loadSim
					for b.Loop() {
						sim = newLoadSim(1, cfg).play()
					}
					b.Log(sim)
					if !off && !all {
						assertUrgent(b, sim, minUrgentWorth)
					}
					b.ReportMetric(sim.worth(surging, -1), "worth")
				})
			}
		}
	}
}
