package wire_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/wire"
)

const root = "../.."

var (
	reasonTableLine = regexp.MustCompile("(?m)^\\| `(\\w+)` \\| (not counted|(?:(?:refused|dropped|retried|closed)(?:, )?)+) \\|[^|]*\\w[^|]*\\|[^|]*\\w[^|]*\\|$")
	identifier      = regexp.MustCompile(`\bReason[A-Z]\w*`)
	comment         = regexp.MustCompile(`//.*`)
)

// Guards against a reason without an entry in docs/counters.md, where operators
// look up the meaning of a counter, and against a reason that no code uses, whose
// counter would always be zero.
func TestReasonsAreDocumentedAndUsed(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs/counters.md"))
	assert.NilError(t, err)
	_, section, ok := strings.Cut(string(page), "| reason |")
	assert.Assert(t, ok, "docs/counters.md has no table of reasons")
	section, _, _ = strings.Cut(section, "\n## ")
	used := usedReasons(t)
	var listed []string
	for _, m := range reasonTableLine.FindAllStringSubmatch(section, -1) {
		listed = append(listed, m[1])
	}
	assert.Equal(t, len(listed), strings.Count(section, "\n|")-1, "a line of the table has the wrong form")
	for r := range wire.ReasonCount {
		name := wire.Reason(r).String()
		assert.Check(t, name != "", "reason %d has no name", r)
		assert.Check(t, used["Reason"+strings.ToUpper(name[:min(1, len(name))])+name[min(1, len(name)):]], "reason %q is used nowhere", name)
		if i := slices.Index(listed, name); i >= 0 {
			listed = slices.Delete(listed, i, i+1)
		} else {
			assert.Check(t, name == "none", "reason %q is missing in the table", name)
		}
	}
	assert.Equal(t, len(listed), 0, "in the table, but duplicate or not a reason: %v", listed)
}

// usedReasons returns the identifiers of reasons in all code except tests.
func usedReasons(t *testing.T) map[string]bool {
	used := map[string]bool{}
	assert.NilError(t, filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, "wire/reason.go") {
			return err
		}
		b, err := os.ReadFile(path)
		for _, name := range identifier.FindAllString(comment.ReplaceAllString(string(b), ""), -1) {
			used[name] = true
		}
		return err
	}))
	return used
}
