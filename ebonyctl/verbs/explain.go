package verbs

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"ebonypaddle/ebonyctl/client"
	"ebonypaddle/pkg/router"
	"ebonypaddle/pkg/wire"
)

// unknownLength stands for the length of the latest request of the route.
const unknownLength = -1

// explain asks one instance where a new flow would go.
func (a *App) explain(ctx context.Context, cmd *cli.Command) error {
	q, err := explainQuery(cmd)
	if err != nil {
		return err
	}
	instances := cmd.StringSlice("instance")
	if len(instances) != 1 {
		return usagef("explain asks one instance; --instance names %d", len(instances))
	}
	ex, err := a.instances.Explain(ctx, q)
	if err != nil {
		return err
	}
	if err := a.emit(ex, func(w *strings.Builder) { writeExplanation(w, instances[0], &q, ex) }); err != nil {
		return err
	}
	if ex.Outcome.Reason == wire.ReasonUnknownService.String() {
		return fmt.Errorf("route of %s in version %d: %w", q.Service, ex.Version, client.ErrNotFound)
	}
	return nil
}

// explainQuery reads the query from the command line.
func explainQuery(cmd *cli.Command) (router.ExplainQuery, error) {
	q := router.ExplainQuery{Size: cmd.Int("length")}
	var err error
	if q.Service, err = netip.ParseAddrPort(cmd.Args().First()); err != nil {
		return q, usagef("SERVICE-ADDRESS: %w", err)
	}
	if text := cmd.String("caller"); text != "" {
		if q.Caller, err = netip.ParseAddrPort(text); err != nil {
			return q, usagef("--caller: %w", err)
		}
	}
	if !q.Valid() {
		return q, usagef("SERVICE-ADDRESS and --caller must be IPv4")
	}
	return q, nil
}

func writeExplanation(w *strings.Builder, instance string, q *router.ExplainQuery, ex *router.Explanation) {
	writeTable(w, func(w *strings.Builder) {
		fmt.Fprintf(w, "instance\t%s in failure domain %s, settings version %d at revision %v\n", instance, ex.Domain, ex.Version, ex.Rev)
		if rt := ex.Route; rt != nil {
			fmt.Fprintf(w, "route\t%s, priority %d (class %d), latency target %v, repeatable %t\n", q.Service, rt.Priority, rt.Class, rt.LatencyTargetNs, rt.Repeatable)
		}
		fmt.Fprintf(w, "outcome\t%s\n", outcomeText(&ex.Outcome))
	})
	for i := range ex.Services {
		writeExplainedService(w, &ex.Services[i])
	}
	if ex.MoreServices > 0 {
		fmt.Fprintf(w, "\nand %d more services\n", ex.MoreServices)
	}
}

// outcomeText returns an outcome such as "placed at a-1 in a, 62.5%".
func outcomeText(o *router.ExplainedOutcome) string {
	what := o.Action
	if o.Server != "" {
		what += fmt.Sprintf(" at %s in %s", o.Server, o.Domain)
	}
	if o.Reason != "" {
		what += ", reason " + o.Reason
	}
	return what + ", " + percent(o.Share)
}

func percent(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) }

func writeExplainedService(w *strings.Builder, s *router.ExplainedService) {
	fmt.Fprintf(w, "\nservice %s: %s of new flows, expected cost %.2f of the mean\n", s.Name, percent(s.Share), s.RelativeCost)
	if s.Planned {
		w.WriteString("plan of admission in force:\n")
		for i := range s.Outcomes {
			fmt.Fprintf(w, "  %s\n", outcomeText(&s.Outcomes[i]))
		}
	} else {
		fmt.Fprintf(w, "no plan of admission in force: %s\n", outcomeText(&s.Outcomes[0]))
	}
	if sums := s.Sums; sums != nil {
		fmt.Fprintf(w, "load of the failure domain: %.0f in progress, %.0f slots, %.0f busy, %.1f answered and %.1f rejected a second, %d instances, %v old\n",
			sums.InProgress, sums.Slots, sums.Busy, sums.Answered, sums.Rejected, sums.Instances, roundTime(sums.AgeNs))
	} else {
		w.WriteString("load of the failure domain: not known\n")
	}
	writeTable(w, func(w *strings.Builder) {
		w.WriteString("server\tdomain\tstate\tcold\testimate\twait\tscore\tslots\there\topening\tothers\n")
		for i := range s.Servers {
			c := &s.Servers[i]
			fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%v\t%v\t%v\t%d\t%d\t%d\t%d\n", c.Name, c.Domain, c.State, c.Cold, roundTime(c.EstimateNs), roundTime(c.WaitNs), roundTime(c.ScoreNs), c.Slots, c.InProgress, c.Opening, c.Others)
		}
	})
	if s.MoreServers > 0 {
		fmt.Fprintf(w, "and %d more servers\n", s.MoreServers)
	}
}

// roundTime rounds a time for people.
func roundTime(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }
