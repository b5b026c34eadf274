// Package cache decides how instances share what one of them reads of the
// platform's store: a cache of facts with revisions, a tree over the members
// and the freshness that makes an instance read the store itself. Time and
// messages come in; there are no sockets, goroutines or clocks.
package cache

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind is a kind of facts.
type Kind uint8

// Kinds of facts.
const (
	Settings Kind = iota
	Servers
	Domains
	// Kinds is their number.
	Kinds
)

var kindNames = [Kinds]string{"settings", "servers", "domains"}

// String names the kind in log lines.
func (k Kind) String() string {
	if k >= Kinds {
		return "invalid"
	}
	return kindNames[k]
}

// Object is one object of the store, or its removal.
type Object struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// Rev is the revision of the object's last change.
	Rev     uint64
	Deleted bool
	// Spec is the content as the store holds it, see Pack.
	Spec []byte
}

// hash is the part of a fact in the checksum of its kind; 0 for one that does
// not exist.
func (f *Object) hash() uint64 {
	if f.Deleted || f.Name == "" {
		return 0
	}
	return xxhash.Sum64String(f.Name) ^ (f.Rev+1)*0x9E3779B97F4A7C15 // spreads revisions over all bits
}

// Delta is a part of one kind's facts that leads from revision Since to Rev.
type Delta struct {
	_          struct{} `cbor:",toarray"`
	Kind       Kind
	Since, Rev uint64
	// Full tells that Objects are all that exist at Rev, whatever came before.
	Full    bool
	Objects []Object
}

// Cache holds the facts that an instance knows.
type Cache struct {
	kinds [Kinds]kindCache
	// origin is the instance that read the latest confirmation from the store.
	origin string
}

type kindCache struct {
	rev   uint64
	floor uint64 // deltas can be given from here on
	facts map[string]entry
	// sum is a checksum of the facts that exist. Two instances that read the
	// same facts at different revisions of the store have the same.
	sum uint64
	// confirmed is when the store last said that rev is current.
	confirmed time.Time
}

// entry is a fact and the revision of its kind at which it came.
type entry struct {
	Object
	at uint64
}

// Apply takes over facts that were current at the time at, and returns those
// that are new here. An older delta, or one that does not start from a known
// revision, changes nothing; ok tells that the facts are now at d.Rev or later.
func (b *Cache) Apply(at time.Time, d Delta) (news Delta, ok bool) {
	if d.Kind >= Kinds {
		return Delta{}, false
	}
	s := &b.kinds[d.Kind]
	if !d.Full && d.Since > s.rev || s.facts == nil && !d.Full {
		return Delta{}, false
	}
	if d.Rev < s.rev {
		return Delta{}, true
	}
	news = Delta{Kind: d.Kind, Since: s.rev, Rev: d.Rev}
	if d.Rev > s.rev || s.facts == nil {
		news.Full = d.Full
		news.Objects = s.merge(d)
	}
	s.rev = d.Rev
	if at.After(s.confirmed) {
		s.confirmed = at
	}
	return news, true
}

func (s *kindCache) merge(d Delta) []Object {
	if d.Full {
		old := s.facts
		s.facts = make(map[string]entry, len(d.Objects))
		s.floor = d.Rev
		s.sum = 0
		for _, f := range d.Objects {
			s.sum ^= f.hash()
			at := d.Rev
			if e, ok := old[f.Name]; ok && e.Rev == f.Rev {
				at = e.at
			}
			s.facts[f.Name] = entry{f, at}
		}
		return d.Objects
	}
	var out []Object
	for _, f := range d.Objects {
		e, ok := s.facts[f.Name]
		if ok && f.Rev < e.Rev {
			continue
		}
		s.sum ^= e.hash() ^ f.hash()
		s.facts[f.Name] = entry{f, d.Rev}
		out = append(out, f)
	}
	return out
}

// Since returns what an instance at a revision lacks of a kind. ok is false
// when there is nothing to tell.
func (b *Cache) Since(k Kind, rev uint64) (d Delta, ok bool) {
	s := &b.kinds[k]
	if s.facts == nil || rev > s.rev {
		return Delta{}, false
	}
	d = Delta{Kind: k, Since: rev, Rev: s.rev, Full: rev < s.floor || rev == 0}
	for _, e := range s.facts {
		if d.Full && !e.Deleted || !d.Full && e.at > rev {
			d.Objects = append(d.Objects, e.Object)
		}
	}
	return d, true
}

// maxTombs is the number of removed facts of a kind that are kept to give
// deltas; with more of them a full answer is smaller.
const maxTombs = 512

// Trim forgets removed facts when there are many. Deltas from before then need
// the full facts.
func (b *Cache) Trim() {
	for k := range b.kinds {
		s := &b.kinds[k]
		tombs := 0
		for _, e := range s.facts {
			if e.Deleted {
				tombs++
			}
		}
		if tombs <= maxTombs {
			continue
		}
		s.floor = s.rev
		for name, e := range s.facts {
			if e.Deleted {
				delete(s.facts, name)
			}
		}
	}
}

// Revs returns the revisions of all kinds.
func (b *Cache) Revs() [Kinds]uint64 {
	var out [Kinds]uint64
	for k := range b.kinds {
		out[k] = b.kinds[k].rev
	}
	return out
}

// Sums returns the checksums of the facts of all kinds.
func (b *Cache) Sums() [Kinds]uint64 {
	var out [Kinds]uint64
	for k := range b.kinds {
		out[k] = b.kinds[k].sum
	}
	return out
}

// Complete reports whether facts of all kinds are known.
func (b *Cache) Complete() bool {
	for k := range b.kinds {
		if b.kinds[k].facts == nil {
			return false
		}
	}
	return true
}

// Confirmed is the time at which the facts of all kinds were last current.
func (b *Cache) Confirmed() time.Time {
	at := b.kinds[0].confirmed
	for k := range b.kinds {
		if c := b.kinds[k].confirmed; c.Before(at) {
			at = c
		}
	}
	return at
}

// Confirm notes that a kind was current at a time.
func (b *Cache) Confirm(k Kind, at time.Time) {
	if s := &b.kinds[k]; at.After(s.confirmed) {
		s.confirmed = at
	}
}

// Origin names the instance that read the latest confirmation.
func (b *Cache) Origin() string { return b.origin }

// SetOrigin notes who read the latest confirmation.
func (b *Cache) SetOrigin(name string) { b.origin = name }
