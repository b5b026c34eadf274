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

const (
	maxValueBytes        = 1 << 20 // as on the platform
	defaultHistoryEvents = 10_000
	watchPollInterval    = 10 * time.Millisecond
)

// Fault holds the simulated faults of the object API.
type Fault struct {
	// Down answers every call with status 503.
	Down bool `json:"down,omitempty"`
	// Slow delays every call.
	Slow conf.Duration `json:"slow,omitempty"`
	// LoseAnswers is the number of writes whose connection is closed after they
	// took effect, without an answer.
	LoseAnswers int `json:"loseAnswers,omitempty"`
	// ReplicaLag is the number of revisions by which reads lag behind writes.
	ReplicaLag uint64 `json:"replicaLag,omitempty"`
}

// Calls counts calls by type. A long-polling watch counts as one call.
type Calls struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
}

// Server simulates the object API. The exported fields must be set before first
// use.
type Server struct {
	Clock func() time.Time
	// InstanceLag is the delay until readers see a change of the instance list.
	InstanceLag time.Duration
	// History is the number of events kept for watches; 0 means 10,000.
	History int

	mu    sync.Mutex
	state *state
	fault Fault
	calls Calls
}

func (s *Server) ensureState() *state {
	if s.state == nil {
		s.state = newState()
	}
	return s.state
}

func (s *Server) historyLimit() int {
	if s.History > 0 {
		return s.History
	}
	return defaultHistoryEvents
}

// Restore makes the store come back from a copy that is n revisions old. What was
// written since is lost, and its revisions are given out again.
func (s *Server) Restore(n uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ensureState().restore(n)
}

// setEra sets the header with the era of the state. The caller holds mu.
func (s *Server) setEra(w http.ResponseWriter) {
	w.Header().Set(store.EraHeader, strconv.FormatUint(s.ensureState().era, 10))
}

// SetFault replaces the current faults.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns the number of calls so far.
func (s *Server) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Handler returns a handler for the object API, /fault, /restore and /calls.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects", s.withFaults(s.handleList))
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.withFaults(s.handleGet))
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.withFaults(s.handleWrite))
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.withFaults(s.handleWrite))
	mux.HandleFunc("GET /v1/watch", s.withFaults(s.handleWatch))
	mux.HandleFunc("POST /fault", s.handleSetFault)
	mux.HandleFunc("POST /restore", s.handleRestore)
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Calls()) })
	return mux
}

// withFaults counts a call and applies the Slow and Down faults before it calls
// h.
func (s *Server) withFaults(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.fault
		s.countCall(r)
		s.setEra(w)
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

func (s *Server) countCall(r *http.Request) {
	switch {
	case r.Method != http.MethodGet:
		s.calls.Writes++
	case r.URL.Path == "/v1/watch":
		s.calls.Watches++
	default:
		s.calls.Reads++
	}
}

func (s *Server) handleSetFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFault(f)
	writeJSON(w, http.StatusOK, f)
}

// handleRestore calls Restore with the number of revisions in the request.
func (s *Server) handleRestore(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Revisions uint64 `json:"revisions"`
	}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Restore(req.Revisions)
	writeJSON(w, http.StatusOK, req)
}

// visibleObjects returns the objects that reads see now, and their revision.
func (s *Server) visibleObjects() (map[string]store.Object, uint64) {
	s.ensureState().publishDue(s.Clock(), s.historyLimit())
	return s.state.objectsAt(s.fault.ReplicaLag)
}

func (s *Server) handleList(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	m, rev := s.visibleObjects()
	s.setEra(w)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, struct {
		Rev     uint64         `json:"rev"`
		Objects []store.Object `json:"objects"`
	}{rev, objectsWithPrefix(m, r.URL.Query().Get("prefix"))})
}

func (s *Server) handleGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	m, _ := s.visibleObjects()
	s.setEra(w)
	s.mu.Unlock()
	o, ok := m[r.PathValue("kind")+"/"+r.PathValue("name")]
	if !ok {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func (s *Server) handleWrite(w http.ResponseWriter, r *http.Request) {
	rev, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	body, readErr := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
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
	newRev, ok := s.ensureState().write(ev, rev, now.Add(s.InstanceLag), lag, s.historyLimit())
	lose := ok && s.fault.LoseAnswers > 0
	if lose {
		s.fault.LoseAnswers--
	}
	s.setEra(w)
	s.mu.Unlock()
	status := http.StatusOK
	if !ok {
		status = http.StatusConflict
	}
	if lose {
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	writeJSON(w, status, struct {
		Rev uint64 `json:"rev"`
	}{newRev})
}

func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	ms, err2 := strconv.ParseInt(r.URL.Query().Get("timeout"), 10, 64)
	if err != nil || err2 != nil {
		http.Error(w, "watch needs since and timeout", http.StatusBadRequest)
		return
	}
	end := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer end.Stop()
	poll := time.NewTicker(watchPollInterval) // for changes whose InstanceLag has passed
	defer poll.Stop()
	for expired := false; ; {
		s.mu.Lock()
		_, rev := s.visibleObjects()
		evs, ok := s.state.eventsBetween(since, rev)
		changed := s.state.changed
		s.setEra(w)
		s.mu.Unlock()
		if !ok {
			http.Error(w, "since is too old", http.StatusGone)
			return
		}
		if len(evs) > 0 || expired {
			writeJSON(w, http.StatusOK, struct {
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

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}
