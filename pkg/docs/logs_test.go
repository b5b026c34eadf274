package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/wire"
)

// messageArg maps the functions that write a log line to the index of their
// message argument.
var messageArg = map[string]int{"Info": 0, "Warn": 0, "Error": 0, "Debug": 0, "logEnd": 1, "NewRecord": 2}

// logMessage returns the message of a call that writes a log line, and false for
// other calls and for messages that are not literals.
func logMessage(t *testing.T, call *ast.CallExpr) (string, bool) {
	f, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return "", false
	}
	i, ok := messageArg[f.Sel.Name]
	if !ok || len(call.Args) <= i {
		return "", false
	}
	lit, ok := call.Args[i].(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return "", false
	}
	msg, err := strconv.Unquote(lit.Value)
	assert.NilError(t, err)
	return msg, true
}

// logMessages returns the log messages in the sources of the programs, sorted
// and without duplicates.
func logMessages(t *testing.T) []string {
	t.Helper()
	var out []string
	for _, dir := range []string{"pkg", "platform", "ebonyd"} {
		err := filepath.WalkDir(root+dir, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			for n := range ast.Preorder(f) {
				if call, ok := n.(*ast.CallExpr); ok {
					if msg, ok := logMessage(t, call); ok {
						out = append(out, msg)
					}
				}
			}
			return nil
		})
		assert.NilError(t, err)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// firstColumn returns the names in the first column of a page's tables, sorted.
func firstColumn(page string) []string {
	var out []string
	for _, cell := range regexp.MustCompile("(?m)^\\| (`.+?`) \\|").FindAllStringSubmatch(page, -1) {
		for _, name := range strings.Split(cell[1], "`, `") {
			out = append(out, strings.Trim(name, "`"))
		}
	}
	slices.Sort(out)
	return out
}

// Guards against log messages that docs/logs.md does not explain, and against
// messages in it that no program writes.
func TestMessages(t *testing.T) {
	written := logMessages(t)
	assert.Assert(t, len(written) >= 50, "found only %d messages", len(written))
	listed := firstColumn(readFile(t, "docs/logs.md"))
	for _, m := range written {
		assert.Check(t, slices.Contains(listed, m), "docs/logs.md does not explain %q", m)
	}
	for _, m := range listed {
		assert.Check(t, slices.Contains(written, m), "no program writes %q", m)
	}
}

// Guards against a reason that docs/counters.md does not explain.
func TestReasons(t *testing.T) {
	_, section, _ := strings.Cut(readFile(t, "docs/counters.md"), "\n## Reasons\n")
	section, _, _ = strings.Cut(section, "\n## ")
	listed := firstColumn(section)
	for i := range wire.ReasonCount {
		if r := wire.Reason(i); r != wire.ReasonNone {
			assert.Check(t, slices.Contains(listed, r.String()), "docs/counters.md does not explain %q", r)
		}
	}
}
