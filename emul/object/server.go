package object

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/store"
	"ebonypaddle/pkg/wait"
)

// Bounds of the stand-in.
const (
	maxValue       = 1 << 20 // bytes, as on the platform
	defaultHistory = 10_000  // events kept for watches
	pollTime       = 10 * time.Millisecond
)

// Fault is what the object API does wrong.
type Fault struct {
	// Down answers every call with status 503.
	Down bool `json:"down,omitempty"`
	// Slow delays every call.
	Slow conf.Duration `json:"slow,omitempty"`
	// LoseAnswers closes the connection of this many writes after they took
	// effect.
	LoseAnswers int `json:"loseAnswers,omitempty"`
	// ReplicaLag serves reads from this many revisions ago.
	ReplicaLag uint64 `json:"replicaLag,omitempty"`
}

// Calls counts calls by type. A waiting watch counts as one call.
type Calls struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
}

// Server is the stand-in. The fields are set before first use.
type Server struct {
	Clock func() time.Time
	// InstanceLag delays what readers see of the instance list.
	InstanceLag time.Duration
	// History is the number of events kept for watches.
	History int

	mu    sync.Mutex
	st    *state
	fault Fault
	calls Calls
}

func (s *Server) store() *state {
	if s.st == nil {
		s.st = newState()
	}
	return s.st
}

func (s *Server) keep() int {
	if s.History > 0 {
		return s.History
	}
	return defaultHistory
}

// SetFault replaces the faults.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns the calls so far.
func (s *Server) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Handler serves the object API, /fault and /calls.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects", s.api(s.list))
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.api(s.get))
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.api(s.write))
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.api(s.write))
	mux.HandleFunc("GET /v1/watch", s.api(s.watch))
	mux.HandleFunc("POST /fault", s.setFault)
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, s.Calls()) })
	return mux
}

// api applies the faults that every call meets.
func (s *Server) api(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.fault
		s.count(r)
		s.mu.Unlock()
		if f.Slow > 0 && wait.For(r.Context(), time.Duration(f.Slow)) != nil {
			return
		}
		if f.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		h(w, r)
	}
}

func (s *Server) count(r *http.Request) {
	switch {
	case r.Method != http.MethodGet:
		s.calls.Writes++
	case r.URL.Path == "/v1/watch":
		s.calls.Watches++
	default:
		s.calls.Reads++
	}
}

func (s *Server) setFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFault(f)
	reply(w, http.StatusOK, f)
}

// view returns what reads see now.
func (s *Server) view() (map[string]store.Object, uint64) {
	s.store().reveal(s.Clock(), s.keep())
	return s.st.at(s.fault.ReplicaLag)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	m, rev := s.view()
	s.mu.Unlock()
	reply(w, http.StatusOK, struct {
		Rev     uint64         `json:"rev"`
		Objects []store.Object `json:"objects"`
	}{rev, withPrefix(m, r.URL.Query().Get("prefix"))})
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	m, _ := s.view()
	s.mu.Unlock()
	o, ok := m[r.PathValue("kind")+"/"+r.PathValue("name")]
	if !ok {
		http.NotFound(w, r)
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *Server) write(w http.ResponseWriter, r *http.Request) {
	rev, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	body, readErr := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValue))
	ev := store.Event{Kind: r.PathValue("kind"), Name: r.PathValue("name"), Value: body}
	if ev.Deleted = r.Method == http.MethodDelete; ev.Deleted {
		ev.Value = nil
	}
	if err != nil || readErr != nil || (!ev.Deleted && !json.Valid(body)) {
		http.Error(w, "write needs If-Match and a JSON value", http.StatusBadRequest)
		return
	}
	lag := ev.Kind == store.KindInstance && s.InstanceLag > 0
	s.mu.Lock()
	now := s.Clock()
	newRev, ok := s.store().write(ev, rev, now.Add(s.InstanceLag), lag, s.keep())
	lose := ok && s.fault.LoseAnswers > 0
	if lose {
		s.fault.LoseAnswers--
	}
	s.mu.Unlock()
	status := http.StatusOK
	if !ok {
		status = http.StatusConflict
	}
	if lose {
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	reply(w, status, struct {
		Rev uint64 `json:"rev"`
	}{newRev})
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	ms, err2 := strconv.ParseInt(r.URL.Query().Get("timeout"), 10, 64)
	if err != nil || err2 != nil {
		http.Error(w, "watch needs since and timeout", http.StatusBadRequest)
		return
	}
	end := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer end.Stop()
	poll := time.NewTicker(pollTime) // finds changes whose lag is over
	defer poll.Stop()
	for expired := false; ; {
		s.mu.Lock()
		_, rev := s.view()
		evs, ok := s.st.since(since, rev)
		changed := s.st.changed
		s.mu.Unlock()
		if !ok {
			http.Error(w, "since is too old", http.StatusGone)
			return
		}
		if len(evs) > 0 || expired {
			reply(w, http.StatusOK, struct {
				Rev    uint64        `json:"rev"`
				Events []store.Event `json:"events"`
			}{rev, evs})
			return
		}
		select {
		case <-changed:
		case <-poll.C:
		case <-end.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller has left if this fails
}
