package verbs

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"ebonypaddle/ebonyctl/client"
	"ebonypaddle/pkg/conf"
)

// storeForward repairs a store that lost changes. The store does not tell an
// edit made after the restore from an old value, so everything that differs is
// shown from both sides and written only with --write.
func (a *App) storeForward(ctx context.Context, cmd *cli.Command) error {
	a.readHighest(ctx)
	held, err := a.instances.Settings(ctx)
	if err != nil {
		return fmt.Errorf("settings of the instances: %w", err)
	}
	if held.Rev < a.highest {
		return fmt.Errorf("the instances that answered hold revision %d, but another holds %d; name that one with --instance", held.Rev, a.highest)
	}
	st, err := a.load(ctx)
	if err != nil {
		return err
	}
	diffs := conf.Diff(st.snap, held)
	a.warn("store at revision %d, instances at %d; %d differences, store -> instances:\n", st.snap.Rev, held.Rev, len(diffs))
	a.list(diffs)
	keep := cmd.StringSlice("keep")
	switch unknown := unlisted(diffs, keep); {
	case unknown != "":
		return usagef("--keep %s names no object that differs", unknown)
	case len(diffs) == 0 && st.snap.Rev >= held.Rev:
		return a.emit(diffs, func(w *strings.Builder) { fmt.Fprintln(w, "nothing to write") })
	case !cmd.Bool("write"):
		return &StoreLost{Rev: st.snap.Rev, Highest: held.Rev}
	}
	rev, err := a.bringForward(ctx, st, held, keep)
	if err != nil {
		return err
	}
	return a.follow(ctx, cmd, rev)
}

// unlisted returns the first of keep that does not differ.
func unlisted(diffs []conf.Change, keep []string) string {
	for _, k := range keep {
		if !slices.ContainsFunc(diffs, func(c conf.Change) bool { return string(c.Kind)+"/"+c.Name == k }) {
			return k
		}
	}
	return ""
}

// bringForward writes the differences, raises the revision above the one that
// the instances hold, and then rewrites the kept objects, since instances
// ignored them at their lower revisions.
func (a *App) bringForward(ctx context.Context, st *state, held *conf.Snapshot, keep []string) (uint64, error) {
	goal := held
	var kept []conf.Object
	for _, k := range keep {
		kind, name, _ := strings.Cut(k, "/")
		o, ok := st.objs[conf.Kind(kind)][name]
		if !ok {
			o = conf.Object{Kind: conf.Kind(kind), Name: name, Deleted: true}
		}
		kept = append(kept, o)
		var ps conf.Problems
		if goal, ps = goal.With(o); len(ps) > 0 {
			return 0, ps
		}
	}
	// The rules of a change, such as the lead time of a key, were kept when
	// the instances took these settings.
	if err := conf.Problems(conf.Validate(goal)).Err(); err != nil {
		return 0, err
	}
	nodes := sorted(goal.Nodes)
	if len(nodes) == 0 {
		return 0, fmt.Errorf("the instances hold no node: %w", client.ErrNotFound)
	}
	leaf := nodes[len(nodes)-1] // The last in order has no child that inherits.
	edits, _, err := st.edits(goal, func(conf.Kind) bool { return true })
	if err != nil {
		return 0, err
	}
	e := &client.Editor{Objects: a.objects, Rand: a.Rand}
	rev := st.snap.Rev
	for i := range edits {
		if rev, err = e.Apply(ctx, &edits[i]); err != nil {
			return 0, fmt.Errorf("%d of %d objects are written: %w", i, len(edits), err)
		}
	}
	return a.putInForce(ctx, e, rev, held, leaf, kept)
}

// putInForce raises the store's revision from rev above the one held, by
// writing one node again as it is, and rewrites the kept objects there.
func (a *App) putInForce(ctx context.Context, e *client.Editor, rev uint64, held *conf.Snapshot, leaf string, kept []conf.Object) (uint64, error) {
	for rev <= held.Rev {
		n, err := a.objects.Get(ctx, conf.KindNode, leaf)
		if err != nil {
			return 0, fmt.Errorf("node %q, which is written again to raise the revision: %w", leaf, err)
		}
		if rev, err = e.Apply(ctx, &client.Edit{Kind: n.Kind, Name: n.Name, Rev: n.Rev, Base: n.Value, Value: n.Value}); err != nil {
			return 0, err
		}
	}
	for _, o := range kept {
		ed := client.Edit{Kind: o.Kind, Name: o.Name, Rev: o.Rev, Base: o.Value, Value: o.Value}
		if o.Deleted {
			// Only an event tells instances of a deletion, and only an
			// object that exists can be deleted.
			was, err := encoded(held, o)
			if err != nil {
				return 0, err
			}
			ed.Value = was
		} else if now, err := a.objects.Get(ctx, o.Kind, o.Name); err == nil {
			ed.Rev, ed.Base, ed.Value = now.Rev, now.Value, now.Value
		}
		var err error
		if rev, err = e.Apply(ctx, &ed); err == nil && o.Deleted {
			rev, err = e.Apply(ctx, &client.Edit{Kind: o.Kind, Name: o.Name, Rev: rev, Base: ed.Value})
		}
		if err != nil {
			return 0, err
		}
	}
	return rev, nil
}

// encoded returns the value of an object of the snapshot.
func encoded(s *conf.Snapshot, o conf.Object) ([]byte, error) {
	all, err := s.Objects()
	for _, x := range all {
		if x.Kind == o.Kind && x.Name == o.Name {
			return x.Value, err
		}
	}
	return nil, errors.Join(err, client.ErrNotFound)
}
