package conf

import (
	"encoding/json"
	"fmt"
	"reflect"
)

// Change is the difference of one field between two snapshots. An added or
// deleted object yields one change for each of its fields.
type Change struct {
	Kind  Kind   `json:"kind"`
	Name  string `json:"name"`
	Field string `json:"field"`
	// Old and New are the JSON texts of the value, or "" for an absent field.
	Old string `json:"old"`
	New string `json:"new"`
}

// String returns the change as one line of text.
func (c Change) String() string {
	orAbsent := func(s string) string {
		if s == "" {
			return "(absent)"
		}
		return s
	}
	return fmt.Sprintf("%s %s: %s: %s -> %s", c.Kind, c.Name, c.Field, orAbsent(c.Old), orAbsent(c.New))
}

// Diff returns the differences between two snapshots, ordered by kind, name and
// field. It omits edit identifiers and hides secrets.
func Diff(old, next *Snapshot) []Change {
	var out []Change
	out = appendObjectChanges(out, KindKey, old.Keys, next.Keys)
	out = appendObjectChanges(out, KindNode, old.Nodes, next.Nodes)
	out = appendObjectChanges(out, KindDomain, old.Domains, next.Domains)
	return appendObjectChanges(out, KindServer, old.Servers, next.Servers)
}

func appendObjectChanges[T any](out []Change, kind Kind, old, next map[string]T) []Change {
	names := map[string]bool{}
	for n, v := range next {
		if prev, ok := old[n]; !ok || !reflect.DeepEqual(prev, v) {
			names[n] = true
		}
	}
	for n := range old {
		if _, ok := next[n]; !ok {
			names[n] = true
		}
	}
	for _, n := range sortedNames(names) {
		a, b := map[string]string{}, map[string]string{}
		if v, ok := old[n]; ok {
			flatten(a, "", v)
		}
		if v, ok := next[n]; ok {
			flatten(b, "", v)
		}
		out = appendFieldChanges(out, kind, n, a, b)
	}
	return out
}

func appendFieldChanges(out []Change, kind Kind, name string, a, b map[string]string) []Change {
	names := map[string]bool{}
	for f := range a {
		names[f] = true
	}
	for f := range b {
		names[f] = true
	}
	for _, f := range sortedNames(names) {
		if a[f] == b[f] || f == "edit" {
			continue
		}
		c := Change{kind, name, f, a[f], b[f]}
		if f == "secret" {
			c.Old, c.New = redact(c.Old), redact(c.New)
		}
		out = append(out, c)
	}
	return out
}

func redact(s string) string {
	if s == "" {
		return ""
	}
	return "(hidden)"
}

// flatten adds the JSON fields of v to out, as dotted paths with their JSON
// texts.
func flatten(out map[string]string, prefix string, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		out[prefix] = err.Error()
		return
	}
	flattenRaw(out, prefix, raw)
}

func flattenRaw(out map[string]string, prefix string, raw []byte) {
	ms, err := members(raw)
	if err != nil {
		out[prefix] = string(raw)
		return
	}
	for _, m := range ms {
		name := m.key
		if prefix != "" {
			name = prefix + "." + name
		}
		flattenRaw(out, name, m.raw)
	}
}
