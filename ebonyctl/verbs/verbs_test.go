package verbs

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"ebonypaddle/pkg/conf"
)

const utilityFile = "../../samples/utility.json"

func newLoadedEnv(t *testing.T) *testEnv {
	t.Helper()
	env := newTestEnv(t)
	env.run(ExitOK, "apply", utilityFile)
	return env
}

// value returns the resolved value of a field at a path.
func (env *testEnv) value(path, field string) string {
	env.t.Helper()
	out, _ := env.run(ExitOK, "value", "get", path, field)
	return strings.Fields(out)[1]
}

// Guards against a settings file of which apply writes only a part, which it writes
// again without a change, or whose objects it writes in an order that is invalid in
// between.
func TestApply(t *testing.T) {
	env := newLoadedEnv(t)
	rev := env.rev
	assert.Equal(t, rev, uint64(len(env.objs)))
	out, _ := env.run(ExitOK, "diff", utilityFile)
	assert.Equal(t, out, "0 differences\n")
	env.run(ExitOK, "apply", utilityFile)
	assert.Equal(t, env.rev, rev)
	out, _ = env.run(ExitOK, "value", "get", "/utility/ledger/yeka", "attemptTime")
	assert.Equal(t, out, "attemptTime  2s  from /utility/ledger/yeka\n")
	out, _ = env.run(ExitOK, "--output", "json", "tree", "show")
	var s conf.Snapshot
	assert.NilError(t, json.Unmarshal([]byte(out), &s))
	assert.Equal(t, len(s.Servers), 18)
	assert.Equal(t, len(s.Keys["first"].Secret), 0)
	env.run(ExitOK, "node", "set", "/utility/ledger/kirkos", "slots=3")
	env.run(ExitOK, "node", "set", "/extra", "slots=3")
	env.run(ExitOK, "node", "set", "/extra/x", "serviceId=99", "address=10.9.9.9:7000")
	env.run(ExitInvalid, "node", "delete", "/extra/x")
	env.run(ExitOK, "node", "set", "/extra/x", "address=")
	env.run(ExitInvalid, "node", "delete", "/extra/x")
	env.now = env.now.Add(conf.Quarantine)
	out, _ = env.run(ExitOK, "apply", "--prune", utilityFile)
	assertContains(t, out, "in force")
	assert.Equal(t, env.value("/utility/ledger/kirkos", "slots"), "2")
	assert.NilError(t, env.problems.Err())
	env.run(ExitNotFound, "value", "get", "/extra")
}

// Guards against an edit that is lost when two operators change the same object at
// the same time.
func TestRace(t *testing.T) {
	env := newLoadedEnv(t)
	other := []byte(`{"path":"/utility","generation":1,"values":{"maxClockSkew":"100ms","freshFor":"2s"}}`)
	env.beforeWrite = func(func()) bool { env.put(conf.KindNode, "/utility", other); return false }
	out, errs := env.run(ExitConflict, "--output", "json", "node", "set", "/utility", "slots=3")
	assertContains(t, errs, "values.slots: (absent) -> 3", `values.freshFor: (absent) -> "2s"`)
	assertContains(t, out, `"field": "values.slots"`, `"field": "values.freshFor"`)
	assert.Equal(t, env.value("/utility", "freshFor"), "2s")
	assert.Equal(t, env.value("/utility", "slots"), "2")
	rev := errs[strings.LastIndex(errs, "--rev"):]
	env.run(ExitOK, append([]string{"node", "set", "/utility", "slots=3"}, strings.Fields(rev)...)...)
	assert.Equal(t, env.value("/utility", "freshFor"), "2s")
	assert.Equal(t, env.value("/utility", "slots"), "3")
	env.run(ExitOK, "node", "set", "/utility", "slots=")
	assert.Equal(t, env.value("/utility", "slots"), "2")
	env.run(ExitConflict, "node", "set", "/utility", "slots=4", "--rev", "1")
	env.run(ExitConflict, "node", "delete", "/utility/ledger/bole", "--rev", "1")
	env.run(ExitOK, "node", "delete", "/utility/ledger/bole")
	assert.Equal(t, env.value("/utility/ledger/bole", "attemptTime"), "1s")
}

// Guards against a write that is repeated, or reported with a wrong outcome, when
// its response is lost.
func TestLostResponse(t *testing.T) {
	other := []byte(`{"path":"/utility","generation":1,"values":{"slots":5}}`)
	set := []string{"node", "set", "/utility", "slots=3"}
	for _, tc := range []struct {
		name  string
		args  []string
		code  int
		slots string
		hook  func(env *testEnv, apply func())
	}{
		{"written", set, ExitOK, "3", func(_ *testEnv, apply func()) { apply() }},
		{"not written", set, ExitUnknownOutcome, "2", func(*testEnv, func()) {}},
		{"written and replaced", set, ExitConflict, "5", func(env *testEnv, apply func()) { apply(); env.put(conf.KindNode, "/utility", other) }},
		{"deleted", []string{"node", "delete", "/utility/ledger/bole"}, ExitOK, "2", func(_ *testEnv, apply func()) { apply() }},
		{"not deleted", []string{"node", "delete", "/utility/ledger/bole"}, ExitUnknownOutcome, "2", func(*testEnv, func()) {}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			env := newLoadedEnv(t)
			clear(env.requests)
			env.beforeWrite = func(apply func()) bool { tc.hook(env, apply); return true }
			env.run(tc.code, tc.args...)
			assert.Equal(t, env.requests["PUT"]+env.requests["DELETE"], 1)
			assert.Equal(t, env.value("/utility", "slots"), tc.slots)
		})
	}
}

// Guards against a mark that is not sent to instances directly, and against a change
// that is reported as in force while an instance does not have it.
func TestMarks(t *testing.T) {
	env := newLoadedEnv(t)
	env.notified = nil
	out, _ := env.run(ExitOK, "domain", "out", "bole")
	assertContains(t, out, "in force on 1 instances")
	assert.Equal(t, len(env.notified), 1)
	assert.Equal(t, env.notified[0].Rev, env.rev)
	assert.Equal(t, string(env.notified[0].Value), string(env.objs["domain/bole"].Value))
	assertContains(t, string(env.notified[0].Value), `"mark":"out"`)
	env.missing = []string{"yeka-2"}
	begin := env.now
	_, errs := env.run(ExitNotInForce, "domain", "in", "bole")
	assertContains(t, errs, "yeka-2 and 2 more")
	assert.Equal(t, env.now.Sub(begin), defaultInForceTimeout)
	env.run(ExitNotInForce, "watch", "3", "--timeout", "1s")
	env.missing, env.watchErr = nil, errors.New("no instance responds")
	_, errs = env.run(ExitNotInForce, "domain", "in", "bole") // The edit itself is accepted.
	assertContains(t, errs, "no instance responds")
	env.watchErr = nil
	env.run(ExitOK, "watch", "3")
	for command, mark := range map[string]string{"leave": "leaving", "return": "in", "remove": "removed"} {
		env.run(ExitOK, "server", command, "ledger-01", "--no-wait")
		assertContains(t, string(env.objs["server/ledger-01"].Value), `"mark":"`+mark+`"`)
	}
	out, _ = env.run(ExitOK, "status")
	assertContains(t, out, "bole-1", "1.5s   0s", "warm=1", "overloaded=2")
}

// Guards against exit codes other than those in the command reference.
func TestExitCodes(t *testing.T) {
	env := newLoadedEnv(t)
	bad := filepath.Join(t.TempDir(), "bad.json")
	assert.NilError(t, os.WriteFile(bad, []byte(`{"nodes":{"/a":{"values":{"slots":0}}}}`), 0o600))
	for _, tc := range []struct {
		code int
		args string
		text string
	}{
		{ExitOK, "validate " + utilityFile, ""},
		{ExitInvalid, "validate " + bad, `node "/a": field slots is 0, must be between 1 and 1024`},
		{ExitInvalid, "apply " + bad, "field slots is 0"},
		{ExitInvalid, "node set /utility freshFor=9s", "freshFor is 9s, must be between 500ms and 3.5s"},
		{ExitInvalid, "node set /utility freshFor=2", "unit"},
		{ExitInvalid, "node delete /utility/ledger", "service"},
		{ExitUsage, "node set /utility", "FIELD=VALUE"},
		{ExitUsage, "node", "subcommands"},
		{ExitUsage, "watch soon", "revision number"},
		{ExitUsage, "status --nonsense", "nonsense"},
		{ExitUsage, "--output yaml status", "yaml"},
		{ExitUsage, "value get / speed", "speed"},
		{ExitNotFound, "domain out nowhere", "nowhere"},
		{ExitNotFound, "value get /nowhere", "/nowhere"},
		{ExitFailed, "--api http://127.0.0.1:1 tree show", ""},
	} {
		t.Run(tc.args, func(t *testing.T) {
			env.t = t
			if strings.HasPrefix(tc.args, "--api") {
				env.url = "http://127.0.0.1:1"
			}
			_, errs := env.run(tc.code, strings.Fields(tc.args)...)
			assertContains(t, errs, tc.text)
		})
	}
}

// Guards against a client that fails although another address of the object API
// responds, and against a write that is not conditional on If-Match.
func TestObjectAPIAddresses(t *testing.T) {
	env := newLoadedEnv(t)
	live := env.url
	env.url = "http://127.0.0.1:1" // Refuses connections.
	env.run(ExitOK, "--api", live, "domain", "out", "bole")
	assertContains(t, string(env.objs["domain/bole"].Value), `"mark":"out"`)
	env.run(ExitConflict, "--api", live, "domain", "in", "bole", "--rev", "0")
}

// Guards against a command reference or a shell completion that differs from the
// commands.
func TestDoc(t *testing.T) {
	env := newTestEnv(t)
	golden.Assert(t, env.app().Doc(), "../../../docs/cli.md")
	out, _ := env.run(ExitOK, "node", "--generate-shell-completion")
	assertContains(t, out, "set", "delete")
	out, _ = env.run(ExitOK, "completion", "bash")
	assertContains(t, out, "complete")
}

// Guards against a server that is moved during its quarantine. Also guards against
// sending edits of more than a mark to instances directly: an instance would set
// the mark on its record of the old service and send packets of that service.
func TestServerMove(t *testing.T) {
	env := newLoadedEnv(t)
	env.notified = nil
	_, errs := env.run(ExitOK, "node", "set", "/utility", "slots=3")
	assert.Equal(t, errs, "")
	move := []string{"server", "move", "ledger-03", "/utility/archive", "yeka"}
	env.run(ExitInvalid, move...)
	env.run(ExitOK, "server", "remove", "ledger-03")
	assert.Equal(t, len(env.notified), 1)
	env.run(ExitInvalid, move...)
	env.now = env.now.Add(conf.Quarantine)
	env.run(ExitOK, move...)
	assert.Equal(t, len(env.notified), 1)
	assertContains(t, string(env.objs["server/ledger-03"].Value), `"generation":2`, `"service":"/utility/archive"`, `"mark":"in"`)
	env.run(ExitNotFound, "server", "move", "nothing", "/utility/archive", "yeka")
	env.run(ExitUsage, "server", "move", "ledger-03")
}

// Guards against a mark without the time of its edit. It would take effect at once
// on an instance that receives it, before other instances know of it.
func TestMarkTimes(t *testing.T) {
	env := newLoadedEnv(t)
	since := func() string {
		var d conf.Domain
		assert.NilError(t, json.Unmarshal(env.objs["domain/bole"].Value, &d))
		return d.Since.Sub(env.now).String()
	}
	for _, step := range []struct {
		args string
		want string
	}{
		{"domain out bole", "0s"},
		{"apply " + utilityFile, "0s"}, // The file has the mark "in" without a time.
		{"apply " + utilityFile, "-1s"},
		{"domain in bole", "-2s"}, // The mark does not change.
		{"domain out bole", "0s"},
		{"domain in bole", "0s"},
	} {
		env.now = env.now.Add(time.Second)
		env.run(ExitOK, strings.Fields(step.args)...)
		assert.Equal(t, since(), step.want, step.args)
	}
	env.run(ExitOK, "apply", utilityFile)
	out, _ := env.run(ExitOK, "diff", utilityFile)
	assert.Equal(t, out, "0 differences\n")
}

// Guards against apply --prune deleting keys that are not in the file, and against
// a malformed secret that is printed with the problem that it causes.
func TestKeyPruningAndSecrets(t *testing.T) {
	env := newLoadedEnv(t)
	out, _ := env.run(ExitOK, "--output", "json", "tree", "show")
	file := filepath.Join(t.TempDir(), "file.json")
	write := func(text string) { assert.NilError(t, os.WriteFile(file, []byte(text), 0o600)) }
	var s conf.Snapshot
	assert.NilError(t, json.Unmarshal([]byte(out), &s))
	s.Keys = nil
	raw, err := json.Marshal(s)
	assert.NilError(t, err)
	write(strings.Replace(string(raw), `"keys":null`, `"keys":{}`, 1))
	env.run(ExitOK, "apply", "--prune", file)
	assert.Equal(t, len(env.objs["key/first"].Value) > 0, true)
	env.run(ExitOK, "apply", "--prune-keys", file)
	assert.Equal(t, len(env.objs["key/first"].Value), 0)
	const secret = "MDEyMzQ1Njc4OWFiY2RlZg"
	for _, text := range []string{`{"keys":{"k":{"id":1,"secret":"` + secret + `!"}}}`, `{"keys":["` + secret + `"]}`, `{"secret":"` + secret + `"}`} {
		write(text)
		for _, command := range []string{"validate", "diff", "apply"} {
			out, errs := env.run(ExitInvalid, "--output", "json", command, file)
			assert.Assert(t, !strings.Contains(out+errs, secret), "%s %s: %s%s", command, text, out, errs)
		}
	}
	env.put(conf.KindKey, "bad", []byte(`{"id":2,"secret":"`+secret+`!"}`))
	_, errs := env.run(ExitInvalid, "tree", "show")
	assert.Assert(t, !strings.Contains(errs, secret), errs)
}

// Guards against nested counters that are not printed, and against zeros and
// statistics of the Go runtime in the output, which would hide the other counters.
func TestCounters(t *testing.T) {
	env := newTestEnv(t)
	for args, want := range map[string]string{
		"counters":          "10.0.0.1:7002  tables.flow.Notes  41\n",
		"counters control.": "10.0.0.1:7002  control.pulls  0\n",
		"counters memstats": "10.0.0.1:7002  memstats.Alloc  9\n",
	} {
		out, _ := env.run(ExitOK, strings.Fields(args)...)
		assert.Equal(t, out, want)
	}
	out, _ := env.run(ExitOK, "--output", "json", "counters")
	assertContains(t, out, `"Notes": 41`, `"pulls": 0`)
}
