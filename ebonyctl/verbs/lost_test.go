package verbs

import (
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/conf"
)

// restored returns a store that was restored to its first state after edits
// that the instances hold, 20 revisions beyond it.
func restored(t *testing.T) *bench {
	b := loaded(t)
	backup, rev := map[string]conf.Object{}, b.rev
	for k, o := range b.objs {
		backup[k] = o
	}
	b.run(ExitOK, "domain", "out", "bole")
	b.run(ExitOK, "node", "set", "/utility", "slots=3")
	b.run(ExitOK, "node", "set", "/extra", "slots=4")
	b.run(ExitOK, "node", "delete", "/utility/ledger/bole")
	app := b.app()
	app.objects, _ = app.DialObjects([]string{b.url})
	st, err := app.load(context.Background())
	assert.NilError(t, err)
	b.held = st.snap
	b.held.Rev = rev + 20
	b.objs, b.rev, b.high, b.notified = backup, rev, rev+20, nil
	return b
}

// instances applies what instances see: the objects written above their revision.
func (b *bench) instances() *conf.Snapshot {
	s := b.held
	for _, e := range b.events {
		if e.Rev > b.high {
			s, _ = s.With(e)
		}
	}
	return s
}

// Guards against an edit of a restored store that is called in force although
// instances ignore it.
func TestStoreLost(t *testing.T) {
	for _, args := range []string{"domain out kirkos", "node set /utility slots=4", "watch 3", "status", "apply " + utility, "apply --prune " + utility} {
		t.Run(args, func(t *testing.T) {
			b := restored(t)
			if strings.HasPrefix(args, "apply --prune") {
				b.put(conf.KindNode, "/extra", []byte(`{"path":"/extra","generation":9,"values":{}}`))
			}
			_, errs := b.run(ExitLost, strings.Fields(args)...)
			contains(t, errs, "lost changes")
			if strings.HasPrefix(args, "apply --prune") {
				contains(t, errs, "1 of 1 objects are written")
			}
			assert.Equal(t, len(b.notified), 0)
			b.high = b.rev
			b.run(ExitOK, strings.Fields(args)...)
		})
	}
}

// Guards against a repair that drops an edit made after the restore, or leaves
// the instances with other settings than the store.
func TestStoreForward(t *testing.T) {
	for _, tc := range []struct {
		name, slots, mark string
		args              []string
	}{
		{"instances win", "3", "out", nil},
		{"edit kept", "5", "out", []string{"--keep", "node//utility"}},
		{"deletion and creation kept", "3", "out", []string{"--keep", "node//extra", "--keep", "node//utility/ledger/bole"}},
		{"mark kept", "3", "in", []string{"--keep", "domain/bole"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := restored(t)
			b.run(ExitLost, "node", "set", "/utility", "slots=5")
			rev := b.rev
			_, errs := b.run(ExitLost, "store", "forward")
			contains(t, errs, "values.slots: 5 -> 3", `mark: "in" -> "out"`, "node /extra: values.slots: (absent) -> 4")
			assert.Equal(t, b.rev, rev)
			b.events = nil
			b.run(ExitOK, append([]string{"store", "forward", "--write"}, tc.args...)...)
			assert.Assert(t, b.rev > b.high)
			assert.Assert(t, b.objs["node//"].Rev < b.high, "every service inherits from the root node")
			assert.Equal(t, b.value("/utility", "slots"), tc.slots)
			s := b.instances()
			assert.Equal(t, string(s.Domains["bole"].Mark), tc.mark)
			app := b.app()
			app.objects, _ = app.DialObjects([]string{b.url})
			st, err := app.load(context.Background())
			assert.NilError(t, err)
			assert.Equal(t, len(conf.Diff(st.snap, s)), 0)
			assert.NilError(t, b.invalid.Err())
		})
	}
	b := restored(t)
	b.run(ExitUsage, "store", "forward", "--write", "--keep", "node//nothing")
	b.high++
	b.run(ExitFailed, "store", "forward", "--write")
}

// Guards against a watch that never ends because the instance list raised the
// revision that tree show prints.
func TestTreeShowRevision(t *testing.T) {
	b := loaded(t)
	b.rev += 5
	out, _ := b.run(ExitOK, "tree", "show")
	contains(t, out, "revision 29\n")
	out, _ = b.run(ExitOK, "apply", utility)
	contains(t, out, "revision 29 is in force")
	b.run(ExitOK, "domain", "out", "bole")
	out, _ = b.run(ExitOK, "tree", "show")
	contains(t, out, "revision 35\n")
}
