package dist

import (
	"fmt"
	"maps"
	"reflect"

	"ebonypaddle/pkg/conf"

	"github.com/fxamacker/cbor/v2"
)

// Delta changes settings at one revision into those at a higher one.
type Delta struct {
	_ struct{} `cbor:",toarray"`
	// From is the revision the delta applies to. A full delta applies to any
	// lower revision and holds the whole snapshot.
	From, To uint64
	Full     bool
	Nodes    RecordChanges[conf.Node]
	Domains  RecordChanges[conf.Domain]
	Servers  RecordChanges[conf.Server]
	Keys     RecordChanges[conf.Key]
}

// RecordChanges is the change of one kind of record.
type RecordChanges[T any] struct {
	_   struct{} `cbor:",toarray"`
	Set map[string]T
	Del []string
}

// MaxDelta bounds the encoded size of a delta or snapshot in bytes. The
// platform holds values of up to a megabyte, and settings are many values.
const MaxDelta = 64 << 20

var encMode = func() cbor.EncMode {
	opt := cbor.CoreDetEncOptions()
	// Whole seconds, the default, would cut the times of marks and keys.
	opt.Time = cbor.TimeRFC3339Nano
	m, err := opt.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, MaxMapPairs: 1 << 20, MaxArrayElements: 1 << 20,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// Encode returns the CBOR form of the delta.
func (d *Delta) Encode() ([]byte, error) {
	b, err := encMode.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encode delta %d to %d: %w", d.From, d.To, err)
	}
	return b, nil
}

// DecodeDelta parses a delta of at most MaxDelta bytes.
func DecodeDelta(b []byte) (Delta, error) {
	var d Delta
	if len(b) > MaxDelta {
		return d, fmt.Errorf("decode delta: %d bytes exceed the limit of %d", len(b), MaxDelta)
	}
	if err := decMode.Unmarshal(b, &d); err != nil {
		return d, fmt.Errorf("decode delta: %w", err)
	}
	return d, nil
}

// between returns the delta from one snapshot to the next.
func between(old, next *conf.Snapshot) Delta {
	return Delta{
		From: old.Rev, To: next.Rev,
		Nodes:   partOf(old.Nodes, next.Nodes),
		Domains: partOf(old.Domains, next.Domains),
		Servers: partOf(old.Servers, next.Servers),
		Keys:    partOf(old.Keys, next.Keys),
	}
}

func full(s *conf.Snapshot) Delta {
	d := between(&conf.Snapshot{}, s)
	d.Full = true
	return d
}

func partOf[T any](old, next map[string]T) (p RecordChanges[T]) {
	for k, v := range next {
		if o, ok := old[k]; !ok || !reflect.DeepEqual(o, v) {
			if p.Set == nil {
				p.Set = map[string]T{}
			}
			p.Set[k] = v
		}
	}
	for k := range old {
		if _, ok := next[k]; !ok {
			p.Del = append(p.Del, k)
		}
	}
	return p
}

func (p RecordChanges[T]) apply(old map[string]T) map[string]T {
	if len(p.Set) == 0 && len(p.Del) == 0 && old != nil {
		return old
	}
	next := maps.Clone(old)
	if next == nil {
		next = map[string]T{}
	}
	for _, k := range p.Del {
		delete(next, k)
	}
	maps.Copy(next, p.Set)
	return next
}

// then returns the part that has the effect of p and q in order.
func (p RecordChanges[T]) then(q RecordChanges[T]) RecordChanges[T] {
	r := RecordChanges[T]{Set: maps.Clone(p.Set)}
	for _, k := range q.Del {
		delete(r.Set, k)
	}
	if r.Set == nil {
		r.Set = map[string]T{}
	}
	maps.Copy(r.Set, q.Set)
	for _, k := range append(append([]string(nil), p.Del...), q.Del...) {
		if _, ok := r.Set[k]; !ok {
			r.Del = append(r.Del, k)
		}
	}
	return r
}

func (d Delta) then(e Delta) Delta {
	return Delta{
		From: d.From, To: e.To,
		Nodes: d.Nodes.then(e.Nodes), Domains: d.Domains.then(e.Domains),
		Servers: d.Servers.then(e.Servers), Keys: d.Keys.then(e.Keys),
	}
}
