package conf

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Object is one object of the object API, or one event of a watch.
type Object struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Rev is the store-wide revision of the object's last change.
	Rev   uint64          `json:"rev"`
	Value json.RawMessage `json:"value,omitempty"`
	// Deleted marks an event that deletes the object.
	Deleted bool `json:"deleted,omitempty"`
}

// Decode decodes one value strictly: unknown and duplicate fields, nulls and
// wrong types are problems. An absent path or name is set to name.
func Decode[T Node | Domain | Server | Key](kind Kind, name string, raw []byte) (T, Problems) {
	var v T
	var ps Problems
	r := report{kind, name, &ps}
	if len(raw) > MaxObject {
		r.add("(whole value)", fmt.Sprintf("%d bytes", len(raw)), fmt.Sprintf("at most %d bytes", MaxObject))
		return v, ps
	}
	r.decodeStruct(raw, &v)
	switch v := any(&v).(type) {
	case *Node:
		setIfEmpty(&v.Path, name)
	case *Domain:
		setIfEmpty(&v.Name, name)
	case *Server:
		setIfEmpty(&v.Name, name)
	}
	return v, ps
}

func setIfEmpty(field *string, name string) {
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

// Build creates the snapshot of revision rev from the objects of a list.
func Build(rev uint64, objs []Object) (*Snapshot, Problems) {
	s := Empty()
	s.Rev = rev
	var ps Problems
	for i := range objs {
		ps = append(ps, s.put(&objs[i])...)
	}
	return s, ps
}

// With returns the snapshot after one change and leaves s unchanged. The result
// shares all maps with s except the one that the change concerns. If o is
// invalid, it returns s and the problems.
func (s *Snapshot) With(o Object) (*Snapshot, Problems) {
	next := *s
	next.Rev = max(s.Rev, o.Rev)
	switch o.Kind {
	case KindNode:
		next.Nodes = cloneMap(s.Nodes)
	case KindDomain:
		next.Domains = cloneMap(s.Domains)
	case KindServer:
		next.Servers = cloneMap(s.Servers)
	case KindKey:
		next.Keys = cloneMap(s.Keys)
	}
	if ps := next.put(&o); len(ps) > 0 {
		return s, ps
	}
	return &next, nil
}

func cloneMap[T any](m map[string]T) map[string]T {
	if m == nil {
		return map[string]T{}
	}
	return maps.Clone(m)
}

func (s *Snapshot) put(o *Object) Problems {
	switch o.Kind {
	case KindNode:
		return putObject(s.Nodes, o)
	case KindDomain:
		return putObject(s.Domains, o)
	case KindServer:
		return putObject(s.Servers, o)
	case KindKey:
		return putObject(s.Keys, o)
	}
	return Problems{{o.Kind, o.Name, "kind", string(o.Kind), "node, domain, server or key"}}
}

func putObject[T Node | Domain | Server | Key](m map[string]T, o *Object) Problems {
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

// Encode encodes a Node, Domain, Server or Key as an object.
func Encode[T Node | Domain | Server | Key](kind Kind, name string, v T) (Object, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return Object{}, fmt.Errorf("encode %s %q: %w", kind, name, err)
	}
	return Object{Kind: kind, Name: name, Value: b}, nil
}

// Objects returns the snapshot's objects in an order in which they can be
// written one by one: every object follows those that it refers to.
func (s *Snapshot) Objects() ([]Object, error) {
	var out []Object
	var firstErr error
	add := func(o Object, err error) {
		out = append(out, o)
		if firstErr == nil {
			firstErr = err
		}
	}
	for _, n := range sortedNames(s.Keys) {
		add(Encode(KindKey, n, s.Keys[n]))
	}
	nodes := sortedNames(s.Nodes)
	slices.SortStableFunc(nodes, func(a, b string) int { return Depth(a) - Depth(b) })
	firstDomainNode, _ := slices.BinarySearchFunc(nodes, depthDomain, func(p string, d int) int { return Depth(p) - d })
	for _, n := range nodes[:firstDomainNode] {
		add(Encode(KindNode, n, s.Nodes[n]))
	}
	for _, n := range sortedNames(s.Domains) {
		add(Encode(KindDomain, n, s.Domains[n]))
	}
	for _, n := range nodes[firstDomainNode:] {
		add(Encode(KindNode, n, s.Nodes[n]))
	}
	for _, n := range sortedNames(s.Servers) {
		add(Encode(KindServer, n, s.Servers[n]))
	}
	return out, firstErr
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
	report{KindSnapshot, "", &ps}.decodeStruct(raw, &top)
	s := Empty()
	s.Rev = top.Rev
	ps = append(ps, decodeSection(s.Nodes, KindNode, top.Nodes)...)
	ps = append(ps, decodeSection(s.Domains, KindDomain, top.Domains)...)
	ps = append(ps, decodeSection(s.Servers, KindServer, top.Servers)...)
	ps = append(ps, decodeSection(s.Keys, KindKey, top.Keys)...)
	return s, ps
}

func decodeSection[T Node | Domain | Server | Key](m map[string]T, kind Kind, raw []byte) Problems {
	if raw == nil {
		return nil
	}
	ms, err := members(raw)
	if err != nil {
		return Problems{{KindSnapshot, "", string(kind) + "s", truncate(raw), "a JSON object with each name once: " + err.Error()}}
	}
	var ps Problems
	for _, e := range ms {
		ps = append(ps, putObject(m, &Object{Kind: kind, Name: e.key, Value: e.raw})...)
	}
	return ps
}
