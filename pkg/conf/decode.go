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

// MaxObject is the size in bytes of the largest encoded object that the object
// API accepts.
const MaxObject = 1 << 20

// member is one member of a JSON object: a key and its undecoded value.
type member struct {
	key string
	raw json.RawMessage
}

var errDuplicateField = errors.New("a field appears twice")

// members splits a JSON object into its members. It fails on duplicate keys,
// because encoding/json would use the last one and silently ignore an edit of
// the others.
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
			return nil, fmt.Errorf("%w: %q", errDuplicateField, m.key)
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

// decodeStruct decodes raw into the struct that dst points to and adds a problem
// for every invalid field.
func (r report) decodeStruct(raw []byte, dst any) {
	r.decodeObject("", raw, reflect.ValueOf(dst).Elem())
}

func (r report) decodeObject(prefix string, raw []byte, dst reflect.Value) {
	ms, err := members(raw)
	if err != nil {
		r.add(fieldOrWhole(prefix), truncate(raw), "a JSON object with each field once: "+err.Error())
		return
	}
	for _, m := range ms {
		name := prefix + m.key
		f, ok := fieldByTag(dst, m.key)
		if !ok {
			r.add(name, truncate(m.raw), "a known field of "+string(r.kind))
			continue
		}
		r.decodeValue(name, m.raw, f)
	}
}

func (r report) decodeValue(name string, raw []byte, dst reflect.Value) {
	switch {
	case string(raw) == "null":
		r.add(name, "null", "a value")
	case isLeaf(dst):
		if err := json.Unmarshal(raw, dst.Addr().Interface()); err != nil {
			r.add(name, truncate(raw), expectedValue(name, dst.Type()))
		}
	case dst.Kind() == reflect.Pointer:
		p := reflect.New(dst.Type().Elem())
		r.decodeValue(name, raw, p.Elem())
		dst.Set(p)
	case dst.Kind() == reflect.Struct:
		r.decodeObject(name+".", raw, dst)
	default:
		r.decodeList(name, raw, dst)
	}
}

func (r report) decodeList(name string, raw []byte, dst reflect.Value) {
	var raws []json.RawMessage
	if err := json.Unmarshal(raw, &raws); err != nil {
		r.add(name, truncate(raw), "a JSON array")
		return
	}
	dst.Set(reflect.MakeSlice(dst.Type(), len(raws), len(raws)))
	for i, e := range raws {
		r.decodeValue(fmt.Sprintf("%s[%d]", name, i), e, dst.Index(i))
	}
}

// isLeaf reports whether encoding/json can decode the value as a whole: it has
// no struct fields, among which unknown or duplicate ones would go unnoticed.
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

// expectedValue describes the type of a field and its range, if it has one.
func expectedValue(name string, t reflect.Type) string {
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

func fieldOrWhole(prefix string) string {
	if prefix == "" {
		return "(whole value)"
	}
	return strings.TrimSuffix(prefix, ".")
}

// truncate shortens a value for an error message.
func truncate(raw []byte) string {
	const maxBytes = 80 // keeps a problem readable on one line
	if len(raw) > maxBytes {
		return string(raw[:maxBytes]) + "..."
	}
	return string(raw)
}
