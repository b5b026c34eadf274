// Package docs_test checks that what the documents name exists.
package docs_test

import (
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/daemon"
	"ebonypaddle/pkg/dist"
	"ebonypaddle/pkg/flow"
	"ebonypaddle/pkg/member"
	"ebonypaddle/pkg/pick"
	"ebonypaddle/pkg/reqs"
	"ebonypaddle/pkg/server"
	"ebonypaddle/pkg/store"
	"ebonypaddle/pkg/wire"
)

const root = "../../"

func read(t *testing.T, name string) string {
	t.Helper()
	b, err := os.ReadFile(root + name)
	assert.NilError(t, err)
	return string(b)
}

// documents returns README.md and docs/*.md by name.
func documents(t *testing.T) map[string]string {
	t.Helper()
	names, err := filepath.Glob(root + "docs/*.md")
	assert.NilError(t, err)
	docs := map[string]string{"README.md": read(t, "README.md")}
	for _, n := range names {
		n = strings.TrimPrefix(filepath.ToSlash(n), root)
		docs[n] = read(t, n)
	}
	return docs
}

var code = regexp.MustCompile("`[^`\n]+`|(?m:^    .+$)")

// inCode returns the first groups of the matches in code of a document.
func inCode(text string, re *regexp.Regexp) []string {
	var out []string
	for _, c := range code.FindAllString(text, -1) {
		for _, m := range re.FindAllStringSubmatch(c, -1) {
			out = append(out, m[1])
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// each runs check for every name that the documents give, and fails when the
// pattern finds less than least names, which would make the check empty.
func each(t *testing.T, re string, least int, skip string, check func(t *testing.T, name string)) {
	t.Helper()
	found := map[string]string{}
	docs := documents(t)
	for _, doc := range slices.Sorted(maps.Keys(docs)) {
		if doc == skip {
			continue
		}
		for _, name := range inCode(docs[doc], regexp.MustCompile(re)) {
			found[name] = doc
		}
	}
	assert.Assert(t, len(found) >= least, "found only %d names", len(found))
	for name, doc := range found {
		t.Run(doc+" "+strings.ReplaceAll(name, "/", "\\"), func(t *testing.T) { check(t, name) })
	}
}

// Guards against documents that name a file or package that was moved.
func TestFiles(t *testing.T) {
	each(t, `(?:^|[^\w./-])((?:docs|scripts|samples|pkg|emul|ebonyctl|ebonyd|\.ci)/[\w./-]*\w|[A-Z][A-Z-]+\.(?:md|txt))`, 30, "",
		func(t *testing.T, name string) {
			_, err := os.Stat(root + name)
			assert.NilError(t, err)
		})
}

// Guards against documents that name a target that the Makefile lacks.
func TestTargets(t *testing.T) {
	rules := read(t, "Makefile")
	each(t, "(?:^`|^    )make ([a-z-]+)", 3, "", func(t *testing.T, name string) {
		assert.Assert(t, regexp.MustCompile(`(?m)^`+name+`:`).MatchString(rules), "no rule for %s", name)
	})
}

// Guards against a method that was renamed.
func TestMethods(t *testing.T) {
	each(t, `(\w+\.\(\*\w+\)\.\w+)`, 2, "", func(t *testing.T, name string) {
		m := regexp.MustCompile(`(\w+)\.\(\*(\w+)\)\.(\w+)`).FindStringSubmatch(name)
		files, err := filepath.Glob(root + "pkg/" + m[1] + "/*.go")
		assert.NilError(t, err)
		decl := regexp.MustCompile(`(?m)^func \(\w+ \*` + m[2] + `\) ` + m[3] + `\(`)
		assert.Assert(t, slices.ContainsFunc(files, func(f string) bool {
			return decl.MatchString(read(t, strings.TrimPrefix(filepath.ToSlash(f), root)))
		}), "no method %s", name)
	})
}

// sources joins the code of the programs' flags and commands.
func sources(t *testing.T, dir string) string {
	t.Helper()
	files, err := filepath.Glob(root + dir + "/*.go")
	assert.NilError(t, err)
	var b strings.Builder
	for _, f := range files {
		b.WriteString(read(t, strings.TrimPrefix(filepath.ToSlash(f), root)))
	}
	return b.String()
}

// Guards against a command or flag that a program does not have. docs/cli.md
// is compared with the code elsewhere.
func TestCommands(t *testing.T) {
	cli := read(t, "docs/cli.md")
	progs := map[string]string{"ebonyd": sources(t, "ebonyd/cmd/ebonyd"), "ebonyemu": sources(t, "emul/cmd/ebonyemu")}
	named := func(src, name string) bool {
		return regexp.MustCompile(`Name:\s+"` + name + `"|func seedFlag\(\)[^}]*"` + name + `"`).MatchString(src)
	}
	each(t, `\b(ebony(?:ctl|d|emu) (?:[a-z-].*)?)`, 20, "docs/cli.md", func(t *testing.T, line string) {
		line, _, _ = strings.Cut(strings.Trim(line, "`"), "#")
		words := strings.Fields(line)
		for _, f := range regexp.MustCompile(` --([a-z-]+)`).FindAllStringSubmatch(line, -1) {
			ok := strings.Contains(cli, "- `--"+f[1]+"`")
			if src := progs[words[0]]; src != "" {
				ok = named(src, f[1])
			}
			assert.Assert(t, ok, "no flag --%s in %q", f[1], line)
		}
		words = slices.DeleteFunc(words, func(w string) bool { return strings.HasPrefix(w, "--") })
		switch {
		case len(words) < 2 || !regexp.MustCompile(`^[a-z-]+$`).MatchString(words[1]):
		case progs[words[0]] != "":
			assert.Assert(t, named(progs[words[0]], words[1]), "no command %q", line)
		default:
			one, two := "## ebonyctl "+words[1], ""
			if len(words) > 2 {
				two = one + " " + words[2]
			}
			heads := regexp.MustCompile(`(?m)^(## ebonyctl(?: [a-z]+)+)`).FindAllString(cli, -1)
			assert.Assert(t, slices.Contains(heads, one) || slices.Contains(heads, two), "no command %q", line)
		}
	})
}

// tables holds what the daemon publishes of the tables by package.
var tables = map[string]any{
	"flow": flow.Counters{}, "member": member.Counters{}, "dist": dist.Counters{},
	"calls": reqs.Size{}, "server": server.Table{}, "pick": pick.Picker{},
}

// counterExists knows the counters as /debug/vars shows them.
func counterExists(t *testing.T, name string) bool {
	group, rest, _ := strings.Cut(name, ".")
	published := read(t, "ebonyd/cmd/ebonyd/main.go")
	assert.Assert(t, strings.Contains(published, `"`+group+`"`), "%s is not published", group)
	switch group {
	case "control":
		_, ok := new(daemon.Counters).Map()[rest]
		return ok
	case "tables":
		pkg, field, _ := strings.Cut(rest, ".")
		_, ok := reflect.TypeOf(tables[pkg]).FieldByName(field)
		return ok && strings.Contains(read(t, "pkg/daemon/counter.go"), `"`+pkg+`":`)
	case "store":
		var c store.Counters
		for _, n := range []interface{ Add(uint64) uint64 }{&c.Calls, &c.ReadBacks, &c.Resolved, &c.Unresolved} {
			n.Add(1)
		}
		for i := range c.Errors {
			c.Errors.Add(store.Cause(i))
			c.Retries.Add(store.Cause(i))
		}
		_, ok := c.Map()[rest]
		return ok
	}
	for i := range wire.ReasonCount {
		if wire.Reason(i).String() == rest {
			return true
		}
	}
	return false
}

// Guards against an alarm on a counter that does not exist.
func TestCounters(t *testing.T) {
	names := inCode(read(t, "docs/OPERATIONS.md"), regexp.MustCompile("^`((?:refused|dropped|retried|closed|control|store|tables)\\.[\\w.]+)`$"))
	assert.Assert(t, len(names) >= 20, "found only %d names", len(names))
	for _, name := range names {
		t.Run(name, func(t *testing.T) { assert.Assert(t, counterExists(t, name)) })
	}
}
