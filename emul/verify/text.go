package verify

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Text returns a summary of the run and the results of checks as text, and
// whether every check passed.
func (r *Run) Text(checks []Check) (string, bool) {
	var b strings.Builder
	if len(r.Samples) > 0 {
		r.writeSummary(&b)
	}
	ok := true
	for _, c := range checks {
		verdict := "ok  "
		if !c.OK {
			verdict, ok = "FAIL", false
		}
		fmt.Fprintf(&b, "%s %2d  %s (%s)\n", verdict, c.Requirement, c.What, c.Detail)
	}
	return b.String(), ok
}

func (r *Run) writeSummary(b *strings.Builder) {
	for _, name := range slices.Sorted(maps.Keys(r.Reports)) {
		rep := r.Reports[name]
		fmt.Fprintf(b, "%s\n", name)
		fmt.Fprintf(b, "  requests       %v, not done by reason %v, not sent %d\n", rep.Outcomes, rep.Reasons, rep.Skipped)
		fmt.Fprintf(b, "  latency        p50 %d us, p99 %d us, max %d us\n", rep.P50, rep.P99, rep.Max)
		fmt.Fprintf(b, "  flows          %d opened, %d retries, %d not opened\n", rep.Flows, rep.OpenRetries, rep.NotOpened)
		fmt.Fprintf(b, "  echoes         %d of %d keepalives, %d gaps in the push feed\n", rep.Echoed, rep.Keepalives, rep.Gaps)
		fmt.Fprintf(b, "  run-once       by number of runs %v\n", rep.OnceRuns)
	}
	broken := r.brokenFlows()
	fmt.Fprintf(b, "flows closed, domain out  %d\n", broken[causeDomainOut])
	delete(broken, causeDomainOut)
	fmt.Fprintf(b, "broken flows by cause     %v\n", broken)
	for id, x := range r.imbalance() {
		fmt.Fprintf(b, "imbalance                 %.2f highest/mean utilisation, %s\n", x, r.serviceName(id))
	}
	fmt.Fprintf(b, "refusals                  %v\n", r.sumCounters(func(v *Vars) map[string]uint64 { return v.Refused }))
	fmt.Fprintf(b, "dropped frames            %v\n", r.sumCounters(func(v *Vars) map[string]uint64 { return v.Dropped }))
	fmt.Fprintf(b, "flows closed              %v\n", r.sumCounters(func(v *Vars) map[string]uint64 { return v.Closed }))
	fmt.Fprintf(b, "requests retried          %v\n", r.sumCounters(func(v *Vars) map[string]uint64 { return v.Retried }))
	fmt.Fprint(b, "control bytes/s, out/in  ")
	for _, c := range r.controlRates() {
		fmt.Fprintf(b, " %s %.0f/%.0f", c.name, c.out, c.in)
	}
	fmt.Fprintln(b)
}
