package conf

import (
	"encoding/json"
	"fmt"
	"reflect"
)

// Change is one difference between two snapshots. An added or deleted object
// has one change per field that it sets.
type Change struct {
	Kind  Kind   `json:"kind"`
	Name  string `json:"name"`
	Field string `json:"field"`
	// Old and New are JSON texts; an absent field is "".
	Old string `json:"old"`
	New string `json:"new"`
}

// String writes the change on one line.
func (c Change) String() string {
	side := func(s string) string {
		if s == "" {
			return "(absent)"
		}
		return s
	}
	return fmt.Sprintf("%s %s: %s: %s -> %s", c.Kind, c.Name, c.Field, side(c.Old), side(c.New))
}

// Diff lists the differences between two snapshots in a fixed order. Edit
// identifiers are left out, and secrets are hidden.
func Diff(old, next *Snapshot) []Change {
	var out []Change
	out = differ(out, KindKey, old.Keys, next.Keys)
	out = differ(out, KindNode, old.Nodes, next.Nodes)
	out = differ(out, KindDomain, old.Domains, next.Domains)
	return differ(out, KindServer, old.Servers, next.Servers)
}

func differ[T any](out []Change, kind Kind, old, next map[string]T) []Change {
	names := map[string]bool{}
	for n, v := range next {
		if was, ok := old[n]; !ok || !reflect.DeepEqual(was, v) {
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
		out = appendChanges(out, kind, n, a, b)
	}
	return out
}

func appendChanges(out []Change, kind Kind, name string, a, b map[string]string) []Change {
	all := map[string]bool{}
	for f := range a {
		all[f] = true
	}
	for f := range b {
		all[f] = true
	}
	for _, f := range sortedNames(all) {
		if a[f] == b[f] || f == "edit" {
			continue
		}
		c := Change{kind, name, f, a[f], b[f]}
		if f == "secret" {
			c.Old, c.New = hide(c.Old), hide(c.New)
		}
		out = append(out, c)
	}
	return out
}

func hide(s string) string {
	if s == "" {
		return ""
	}
	return "(hidden)"
}

// flatten maps the paths of a value's JSON fields to their JSON texts.
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
