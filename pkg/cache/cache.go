// Package cache decides how instances share what one of them reads from the
// platform's store. It holds a cache of the store's objects with their
// revisions, the tree along which instances pass updates on, and the policy by
// which an instance reads the store itself. The package has no sockets,
// goroutines or clocks: the code that uses it passes in the time and messages.
package cache

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"ebonypaddle/pkg/revs"
)

// Kind is a kind of objects in the store.
type Kind uint8

// Kinds of objects.
const (
	Settings Kind = iota
	Servers
	Domains
	// Kinds is the number of kinds.
	Kinds
)

var kindNames = [Kinds]string{"settings", "servers", "domains"}

// String returns the name of the kind for log lines.
func (k Kind) String() string {
	if k >= Kinds {
		return "invalid"
	}
	return kindNames[k]
}

// Object is an object of the store, or the tombstone of a removed one.
type Object struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// Rev is the revision of the object's last change.
	Rev     revs.Rev
	Deleted bool
	// Spec is the object's content in the format of Pack.
	Spec []byte
}

// hash returns the object's contribution to the checksum of its kind, 0 for an
// object that does not exist.
func (o *Object) hash() uint64 {
	if o.Deleted || o.Name == "" {
		return 0
	}
	return xxhash.Sum64String(o.Name) ^ uint64(o.Rev+1)*0x9E3779B97F4A7C15 // the factor spreads revisions over all bits
}

// Delta holds the changes of one kind from revision Since to revision Rev.
type Delta struct {
	_          struct{} `cbor:",toarray"`
	Kind       Kind
	Since, Rev revs.Rev
	// Full means that Objects are all objects that exist at Rev, whatever was
	// known before.
	Full    bool
	Objects []Object
}

// Cache holds the objects that an instance knows.
type Cache struct {
	kinds   [Kinds]kindCache
	ignored [Kinds]uint64
	// origin is the instance that read the latest confirmation from the store.
	origin string
}

// kindCache holds the objects of one kind.
type kindCache struct {
	rev      revs.Rev
	minSince revs.Rev // lowest revision from which a delta can be computed
	objects  map[string]entry
	// checksum covers the objects that exist. It is equal on two instances that
	// read the same objects at different revisions of the store.
	checksum uint64
	// confirmedAt is when the store last confirmed that rev is current.
	confirmedAt time.Time
}

// entry is an object and the revision of its kind at which it changed here.
type entry struct {
	Object
	changedAt revs.Rev
}

// Apply applies a delta that was current at the time at, and returns the
// objects that may have changed; for a full delta of a newer revision these are
// all of its objects. A delta older than the cache changes nothing, nor does one
// that is not full and starts after the cached revision or comes before the
// first full one. ok reports whether the cache is now at d.Rev or later.
func (c *Cache) Apply(at time.Time, d Delta) (changes Delta, ok bool) {
	if d.Kind >= Kinds {
		return Delta{}, false
	}
	kc := &c.kinds[d.Kind]
	if !d.Full && d.Since > kc.rev || kc.objects == nil && !d.Full {
		return Delta{}, false
	}
	if d.Rev < kc.rev {
		c.ignored[d.Kind]++
		return Delta{}, true
	}
	changes = Delta{Kind: d.Kind, Since: kc.rev, Rev: d.Rev}
	if d.Rev > kc.rev || kc.objects == nil {
		changes.Full = d.Full
		changes.Objects = kc.merge(d)
	}
	kc.rev = d.Rev
	if at.After(kc.confirmedAt) {
		kc.confirmedAt = at
	}
	return changes, true
}

// merge stores the objects of a delta and returns those that may have changed.
func (kc *kindCache) merge(d Delta) []Object {
	if d.Full {
		previous := kc.objects
		kc.objects = make(map[string]entry, len(d.Objects))
		kc.minSince = d.Rev
		kc.checksum = 0
		for _, o := range d.Objects {
			kc.checksum ^= o.hash()
			changedAt := d.Rev
			if e, ok := previous[o.Name]; ok && e.Rev == o.Rev {
				changedAt = e.changedAt
			}
			kc.objects[o.Name] = entry{o, changedAt}
		}
		return d.Objects
	}
	var changed []Object
	for _, o := range d.Objects {
		e, ok := kc.objects[o.Name]
		if ok && o.Rev < e.Rev {
			continue
		}
		kc.checksum ^= e.hash() ^ o.hash()
		kc.objects[o.Name] = entry{o, d.Rev}
		changed = append(changed, o)
	}
	return changed
}

// DeltaSince returns what changed in a kind after a revision. ok is false when
// the kind has not been read yet or rev is newer than the cached revision.
func (c *Cache) DeltaSince(k Kind, rev revs.Rev) (d Delta, ok bool) {
	kc := &c.kinds[k]
	if kc.objects == nil || rev > kc.rev {
		return Delta{}, false
	}
	d = Delta{Kind: k, Since: rev, Rev: kc.rev, Full: rev < kc.minSince || rev == 0}
	for _, e := range kc.objects {
		if d.Full && !e.Deleted || !d.Full && e.changedAt > rev {
			d.Objects = append(d.Objects, e.Object)
		}
	}
	return d, true
}

// maxTombstones is the number of removed objects of a kind that are kept for
// deltas. With more of them a full response is smaller.
const maxTombstones = 512

// TrimTombstones drops the tombstones of a kind once there are too many. An
// instance with an older revision then gets all objects instead of a delta.
func (c *Cache) TrimTombstones() {
	for k := range c.kinds {
		kc := &c.kinds[k]
		tombstones := 0
		for _, e := range kc.objects {
			if e.Deleted {
				tombstones++
			}
		}
		if tombstones <= maxTombstones {
			continue
		}
		kc.minSince = kc.rev
		for name, e := range kc.objects {
			if e.Deleted {
				delete(kc.objects, name)
			}
		}
	}
}

// Revs returns the revisions of all kinds.
func (c *Cache) Revs() [Kinds]revs.Rev {
	var out [Kinds]revs.Rev
	for k := range c.kinds {
		out[k] = c.kinds[k].rev
	}
	return out
}

// Ignored returns how many deltas of each kind were ignored because they are
// older than the cached objects.
func (c *Cache) Ignored() [Kinds]uint64 { return c.ignored }

// Checksums returns the checksums of the objects of all kinds.
func (c *Cache) Checksums() [Kinds]uint64 {
	var out [Kinds]uint64
	for k := range c.kinds {
		out[k] = c.kinds[k].checksum
	}
	return out
}

// Complete reports whether all kinds have been read at least once.
func (c *Cache) Complete() bool {
	for k := range c.kinds {
		if c.kinds[k].objects == nil {
			return false
		}
	}
	return true
}

// ConfirmedAt returns the time at which the objects of all kinds were last
// known to be current; zero if some kind has never been confirmed.
func (c *Cache) ConfirmedAt() time.Time {
	oldest := c.kinds[0].confirmedAt
	for k := range c.kinds {
		if t := c.kinds[k].confirmedAt; t.Before(oldest) {
			oldest = t
		}
	}
	return oldest
}

// Confirm records that a kind was current at a time.
func (c *Cache) Confirm(k Kind, at time.Time) {
	if kc := &c.kinds[k]; at.After(kc.confirmedAt) {
		kc.confirmedAt = at
	}
}

// Origin returns the name of the instance that read the latest confirmation.
func (c *Cache) Origin() string { return c.origin }

// SetOrigin records which instance read the latest confirmation.
func (c *Cache) SetOrigin(name string) { c.origin = name }
