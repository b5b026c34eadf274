package store_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/go-json-experiment/json/jsontext"
	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/store"
)

// deepValue is valid JSON that is nested deeper than decoders accept.
var deepValue = strings.Repeat("[", 12_000) + strings.Repeat("]", 12_000)

// Guards against a member that is missed, or cut at a bracket or quote inside its
// text.
func TestMemberIsNotMissedOrCut(t *testing.T) {
	for name, tc := range map[string]struct{ in, want string }{
		"plain":             {`{"a":1,"b":"x"}`, `"x"`},
		"white space":       {" {\n\"b\" : [1, 2] ,\t\"a\":1 } \r\n", `[1, 2]`},
		"other case":        {`{"B":true}`, `true`},
		"escaped name":      {`{"\u0062":null}`, `null`},
		"brackets in text":  {`{"a":"}]","b":{"x":"{[\"\\"}}`, `{"x":"{[\"\\"}`},
		"backslashes":       {`{"a":"\\\\","b":"\\\""}`, `"\\\""`},
		"given twice":       {`{"b":1,"b":2}`, `2`},
		"nested name":       {`{"a":{"b":1}}`, ``},
		"empty":             {`{}`, ``},
		"deep":              {`{"a":` + deepValue + `,"b":` + deepValue + `}`, deepValue},
		"not UTF-8":         {"{\"a\":\"\xff\",\"b\":\"\xfe\"}", "\"\xfe\""},
		"number in its way": {`{"a":-1.5e400,"b":1e400}`, `1e400`},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := store.Members([]byte(tc.in), "b")
			assert.NilError(t, err)
			assert.Equal(t, string(got[0]), tc.want)
		})
	}
}

// Guards against a response that broke off, or two in one, being taken for a
// complete one.
func TestSplitRefusesOtherText(t *testing.T) {
	for _, in := range []string{
		``, ` `, `{`, `{"a"`, `{"a":`, `{"a":1`, `{"a":1,`, `{"a":"x`, `{"a":"x\"}`, `{"a":[}`, `{"a":1}}`, `{"a":1}{"a":1}`, `{"a":1} x`,
		`{"a":1,}`, `{,}`, `{"a" 1}`, `{a:1}`, `{"a":}`, `[1]`, `1`, `"a"`, `null`, `{"a":1 "b":2}`, `{"\x":1}`,
	} {
		t.Run(in, func(t *testing.T) {
			_, err := store.Members([]byte(in), "b")
			assert.Assert(t, err != nil)
		})
	}
	for _, in := range []string{`[`, `[1`, `[1,`, `[1,]`, `[,]`, `[1]]`, `{}`, `1`, `[1]x`} {
		t.Run(in, func(t *testing.T) {
			_, err := store.Elements([]byte(in))
			assert.Assert(t, err != nil)
		})
	}
}

// Guards against an empty list that is taken for a missing one, or the reverse.
func TestElementsOfNoArray(t *testing.T) {
	for _, in := range []string{``, `null`} {
		got, err := store.Elements([]byte(in))
		assert.NilError(t, err)
		assert.Assert(t, got == nil)
	}
	got, err := store.Elements([]byte(` [ ] `))
	assert.NilError(t, err)
	assert.Assert(t, got != nil && len(got) == 0)
}

// Guards against elements that differ from those that a JSON decoder finds, and
// against a crash on any text.
func FuzzElements(f *testing.F) {
	for _, in := range []string{`[1,"a",{"b":[]},null]`, `[[[]],"]",{"\"":"\\"}]`, ` [ 1 , 2 ] `, `[`, `["\u005d"]`, `[{"meta":{"Name":"i-1"}},]`, deepValue} {
		f.Add([]byte(in))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		var want []jsontext.Value
		valid := store.Decode(in, &want) == nil
		got, err := store.Elements(in)
		if !valid || want == nil {
			return
		}
		assert.NilError(t, err)
		assert.Assert(t, slices.EqualFunc(got, want, func(a []byte, b jsontext.Value) bool { return string(a) == string(b) }), "%q, want %q", got, want)
	})
}
