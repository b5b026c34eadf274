package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// fakeStore stands in for the platform's object store. It serves lists and
// watches over HTTP.
type fakeStore struct {
	mu          sync.Mutex
	era         uint64 // how often the store came back from an older copy
	rev         uint64
	droppedRev  uint64 // a watch from before this revision gets status 410
	objects     map[string]json.RawMessage
	history     []change
	changed     chan struct{} // closed and replaced on each change
	busy        atomic.Bool   // answers with status 503
	answerDelay atomic.Int64  // nanoseconds before each answer
}

// change is one write in the history of the store.
type change struct {
	at         time.Time
	rev        uint64
	kind, name string
	object     json.RawMessage
	deleted    bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{rev: 1, objects: map[string]json.RawMessage{}, changed: make(chan struct{})}
}

// put writes an object, or removes it when spec is nil, and returns the time of
// the change.
func (s *fakeStore) put(kind, name string, spec any) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	o, err := json.Marshal(map[string]any{"meta": map[string]any{"Name": name, "Revision": s.rev}, "spec": spec})
	if err != nil {
		panic(err)
	}
	c := change{time.Now(), s.rev, kind, name, o, spec == nil}
	s.apply(c)
	s.history = append(s.history, c)
	s.notify()
	return c.at
}

// apply makes a change to the objects. The caller holds mu.
func (s *fakeStore) apply(c change) {
	if c.deleted {
		delete(s.objects, c.kind+"/"+c.name)
	} else {
		s.objects[c.kind+"/"+c.name] = c.object
	}
}

// notify wakes all watches. The caller holds mu.
func (s *fakeStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore makes the store come back from a copy of a given age. What was written
// since is lost, and its revisions are given out again.
func (s *fakeStore) restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	copiedAt := time.Now().Add(-age)
	s.history = slices.DeleteFunc(s.history, func(c change) bool { return c.at.After(copiedAt) })
	s.era++
	s.rev, s.objects = 1, map[string]json.RawMessage{}
	for _, c := range s.history {
		s.apply(c)
		s.rev = c.rev
	}
	s.droppedRev = min(s.droppedRev, s.rev)
	s.notify()
}

// dropHistory makes all revisions before the current one unavailable to watches.
func (s *fakeStore) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.droppedRev = s.rev
}

func (s *fakeStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(time.Duration(s.answerDelay.Load()))
	if s.busy.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	kind := strings.TrimPrefix(r.URL.Path, "/v1/objects/")
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	if !r.URL.Query().Has("Watch") {
		items := []json.RawMessage{}
		for _, name := range slices.Sorted(maps.Keys(s.objects)) {
			if strings.HasPrefix(name, kind+"/") {
				items = append(items, s.objects[name])
			}
		}
		writeJSON(w, map[string]any{"items": items, "HasMore": false, "CurrentRev": s.rev})
		return
	}
	s.watch(w, r, kind)
}

// watch answers a request for changes of a kind. The caller holds mu.
func (s *fakeStore) watch(w http.ResponseWriter, r *http.Request, kind string) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("Watch"), 10, 64) // 0 if it is no number
	ms, _ := strconv.Atoi(q.Get("WaitMs"))
	end := time.After(time.Duration(ms) * time.Millisecond)
	for {
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
		if since < s.droppedRev || since > s.rev {
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []map[string]any{}
		for _, c := range s.history {
			if c.rev > since && c.kind == kind {
				events = append(events, map[string]any{"Object": c.object, "Deleted": c.deleted})
			}
		}
		changed := s.changed
		s.mu.Unlock()
		stop := false
		if len(events) == 0 {
			select {
			case <-end:
				stop = true
			case <-r.Context().Done():
				stop = true
			case <-changed:
			}
		}
		s.mu.Lock()
		if len(events) > 0 || stop {
			writeJSON(w, map[string]any{"events": events, "CurrentRev": s.rev})
			return
		}
	}
}

func newHTTPServer(s *fakeStore) *http.Server {
	return &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
}

// writeJSON sends v as the answer.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails when the client has disconnected
}

// Modes of a proxy.
const (
	modePass     = iota
	modeDropUp   // drops what the instance sends
	modeDropDown // drops what the store sends
	modeReset    // resets connections
)

// proxy forwards connections of one instance to the store and disturbs them.
type proxy struct {
	listener net.Listener
	to       string
	mode     atomic.Int32
	delay    atomic.Int64 // nanoseconds before each read is forwarded
}

// newProxy starts a proxy that listens on addr and connects to the address to.
func newProxy(addr, to string) (*proxy, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("proxy: %w", err)
	}
	p := &proxy{listener: l, to: to}
	go p.run()
	return p, nil
}

func (p *proxy) run() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		storeConn, err := net.Dial("tcp4", p.to)
		if err != nil {
			_ = c.Close()
			continue
		}
		go p.copy(storeConn, c, modeDropUp)
		go p.copy(c, storeConn, modeDropDown)
	}
}

// copy forwards bytes from src to dst. It drops them while the proxy is in
// dropMode, and resets src in modeReset.
func (p *proxy) copy(dst, src net.Conn, dropMode int32) {
	defer func() {
		_ = dst.Close()
		_ = src.Close()
	}()
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		time.Sleep(time.Duration(p.delay.Load()))
		switch p.mode.Load() {
		case dropMode:
			continue
		case modeReset:
			if c, ok := src.(*net.TCPConn); ok {
				_ = c.SetLinger(0)
			}
			return
		}
		if _, err := io.Writer(dst).Write(buf[:n]); err != nil {
			return
		}
	}
}
