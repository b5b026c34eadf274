package verbs

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/ebonyctl/client"
	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/router"
	"ebonypaddle/pkg/store"
)

// fakeObjectAPI is an object API for tests that keeps its objects in memory. A
// handler holds mu until it closes its connection. Tests access the fields only
// between command lines, see sync.
type fakeObjectAPI struct {
	mu       sync.Mutex
	rev      uint64
	era      uint64 // how often the store came back from an older copy
	objs     map[string]conf.Object
	requests map[string]int // number of requests by HTTP method
	// writes are all successful writes in order.
	writes []conf.Object
	// problems are the validation problems of the settings after every write.
	problems conf.Problems
	// beforeWrite runs before the next PUT or DELETE, which it may carry out with
	// apply. With hideResponse the connection is closed without a response.
	beforeWrite func(apply func()) (hideResponse bool)
}

// sync orders the accesses of handlers before those of the caller. The end of a
// connection without a response does not.
func (s *fakeObjectAPI) sync() {
	s.mu.Lock()
	defer s.mu.Unlock()
}

func (s *fakeObjectAPI) put(kind conf.Kind, name string, value []byte) {
	s.rev++
	o := conf.Object{Kind: kind, Name: name, Rev: s.rev, Value: value}
	s.objs[string(kind)+"/"+name] = o
	s.writes = append(s.writes, o)
}

func (s *fakeObjectAPI) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := func(v any) { _ = json.NewEncoder(w).Encode(v) }
	s.requests[r.Method]++
	w.Header().Set(store.EraHeader, strconv.FormatUint(s.era, 10))
	if prefix := r.URL.Query().Get("prefix"); prefix != "" {
		out := struct {
			Rev     uint64        `json:"rev"`
			Objects []conf.Object `json:"objects"`
		}{Rev: s.rev}
		for k, o := range s.objs {
			if strings.HasPrefix(k, prefix) {
				out.Objects = append(out.Objects, o)
			}
		}
		reply(out)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	if !strings.Contains(r.URL.EscapedPath(), "/v1/objects/"+kind+"/"+strings.ReplaceAll(name, "/", "%2F")) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodGet {
		o, ok := s.objs[kind+"/"+name]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
		}
		reply(o)
		return
	}
	body, _ := io.ReadAll(r.Body)
	rev := &s.rev // revision in the response; in a conflict that of the object
	apply := func() {
		switch {
		case s.objs[kind+"/"+name].Rev != parseRev(r.Header.Get("If-Match")):
			w.WriteHeader(http.StatusConflict)
			other := s.objs[kind+"/"+name].Rev
			rev = &other
		case r.Method == http.MethodDelete:
			s.rev++
			delete(s.objs, kind+"/"+name)
			s.writes = append(s.writes, conf.Object{Kind: conf.Kind(kind), Name: name, Rev: s.rev, Deleted: true})
		default:
			s.put(conf.Kind(kind), name, body)
		}
		var all []conf.Object
		for _, o := range s.objs {
			if o.Kind == store.KindEra {
				continue
			}
			all = append(all, o)
		}
		snap, ps := conf.Build(s.rev, all)
		s.problems = append(append(s.problems, ps...), conf.Validate(snap)...)
	}
	if hook := s.beforeWrite; hook != nil {
		s.beforeWrite = nil
		if hook(apply) {
			panic(http.ErrAbortHandler) // Closes the connection without a response.
		}
		w.Header().Set(store.EraHeader, strconv.FormatUint(s.era, 10))
	}
	apply()
	reply(map[string]uint64{"rev": *rev})
}

func parseRev(s string) uint64 {
	n, _ := strconv.ParseUint(s, 10, 64)
	return n
}

// fakeInstances is an InstanceAPI for tests. If missing is not empty, no revision is
// in force everywhere.
type fakeInstances struct {
	missing    []string
	watchErr   error // returned by every Watch
	highestRev uint64
	settings   *conf.Snapshot
	notified   []conf.Object
}

func (f *fakeInstances) Status(context.Context) ([]client.Status, error) {
	return []client.Status{{Entry: "bole-1", Domain: "bole", Rev: 7, Flows: 30,
		Servers: map[string]string{"ledger-01": "warm"}, Refused: map[string]uint64{"overloaded": 2}, FreshMillis: 1500, SkewMillis: new(int64)}}, nil
}

func (f *fakeInstances) Watch(context.Context, uint64) (client.Progress, error) {
	return client.Progress{Done: len(f.missing) == 0, Reached: 1, NotReached: 3 * len(f.missing), Missing: f.missing}, f.watchErr
}

func (f *fakeInstances) Counters(context.Context) (map[string]json.RawMessage, error) {
	return map[string]json.RawMessage{"10.0.0.1:7002": []byte(`{"cmdline":["x"],"memstats":{"Alloc":9},"control":{"pulls":0},"tables":{"flow":{"Notes":41}}}`)}, nil
}

func (f *fakeInstances) HighestRev(context.Context) (uint64, error) { return f.highestRev, nil }

func (f *fakeInstances) Settings(context.Context) (*conf.Snapshot, error) { return f.settings, nil }

func (*fakeInstances) Explain(context.Context, router.ExplainQuery) (*router.Explanation, error) {
	return nil, errors.ErrUnsupported
}

func (f *fakeInstances) Notify(_ context.Context, o conf.Object) (int, error) {
	f.notified = append(f.notified, o)
	return 1, nil
}

// testEnv runs command lines against the fakes with a simulated clock.
type testEnv struct {
	*fakeObjectAPI
	*fakeInstances
	t        testing.TB
	url      string
	now      time.Time
	out, err bytes.Buffer
}

func newTestEnv(t testing.TB) *testEnv {
	env := &testEnv{t: t, fakeInstances: &fakeInstances{}, now: time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC),
		fakeObjectAPI: &fakeObjectAPI{objs: map[string]conf.Object{}, requests: map[string]int{}}}
	srv := httptest.NewServer(env.fakeObjectAPI)
	t.Cleanup(srv.Close)
	env.url = srv.URL
	return env
}

func (env *testEnv) app() *App {
	sleep := func(ctx context.Context, d time.Duration) error { env.now = env.now.Add(d); return ctx.Err() }
	return &App{
		Out: &env.out, Err: &env.err, Rand: rand.New(rand.NewPCG(1, 2)),
		Now:   func() time.Time { return env.now },
		Sleep: sleep,
		NewObjectAPI: func(baseURLs []string) (client.ObjectAPI, error) {
			return client.NewObjectClient(baseURLs, http.DefaultClient, rand.New(rand.NewPCG(3, 4)), sleep), nil
		},
		NewInstanceAPI: func([]string, string) (client.InstanceAPI, error) { return env.fakeInstances, nil },
	}
}

// run runs a command line, checks its exit code and returns what it wrote to the
// output and the error stream.
func (env *testEnv) run(code int, args ...string) (string, string) {
	env.t.Helper()
	env.out.Reset()
	env.err.Reset()
	env.sync()
	got := env.app().Run(context.Background(), append([]string{"ebonyctl", "--api", env.url}, args...))
	env.sync()
	assert.Equal(env.t, got, code, "%v: %s%s", args, env.out.String(), env.err.String())
	return env.out.String(), env.err.String()
}

func assertContains(t testing.TB, text string, parts ...string) {
	t.Helper()
	for _, p := range parts {
		assert.Assert(t, strings.Contains(text, p), "%q is not in:\n%s", p, text)
	}
}
