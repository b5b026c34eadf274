package dist

import (
	"fmt"
	"maps"
	"reflect"

	"ebonypaddle/pkg/conf"

	"github.com/fxamacker/cbor/v2"
)

// Delta is the difference between the settings at two revisions.
type Delta struct {
	_ struct{} `cbor:",toarray"`
	// From is the revision to which the delta applies, To the revision of the
	// result. A full delta holds the whole snapshot and applies to any revision
	// lower than To.
	From, To uint64
	Full     bool
	Nodes    RecordChanges[conf.Node]
	Domains  RecordChanges[conf.Domain]
	Servers  RecordChanges[conf.Server]
	Keys     RecordChanges[conf.Key]
}

// RecordChanges holds the changed records of one kind, by name. Set contains
// the records that were added or modified, and Del the names of deleted records.
type RecordChanges[T any] struct {
	_   struct{} `cbor:",toarray"`
	Set map[string]T
	Del []string
}

// MaxDelta is the maximum encoded size of a delta or snapshot in bytes. A value
// on the platform can take up to a megabyte, and the settings consist of many
// values.
const MaxDelta = 64 << 20

var encMode = func() cbor.EncMode {
	opt := cbor.CoreDetEncOptions()
	// The default, whole seconds, would truncate the times of marks and keys.
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

// diffSnapshots returns the delta from one snapshot to the next.
func diffSnapshots(old, next *conf.Snapshot) Delta {
	return Delta{
		From: old.Rev, To: next.Rev,
		Nodes:   diffRecords(old.Nodes, next.Nodes),
		Domains: diffRecords(old.Domains, next.Domains),
		Servers: diffRecords(old.Servers, next.Servers),
		Keys:    diffRecords(old.Keys, next.Keys),
	}
}

// fullDelta returns a delta that holds the whole snapshot.
func fullDelta(s *conf.Snapshot) Delta {
	d := diffSnapshots(&conf.Snapshot{}, s)
	d.Full = true
	return d
}

// diffRecords returns the changes that turn the records old into next.
func diffRecords[T any](old, next map[string]T) (c RecordChanges[T]) {
	for k, v := range next {
		if o, ok := old[k]; !ok || !reflect.DeepEqual(o, v) {
			if c.Set == nil {
				c.Set = map[string]T{}
			}
			c.Set[k] = v
		}
	}
	for k := range old {
		if _, ok := next[k]; !ok {
			c.Del = append(c.Del, k)
		}
	}
	return c
}

// apply returns the records old with the changes applied. It does not modify
// old, and returns old itself if there are no changes.
func (c RecordChanges[T]) apply(old map[string]T) map[string]T {
	if len(c.Set) == 0 && len(c.Del) == 0 && old != nil {
		return old
	}
	next := maps.Clone(old)
	if next == nil {
		next = map[string]T{}
	}
	for _, k := range c.Del {
		delete(next, k)
	}
	maps.Copy(next, c.Set)
	return next
}

// compose returns the changes that have the effect of c followed by next.
func (c RecordChanges[T]) compose(next RecordChanges[T]) RecordChanges[T] {
	merged := RecordChanges[T]{Set: maps.Clone(c.Set)}
	for _, k := range next.Del {
		delete(merged.Set, k)
	}
	if merged.Set == nil {
		merged.Set = map[string]T{}
	}
	maps.Copy(merged.Set, next.Set)
	for _, k := range append(append([]string(nil), c.Del...), next.Del...) {
		if _, ok := merged.Set[k]; !ok {
			merged.Del = append(merged.Del, k)
		}
	}
	return merged
}

// compose returns the delta that has the effect of d followed by next.
func (d Delta) compose(next Delta) Delta {
	return Delta{
		From: d.From, To: next.To,
		Nodes: d.Nodes.compose(next.Nodes), Domains: d.Domains.compose(next.Domains),
		Servers: d.Servers.compose(next.Servers), Keys: d.Keys.compose(next.Keys),
	}
}
