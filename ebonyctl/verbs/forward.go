package verbs

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"ebonypaddle/ebonyctl/client"
	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/revs"
	"ebonypaddle/pkg/store"
)

// storeForward repairs a store that lost changes by writing the settings of the
// instances to it. The store cannot distinguish an edit made after the restore
// from an old value, so every difference is shown with both values, and nothing is
// written without --write.
func (a *App) storeForward(ctx context.Context, cmd *cli.Command) error {
	a.readHighestRev(ctx)
	settings, err := a.instances.Settings(ctx)
	if err != nil {
		return fmt.Errorf("settings of the instances: %w", err)
	}
	if settings.Rev < a.highestRev {
		return fmt.Errorf("the instances that responded have revision %v, but another instance has %v; pass the address of that instance with --instance", revs.Rev(settings.Rev), revs.Rev(a.highestRev))
	}
	st, err := a.loadStore(ctx)
	if err != nil {
		return err
	}
	diffs := conf.Diff(st.snap, settings)
	a.warn("store at revision %v, instances at %v; %d differences, store -> instances:\n", revs.Rev(st.snap.Rev), revs.Rev(settings.Rev), len(diffs))
	a.printChanges(diffs)
	keep := cmd.StringSlice("keep")
	switch unknown := firstWithoutDifference(diffs, keep); {
	case unknown != "":
		return usagef("--keep %s does not name an object that differs", unknown)
	case len(diffs) == 0 && st.snap.Rev >= settings.Rev:
		return a.emit(diffs, func(w *strings.Builder) { fmt.Fprintln(w, "nothing to write") })
	case !cmd.Bool("write"):
		return &StoreBehindError{Rev: st.snap.Rev, HighestRev: settings.Rev}
	}
	rev, err := a.writeInstanceSettings(ctx, st, settings, keep)
	if err != nil {
		return err
	}
	if era := revs.Rev(rev).Era(); era != revs.Rev(settings.Rev).Era() {
		if rev, err = a.confirmEra(ctx, era); err != nil {
			return err
		}
	}
	return a.waitInForce(ctx, cmd, rev)
}

// confirmEra writes that the store has the settings that are to be in force in its
// era, and returns the revision of that. Instances then take them over.
func (a *App) confirmEra(ctx context.Context, era uint64) (uint64, error) {
	value, err := json.Marshal(store.Confirmation{Era: era})
	if err != nil {
		return 0, err
	}
	ed := client.Edit{Kind: store.KindEra, Name: store.EraConfirmation, Value: value}
	switch o, err := a.objects.Get(ctx, ed.Kind, ed.Name); {
	case err == nil:
		ed.Rev, ed.Base = o.Rev, o.Value
	case !errors.Is(err, client.ErrNotFound):
		return 0, fmt.Errorf("confirmation of the store's era: %w", err)
	}
	e := &client.Editor{Objects: a.objects, Rand: a.Rand}
	return e.Apply(ctx, &ed)
}

// firstWithoutDifference returns the first KIND/NAME of keep that is not in diffs,
// or "" if all are.
func firstWithoutDifference(diffs []conf.Change, keep []string) string {
	for _, k := range keep {
		if !slices.ContainsFunc(diffs, func(c conf.Change) bool { return string(c.Kind)+"/"+c.Name == k }) {
			return k
		}
	}
	return ""
}

// writeInstanceSettings writes the settings of the instances to the store, except
// for the objects named by keep, and raises the revision of the store above that
// of the instances. It then rewrites the kept objects, because instances ignored
// them at their lower revisions. It returns the last revision written.
func (a *App) writeInstanceSettings(ctx context.Context, st *storeState, settings *conf.Snapshot, keep []string) (uint64, error) {
	target := settings
	var kept []conf.Object
	for _, k := range keep {
		kind, name, _ := strings.Cut(k, "/")
		o, ok := st.objs[conf.Kind(kind)][name]
		if !ok {
			o = conf.Object{Kind: conf.Kind(kind), Name: name, Deleted: true}
		}
		kept = append(kept, o)
		var ps conf.Problems
		if target, ps = target.With(o); len(ps) > 0 {
			return 0, ps
		}
	}
	// The rules for changes, such as the lead time of a key, were checked before
	// the instances got these settings, so only the result is validated.
	if err := conf.Problems(conf.Validate(target)).Err(); err != nil {
		return 0, err
	}
	nodes := sortedKeys(target.Nodes)
	if len(nodes) == 0 {
		return 0, fmt.Errorf("the settings of the instances have no node: %w", client.ErrNotFound)
	}
	leafNode := nodes[len(nodes)-1] // The last in order has no child nodes.
	edits, _, err := st.planEdits(target, func(conf.Kind) bool { return true })
	if err != nil {
		return 0, err
	}
	e := &client.Editor{Objects: a.objects, Rand: a.Rand}
	rev := st.snap.Rev
	for i := range edits {
		if rev, err = e.Apply(ctx, &edits[i]); err != nil {
			return 0, fmt.Errorf("%d of %d objects were written: %w", i, len(edits), err)
		}
	}
	return a.raiseRevision(ctx, e, rev, settings, leafNode, kept)
}

// raiseRevision raises the store's revision from rev above that of settings by
// rewriting leafNode unchanged. It then rewrites the kept objects at the new
// revision and returns the last revision written.
func (a *App) raiseRevision(ctx context.Context, e *client.Editor, rev uint64, settings *conf.Snapshot, leafNode string, kept []conf.Object) (uint64, error) {
	for rev <= settings.Rev {
		n, err := a.objects.Get(ctx, conf.KindNode, leafNode)
		if err != nil {
			return 0, fmt.Errorf("node %q, which is rewritten to raise the revision: %w", leafNode, err)
		}
		if rev, err = e.Apply(ctx, &client.Edit{Kind: n.Kind, Name: n.Name, Rev: n.Rev, Base: n.Value, Value: n.Value}); err != nil {
			return 0, err
		}
	}
	for _, o := range kept {
		ed := client.Edit{Kind: o.Kind, Name: o.Name, Rev: o.Rev, Base: o.Value, Value: o.Value}
		if o.Deleted {
			// Instances learn of a deletion only from an event, and only an
			// existing object can be deleted. So write it first.
			value, err := objectValue(settings, o)
			if err != nil {
				return 0, err
			}
			ed.Value = value
		} else if current, err := a.objects.Get(ctx, o.Kind, o.Name); err == nil {
			ed.Rev, ed.Base, ed.Value = current.Rev, current.Value, current.Value
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

// objectValue returns the encoded value of the object in the snapshot with the
// kind and name of obj.
func objectValue(s *conf.Snapshot, obj conf.Object) ([]byte, error) {
	all, err := s.Objects()
	for _, x := range all {
		if x.Kind == obj.Kind && x.Name == obj.Name {
			return x.Value, err
		}
	}
	return nil, errors.Join(err, client.ErrNotFound)
}
