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

const utility = "../../samples/utility.json"

func loaded(t *testing.T) *bench {
	t.Helper()
	b := newBench(t)
	b.run(ExitOK, "apply", utility)
	return b
}

// value returns one resolved value of the store.
func (b *bench) value(path, field string) string {
	b.t.Helper()
	out, _ := b.run(ExitOK, "value", "get", path, field)
	return strings.Fields(out)[1]
}

// Guards against a file that is applied in part, twice or in a wrong order.
func TestApply(t *testing.T) {
	b := loaded(t)
	rev := b.rev
	assert.Equal(t, rev, uint64(len(b.objs)))
	out, _ := b.run(ExitOK, "diff", utility)
	assert.Equal(t, out, "0 differences\n")
	b.run(ExitOK, "apply", utility)
	assert.Equal(t, b.rev, rev)
	out, _ = b.run(ExitOK, "value", "get", "/utility/ledger/yeka", "attemptTime")
	assert.Equal(t, out, "attemptTime  2s  from /utility/ledger/yeka\n")
	out, _ = b.run(ExitOK, "--output", "json", "tree", "show")
	var s conf.Snapshot
	assert.NilError(t, json.Unmarshal([]byte(out), &s))
	assert.Equal(t, len(s.Servers), 18)
	assert.Equal(t, len(s.Keys["first"].Secret), 0)
	b.run(ExitOK, "node", "set", "/utility/ledger/kirkos", "slots=3")
	b.run(ExitOK, "node", "set", "/extra", "slots=3")
	b.run(ExitOK, "node", "set", "/extra/x", "serviceId=99", "address=10.9.9.9:7000")
	b.run(ExitInvalid, "node", "delete", "/extra/x")
	b.run(ExitOK, "node", "set", "/extra/x", "address=")
	b.run(ExitInvalid, "node", "delete", "/extra/x")
	b.now = b.now.Add(conf.Quarantine)
	out, _ = b.run(ExitOK, "apply", "--prune", utility)
	contains(t, out, "in force")
	assert.Equal(t, b.value("/utility/ledger/kirkos", "slots"), "2")
	assert.NilError(t, b.invalid.Err())
	b.run(ExitNotFound, "value", "get", "/extra")
}

// Guards against an edit that is lost when operators race.
func TestRace(t *testing.T) {
	b := loaded(t)
	other := []byte(`{"path":"/utility","generation":1,"values":{"maxClockSkew":"100ms","freshFor":"2s"}}`)
	b.before = func(func()) bool { b.put(conf.KindNode, "/utility", other); return false }
	out, errs := b.run(ExitConflict, "--output", "json", "node", "set", "/utility", "slots=3")
	contains(t, errs, "values.slots: (absent) -> 3", `values.freshFor: (absent) -> "2s"`)
	contains(t, out, `"field": "values.slots"`, `"field": "values.freshFor"`)
	assert.Equal(t, b.value("/utility", "freshFor"), "2s")
	assert.Equal(t, b.value("/utility", "slots"), "2")
	rev := errs[strings.LastIndex(errs, "--rev"):]
	b.run(ExitOK, append([]string{"node", "set", "/utility", "slots=3"}, strings.Fields(rev)...)...)
	assert.Equal(t, b.value("/utility", "freshFor"), "2s")
	assert.Equal(t, b.value("/utility", "slots"), "3")
	b.run(ExitOK, "node", "set", "/utility", "slots=")
	assert.Equal(t, b.value("/utility", "slots"), "2")
	b.run(ExitConflict, "node", "set", "/utility", "slots=4", "--rev", "1")
	b.run(ExitConflict, "node", "delete", "/utility/ledger/bole", "--rev", "1")
	b.run(ExitOK, "node", "delete", "/utility/ledger/bole")
	assert.Equal(t, b.value("/utility/ledger/bole", "attemptTime"), "1s")
}

// Guards against a write that is repeated, or reported wrongly, when its
// answer is lost.
func TestLostAnswer(t *testing.T) {
	other := []byte(`{"path":"/utility","generation":1,"values":{"slots":5}}`)
	set := []string{"node", "set", "/utility", "slots=3"}
	for _, tc := range []struct {
		name  string
		args  []string
		code  int
		slots string
		hook  func(b *bench, apply func())
	}{
		{"written", set, ExitOK, "3", func(_ *bench, apply func()) { apply() }},
		{"not written", set, ExitUnknown, "2", func(*bench, func()) {}},
		{"written and replaced", set, ExitConflict, "5", func(b *bench, apply func()) { apply(); b.put(conf.KindNode, "/utility", other) }},
		{"deleted", []string{"node", "delete", "/utility/ledger/bole"}, ExitOK, "2", func(_ *bench, apply func()) { apply() }},
		{"not deleted", []string{"node", "delete", "/utility/ledger/bole"}, ExitUnknown, "2", func(*bench, func()) {}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := loaded(t)
			clear(b.count)
			b.before = func(apply func()) bool { tc.hook(b, apply); return true }
			b.run(tc.code, tc.args...)
			assert.Equal(t, b.count["PUT"]+b.count["DELETE"], 1)
			assert.Equal(t, b.value("/utility", "slots"), tc.slots)
		})
	}
}

// Guards against a mark that is not handed over, and against a change that is
// called done while an instance lacks it.
func TestMarks(t *testing.T) {
	b := loaded(t)
	b.notified = nil
	out, _ := b.run(ExitOK, "domain", "out", "bole")
	contains(t, out, "in force on 1 instances")
	assert.Equal(t, len(b.notified), 1)
	assert.Equal(t, b.notified[0].Rev, b.rev)
	assert.Equal(t, string(b.notified[0].Value), string(b.objs["domain/bole"].Value))
	contains(t, string(b.notified[0].Value), `"mark":"out"`)
	b.missing = []string{"yeka-2"}
	begin := b.now
	_, errs := b.run(ExitMissing, "domain", "in", "bole")
	contains(t, errs, "yeka-2 and 2 more")
	assert.Equal(t, b.now.Sub(begin), inForceTime)
	b.run(ExitMissing, "watch", "3", "--timeout", "1s")
	b.missing, b.watchErr = nil, errors.New("nobody is there")
	_, errs = b.run(ExitMissing, "domain", "in", "bole") // The edit is accepted.
	contains(t, errs, "nobody is there")
	b.watchErr = nil
	b.run(ExitOK, "watch", "3")
	for verb, mark := range map[string]string{"leave": "leaving", "return": "in", "remove": "removed"} {
		b.run(ExitOK, "server", verb, "ledger-01", "--no-wait")
		contains(t, string(b.objs["server/ledger-01"].Value), `"mark":"`+mark+`"`)
	}
	out, _ = b.run(ExitOK, "status")
	contains(t, out, "bole-1", "1.5s   0s", "warm=1", "overloaded=2")
}

// Guards against exit codes that differ from the reference.
func TestExitCodes(t *testing.T) {
	b := loaded(t)
	bad := filepath.Join(t.TempDir(), "bad.json")
	assert.NilError(t, os.WriteFile(bad, []byte(`{"nodes":{"/a":{"values":{"slots":0}}}}`), 0o600))
	for _, tc := range []struct {
		code int
		args string
		text string
	}{
		{ExitOK, "validate " + utility, ""},
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
			b.t = t
			if strings.HasPrefix(tc.args, "--api") {
				b.url = "http://127.0.0.1:1"
			}
			_, errs := b.run(tc.code, strings.Fields(tc.args)...)
			contains(t, errs, tc.text)
		})
	}
}

// Guards against a client that gives up while another address answers, and
// against one that does not look at If-Match.
func TestAddresses(t *testing.T) {
	b := loaded(t)
	live := b.url
	b.url = "http://127.0.0.1:1" // Refuses connections.
	b.run(ExitOK, "--api", live, "domain", "out", "bole")
	contains(t, string(b.objs["domain/bole"].Value), `"mark":"out"`)
	b.run(ExitConflict, "--api", live, "domain", "in", "bole", "--rev", "0")
}

// Guards against a reference and a completion that differ from the program.
func TestDoc(t *testing.T) {
	b := newBench(t)
	golden.Assert(t, b.app().Doc(), "../../../docs/cli.md")
	out, _ := b.run(ExitOK, "node", "--generate-shell-completion")
	contains(t, out, "set", "delete")
	out, _ = b.run(ExitOK, "completion", "bash")
	contains(t, out, "complete")
}

// Guards against a server that is moved during its quarantine, and against an
// edit of more than a mark that is handed over: an instance would set the mark
// on the record of the old service and send that service's packets.
func TestMove(t *testing.T) {
	b := loaded(t)
	b.notified = nil
	_, errs := b.run(ExitOK, "node", "set", "/utility", "slots=3")
	assert.Equal(t, errs, "")
	move := []string{"server", "move", "ledger-03", "/utility/archive", "yeka"}
	b.run(ExitInvalid, move...)
	b.run(ExitOK, "server", "remove", "ledger-03")
	assert.Equal(t, len(b.notified), 1)
	b.run(ExitInvalid, move...)
	b.now = b.now.Add(conf.Quarantine)
	b.run(ExitOK, move...)
	assert.Equal(t, len(b.notified), 1)
	contains(t, string(b.objs["server/ledger-03"].Value), `"generation":2`, `"service":"/utility/archive"`, `"mark":"in"`)
	b.run(ExitNotFound, "server", "move", "nothing", "/utility/archive", "yeka")
	b.run(ExitUsage, "server", "move", "ledger-03")
}

// Guards against a mark without the time of its edit, which takes effect on
// instances before others have heard of it.
func TestMarkTime(t *testing.T) {
	b := loaded(t)
	since := func() string {
		var d conf.Domain
		assert.NilError(t, json.Unmarshal(b.objs["domain/bole"].Value, &d))
		return d.Since.Sub(b.now).String()
	}
	for _, step := range []struct {
		args string
		want string
	}{
		{"domain out bole", "0s"},
		{"apply " + utility, "0s"}, // The file has the mark in and no time.
		{"apply " + utility, "-1s"},
		{"domain in bole", "-2s"}, // Already in.
		{"domain out bole", "0s"},
		{"domain in bole", "0s"},
	} {
		b.now = b.now.Add(time.Second)
		b.run(ExitOK, strings.Fields(step.args)...)
		assert.Equal(t, since(), step.want, step.args)
	}
	b.run(ExitOK, "apply", utility)
	out, _ := b.run(ExitOK, "diff", utility)
	assert.Equal(t, out, "0 differences\n")
}

// Guards against keys that are deleted with a file that lacks them, and
// against a secret that is printed with a problem of its form.
func TestKeys(t *testing.T) {
	b := loaded(t)
	out, _ := b.run(ExitOK, "--output", "json", "tree", "show")
	file := filepath.Join(t.TempDir(), "file.json")
	write := func(text string) { assert.NilError(t, os.WriteFile(file, []byte(text), 0o600)) }
	var s conf.Snapshot
	assert.NilError(t, json.Unmarshal([]byte(out), &s))
	s.Keys = nil
	raw, err := json.Marshal(s)
	assert.NilError(t, err)
	write(strings.Replace(string(raw), `"keys":null`, `"keys":{}`, 1))
	b.run(ExitOK, "apply", "--prune", file)
	assert.Equal(t, len(b.objs["key/first"].Value) > 0, true)
	b.run(ExitOK, "apply", "--prune-keys", file)
	assert.Equal(t, len(b.objs["key/first"].Value), 0)
	const secret = "MDEyMzQ1Njc4OWFiY2RlZg"
	for _, text := range []string{`{"keys":{"k":{"id":1,"secret":"` + secret + `!"}}}`, `{"keys":["` + secret + `"]}`, `{"secret":"` + secret + `"}`} {
		write(text)
		for _, verb := range []string{"validate", "diff", "apply"} {
			out, errs := b.run(ExitInvalid, "--output", "json", verb, file)
			assert.Assert(t, !strings.Contains(out+errs, secret), "%s %s: %s%s", verb, text, out, errs)
		}
	}
	b.put(conf.KindKey, "bad", []byte(`{"id":2,"secret":"`+secret+`!"}`))
	_, errs := b.run(ExitInvalid, "tree", "show")
	assert.Assert(t, !strings.Contains(errs, secret), errs)
}

// Guards against counters of inner tables that are lost, and against output
// that the runtime's statistics and zeros bury.
func TestCounters(t *testing.T) {
	b := newBench(t)
	for args, want := range map[string]string{
		"counters":          "10.0.0.1:7002  tables.flow.Notes  41\n",
		"counters control.": "10.0.0.1:7002  control.pulls  0\n",
		"counters memstats": "10.0.0.1:7002  memstats.Alloc  9\n",
	} {
		out, _ := b.run(ExitOK, strings.Fields(args)...)
		assert.Equal(t, out, want)
	}
	out, _ := b.run(ExitOK, "--output", "json", "counters")
	contains(t, out, `"Notes": 41`, `"pulls": 0`)
}
