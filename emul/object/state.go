// Package object stands in for the platform's object API: store-wide
// revisions, conditional updates, watches, the lagging instance list, and
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

// pending is a change of the instance list that readers do not see yet.
type pending struct {
	due time.Time
	ev  store.Event
}

// entry is a published change. rev is the object's revision for conditional
// updates; that of the event is higher when the change was hidden at first.
type entry struct {
	ev  store.Event
	rev uint64
}

// state is the store. base holds the objects before the first event of log.
type state struct {
	rev     uint64
	cur     map[string]store.Object // what writers see
	base    map[string]store.Object
	baseRev uint64
	log     []entry
	hidden  []pending
	changed chan struct{} // closed at the next change
}

func newState() *state {
	return &state{cur: map[string]store.Object{}, base: map[string]store.Object{}, changed: make(chan struct{})}
}

// write applies a conditional write and returns the new revision. It fails
// with the current revision when rev is not current.
func (s *state) write(ev store.Event, rev uint64, due time.Time, lag bool, keep int) (uint64, bool) {
	k := ev.Kind + "/" + ev.Name
	if cur := s.cur[k].Rev; cur != rev {
		return cur, false
	}
	s.rev++
	ev.Rev = s.rev
	apply(s.cur, entry{ev, ev.Rev})
	if lag {
		s.hidden = append(s.hidden, pending{due, ev})
	} else {
		s.publish(entry{ev, ev.Rev}, keep)
	}
	return ev.Rev, true
}

// reveal publishes changes of the instance list whose lag is over. Such an
// event has a revision of its own, as watches are ordered by revision.
func (s *state) reveal(now time.Time, keep int) {
	for len(s.hidden) > 0 && !s.hidden[0].due.After(now) {
		e := entry{s.hidden[0].ev, s.hidden[0].ev.Rev}
		s.hidden = s.hidden[1:]
		s.rev++
		e.ev.Rev = s.rev
		s.publish(e, keep)
	}
}

func (s *state) publish(e entry, keep int) {
	s.log = append(s.log, e)
	for len(s.log) > keep {
		apply(s.base, s.log[0])
		s.baseRev = s.log[0].ev.Rev
		s.log = s.log[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// at returns what a replica that lags by n revisions serves, and its revision.
func (s *state) at(n uint64) (map[string]store.Object, uint64) {
	rev := max(s.rev-min(n, s.rev), s.baseRev)
	m := maps.Clone(s.base)
	for _, e := range s.log {
		if e.ev.Rev <= rev {
			apply(m, e)
		}
	}
	return m, rev
}

// since returns the events after rev up to the replica's revision upTo.
func (s *state) since(rev, upTo uint64) ([]store.Event, bool) {
	if rev < s.baseRev {
		return nil, false
	}
	evs := []store.Event{}
	for _, e := range s.log {
		if e.ev.Rev > rev && e.ev.Rev <= upTo {
			evs = append(evs, e.ev)
		}
	}
	return evs, true
}

func apply(m map[string]store.Object, e entry) {
	k := e.ev.Kind + "/" + e.ev.Name
	if e.ev.Deleted {
		delete(m, k)
		return
	}
	m[k] = store.Object{Kind: e.ev.Kind, Name: e.ev.Name, Rev: e.rev, Value: e.ev.Value}
}

func withPrefix(m map[string]store.Object, prefix string) []store.Object {
	out := []store.Object{}
	for _, k := range slices.Sorted(maps.Keys(m)) {
		if strings.HasPrefix(k, prefix) {
			out = append(out, m[k])
		}
	}
	return out
}

// Load creates the objects of a seed file, a JSON list of objects.
func (s *Server) Load(seed []byte) error {
	var objs []store.Object
	if err := json.Unmarshal(seed, &objs); err != nil {
		return fmt.Errorf("seed file: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range objs {
		ev := store.Event{Kind: o.Kind, Name: o.Name, Value: o.Value}
		if _, ok := s.store().write(ev, 0, time.Time{}, false, s.keep()); !ok {
			return fmt.Errorf("seed file: %s %q occurs twice", o.Kind, o.Name)
		}
	}
	return nil
}
