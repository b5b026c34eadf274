package main

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeDelay = 4 * time.Millisecond // of an answer
	retention  = 20 * time.Second     // of the history
	pageSize   = 500
)

// object is an object of the store.
type object struct {
	Meta struct {
		Name       string
		Revision   uint64
		Created    uint64
		Finalizers []string
		Deleting   bool
	} `json:"meta"`
	Spec   any `json:"spec"`
	Status any `json:"status"`
}

type event struct {
	Object  object
	Deleted bool

	kind string
	rev  uint64
	at   time.Time
}

// store stands for the platform's store. Only the calls that read are served, as the
// programs make no others.
type store struct {
	addr netip.AddrPort

	mu      sync.Mutex
	rev     uint64
	kinds   map[string]map[string]object
	history []event
	floor   uint64        // highest revision that the history lacks
	changed chan struct{} // closed by a change
	cut     chan struct{} // closed when waiting watches are cut off
	down    bool
	srv     *http.Server

	listener net.Listener
	conns    map[string][]net.Conn // by the address of the store
}

func startStore(addr netip.AddrPort) (*store, error) {
	s := &store{addr: addr, rev: 100, kinds: map[string]map[string]object{}, changed: make(chan struct{}), cut: make(chan struct{})}
	l, err := net.Listen("tcp4", addr.String())
	if err != nil {
		return nil, err
	}
	s.listener, s.conns = l, map[string][]net.Conn{}
	s.srv = &http.Server{Handler: s, ConnState: func(c net.Conn, state http.ConnState) {
		if state == http.StateNew {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.conns[c.LocalAddr().String()] = append(s.conns[c.LocalAddr().String()], c)
		}
	}}
	go func() { _ = s.srv.Serve(l) }() // ends with the program
	return s, nil
}

// put writes an object, as the operator or a host does.
func (s *store) put(kind, name string, spec any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	o := s.kinds[kind][name]
	if o.Meta.Name == "" {
		o.Meta.Name, o.Meta.Created, o.Meta.Finalizers = name, s.rev, []string{}
	}
	o.Meta.Revision, o.Spec = s.rev, spec
	s.kinds[kind][name] = o
	s.addEvent(event{Object: o, kind: kind, rev: s.rev})
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	s.rev++
	delete(s.kinds[kind], name)
	s.addEvent(event{Object: o, Deleted: true, kind: kind, rev: s.rev})
}

func (s *store) addEvent(e event) {
	e.at = time.Now()
	s.history = append(s.history, e)
	for len(s.history) > 0 && e.at.Sub(s.history[0].at) > retention {
		s.floor = s.history[0].rev
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// forget discards the history and cuts off the watches that wait.
func (s *store) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floor, s.history = s.rev, nil
	close(s.cut)
	s.cut = make(chan struct{})
}

// setDown makes the store answer nothing, or answer again. Calls that wait get no answer.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if down {
		close(s.cut)
		s.cut = make(chan struct{})
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, ok := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !ok || r.Method != http.MethodGet || strings.Contains(kind, "/") {
		http.Error(w, `{"Error":"not served"}`, http.StatusNotFound)
		return
	}
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		<-r.Context().Done() // silent until the caller gives up
		panic(http.ErrAbortHandler)
	}
	time.Sleep(storeDelay)
	q := r.URL.Query()
	if q.Has("Watch") {
		s.watch(w, r, kind)
		return
	}
	s.mu.Lock()
	names := make([]string, 0, len(s.kinds[kind]))
	for name := range s.kinds[kind] {
		if name > q.Get("after") {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > pageSize
	names = names[:min(len(names), pageSize)]
	items := make([]object, len(names))
	for i, name := range names {
		items[i] = s.kinds[kind][name]
	}
	rev := s.rev
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "HasMore": more, "CurrentRev": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	if err != nil || err2 != nil || wait > 30000 {
		http.Error(w, `{"Error":"Watch or WaitMs"}`, http.StatusBadRequest)
		return
	}
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for expired := false; ; {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.rev > since && e.kind == kind {
				events = append(events, e)
			}
		}
		gone, rev, changed, cut := since < s.floor, s.rev, s.changed, s.cut
		s.mu.Unlock()
		switch {
		case gone:
			answer(w, http.StatusGone, map[string]any{"Error": "history is gone"})
			return
		case len(events) > 0 || expired:
			answer(w, http.StatusOK, map[string]any{"events": events, "CurrentRev": rev})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			expired = true
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err) // the bodies are ours
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_, _ = w.Write(b) // the caller may have gone
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// closeAt closes the connections to an address of the store.
func (s *store) closeAt(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns[addr] {
		_ = c.Close() // it may be closed
	}
}
