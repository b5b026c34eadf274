package verbs

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/revs"
)

// sortedKeys returns the keys of m in order.
func sortedKeys[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }

// writeTable aligns the tab-separated columns that writeRows writes.
func writeTable(w *strings.Builder, writeRows func(*strings.Builder)) {
	const gap = 2 // spaces between columns
	var b strings.Builder
	writeRows(&b)
	t := tabwriter.NewWriter(w, 0, 0, gap, ' ', 0)
	// Writes to a strings.Builder do not fail.
	_, _ = t.Write([]byte(b.String()))
	_ = t.Flush()
}

func (a *App) treeShow(ctx context.Context, _ *cli.Command) error {
	st, err := a.loadStore(ctx)
	if err != nil {
		return err
	}
	shown := *st.snap
	shown.Rev = st.settingsRev()
	shown.Keys = map[string]conf.Key{}
	for name, k := range st.snap.Keys {
		k.Secret = nil
		shown.Keys[name] = k
	}
	return a.emit(shown, func(w *strings.Builder) {
		fmt.Fprintf(w, "revision %v\n", revs.Rev(shown.Rev))
		writeTable(w, func(w *strings.Builder) {
			for _, n := range sortedKeys(shown.Nodes) {
				fmt.Fprintf(w, "node\t%s\trev %v\n", n, revs.Rev(st.objs[conf.KindNode][n].Rev))
			}
			for _, n := range sortedKeys(shown.Domains) {
				fmt.Fprintf(w, "domain\t%s\t%s\t%s\n", n, shown.Domains[n].Half, shown.Domains[n].Mark)
			}
			for _, n := range sortedKeys(shown.Servers) {
				v := shown.Servers[n]
				fmt.Fprintf(w, "server\t%s\t%s\t%s\t%s\t%s\n", n, v.Service, v.Domain, v.Addr, v.Mark)
			}
		})
	})
}

func (a *App) valueGet(ctx context.Context, cmd *cli.Command) error {
	st, err := a.loadStore(ctx)
	if err != nil {
		return err
	}
	r, err := st.snap.Resolve(cmd.Args().First())
	if err != nil {
		return err
	}
	type value struct {
		Field  string `json:"field"`
		Value  string `json:"value"`
		Source string `json:"source"`
	}
	var out []value
	for _, f := range conf.Fields() {
		if only := cmd.Args().Get(1); only == "" || only == f.Name {
			out = append(out, value{f.Name, f.Text(&r), r.Source[f.Name]})
		}
	}
	if len(out) == 0 {
		return usagef("field %q does not exist", cmd.Args().Get(1))
	}
	return a.emit(out, func(w *strings.Builder) {
		writeTable(w, func(w *strings.Builder) {
			for _, v := range out {
				fmt.Fprintf(w, "%s\t%s\tfrom %s\n", v.Field, v.Value, v.Source)
			}
		})
	})
}

func readSettingsFile(name string) (*conf.Snapshot, error) {
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	s, ps := conf.DecodeSnapshot(raw)
	return s, redactSecrets(ps).Err()
}

// redactSecrets replaces values that may contain the secret of a key in decoding
// problems. A malformed secret often contains most of the real one.
func redactSecrets(ps conf.Problems) conf.Problems {
	for i := range ps {
		p := &ps[i]
		if p.Kind == conf.KindSnapshot || p.Kind == conf.KindKey && p.Field != "id" && p.Field != "sealFrom" {
			p.Value = "(hidden)"
		}
	}
	return ps
}

func (a *App) validate(_ context.Context, cmd *cli.Command) error {
	s, err := readSettingsFile(cmd.Args().First())
	if err != nil {
		return a.reportProblems(err)
	}
	if err := conf.Problems(conf.Validate(s)).Err(); err != nil {
		return a.reportProblems(err)
	}
	return a.emit([]conf.Problem{}, func(w *strings.Builder) { fmt.Fprintln(w, "valid") })
}

// reportProblems returns err. If --output is json, it also writes the problems in
// err to the output.
func (a *App) reportProblems(err error) error {
	var ps conf.Problems
	if errors.As(err, &ps) && a.json {
		return errors.Join(err, a.emit(ps, nil))
	}
	return err
}

func (a *App) diff(ctx context.Context, cmd *cli.Command) error {
	s, err := readSettingsFile(cmd.Args().First())
	if err != nil {
		return err
	}
	st, err := a.loadStore(ctx)
	if err != nil {
		return err
	}
	a.fillMarkTimes(st.snap, s)
	changes := conf.Diff(st.snap, s)
	return a.emit(changes, func(w *strings.Builder) {
		for _, c := range changes {
			fmt.Fprintln(w, c)
		}
		fmt.Fprintf(w, "%d differences\n", len(changes))
	})
}

func (a *App) watch(ctx context.Context, cmd *cli.Command) error {
	rev, err := revs.Parse(cmd.Args().First())
	if err != nil {
		return usagef("REV is %q, must be a revision number such as 42 or 2.42: %w", cmd.Args().First(), err)
	}
	a.readHighestRev(ctx)
	if err := a.checkStoreRev(ctx); err != nil {
		return err
	}
	return a.waitInForce(ctx, cmd, uint64(rev))
}

func (a *App) status(ctx context.Context, _ *cli.Command) error {
	all, err := a.instances.Status(ctx)
	if err != nil {
		return fmt.Errorf("status of instances: %w", err)
	}
	a.readHighestRev(ctx)
	storeErr := a.checkStoreRev(ctx)
	err = a.emit(all, func(w *strings.Builder) {
		writeTable(w, func(w *strings.Builder) {
			fmt.Fprintln(w, "INSTANCE\tDOMAIN\tREV\tFRESH\tSKEW\tFLOWS\tSERVERS\tREFUSALS\tDROPS\tRETRIES\tCLOSES")
			for _, s := range all {
				stages := map[string]int{}
				for _, stage := range s.Servers {
					stages[stage]++
				}
				skew := "-"
				if s.SkewMillis != nil {
					skew = formatMillis(*s.SkewMillis)
				}
				fmt.Fprintf(w, "%s\t%s\t%v\t%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\n", s.Entry, s.Domain, revs.Rev(s.Rev), formatMillis(s.FreshMillis), skew,
					s.Flows, formatCounts(stages), formatCounts(s.Refused), formatCounts(s.Dropped), formatCounts(s.Retried), formatCounts(s.Closed))
			}
		})
	})
	return errors.Join(storeErr, err)
}

// formatMillis formats n milliseconds as a duration.
func formatMillis(n int64) string { return (time.Duration(n) * time.Millisecond).String() }

// formatCounts formats m as NAME=N,... in the order of names, or as "-" if empty.
func formatCounts[T int | uint64](m map[string]T) string {
	out := ""
	for i, n := range sortedKeys(m) {
		if i > 0 {
			out += ","
		}
		out += fmt.Sprintf("%s=%d", n, m[n])
	}
	if out == "" {
		return "-"
	}
	return out
}
