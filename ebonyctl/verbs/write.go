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
	st, err := a.loadStore(ctx)
	if err != nil {
		return err
	}
	n, ok := st.snap.Nodes[path]
	if !ok {
		// The store's revision only increases, so a recreated node has a
		// higher generation than the deleted one.
		n = conf.Node{Path: path, Generation: st.snap.Rev + 1}
	}
	oldAddr := n.Values.Address
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
	n.Release(oldAddr, a.Now().UTC())
	o, err := conf.Encode(conf.KindNode, path, n)
	if err != nil {
		return err
	}
	return a.commitObject(ctx, cmd, st, o)
}

func (a *App) nodeDelete(ctx context.Context, cmd *cli.Command) error {
	path := cmd.Args().First()
	st, err := a.loadStore(ctx)
	if err != nil {
		return err
	}
	if _, ok := st.snap.Nodes[path]; !ok {
		return fmt.Errorf("node %q: %w", path, client.ErrNotFound)
	}
	return a.commitObject(ctx, cmd, st, conf.Object{Kind: conf.KindNode, Name: path, Deleted: true})
}

func (a *App) domainMark(mark conf.Mark) func(context.Context, *cli.Command) error {
	return markAction(a, conf.KindDomain, func(s *conf.Snapshot) map[string]conf.Domain { return s.Domains },
		func(d *conf.Domain) (*conf.Mark, *time.Time) { return &d.Mark, &d.Since }, mark)
}

func (a *App) serverMark(mark conf.Mark) func(context.Context, *cli.Command) error {
	return markAction(a, conf.KindServer, func(s *conf.Snapshot) map[string]conf.Server { return s.Servers },
		func(v *conf.Server) (*conf.Mark, *time.Time) { return &v.Mark, &v.Since }, mark)
}

// markAction returns the action of a command that sets the mark of a record. If
// the record already has the mark, the time of the mark does not change.
func markAction[T conf.Domain | conf.Server](a *App, kind conf.Kind, records func(*conf.Snapshot) map[string]T,
	fields func(*T) (*conf.Mark, *time.Time), mark conf.Mark,
) func(context.Context, *cli.Command) error {
	return func(ctx context.Context, cmd *cli.Command) error {
		name := cmd.Args().First()
		st, err := a.loadStore(ctx)
		if err != nil {
			return err
		}
		rec, ok := records(st.snap)[name]
		if !ok {
			return fmt.Errorf("%s %q: %w", kind, name, client.ErrNotFound)
		}
		if currentMark, since := fields(&rec); *currentMark != mark {
			*currentMark, *since = mark, a.Now().UTC()
		}
		o, err := conf.Encode(kind, name, rec)
		if err != nil {
			return err
		}
		return a.commitObject(ctx, cmd, st, o)
	}
}

// serverMove moves a removed server to another service. Validation rejects it
// until the quarantine of the server's address is over.
func (a *App) serverMove(ctx context.Context, cmd *cli.Command) error {
	name := cmd.Args().First()
	st, err := a.loadStore(ctx)
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
	return a.commitObject(ctx, cmd, st, o)
}

// apply validates the whole file first, then writes one object at a time. The
// settings in the store are valid after every write.
func (a *App) apply(ctx context.Context, cmd *cli.Command) error {
	next, err := readSettingsFile(cmd.Args().First())
	if err != nil {
		return err
	}
	st, err := a.loadStore(ctx)
	if err != nil {
		return err
	}
	a.fillMarkTimes(st.snap, next)
	edits, err := a.planAndCheckEdits(st, next, pruneFilter(cmd))
	if err != nil {
		return err
	}
	a.readHighestRev(ctx)
	if len(edits) == 0 {
		if err := a.checkStoreRev(ctx); err != nil {
			return err
		}
	}
	rev := st.settingsRev()
	for i, ed := range edits {
		if rev, err = a.applyEdit(ctx, ed); err != nil {
			if behind := (*StoreBehindError)(nil); errors.As(err, &behind) {
				i++ // The failed edit is in the store as well.
			}
			return errors.Join(fmt.Errorf("%d of %d objects were written", i, len(edits)), err)
		}
	}
	return a.waitInForce(ctx, cmd, rev)
}

// pruneFilter returns a function that reports whether apply deletes objects of a
// kind that are not in the file. Keys have a separate flag: the output of tree show
// contains no secrets, and tokens cannot be opened once their key is deleted.
func pruneFilter(cmd *cli.Command) func(conf.Kind) bool {
	return func(k conf.Kind) bool {
		if k == conf.KindKey {
			return cmd.Bool("prune-keys")
		}
		return cmd.Bool("prune")
	}
}

// planAndCheckEdits returns the edits that turn the store into next, and validates
// the result.
func (a *App) planAndCheckEdits(st *storeState, next *conf.Snapshot, prune func(conf.Kind) bool) ([]client.Edit, error) {
	out, result, err := st.planEdits(next, prune)
	if err != nil {
		return nil, err
	}
	return out, a.checkChange(st, result)
}

// planEdits returns the edits that turn the store into next, in an order in which
// the settings are valid after every edit, and the settings after the last edit.
// Objects that are not in next are deleted if prune is true for their kind.
func (st *storeState) planEdits(next *conf.Snapshot, prune func(conf.Kind) bool) ([]client.Edit, *conf.Snapshot, error) {
	differs := map[[2]string]bool{}
	for _, c := range conf.Diff(st.snap, next) {
		differs[[2]string{string(c.Kind), c.Name}] = true
	}
	puts, err := next.Objects()
	if err != nil {
		return nil, nil, err
	}
	current, err := st.snap.Objects()
	if err != nil {
		return nil, nil, err
	}
	slices.Reverse(current) // Objects that refer to others are deleted first.
	inNext := map[[2]string]bool{}
	var out []client.Edit
	result := st.snap
	add := func(o conf.Object) error {
		var ps conf.Problems
		if result, ps = result.With(o); len(ps) > 0 {
			return ps
		}
		out = append(out, st.newEdit(o))
		return nil
	}
	for _, o := range puts {
		key := [2]string{string(o.Kind), o.Name}
		inNext[key] = true
		if differs[key] {
			err = errors.Join(err, add(o))
		}
	}
	for _, o := range current {
		if prune(o.Kind) && !inNext[[2]string{string(o.Kind), o.Name}] {
			err = errors.Join(err, add(conf.Object{Kind: o.Kind, Name: o.Name, Deleted: true}))
		}
	}
	return out, result, err
}
