package verbs

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"ebonypaddle/pkg/conf"
)

func sorted[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }

// table aligns the tab-separated columns that fill writes.
func table(w *strings.Builder, fill func(*strings.Builder)) {
	const gap = 2 // spaces between columns
	var b strings.Builder
	fill(&b)
	t := tabwriter.NewWriter(w, 0, 0, gap, ' ', 0)
	// A strings.Builder takes every write.
	_, _ = t.Write([]byte(b.String()))
	_ = t.Flush()
}

func (a *App) treeShow(ctx context.Context, _ *cli.Command) error {
	st, err := a.load(ctx)
	if err != nil {
		return err
	}
	shown := *st.snap
	shown.Rev = st.settings()
	shown.Keys = map[string]conf.Key{}
	for name, k := range st.snap.Keys {
		k.Secret = nil
		shown.Keys[name] = k
	}
	return a.emit(shown, func(w *strings.Builder) {
		fmt.Fprintf(w, "revision %d\n", shown.Rev)
		table(w, func(w *strings.Builder) {
			for _, n := range sorted(shown.Nodes) {
				fmt.Fprintf(w, "node\t%s\trev %d\n", n, st.objs[conf.KindNode][n].Rev)
			}
			for _, n := range sorted(shown.Domains) {
				fmt.Fprintf(w, "domain\t%s\t%s\t%s\n", n, shown.Domains[n].Half, shown.Domains[n].Mark)
			}
			for _, n := range sorted(shown.Servers) {
				v := shown.Servers[n]
				fmt.Fprintf(w, "server\t%s\t%s\t%s\t%s\t%s\n", n, v.Service, v.Domain, v.Addr, v.Mark)
			}
		})
	})
}

func (a *App) valueGet(ctx context.Context, cmd *cli.Command) error {
	st, err := a.load(ctx)
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
		table(w, func(w *strings.Builder) {
			for _, v := range out {
				fmt.Fprintf(w, "%s\t%s\tfrom %s\n", v.Field, v.Value, v.Source)
			}
		})
	})
}

func readFile(name string) (*conf.Snapshot, error) {
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	s, ps := conf.DecodeSnapshot(raw)
	return s, hideSecrets(ps).Err()
}

// hideSecrets removes the texts that may hold a key's secret from problems of
// decoding. A secret in a wrong form is often most of a secret.
func hideSecrets(ps conf.Problems) conf.Problems {
	for i := range ps {
		p := &ps[i]
		if p.Kind == conf.KindSnapshot || p.Kind == conf.KindKey && p.Field != "id" && p.Field != "sealFrom" {
			p.Value = "(hidden)"
		}
	}
	return ps
}

func (a *App) validate(_ context.Context, cmd *cli.Command) error {
	s, err := readFile(cmd.Args().First())
	if err != nil {
		return a.report(err)
	}
	if err := conf.Problems(conf.Validate(s)).Err(); err != nil {
		return a.report(err)
	}
	return a.emit([]conf.Problem{}, func(w *strings.Builder) { fmt.Fprintln(w, "valid") })
}

// report also writes problems as JSON if that is asked for.
func (a *App) report(err error) error {
	var ps conf.Problems
	if errors.As(err, &ps) && a.json {
		return errors.Join(err, a.emit(ps, nil))
	}
	return err
}

func (a *App) diff(ctx context.Context, cmd *cli.Command) error {
	s, err := readFile(cmd.Args().First())
	if err != nil {
		return err
	}
	st, err := a.load(ctx)
	if err != nil {
		return err
	}
	a.stampMarks(st.snap, s)
	changes := conf.Diff(st.snap, s)
	return a.emit(changes, func(w *strings.Builder) {
		for _, c := range changes {
			fmt.Fprintln(w, c)
		}
		fmt.Fprintf(w, "%d differences\n", len(changes))
	})
}

func (a *App) watch(ctx context.Context, cmd *cli.Command) error {
	rev, err := strconv.ParseUint(cmd.Args().First(), 10, 64)
	if err != nil {
		return usagef("REV is %q, must be a revision number", cmd.Args().First())
	}
	a.readHighest(ctx)
	if err := a.checkStore(ctx); err != nil {
		return err
	}
	return a.follow(ctx, cmd, rev)
}

func (a *App) status(ctx context.Context, _ *cli.Command) error {
	all, err := a.instances.Status(ctx)
	if err != nil {
		return fmt.Errorf("status of instances: %w", err)
	}
	a.readHighest(ctx)
	lost := a.checkStore(ctx)
	err = a.emit(all, func(w *strings.Builder) {
		table(w, func(w *strings.Builder) {
			fmt.Fprintln(w, "INSTANCE\tDOMAIN\tREV\tFRESH\tSKEW\tFLOWS\tSERVERS\tREFUSALS\tDROPS\tRETRIES\tCLOSES")
			for _, s := range all {
				stages := map[string]int{}
				for _, stage := range s.Servers {
					stages[stage]++
				}
				skew := "-"
				if s.SkewMillis != nil {
					skew = millis(*s.SkewMillis)
				}
				fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\n", s.Entry, s.Domain, s.Rev, millis(s.FreshMillis), skew,
					s.Flows, counts(stages), counts(s.Refused), counts(s.Dropped), counts(s.Retried), counts(s.Closed))
			}
		})
	})
	return errors.Join(lost, err)
}

func millis(n int64) string { return (time.Duration(n) * time.Millisecond).String() }

func counts[T int | uint64](m map[string]T) string {
	out := ""
	for i, n := range sorted(m) {
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
