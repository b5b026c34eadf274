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
)

const watchPause = 250 * time.Millisecond

// state is what the store held when it was read.
type state struct {
	snap *conf.Snapshot
	objs map[conf.Kind]map[string]conf.Object
}

func (a *App) load(ctx context.Context) (*state, error) {
	st := &state{objs: map[conf.Kind]map[string]conf.Object{}}
	var all []conf.Object
	var high uint64
	for _, k := range conf.Kinds() {
		rev, objs, err := a.objects.List(ctx, k)
		if err != nil {
			return nil, fmt.Errorf("list %s: %w", k, err)
		}
		st.objs[k] = map[string]conf.Object{}
		for _, o := range objs {
			st.objs[k][o.Name] = o
		}
		all, high = append(all, objs...), max(high, rev)
	}
	var ps conf.Problems
	st.snap, ps = conf.Build(high, all)
	return st, hideSecrets(ps).Err()
}

// settings returns the revision of the newest settings object. The store's own
// revision also counts the instance list, which instances do not follow.
func (st *state) settings() uint64 {
	high := uint64(0)
	for _, objs := range st.objs {
		for _, o := range objs {
			high = max(high, o.Rev)
		}
	}
	return high
}

// edit makes an edit of the object on top of the state.
func (st *state) edit(o conf.Object) client.Edit {
	was := st.objs[o.Kind][o.Name]
	return client.Edit{Kind: o.Kind, Name: o.Name, Rev: was.Rev, Base: was.Value, Value: o.Value}
}

// check validates next. Problems that the store already has do not block a
// change that leaves them as they are.
func (a *App) check(st *state, next *conf.Snapshot) error {
	was := conf.Validate(st.snap)
	var ps conf.Problems
	for _, p := range conf.ValidateChange(st.snap, next, a.Now()) {
		if !slices.Contains(was, p) {
			ps = append(ps, p)
		}
	}
	return ps.Err()
}

// commit validates and writes one object and follows the change.
func (a *App) commit(ctx context.Context, cmd *cli.Command, st *state, o conf.Object) error {
	next, ps := st.snap.With(o)
	if len(ps) > 0 {
		return ps
	}
	if err := a.check(st, next); err != nil {
		return err
	}
	ed := st.edit(o)
	a.readHighest(ctx)
	if cmd.IsSet("rev") {
		if ed.Rev = cmd.Uint64("rev"); ed.Rev != st.objs[o.Kind][o.Name].Rev {
			ed.Base = nil // What the operator saw is not in the store any more.
		}
	}
	rev, err := a.write(ctx, ed)
	if err != nil {
		return err
	}
	return a.follow(ctx, cmd, rev)
}

// write writes the edit and hands it to the instances that are reachable.
func (a *App) write(ctx context.Context, ed client.Edit) (uint64, error) {
	e := client.Editor{Objects: a.objects, Rand: a.Rand}
	rev, err := e.Apply(ctx, &ed)
	if err != nil {
		return 0, err
	}
	if rev <= a.highest {
		return 0, &StoreLost{Rev: rev, Highest: a.highest, Accepted: true}
	}
	if !onlyMarks(&ed) {
		return rev, nil
	}
	n, err := a.instances.Notify(ctx, conf.Object{Kind: ed.Kind, Name: ed.Name, Rev: rev, Value: ed.Value})
	if err != nil || n == 0 {
		a.warn("revision %d is accepted, but the client handed it to no instance (%v); "+
			"it is in force once an instance reads the object API\n", rev, err)
	}
	return rev, nil
}

// onlyMarks reports whether an edit changes nothing but the mark of a domain or
// server. Only such an edit may be handed to instances ahead of its revision:
// an instance sets the mark on the record that it has, and a server that comes
// back for another service must not get packets of the one before.
func onlyMarks(ed *client.Edit) bool {
	if ed.Base == nil || ed.Value == nil || ed.Kind != conf.KindDomain && ed.Kind != conf.KindServer {
		return false
	}
	for _, c := range changes(ed.Kind, ed.Name, ed.Base, ed.Value) {
		if c.Field != "mark" && c.Field != "since" && c.Field != "edit" {
			return false
		}
	}
	return true
}

// follow waits until the revision is in force everywhere.
func (a *App) follow(ctx context.Context, cmd *cli.Command, rev uint64) error {
	type result struct {
		Rev uint64 `json:"rev"`
		client.Progress
	}
	done := result{Rev: rev}
	if cmd.Bool("no-wait") {
		return a.emit(done, func(w *strings.Builder) { fmt.Fprintf(w, "accepted at revision %d\n", rev) })
	}
	end := a.Now().Add(cmd.Duration("timeout"))
	for {
		p, err := a.instances.Watch(ctx, rev)
		if err == nil && p.Done {
			done.Progress = p
			return a.emit(done, func(w *strings.Builder) {
				fmt.Fprintf(w, "revision %d is in force on %d instances\n", rev, p.Reached)
			})
		}
		if !a.Now().Before(end) {
			if err != nil {
				return &NotInForce{Rev: rev, Err: err}
			}
			return &NotInForce{Rev: rev, Progress: p}
		}
		if err := a.Pause(ctx, watchPause); err != nil {
			return err
		}
	}
}
