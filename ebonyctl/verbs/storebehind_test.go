package verbs

import (
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/conf"
)

// newRestoredEnv returns a store that was restored from a backup after edits. The
// instances still have the edits, at a revision 20 above that of the backup.
func newRestoredEnv(t *testing.T) *testEnv {
	env := newLoadedEnv(t)
	backup, rev := map[string]conf.Object{}, env.rev
	for k, o := range env.objs {
		backup[k] = o
	}
	env.run(ExitOK, "domain", "out", "bole")
	env.run(ExitOK, "node", "set", "/utility", "slots=3")
	env.run(ExitOK, "node", "set", "/extra", "slots=4")
	env.run(ExitOK, "node", "delete", "/utility/ledger/bole")
	app := env.app()
	app.objects, _ = app.NewObjectAPI([]string{env.url})
	st, err := app.loadStore(context.Background())
	assert.NilError(t, err)
	env.settings = st.snap
	env.settings.Rev = rev + 20
	env.objs, env.rev, env.highestRev, env.notified = backup, rev, rev+20, nil
	return env
}

// instanceSettings returns the settings of the instances after they applied the
// objects that were written at revisions above theirs.
func (env *testEnv) instanceSettings() *conf.Snapshot {
	s := env.settings
	for _, e := range env.writes {
		if e.Rev > env.highestRev {
			s, _ = s.With(e)
		}
	}
	return s
}

// Guards against an edit that is reported as in force although instances ignore it,
// because the store was restored from a backup and its revision is below theirs.
func TestStoreBehindInstances(t *testing.T) {
	for _, args := range []string{"domain out kirkos", "node set /utility slots=4", "watch 3", "status", "apply " + utilityFile, "apply --prune " + utilityFile} {
		t.Run(args, func(t *testing.T) {
			env := newRestoredEnv(t)
			if strings.HasPrefix(args, "apply --prune") {
				env.put(conf.KindNode, "/extra", []byte(`{"path":"/extra","generation":9,"values":{}}`))
			}
			_, errs := env.run(ExitStoreBehind, strings.Fields(args)...)
			assertContains(t, errs, "lost changes")
			if strings.HasPrefix(args, "apply --prune") {
				assertContains(t, errs, "1 of 1 objects were written")
			}
			assert.Equal(t, len(env.notified), 0)
			env.highestRev = env.rev
			env.run(ExitOK, strings.Fields(args)...)
		})
	}
}

// Guards against store forward losing an edit that was made after the restore and
// named by --keep, and against settings that differ between the instances and the
// store afterwards.
func TestStoreForward(t *testing.T) {
	for _, tc := range []struct {
		name, slots, mark string
		args              []string
	}{
		{"settings of the instances", "3", "out", nil},
		{"edit kept", "5", "out", []string{"--keep", "node//utility"}},
		{"deletion and creation kept", "3", "out", []string{"--keep", "node//extra", "--keep", "node//utility/ledger/bole"}},
		{"mark kept", "3", "in", []string{"--keep", "domain/bole"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			env := newRestoredEnv(t)
			env.run(ExitStoreBehind, "node", "set", "/utility", "slots=5")
			rev := env.rev
			_, errs := env.run(ExitStoreBehind, "store", "forward")
			assertContains(t, errs, "values.slots: 5 -> 3", `mark: "in" -> "out"`, "node /extra: values.slots: (absent) -> 4")
			assert.Equal(t, env.rev, rev)
			env.writes = nil
			env.run(ExitOK, append([]string{"store", "forward", "--write"}, tc.args...)...)
			assert.Assert(t, env.rev > env.highestRev)
			assert.Assert(t, env.objs["node//"].Rev < env.highestRev, "the root node was rewritten, from which every service inherits")
			assert.Equal(t, env.value("/utility", "slots"), tc.slots)
			s := env.instanceSettings()
			assert.Equal(t, string(s.Domains["bole"].Mark), tc.mark)
			app := env.app()
			app.objects, _ = app.NewObjectAPI([]string{env.url})
			st, err := app.loadStore(context.Background())
			assert.NilError(t, err)
			assert.Equal(t, len(conf.Diff(st.snap, s)), 0)
			assert.NilError(t, env.problems.Err())
		})
	}
	env := newRestoredEnv(t)
	env.run(ExitUsage, "store", "forward", "--write", "--keep", "node//nothing")
	env.highestRev++
	env.run(ExitFailed, "store", "forward", "--write")
}

// Guards against an edit that is reported as in force although instances ignore its era.
func TestStoreInLaterEra(t *testing.T) {
	for name, raised := range map[string]uint64{"lower revision": 0, "same revision": 20, "higher revision": 40} {
		t.Run(name, func(t *testing.T) {
			env := newRestoredEnv(t)
			env.era, env.rev = 1, env.rev+raised
			for _, args := range []string{"domain out kirkos", "watch 3", "status"} {
				_, errs := env.run(ExitStoreBehind, strings.Fields(args)...)
				assertContains(t, errs, "lost changes")
			}
			assert.Equal(t, len(env.notified), 0)
			env.run(ExitStoreBehind, "store", "forward")
			out, _ := env.run(ExitOK, "store", "forward", "--write", "--no-wait")
			assertContains(t, out, "accepted at revision 1.")
			assertContains(t, string(env.objs["era/confirmed"].Value), `"era":1`)
			app := env.app()
			app.objects, _ = app.NewObjectAPI([]string{env.url})
			st, err := app.loadStore(context.Background())
			assert.NilError(t, err)
			assert.Equal(t, len(conf.Diff(st.snap, env.settings)), 0)
		})
	}
}

// Guards against an edit that replaces, unreported, a state which was not read.
func TestStoreRestoredBeforeWrite(t *testing.T) {
	env := newLoadedEnv(t)
	env.beforeWrite = func(func()) bool {
		env.era++
		return false
	}
	_, errs := env.run(ExitStoreBehind, "node", "set", "/utility", "slots=4", "--no-wait")
	assertContains(t, errs, "may have replaced another state")
}

// Guards against tree show printing a revision that was raised by the instance list:
// a watch of that revision would never end.
func TestTreeShowRevision(t *testing.T) {
	env := newLoadedEnv(t)
	env.rev += 5
	out, _ := env.run(ExitOK, "tree", "show")
	assertContains(t, out, "revision 29\n")
	out, _ = env.run(ExitOK, "apply", utilityFile)
	assertContains(t, out, "revision 29 is in force")
	env.run(ExitOK, "domain", "out", "bole")
	out, _ = env.run(ExitOK, "tree", "show")
	assertContains(t, out, "revision 35\n")
}
