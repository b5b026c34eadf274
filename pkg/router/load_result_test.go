package router

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// The phases of a run. The results of a request count for the phase in which it
// began.
const (
	warming = iota
	calm
	surging
	recovering // the 2 s after the surge
	recovered  // the second after these
	phases
)

const (
	simCalmFor      = 2 * time.Second
	simRecoverFor   = 2 * time.Second
	simRecoveredFor = time.Second
	simLateFraction = 0.1 // of the worth of an answer after the latency target
)

// tally counts what the callers of a failure domain got of a class in a phase.
type tally struct {
	requests, attempts, rejected, refused, broken, failed, inTime, late, overLimit int
	// latencies are those of answers. shortLatencies are those of requests with
	// little work, where one without an answer counts as one at its deadline.
	latencies, shortLatencies []time.Duration
}

func (t *tally) fail(c *loadClass, short bool) {
	t.failed++
	if short {
		t.shortLatencies = append(t.shortLatencies, c.deadline)
	}
}

func (t *tally) answered(c *loadClass, latency time.Duration, short bool) {
	t.latencies = append(t.latencies, latency)
	if short {
		t.shortLatencies = append(t.shortLatencies, latency)
	}
	switch {
	case latency <= c.target:
		t.inTime++
	case latency <= c.deadline:
		t.late++
	default:
		t.failed++
	}
}

func (t *tally) add(o *tally) {
	t.requests, t.attempts, t.rejected, t.refused = t.requests+o.requests, t.attempts+o.attempts, t.rejected+o.rejected, t.refused+o.refused
	t.broken, t.failed, t.inTime, t.late = t.broken+o.broken, t.failed+o.failed, t.inTime+o.inTime, t.late+o.late
	t.overLimit += o.overLimit
	t.latencies = append(t.latencies, o.latencies...)
	t.shortLatencies = append(t.shortLatencies, o.shortLatencies...)
}

// worth returns the share of the worth of all requests that callers got.
func (t *tally) worth() float64 {
	return (float64(t.inTime) + simLateFraction*float64(t.late)) / float64(max(t.requests, 1))
}

// rejectedShare returns the share of the attempts that servers rejected.
func (t *tally) rejectedShare() float64 { return float64(t.rejected) / float64(max(t.attempts, 1)) }

// refusedShare returns the share of the attempts that instances refused.
func (t *tally) refusedShare() float64 {
	return float64(t.refused) / float64(max(t.attempts+t.refused, 1))
}

func percentile(latencies []time.Duration, p int) time.Duration {
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[len(latencies)*p/100].Round(time.Millisecond)
}

// sum returns the results of a phase of one class, or of all if it is negative,
// and of one failure domain, or of all if it is negative.
func (sim *loadSim) sum(phase, class, domain int) tally {
	var out tally
	for d := range sim.domains {
		for c := range sim.classes {
			if (class < 0 || c == class) && (domain < 0 || d == domain) {
				out.add(&sim.tallies[phase][d][c])
			}
		}
	}
	return out
}

// worth returns the share of the worth of all requests of a phase and failure
// domain, all domains if it is negative, where classes count by their worth.
func (sim *loadSim) worth(phase, domain int) float64 {
	got, all := 0.0, 0.0
	for c, cl := range sim.classes {
		t := sim.sum(phase, c, domain)
		got += cl.worth * t.worth() * float64(t.requests)
		all += cl.worth * float64(t.requests)
	}
	return got / all
}

// utilization returns the share of the time of the slots that was spent on requests
// in the surge.
func (sim *loadSim) utilization() float64 {
	var busy time.Duration
	for _, srv := range sim.backends {
		busy += srv.busyTime
	}
	return busy.Seconds() / (float64(sim.servers) * simSlots * sim.surgeFor.Seconds())
}

// maxUtilization returns the time that the busiest server was busy in the surge
// over the mean, and inWork the most requests that a server had.
func (sim *loadSim) maxUtilization() (ratio float64, inWork int) {
	var most, sum time.Duration
	n := 0
	for _, srv := range sim.backends {
		inWork = max(inWork, srv.maxInWork)
		if srv.ended || srv.draining {
			continue
		}
		most, sum, n = max(most, srv.busyTime), sum+srv.busyTime, n+1
	}
	return float64(most) * float64(n) / float64(sum), inWork
}

func (sim *loadSim) String() string {
	var b strings.Builder
	ratio, inWork := sim.maxUtilization()
	fmt.Fprintf(&b, "worth %.3f |", sim.worth(surging, -1))
	for c := range sim.classes {
		t := sim.sum(surging, c, -1)
		fmt.Fprintf(&b, " c%d %.3f rej %.3f ref %.3f p50 %v p99 %v |", c, t.worth(), t.rejectedShare(), t.refusedShare(), percentile(t.latencies, 50), percentile(t.latencies, 99))
	}
	b.WriteString(" domains")
	for d := range sim.domains {
		fmt.Fprintf(&b, " %.3f", sim.worth(surging, d))
	}
	all := sim.sum(surging, -1, -1)
	fmt.Fprintf(&b, " | rejected %d of %d, refused %d, over the limit of flows %d, broken %d | utilization %.2f max/mean %.2f, most in progress %d | after %.3f then %.3f calm %.3f",
		all.rejected, all.attempts, all.refused, all.overLimit, all.broken, sim.utilization(), ratio, inWork, sim.worth(recovering, -1), sim.worth(recovered, -1), sim.worth(calm, -1))
	return b.String()
}
