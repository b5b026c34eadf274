// Package docs_test checks that the files, commands, counters and log messages
// named in the documents exist.
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

func readFile(t *testing.T, name string) string {
	t.Helper()
	b, err := os.ReadFile(root + name)
	assert.NilError(t, err)
	return string(b)
}

// documents returns the text of README.md and docs/*.md by file name.
func documents(t *testing.T) map[string]string {
	t.Helper()
	names, err := filepath.Glob(root + "docs/*.md")
	assert.NilError(t, err)
	docs := map[string]string{"README.md": readFile(t, "README.md")}
	for _, n := range names {
		n = strings.TrimPrefix(filepath.ToSlash(n), root)
		docs[n] = readFile(t, n)
	}
	return docs
}

var codePattern = regexp.MustCompile("`[^`\n]+`|(?m:^    .+$)")

// inCode returns the first groups of all matches of re in the code spans and
// indented code lines of a document, sorted and without duplicates.
func inCode(text string, re *regexp.Regexp) []string {
	var out []string
	for _, snippet := range codePattern.FindAllString(text, -1) {
		for _, m := range re.FindAllStringSubmatch(snippet, -1) {
			out = append(out, m[1])
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// forEachName runs check for every name that the pattern re finds in the code of
// the documents other than skipDoc. It fails if it finds fewer than minNames, so
// that a pattern that no longer matches does not pass.
func forEachName(t *testing.T, re string, minNames int, skipDoc string, check func(t *testing.T, name string)) {
	t.Helper()
	found := map[string]string{}
	docs := documents(t)
	for _, doc := range slices.Sorted(maps.Keys(docs)) {
		if doc == skipDoc {
			continue
		}
		for _, name := range inCode(docs[doc], regexp.MustCompile(re)) {
			found[name] = doc
		}
	}
	assert.Assert(t, len(found) >= minNames, "found only %d names", len(found))
	for name, doc := range found {
		t.Run(doc+" "+strings.ReplaceAll(name, "/", "\\"), func(t *testing.T) { check(t, name) })
	}
}

// Guards against documents that name a file or package that does not exist, as
// after a move.
func TestNamedFilesExist(t *testing.T) {
	forEachName(t, `(?:^|[^\w./-])((?:docs|scripts|samples|pkg|emul|ebonyctl|ebonyd|\.ci)/[\w./-]*\w|[A-Z][A-Z-]+\.(?:md|txt))`, 30, "",
		func(t *testing.T, name string) {
			_, err := os.Stat(root + name)
			assert.NilError(t, err)
		})
}

// Guards against documents that name a target that is not in the Makefile.
func TestNamedMakeTargetsExist(t *testing.T) {
	rules := readFile(t, "Makefile")
	forEachName(t, "(?:^`|^    )make ([a-z-]+)", 3, "", func(t *testing.T, name string) {
		assert.Assert(t, regexp.MustCompile(`(?m)^`+name+`:`).MatchString(rules), "no rule for %s", name)
	})
}

// Guards against documents that name a method that does not exist, as after a
// rename.
func TestNamedMethodsExist(t *testing.T) {
	forEachName(t, `(\w+\.\(\*\w+\)\.\w+)`, 2, "", func(t *testing.T, name string) {
		m := regexp.MustCompile(`(\w+)\.\(\*(\w+)\)\.(\w+)`).FindStringSubmatch(name)
		files, err := filepath.Glob(root + "pkg/" + m[1] + "/*.go")
		assert.NilError(t, err)
		decl := regexp.MustCompile(`(?m)^func \(\w+ \*` + m[2] + `\) ` + m[3] + `\(`)
		assert.Assert(t, slices.ContainsFunc(files, func(f string) bool {
			return decl.MatchString(readFile(t, strings.TrimPrefix(filepath.ToSlash(f), root)))
		}), "no method %s", name)
	})
}

// readSources returns the Go files of a directory as one text.
func readSources(t *testing.T, dir string) string {
	t.Helper()
	files, err := filepath.Glob(root + dir + "/*.go")
	assert.NilError(t, err)
	var b strings.Builder
	for _, f := range files {
		b.WriteString(readFile(t, strings.TrimPrefix(filepath.ToSlash(f), root)))
	}
	return b.String()
}

// Guards against documents that name a command or flag that does not exist.
// docs/cli.md is compared with the code by a test of ebonyctl.
func TestNamedCommandsExist(t *testing.T) {
	cli := readFile(t, "docs/cli.md")
	sourceOf := map[string]string{"ebonyd": readSources(t, "ebonyd/cmd/ebonyd"), "ebonyemu": readSources(t, "emul/cmd/ebonyemu")}
	hasName := func(src, name string) bool {
		return regexp.MustCompile(`Name:\s+"` + name + `"|func seedFlag\(\)[^}]*"` + name + `"`).MatchString(src)
	}
	forEachName(t, `\b(ebony(?:ctl|d|emu) (?:[a-z-].*)?)`, 20, "docs/cli.md", func(t *testing.T, line string) {
		line, _, _ = strings.Cut(strings.Trim(line, "`"), "#")
		words := strings.Fields(line)
		for _, f := range regexp.MustCompile(` --([a-z-]+)`).FindAllStringSubmatch(line, -1) {
			ok := strings.Contains(cli, "- `--"+f[1]+"`")
			if src := sourceOf[words[0]]; src != "" {
				ok = hasName(src, f[1])
			}
			assert.Assert(t, ok, "no flag --%s in %q", f[1], line)
		}
		words = slices.DeleteFunc(words, func(w string) bool { return strings.HasPrefix(w, "--") })
		switch {
		case len(words) < 2 || !regexp.MustCompile(`^[a-z-]+$`).MatchString(words[1]):
		case sourceOf[words[0]] != "":
			assert.Assert(t, hasName(sourceOf[words[0]], words[1]), "no command %q", line)
		default:
			oneWord, twoWords := "## ebonyctl "+words[1], ""
			if len(words) > 2 {
				twoWords = oneWord + " " + words[2]
			}
			headings := regexp.MustCompile(`(?m)^(## ebonyctl(?: [a-z]+)+)`).FindAllString(cli, -1)
			assert.Assert(t, slices.Contains(headings, oneWord) || slices.Contains(headings, twoWords), "no command %q", line)
		}
	})
}

// publishedTables holds the types whose fields the daemon publishes under
// tables, by package.
var publishedTables = map[string]any{
	"flow": flow.Counters{}, "member": member.Counters{}, "dist": dist.Counters{},
	"calls": reqs.Size{}, "server": server.Table{}, "pick": pick.Picker{},
}

// counterExists reports whether /debug/vars shows a counter with the name, such
// as refused.overloaded.
func counterExists(t *testing.T, name string) bool {
	group, rest, _ := strings.Cut(name, ".")
	mainSource := readFile(t, "ebonyd/cmd/ebonyd/main.go")
	assert.Assert(t, strings.Contains(mainSource, `"`+group+`"`), "%s is not published", group)
	switch group {
	case "control":
		_, ok := new(daemon.Counters).Map()[rest]
		return ok
	case "tables":
		pkg, field, _ := strings.Cut(rest, ".")
		_, ok := reflect.TypeOf(publishedTables[pkg]).FieldByName(field)
		return ok && strings.Contains(readFile(t, "pkg/daemon/counter.go"), `"`+pkg+`":`)
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

// Guards against an alarm in docs/OPERATIONS.md on a counter that does not exist.
func TestNamedCountersExist(t *testing.T) {
	names := inCode(readFile(t, "docs/OPERATIONS.md"), regexp.MustCompile("^`((?:refused|dropped|retried|closed|control|store|tables)\\.[\\w.]+)`$"))
	assert.Assert(t, len(names) >= 20, "found only %d names", len(names))
	for _, name := range names {
		t.Run(name, func(t *testing.T) { assert.Assert(t, counterExists(t, name)) })
	}
}
