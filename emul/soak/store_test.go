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

// stand plays the platform's store.
type stand struct {
	mu      sync.Mutex
	rev     uint64
	kept    uint64 // history begins after this revision
	objects map[string]json.RawMessage
	history []change
	news    chan struct{}
	busy    atomic.Bool
	slow    atomic.Int64 // nanoseconds before each answer
}

type change struct {
	rev     uint64
	kind    string
	object  json.RawMessage
	deleted bool
}

func newStand() *stand {
	return &stand{rev: 1, objects: map[string]json.RawMessage{}, news: make(chan struct{})}
}

// put writes an object, or removes it when spec is nil, and returns when it was
// accepted.
func (s *stand) put(kind, name string, spec any) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	o, err := json.Marshal(map[string]any{"meta": map[string]any{"Name": name, "Revision": s.rev}, "spec": spec})
	if err != nil {
		panic(err)
	}
	if spec == nil {
		delete(s.objects, kind+"/"+name)
	} else {
		s.objects[kind+"/"+name] = o
	}
	s.history = append(s.history, change{s.rev, kind, o, spec == nil})
	close(s.news)
	s.news = make(chan struct{})
	return time.Now()
}

// forget drops the history.
func (s *stand) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept = s.rev
}

func (s *stand) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(time.Duration(s.slow.Load()))
	if s.busy.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	kind := strings.TrimPrefix(r.URL.Path, "/v1/objects/")
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !q.Has("Watch") {
		items := []json.RawMessage{}
		for _, name := range slices.Sorted(maps.Keys(s.objects)) {
			if strings.HasPrefix(name, kind+"/") {
				items = append(items, s.objects[name])
			}
		}
		answer(w, map[string]any{"items": items, "HasMore": false, "CurrentRev": s.rev})
		return
	}
	since, _ := strconv.ParseUint(q.Get("Watch"), 10, 64) // 0 is answered as forgotten
	ms, _ := strconv.Atoi(q.Get("WaitMs"))
	end := time.After(time.Duration(ms) * time.Millisecond)
	for {
		if since < s.kept {
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []map[string]any{}
		for _, c := range s.history {
			if c.rev > since && c.kind == kind {
				events = append(events, map[string]any{"Object": c.object, "Deleted": c.deleted})
			}
		}
		news := s.news
		s.mu.Unlock()
		over := false
		if len(events) == 0 {
			select {
			case <-end:
				over = true
			case <-r.Context().Done():
				over = true
			case <-news:
			}
		}
		s.mu.Lock()
		if len(events) > 0 || over {
			answer(w, map[string]any{"events": events, "CurrentRev": s.rev})
			return
		}
	}
}

func newServer(s *stand) *http.Server {
	return &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the other end may be gone
}

// Modes of a proxy.
const (
	pass = iota
	silentUp
	silentDown
	reset
)

// proxy stands between one instance and the store and disturbs connections.
type proxy struct {
	l     net.Listener
	to    string
	mode  atomic.Int32
	delay atomic.Int64 // nanoseconds for each piece
}

func newProxy(addr, to string) (*proxy, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("proxy: %w", err)
	}
	p := &proxy{l: l, to: to}
	go p.run()
	return p, nil
}

func (p *proxy) run() {
	for {
		c, err := p.l.Accept()
		if err != nil {
			return
		}
		up, err := net.Dial("tcp4", p.to)
		if err != nil {
			_ = c.Close()
			continue
		}
		go p.copy(up, c, silentUp)
		go p.copy(c, up, silentDown)
	}
}

// copy moves bytes one way. In a silent mode they are lost.
func (p *proxy) copy(dst, src net.Conn, silent int32) {
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
		case silent:
			continue
		case reset:
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
