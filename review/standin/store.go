package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// pageItems is the number of objects in one page of a list.
	pageItems = 500
	// storeLatency is the time of an answer of the store.
	storeLatency = 4 * time.Millisecond
)

// store is the platform's object store.
type store struct {
	mu       sync.Mutex
	rev      uint64
	dropped  uint64             // latest revision that is no longer in the history
	objects  map[string]*object // by kind/name
	history  []event
	changed  chan struct{} // closed and replaced at each change
	srv      *http.Server
	onExpire func(name string, at time.Time) // an entry of a server was removed
}

type object struct {
	json     json.RawMessage
	same     string    // content without Sequence
	lastSeen time.Time // last write
	expires  bool      // removed after three heartbeat intervals of silence
}

// retention is RetentionS.
const retention = 20 * time.Second

type event struct {
	at      time.Time
	rev     uint64
	kind    string
	object  json.RawMessage
	deleted bool
}

func startStore(addr netip.AddrPort) (*store, error) {
	l, err := net.Listen("tcp4", addr.String())
	if err != nil {
		return nil, err
	}
	s := &store{rev: 100, objects: map[string]*object{}, changed: make(chan struct{})}
	s.srv = &http.Server{Handler: s}
	go s.srv.Serve(l)
	go s.expire()
	return s, nil
}

// put writes an object and returns the time of the acknowledgement. same is the
// content whose change makes a new revision.
func (s *store) put(kind, name string, spec json.RawMessage, same string, expires bool) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := kind + "/" + name
	if o := s.objects[id]; o != nil && o.same == same {
		o.lastSeen = time.Now()
		return time.Now()
	}
	s.rev++
	o := &object{same: same, lastSeen: time.Now(), expires: expires, json: envelope(name, s.rev, spec)}
	s.objects[id] = o
	s.notify(event{time.Now(), s.rev, kind, o.json, false})
	return time.Now()
}

func envelope(name string, rev uint64, spec json.RawMessage) json.RawMessage {
	b := `{"meta":{"Name":` + strconv.Quote(name) + `,"Revision":` + strconv.FormatUint(rev, 10) +
		`,"Created":1,"Finalizers":[],"Deleting":false},"spec":` + string(spec) + `,"status":null}`
	return json.RawMessage(b)
}

// remove deletes an object and returns the time of the acknowledgement.
func (s *store) remove(kind, name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(kind, name)
	return time.Now()
}

func (s *store) removeLocked(kind, name string) {
	id := kind + "/" + name
	o := s.objects[id]
	if o == nil {
		return
	}
	delete(s.objects, id)
	s.rev++
	s.notify(event{time.Now(), s.rev, kind, o.json, true})
}

// notify appends to the history and wakes all watches. The caller holds mu.
func (s *store) notify(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes entries of servers after three heartbeat intervals of silence.
func (s *store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for len(s.history) > 0 && time.Since(s.history[0].at) > retention {
			s.dropped = s.history[0].rev
			s.history = s.history[1:]
		}
		for id, o := range s.objects {
			if o.expires && time.Since(o.lastSeen) > 3*heartbeat {
				kind, name, _ := strings.Cut(id, "/")
				s.removeLocked(kind, name)
				if s.onExpire != nil {
					go s.onExpire(name, time.Now())
				}
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	kind, ok := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !ok || r.Method != http.MethodGet {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", "1")
	if r.URL.Query().Has("Watch") {
		s.watch(w, r, kind)
		return
	}
	after := r.URL.Query().Get("after")
	items, more := []json.RawMessage{}, false
	for _, id := range slices.Sorted(maps.Keys(s.objects)) {
		name, ok := strings.CutPrefix(id, kind+"/")
		if !ok || after != "" && name <= after {
			continue
		}
		if len(items) == pageItems {
			more = true
			break
		}
		items = append(items, s.objects[id].json)
	}
	writePage(w, "items", items, `,"HasMore":`+strconv.FormatBool(more), s.rev)
}

// watch answers with the changes after a revision, as soon as there are any. The
// caller holds mu.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	end := time.After(time.Duration(min(ms, 30000)) * time.Millisecond)
	for ended := false; ; {
		if since < s.dropped {
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []json.RawMessage{}
		for _, e := range s.history {
			if e.rev > since && e.kind == kind {
				events = append(events, json.RawMessage(`{"Object":`+string(e.object)+`,"Deleted":`+strconv.FormatBool(e.deleted)+`}`))
			}
		}
		if len(events) > 0 || ended {
			writePage(w, "events", events, "", s.rev)
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-end:
			ended = true
		case <-r.Context().Done():
			ended = true
		case <-changed:
		}
		s.mu.Lock()
	}
}

// writePage sends a body. It copies the objects as they were written.
func writePage(w http.ResponseWriter, field string, items []json.RawMessage, rest string, rev uint64) {
	var b strings.Builder
	b.WriteString(`{"` + field + `":[`)
	for i, it := range items {
		if i > 0 {
			b.WriteByte(',')
		}
		b.Write(it)
	}
	b.WriteString(`]` + rest + `,"CurrentRev":` + strconv.FormatUint(rev, 10) + `}`)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(b.String()))
}
