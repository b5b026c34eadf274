package verbs

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/ebonyctl/client"
	"ebonypaddle/pkg/conf"
)

// standIn is an object API on a loopback address.
type standIn struct {
	rev   uint64
	objs  map[string]conf.Object
	count map[string]int
	// events are all writes in order.
	events []conf.Object
	// invalid collects the problems of every state after a write.
	invalid conf.Problems
	// before runs ahead of the next PUT. It may hide the answer.
	before func(apply func()) (hide bool)
}

func (s *standIn) put(kind conf.Kind, name string, value []byte) {
	s.rev++
	o := conf.Object{Kind: kind, Name: name, Rev: s.rev, Value: value}
	s.objs[string(kind)+"/"+name] = o
	s.events = append(s.events, o)
}

func (s *standIn) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	reply := func(v any) { _ = json.NewEncoder(w).Encode(v) }
	s.count[r.Method]++
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
	rev := &s.rev // that the answer names: of the object in a conflict
	apply := func() {
		switch {
		case s.objs[kind+"/"+name].Rev != atoi(r.Header.Get("If-Match")):
			w.WriteHeader(http.StatusConflict)
			other := s.objs[kind+"/"+name].Rev
			rev = &other
		case r.Method == http.MethodDelete:
			s.rev++
			delete(s.objs, kind+"/"+name)
			s.events = append(s.events, conf.Object{Kind: conf.Kind(kind), Name: name, Rev: s.rev, Deleted: true})
		default:
			s.put(conf.Kind(kind), name, body)
		}
		var all []conf.Object
		for _, o := range s.objs {
			all = append(all, o)
		}
		snap, ps := conf.Build(s.rev, all)
		s.invalid = append(append(s.invalid, ps...), conf.Validate(snap)...)
	}
	if hook := s.before; hook != nil {
		s.before = nil
		if hook(apply) {
			panic(http.ErrAbortHandler) // Closes the connection without an answer.
		}
	}
	apply()
	reply(map[string]uint64{"rev": *rev})
}

func atoi(s string) uint64 {
	n, _ := strconv.ParseUint(s, 10, 64)
	return n
}

// fleet stands in for the instances; those in missing never reach a revision.
type fleet struct {
	missing  []string
	watchErr error // of every watch
	high     uint64
	held     *conf.Snapshot
	notified []conf.Object
}

func (f *fleet) Status(context.Context) ([]client.Status, error) {
	return []client.Status{{Entry: "bole-1", Domain: "bole", Rev: 7, Flows: 30,
		Servers: map[string]string{"ledger-01": "warm"}, Refused: map[string]uint64{"overloaded": 2}, FreshMillis: 1500, SkewMillis: new(int64)}}, nil
}

func (f *fleet) Watch(context.Context, uint64) (client.Progress, error) {
	return client.Progress{Done: len(f.missing) == 0, Reached: 1, Lacking: 3 * len(f.missing), Missing: f.missing}, f.watchErr
}

func (f *fleet) Counters(context.Context) (map[string]json.RawMessage, error) {
	return map[string]json.RawMessage{"10.0.0.1:7002": []byte(`{"cmdline":["x"],"memstats":{"Alloc":9},"control":{"pulls":0},"tables":{"flow":{"Notes":41}}}`)}, nil
}

func (f *fleet) Highest(context.Context) (uint64, error) { return f.high, nil }

func (f *fleet) Settings(context.Context) (*conf.Snapshot, error) { return f.held, nil }

func (f *fleet) Notify(_ context.Context, o conf.Object) (int, error) {
	f.notified = append(f.notified, o)
	return 1, nil
}

// bench runs command lines against the stand-ins on virtual time.
type bench struct {
	*standIn
	*fleet
	t        testing.TB
	url      string
	now      time.Time
	out, err bytes.Buffer
}

func newBench(t testing.TB) *bench {
	b := &bench{t: t, fleet: &fleet{}, now: time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC),
		standIn: &standIn{objs: map[string]conf.Object{}, count: map[string]int{}}}
	srv := httptest.NewServer(b.standIn)
	t.Cleanup(srv.Close)
	b.url = srv.URL
	return b
}

func (b *bench) app() *App {
	pause := func(ctx context.Context, d time.Duration) error { b.now = b.now.Add(d); return ctx.Err() }
	return &App{
		Out: &b.out, Err: &b.err, Rand: rand.New(rand.NewPCG(1, 2)),
		Now:   func() time.Time { return b.now },
		Pause: pause,
		DialObjects: func(base []string) (client.Objects, error) {
			return client.Dial(base, http.DefaultClient, rand.New(rand.NewPCG(3, 4)), pause), nil
		},
		DialInstances: func([]string, string) (client.Instances, error) { return b.fleet, nil },
	}
}

// run checks the exit code and returns both outputs.
func (b *bench) run(code int, args ...string) (string, string) {
	b.t.Helper()
	b.out.Reset()
	b.err.Reset()
	got := b.app().Run(context.Background(), append([]string{"ebonyctl", "--api", b.url}, args...))
	assert.Equal(b.t, got, code, "%v: %s%s", args, b.out.String(), b.err.String())
	return b.out.String(), b.err.String()
}

func contains(t testing.TB, text string, parts ...string) {
	t.Helper()
	for _, p := range parts {
		assert.Assert(t, strings.Contains(text, p), "%q is not in:\n%s", p, text)
	}
}
