// Package object simulates the platform's object API: store-wide revisions,
// conditional updates, watches, an instance list that lags behind writes, and
// faults that are set over HTTP.
package object

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"ebonypaddle/pkg/store"
)

// Instance is the value of an object of kind instance.
type Instance struct {
	Data netip.AddrPort `json:"data"`
	// State is StateLive or "leaving".
	State string `json:"state"`
}

// delayedEvent is a change of the instance list that readers see from due on.
type delayedEvent struct {
	due time.Time
	ev  store.Event
}

// publishedEvent is a change that readers can see. rev is the object's revision
// for conditional updates. The event's own revision is higher if its publication
// was delayed.
type publishedEvent struct {
	ev  store.Event
	rev uint64
}

// state holds the objects and the recent events. base holds the objects before
// the first of events, at revision baseRev.
type state struct {
	rev     uint64
	era     uint64                  // how often the store came back from an older copy
	current map[string]store.Object // includes delayed changes; used for conditional updates
	base    map[string]store.Object
	baseRev uint64
	events  []publishedEvent
	delayed []delayedEvent
	changed chan struct{} // closed at the next change
}

func newState() *state {
	return &state{current: map[string]store.Object{}, base: map[string]store.Object{}, changed: make(chan struct{})}
}

// write applies a conditional write and returns the new revision and true. If
// rev is not the object's current revision, it returns the current one and
// false. With lag, readers see the change from due on.
func (s *state) write(ev store.Event, rev uint64, due time.Time, lag bool, limit int) (uint64, bool) {
	k := ev.Kind + "/" + ev.Name
	if cur := s.current[k].Rev; cur != rev {
		return cur, false
	}
	s.rev++
	ev.Rev = s.rev
	apply(s.current, publishedEvent{ev, ev.Rev})
	if lag {
		s.delayed = append(s.delayed, delayedEvent{due, ev})
	} else {
		s.publish(publishedEvent{ev, ev.Rev}, limit)
	}
	return ev.Rev, true
}

// publishDue publishes delayed changes of the instance list that are due. Such
// an event gets a new revision, because watches are ordered by revision.
func (s *state) publishDue(now time.Time, limit int) {
	for len(s.delayed) > 0 && !s.delayed[0].due.After(now) {
		e := publishedEvent{s.delayed[0].ev, s.delayed[0].ev.Rev}
		s.delayed = s.delayed[1:]
		s.rev++
		e.ev.Rev = s.rev
		s.publish(e, limit)
	}
}

// restore makes the state that of n revisions ago, or that before the first kept
// event if it is newer. It begins a new era.
func (s *state) restore(n uint64) {
	s.current, s.rev = s.objectsAt(n)
	s.delayed = nil
	s.events = slices.DeleteFunc(s.events, func(e publishedEvent) bool { return e.ev.Rev > s.rev })
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *state) publish(e publishedEvent, limit int) {
	s.events = append(s.events, e)
	for len(s.events) > limit {
		apply(s.base, s.events[0])
		s.baseRev = s.events[0].ev.Rev
		s.events = s.events[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// objectsAt returns the objects that a replica lagging by n revisions serves,
// and the replica's revision.
func (s *state) objectsAt(n uint64) (map[string]store.Object, uint64) {
	rev := max(s.rev-min(n, s.rev), s.baseRev)
	m := maps.Clone(s.base)
	for _, e := range s.events {
		if e.ev.Rev <= rev {
			apply(m, e)
		}
	}
	return m, rev
}

// eventsBetween returns the events after rev up to the replica's revision upTo.
// It returns false if some of them are no longer kept, or if there is no revision rev.
func (s *state) eventsBetween(rev, upTo uint64) ([]store.Event, bool) {
	if rev < s.baseRev || rev > s.rev {
		return nil, false
	}
	evs := []store.Event{}
	for _, e := range s.events {
		if e.ev.Rev > rev && e.ev.Rev <= upTo {
			evs = append(evs, e.ev)
		}
	}
	return evs, true
}

func apply(m map[string]store.Object, e publishedEvent) {
	k := e.ev.Kind + "/" + e.ev.Name
	if e.ev.Deleted {
		delete(m, k)
		return
	}
	m[k] = store.Object{Kind: e.ev.Kind, Name: e.ev.Name, Rev: e.rev, Value: e.ev.Value}
}

func objectsWithPrefix(m map[string]store.Object, prefix string) []store.Object {
	out := []store.Object{}
	for _, k := range slices.Sorted(maps.Keys(m)) {
		if strings.HasPrefix(k, prefix) {
			out = append(out, m[k])
		}
	}
	return out
}

// Load creates the objects of a seed file, which is a JSON list of objects. It
// fails on invalid JSON and on an object that occurs twice.
func (s *Server) Load(seed []byte) error {
	var objs []store.Object
	if err := json.Unmarshal(seed, &objs); err != nil {
		return fmt.Errorf("seed file: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range objs {
		ev := store.Event{Kind: o.Kind, Name: o.Name, Value: o.Value}
		if _, ok := s.ensureState().write(ev, 0, time.Time{}, false, s.historyLimit()); !ok {
			return fmt.Errorf("seed file: %s %q occurs twice", o.Kind, o.Name)
		}
	}
	return nil
}
