package verbs

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"ebonypaddle/ebonyctl/client"
	"ebonypaddle/pkg/conf"
)

func (a *App) nodeSet(ctx context.Context, cmd *cli.Command) error {
	path := cmd.Args().First()
	st, err := a.load(ctx)
	if err != nil {
		return err
	}
	n, ok := st.snap.Nodes[path]
	if !ok {
		// The store's revision only grows, so a recreated node has a higher
		// generation than the deleted one.
		n = conf.Node{Path: path, Generation: st.snap.Rev + 1}
	}
	before := n.Values.Address
	var ps conf.Problems
	for _, arg := range cmd.Args().Tail() {
		name, text, ok := strings.Cut(arg, "=")
		if !ok {
			return usagef("%q must be FIELD=VALUE", arg)
		}
		ps = append(ps, n.Values.Set(path, name, text)...)
	}
	if len(ps) > 0 {
		return ps
	}
	n.Release(before, a.Now().UTC())
	o, err := conf.Encode(conf.KindNode, path, n)
	if err != nil {
		return err
	}
	return a.commit(ctx, cmd, st, o)
}

func (a *App) nodeDelete(ctx context.Context, cmd *cli.Command) error {
	path := cmd.Args().First()
	st, err := a.load(ctx)
	if err != nil {
		return err
	}
	if _, ok := st.snap.Nodes[path]; !ok {
		return fmt.Errorf("node %q: %w", path, client.ErrNotFound)
	}
	return a.commit(ctx, cmd, st, conf.Object{Kind: conf.KindNode, Name: path, Deleted: true})
}

func (a *App) domainMark(mark conf.Mark) func(context.Context, *cli.Command) error {
	return marked(a, conf.KindDomain, func(s *conf.Snapshot) map[string]conf.Domain { return s.Domains },
		func(d *conf.Domain) (*conf.Mark, *time.Time) { return &d.Mark, &d.Since }, mark)
}

func (a *App) serverMark(mark conf.Mark) func(context.Context, *cli.Command) error {
	return marked(a, conf.KindServer, func(s *conf.Snapshot) map[string]conf.Server { return s.Servers },
		func(v *conf.Server) (*conf.Mark, *time.Time) { return &v.Mark, &v.Since }, mark)
}

// marked returns the action that marks a record. A mark that the record has
// already keeps its time.
func marked[T conf.Domain | conf.Server](a *App, kind conf.Kind, table func(*conf.Snapshot) map[string]T,
	fields func(*T) (*conf.Mark, *time.Time), mark conf.Mark,
) func(context.Context, *cli.Command) error {
	return func(ctx context.Context, cmd *cli.Command) error {
		name := cmd.Args().First()
		st, err := a.load(ctx)
		if err != nil {
			return err
		}
		rec, ok := table(st.snap)[name]
		if !ok {
			return fmt.Errorf("%s %q: %w", kind, name, client.ErrNotFound)
		}
		if was, since := fields(&rec); *was != mark {
			*was, *since = mark, a.Now().UTC()
		}
		o, err := conf.Encode(kind, name, rec)
		if err != nil {
			return err
		}
		return a.commit(ctx, cmd, st, o)
	}
}

// serverMove gives a removed server to another service. Validation refuses it
// until the quarantine of the server's address is over.
func (a *App) serverMove(ctx context.Context, cmd *cli.Command) error {
	name := cmd.Args().First()
	st, err := a.load(ctx)
	if err != nil {
		return err
	}
	v, ok := st.snap.Servers[name]
	if !ok {
		return fmt.Errorf("server %q: %w", name, client.ErrNotFound)
	}
	v.Service, v.Domain = cmd.Args().Get(1), cmd.Args().Get(2)
	v.Generation++
	v.Mark, v.Since = conf.MarkIn, a.Now().UTC()
	o, err := conf.Encode(conf.KindServer, name, v)
	if err != nil {
		return err
	}
	return a.commit(ctx, cmd, st, o)
}

// apply validates the whole file first, then writes one object at a time, so
// that every state between two writes is valid.
func (a *App) apply(ctx context.Context, cmd *cli.Command) error {
	next, err := readFile(cmd.Args().First())
	if err != nil {
		return err
	}
	st, err := a.load(ctx)
	if err != nil {
		return err
	}
	a.stampMarks(st.snap, next)
	edits, err := a.edits(st, next, prunes(cmd))
	if err != nil {
		return err
	}
	a.readHighest(ctx)
	if len(edits) == 0 {
		if err := a.checkStore(ctx); err != nil {
			return err
		}
	}
	rev := st.settings()
	for i, ed := range edits {
		if rev, err = a.write(ctx, ed); err != nil {
			if lost := (*StoreLost)(nil); errors.As(err, &lost) {
				i++ // This one is written as well.
			}
			return errors.Join(fmt.Errorf("%d of %d objects are written", i, len(edits)), err)
		}
	}
	return a.follow(ctx, cmd, rev)
}

// prunes tells the kinds of objects that apply deletes when the file lacks
// them. Keys need a flag of their own: files printed by tree show have no
// keys, and without its key no token opens.
func prunes(cmd *cli.Command) func(conf.Kind) bool {
	return func(k conf.Kind) bool {
		if k == conf.KindKey {
			return cmd.Bool("prune-keys")
		}
		return cmd.Bool("prune")
	}
}

// edits lists what turns the store into next and checks the result.
func (a *App) edits(st *state, next *conf.Snapshot, prune func(conf.Kind) bool) ([]client.Edit, error) {
	out, goal, err := st.edits(next, prune)
	if err != nil {
		return nil, err
	}
	return out, a.check(st, goal)
}

// edits lists what turns the store into next, in an order that is valid after
// every step, and returns the settings after the last. Objects that next lacks
// are kept, but for the kinds that prune names.
func (st *state) edits(next *conf.Snapshot, prune func(conf.Kind) bool) ([]client.Edit, *conf.Snapshot, error) {
	differs := map[[2]string]bool{}
	for _, c := range conf.Diff(st.snap, next) {
		differs[[2]string{string(c.Kind), c.Name}] = true
	}
	puts, err := next.Objects()
	if err != nil {
		return nil, nil, err
	}
	olds, err := st.snap.Objects()
	if err != nil {
		return nil, nil, err
	}
	slices.Reverse(olds) // Objects that refer to others are deleted first.
	listed := map[[2]string]bool{}
	var out []client.Edit
	goal := st.snap
	add := func(o conf.Object) error {
		var ps conf.Problems
		if goal, ps = goal.With(o); len(ps) > 0 {
			return ps
		}
		out = append(out, st.edit(o))
		return nil
	}
	for _, o := range puts {
		key := [2]string{string(o.Kind), o.Name}
		listed[key] = true
		if differs[key] {
			err = errors.Join(err, add(o))
		}
	}
	for _, o := range olds {
		if prune(o.Kind) && !listed[[2]string{string(o.Kind), o.Name}] {
			err = errors.Join(err, add(conf.Object{Kind: o.Kind, Name: o.Name, Deleted: true}))
		}
	}
	return out, goal, err
}
