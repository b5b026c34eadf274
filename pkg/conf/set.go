package conf

import (
	"encoding/json"
	"reflect"
)

// Set sets one field of the values from its text in a settings file, with or
// without quotes. Empty text clears the field, so that it is inherited. path is
// the node's path and is used in problems only.
func (v *Values) Set(path, name, text string) Problems {
	var ps Problems
	r := report{KindNode, path, &ps}
	f, ok := fieldByTag(reflect.ValueOf(v).Elem(), name)
	if !ok {
		r.add(name, text, "a known field of values")
		return ps
	}
	if text == "" {
		f.SetZero()
		return nil
	}
	raw := []byte(text)
	if !json.Valid(raw) {
		raw, _ = json.Marshal(text) // A string always encodes.
	}
	r.decodeValue(name, raw, f)
	return ps
}
