package verbs

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"ebonypaddle/ebonyctl/client"
	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/revs"
)

// pollInterval is the time between two reads of the revision of instances or of
// the store.
const pollInterval = 250 * time.Millisecond

// storeState is the content of the store when it was read.
type storeState struct {
	snap *conf.Snapshot
	objs map[conf.Kind]map[string]conf.Object
}

// loadStore reads all settings objects from the store.
func (a *App) loadStore(ctx context.Context) (*storeState, error) {
	st := &storeState{objs: map[conf.Kind]map[string]conf.Object{}}
	var all []conf.Object
	var highest uint64
	for _, k := range conf.Kinds() {
		rev, objs, err := a.objects.List(ctx, k)
		if err != nil {
			return nil, fmt.Errorf("list %s: %w", k, err)
		}
		st.objs[k] = map[string]conf.Object{}
		for _, o := range objs {
			st.objs[k][o.Name] = o
		}
		all, highest = append(all, objs...), max(highest, rev)
	}
	var ps conf.Problems
	st.snap, ps = conf.Build(highest, all)
	return st, redactSecrets(ps).Err()
}

// settingsRev returns the revision of the newest settings object. The store's own
// revision may be higher because changes of the instance list raise it as well.
// Instances never report those revisions as in force.
func (st *storeState) settingsRev() uint64 {
	highest := uint64(0)
	for _, objs := range st.objs {
		for _, o := range objs {
			highest = max(highest, o.Rev)
		}
	}
	return highest
}

// newEdit returns an edit that replaces the stored object with o.
func (st *storeState) newEdit(o conf.Object) client.Edit {
	old := st.objs[o.Kind][o.Name]
	return client.Edit{Kind: o.Kind, Name: o.Name, Rev: old.Rev, Base: old.Value, Value: o.Value}
}

// checkChange validates the change to next. Problems that the store already has
// do not block a change that leaves them as they are.
func (a *App) checkChange(st *storeState, next *conf.Snapshot) error {
	existing := conf.Validate(st.snap)
	var ps conf.Problems
	for _, p := range conf.ValidateChange(st.snap, next, a.Now()) {
		if !slices.Contains(existing, p) {
			ps = append(ps, p)
		}
	}
	return ps.Err()
}

// commitObject validates and writes one object, then waits until it is in force.
func (a *App) commitObject(ctx context.Context, cmd *cli.Command, st *storeState, o conf.Object) error {
	next, ps := st.snap.With(o)
	if len(ps) > 0 {
		return ps
	}
	if err := a.checkChange(st, next); err != nil {
		return err
	}
	ed := st.newEdit(o)
	a.readHighestRev(ctx)
	if cmd.IsSet("rev") {
		given, err := revs.Parse(cmd.String("rev"))
		if err != nil {
			return usagef("--rev is %q, must be a revision number such as 42 or 2.42: %w", cmd.String("rev"), err)
		}
		if ed.Rev = uint64(given); ed.Rev != st.objs[o.Kind][o.Name].Rev {
			ed.Base = nil // The store no longer has the value that the operator saw.
		}
	}
	rev, err := a.applyEdit(ctx, ed)
	if err != nil {
		return err
	}
	return a.waitInForce(ctx, cmd, rev)
}

// applyEdit writes the edit. If it changes only a mark, it also sends the edit
// directly to the instances that are reachable.
func (a *App) applyEdit(ctx context.Context, ed client.Edit) (uint64, error) {
	e := client.Editor{Objects: a.objects, Rand: a.Rand}
	rev, err := e.Apply(ctx, &ed)
	if err != nil {
		return 0, err
	}
	if rev <= a.highestRev || a.inOtherEra(rev) {
		return 0, &StoreBehindError{Rev: rev, HighestRev: a.highestRev, Accepted: true}
	}
	if !changesOnlyMark(&ed) {
		return rev, nil
	}
	n, err := a.instances.Notify(ctx, conf.Object{Kind: ed.Kind, Name: ed.Name, Rev: rev, Value: ed.Value})
	if err != nil || n == 0 {
		a.warn("revision %v is accepted, but could not be sent directly to any instance (%v); "+
			"it takes effect once an instance reads the object API\n", revs.Rev(rev), err)
	}
	return rev, nil
}

// changesOnlyMark reports whether an edit changes nothing but the mark of a domain
// or server. Only such an edit may be sent to instances directly, because an
// instance sets the mark on the record that it already has: a server that returns
// for another service would get packets of its previous service.
func changesOnlyMark(ed *client.Edit) bool {
	if ed.Base == nil || ed.Value == nil || ed.Kind != conf.KindDomain && ed.Kind != conf.KindServer {
		return false
	}
	for _, c := range diffValues(ed.Kind, ed.Name, ed.Base, ed.Value) {
		if c.Field != "mark" && c.Field != "since" && c.Field != "edit" {
			return false
		}
	}
	return true
}

// waitInForce waits until the revision is in force on every instance or the
// timeout ends. With --no-wait it returns at once.
// Errors: *NotInForceError.
func (a *App) waitInForce(ctx context.Context, cmd *cli.Command, rev uint64) error {
	type result struct {
		Rev uint64 `json:"rev"`
		client.Progress
	}
	out := result{Rev: rev}
	if cmd.Bool("no-wait") {
		return a.emit(out, func(w *strings.Builder) { fmt.Fprintf(w, "accepted at revision %v\n", revs.Rev(rev)) })
	}
	deadline := a.Now().Add(cmd.Duration("timeout"))
	for {
		p, err := a.instances.Watch(ctx, rev)
		if err == nil && p.Done {
			out.Progress = p
			return a.emit(out, func(w *strings.Builder) {
				fmt.Fprintf(w, "revision %v is in force on %d instances\n", revs.Rev(rev), p.Reached)
			})
		}
		if !a.Now().Before(deadline) {
			if err != nil {
				return &NotInForceError{Rev: rev, Err: err}
			}
			return &NotInForceError{Rev: rev, Progress: p}
		}
		if err := a.Sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}
