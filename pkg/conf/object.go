package conf

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Object is one object of the object API.
type Object struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Rev is the store-wide revision of the object's last change.
	Rev   uint64          `json:"rev"`
	Value json.RawMessage `json:"value,omitempty"`
	// Deleted marks an event that removes the object.
	Deleted bool `json:"deleted,omitempty"`
}

// Decode decodes one value strictly: unknown and repeated fields, nulls and
// wrong types are problems. name fills an absent path or name.
func Decode[T Node | Domain | Server | Key](kind Kind, name string, raw []byte) (T, Problems) {
	var v T
	var ps Problems
	r := report{kind, name, &ps}
	if len(raw) > MaxObject {
		r.add("(whole value)", fmt.Sprintf("%d bytes", len(raw)), fmt.Sprintf("at most %d bytes", MaxObject))
		return v, ps
	}
	r.decode(raw, &v)
	switch v := any(&v).(type) {
	case *Node:
		fill(&v.Path, name)
	case *Domain:
		fill(&v.Name, name)
	case *Server:
		fill(&v.Name, name)
	}
	return v, ps
}

func fill(field *string, name string) {
	if *field == "" {
		*field = name
	}
}

// Empty returns a snapshot without objects.
func Empty() *Snapshot {
	return &Snapshot{
		Nodes: map[string]Node{}, Domains: map[string]Domain{},
		Servers: map[string]Server{}, Keys: map[string]Key{},
	}
}

// Build makes the snapshot of revision rev from the objects of a list.
func Build(rev uint64, objs []Object) (*Snapshot, Problems) {
	s := Empty()
	s.Rev = rev
	var ps Problems
	for i := range objs {
		ps = append(ps, s.put(&objs[i])...)
	}
	return s, ps
}

// With returns the snapshot after one change. It copies only the table that
// changes, so that readers of s are not disturbed. On problems it returns s.
func (s *Snapshot) With(o Object) (*Snapshot, Problems) {
	next := *s
	next.Rev = max(s.Rev, o.Rev)
	switch o.Kind {
	case KindNode:
		next.Nodes = copied(s.Nodes)
	case KindDomain:
		next.Domains = copied(s.Domains)
	case KindServer:
		next.Servers = copied(s.Servers)
	case KindKey:
		next.Keys = copied(s.Keys)
	}
	if ps := next.put(&o); len(ps) > 0 {
		return s, ps
	}
	return &next, nil
}

func copied[T any](m map[string]T) map[string]T {
	if m == nil {
		return map[string]T{}
	}
	return maps.Clone(m)
}

func (s *Snapshot) put(o *Object) Problems {
	switch o.Kind {
	case KindNode:
		return store(s.Nodes, o)
	case KindDomain:
		return store(s.Domains, o)
	case KindServer:
		return store(s.Servers, o)
	case KindKey:
		return store(s.Keys, o)
	}
	return Problems{{o.Kind, o.Name, "kind", string(o.Kind), "node, domain, server or key"}}
}

func store[T Node | Domain | Server | Key](m map[string]T, o *Object) Problems {
	if o.Deleted {
		delete(m, o.Name)
		return nil
	}
	v, ps := Decode[T](o.Kind, o.Name, o.Value)
	if len(ps) == 0 {
		m[o.Name] = v
	}
	return ps
}

// Encode encodes a Node, Domain, Server or Key as the object of that name.
func Encode[T Node | Domain | Server | Key](kind Kind, name string, v T) (Object, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return Object{}, fmt.Errorf("encode %s %q: %w", kind, name, err)
	}
	return Object{Kind: kind, Name: name, Value: b}, nil
}

// Objects returns the snapshot's objects in an order in which they can be
// written one by one: every object after those that it refers to.
func (s *Snapshot) Objects() ([]Object, error) {
	var out []Object
	var first error
	keep := func(o Object, err error) {
		out = append(out, o)
		if first == nil {
			first = err
		}
	}
	for _, n := range sortedNames(s.Keys) {
		keep(Encode(KindKey, n, s.Keys[n]))
	}
	nodes := sortedNames(s.Nodes)
	slices.SortStableFunc(nodes, func(a, b string) int { return Depth(a) - Depth(b) })
	split, _ := slices.BinarySearchFunc(nodes, depthDomain, func(p string, d int) int { return Depth(p) - d })
	for _, n := range nodes[:split] {
		keep(Encode(KindNode, n, s.Nodes[n]))
	}
	for _, n := range sortedNames(s.Domains) {
		keep(Encode(KindDomain, n, s.Domains[n]))
	}
	for _, n := range nodes[split:] {
		keep(Encode(KindNode, n, s.Nodes[n]))
	}
	for _, n := range sortedNames(s.Servers) {
		keep(Encode(KindServer, n, s.Servers[n]))
	}
	return out, first
}

func sortedNames[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }

// DecodeSnapshot decodes a settings file strictly.
func DecodeSnapshot(raw []byte) (*Snapshot, Problems) {
	var ps Problems
	var top struct {
		Rev     uint64          `json:"rev"`
		Nodes   json.RawMessage `json:"nodes"`
		Domains json.RawMessage `json:"domains"`
		Servers json.RawMessage `json:"servers"`
		Keys    json.RawMessage `json:"keys"`
	}
	report{KindSnapshot, "", &ps}.decode(raw, &top)
	s := Empty()
	s.Rev = top.Rev
	ps = append(ps, section(s.Nodes, KindNode, top.Nodes)...)
	ps = append(ps, section(s.Domains, KindDomain, top.Domains)...)
	ps = append(ps, section(s.Servers, KindServer, top.Servers)...)
	ps = append(ps, section(s.Keys, KindKey, top.Keys)...)
	return s, ps
}

func section[T Node | Domain | Server | Key](m map[string]T, kind Kind, raw []byte) Problems {
	if raw == nil {
		return nil
	}
	ms, err := members(raw)
	if err != nil {
		return Problems{{KindSnapshot, "", string(kind) + "s", clip(raw), "a JSON object with each name once: " + err.Error()}}
	}
	var ps Problems
	for _, e := range ms {
		ps = append(ps, store(m, &Object{Kind: kind, Name: e.key, Value: e.raw})...)
	}
	return ps
}
