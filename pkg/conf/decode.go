package conf

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
)

// MaxObject is the largest encoded object in bytes, which is the limit of the
// object API.
const MaxObject = 1 << 20

// member is one key of a JSON object with its undecoded value.
type member struct {
	key string
	raw json.RawMessage
}

var errRepeated = errors.New("a field appears twice")

// members splits a JSON object. encoding/json takes the last of repeated keys,
// which would hide one of two edits in a file, so they are refused here.
func members(raw []byte) ([]member, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	t, err := dec.Token()
	if err != nil {
		return nil, fmt.Errorf("not JSON: %w", err)
	}
	if t != json.Delim('{') {
		return nil, errors.New("not a JSON object")
	}
	var out []member
	seen := map[string]bool{}
	for dec.More() {
		k, err := dec.Token()
		if err != nil {
			return nil, fmt.Errorf("not JSON: %w", err)
		}
		m := member{key: k.(string)}
		if err := dec.Decode(&m.raw); err != nil {
			return nil, fmt.Errorf("not JSON: %w", err)
		}
		if seen[m.key] {
			return nil, fmt.Errorf("%w: %q", errRepeated, m.key)
		}
		seen[m.key] = true
		out = append(out, m)
	}
	if _, err := dec.Token(); err != nil {
		return nil, fmt.Errorf("not JSON: %w", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("data follows the JSON object")
	}
	return out, nil
}

// decode fills the struct at dst and reports every field that it refuses.
func (r report) decode(raw []byte, dst any) {
	r.object("", raw, reflect.ValueOf(dst).Elem())
}

func (r report) object(prefix string, raw []byte, dst reflect.Value) {
	ms, err := members(raw)
	if err != nil {
		r.add(orWhole(prefix), clip(raw), "a JSON object with each field once: "+err.Error())
		return
	}
	for _, m := range ms {
		name := prefix + m.key
		f, ok := fieldByTag(dst, m.key)
		if !ok {
			r.add(name, clip(m.raw), "a known field of "+string(r.kind))
			continue
		}
		r.value(name, m.raw, f)
	}
}

func (r report) value(name string, raw []byte, dst reflect.Value) {
	switch {
	case string(raw) == "null":
		r.add(name, "null", "a value")
	case isLeaf(dst):
		if err := json.Unmarshal(raw, dst.Addr().Interface()); err != nil {
			r.add(name, clip(raw), wanted(name, dst.Type()))
		}
	case dst.Kind() == reflect.Pointer:
		p := reflect.New(dst.Type().Elem())
		r.value(name, raw, p.Elem())
		dst.Set(p)
	case dst.Kind() == reflect.Struct:
		r.object(name+".", raw, dst)
	default:
		r.list(name, raw, dst)
	}
}

func (r report) list(name string, raw []byte, dst reflect.Value) {
	var raws []json.RawMessage
	if err := json.Unmarshal(raw, &raws); err != nil {
		r.add(name, clip(raw), "a JSON array")
		return
	}
	dst.Set(reflect.MakeSlice(dst.Type(), len(raws), len(raws)))
	for i, e := range raws {
		r.value(fmt.Sprintf("%s[%d]", name, i), e, dst.Index(i))
	}
}

// isLeaf reports whether encoding/json decodes the value without losing
// sight of unknown fields.
func isLeaf(v reflect.Value) bool {
	switch v.Addr().Interface().(type) {
	case json.Unmarshaler, encoding.TextUnmarshaler, *[]byte, *map[string]string:
		return true
	}
	k := v.Kind()
	return k != reflect.Pointer && k != reflect.Struct && k != reflect.Slice
}

func fieldByTag(v reflect.Value, key string) (reflect.Value, bool) {
	for i := range v.NumField() {
		tag, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		if tag == key {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// wanted describes what a field accepts, with its range if it has one.
func wanted(name string, t reflect.Type) string {
	base := name[strings.LastIndexByte(name, '.')+1:]
	bound := ""
	for _, f := range fields {
		if f.Name == base {
			bound = " " + f.Bound()
		}
	}
	switch t {
	case reflect.TypeFor[Duration]():
		return `a string with a unit such as "250ms"` + bound
	case reflect.TypeFor[[]byte]():
		return "a base64 string"
	}
	return "a value of type " + t.String() + bound
}

func orWhole(prefix string) string {
	if prefix == "" {
		return "(whole value)"
	}
	return strings.TrimSuffix(prefix, ".")
}

// clip shortens a value for a message.
func clip(raw []byte) string {
	const longest = 80 // bytes of a value that one line of a report shows
	if len(raw) > longest {
		return string(raw[:longest]) + "..."
	}
	return string(raw)
}
