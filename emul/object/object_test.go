package object_test

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/emul/object"
	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/store"
)

const name = "/koysipaja/order"

type fixture struct {
	*store.Client
	srv *object.Server
	now atomic.Int64 // ns
}

func newFixture(t *testing.T, history int) *fixture {
	f := &fixture{}
	f.srv = &object.Server{Clock: func() time.Time { return time.Unix(0, f.now.Load()) }, History: history, InstanceLag: time.Second}
	assert.NilError(t, f.srv.Load([]byte(`[{"kind":"node","name":"/koysipaja/order","value":{"v":1}}]`)))
	h := httptest.NewServer(f.srv.Handler())
	t.Cleanup(h.Close)
	f.Client = &store.Client{
		Addrs: []string{h.URL}, HTTP: h.Client(), Rand: rand.New(rand.NewPCG(3, 4)),
		Timeout: 5 * time.Second, Tries: 3, Backoff: time.Millisecond, MaxBackoff: time.Millisecond,
		Sleep: func(context.Context, time.Duration) error { return nil },
	}
	return f
}

func (f *fixture) put(t *testing.T, kind, name string, rev uint64, value string) uint64 {
	t.Helper()
	got, err := f.Put(t.Context(), kind, name, rev, json.RawMessage(value))
	assert.NilError(t, err)
	return got
}

// Guards against a write that is reported as failed, or repeated, although only
// its answer was lost.
func TestLostAnswer(t *testing.T) {
	f := newFixture(t, 0)
	f.srv.SetFault(object.Fault{LoseAnswers: 1})
	assert.Equal(t, f.put(t, store.KindNode, name, 1, `{"v":2}`), uint64(2))
	assert.Equal(t, f.Counters.Resolved.Load(), uint64(1))
	assert.Equal(t, f.srv.Calls().Writes, uint64(1))
	f.srv.SetFault(object.Fault{LoseAnswers: 1})
	f.put(t, store.KindKey, "k", 0, `{}`) // takes the lost answer, at revision 3
	f.srv.SetFault(object.Fault{LoseAnswers: 1})
	rev, err := f.Delete(t.Context(), store.KindNode, name, 2)
	assert.NilError(t, err)
	assert.Equal(t, rev, uint64(4))
	var missing *store.NotFoundError
	_, err = f.Get(t.Context(), store.KindNode, name)
	assert.Assert(t, errors.As(err, &missing), "%v", err)
}

// Guards against reporting that a write with a lost answer did not take effect,
// because the read that checks it came from a lagging replica.
func TestLostAnswerBehindReplica(t *testing.T) {
	f := newFixture(t, 0)
	f.srv.SetFault(object.Fault{LoseAnswers: 1, ReplicaLag: 1})
	_, err := f.Put(t.Context(), store.KindNode, name, 1, json.RawMessage(`{"v":2}`))
	var un *store.UnavailableError
	assert.Assert(t, errors.As(err, &un) && un.Uncertain, "%v", err)
	o, err := f.Get(t.Context(), store.KindNode, name)
	assert.NilError(t, err)
	assert.Equal(t, o.Rev, uint64(1), "the read shows the new revision although the replica lags")
	f.srv.SetFault(object.Fault{})
	o, err = f.Get(t.Context(), store.KindNode, name)
	assert.NilError(t, err)
	assert.Equal(t, o.Rev, uint64(2))
}

// Guards against reporting that a removal with a lost answer took effect,
// because the read that checks it came from a replica that has not yet seen the
// object's creation.
func TestLostRemovalBehindCreation(t *testing.T) {
	f := newFixture(t, 0)
	rev := f.put(t, store.KindKey, "k", 0, `{}`)
	f.srv.SetFault(object.Fault{LoseAnswers: 1, ReplicaLag: 2})
	_, err := f.Delete(t.Context(), store.KindKey, "k", rev)
	var un *store.UnavailableError
	assert.Assert(t, errors.As(err, &un) && un.Uncertain, "%v", err)
}

// Guards against an update that overwrites another operator's edit.
func TestConflict(t *testing.T) {
	f := newFixture(t, 0)
	f.put(t, store.KindNode, name, 1, `{"v":2}`)
	for _, rev := range []uint64{0, 1} {
		_, err := f.Put(t.Context(), store.KindNode, name, rev, json.RawMessage(`{"v":3}`))
		var conflict *store.ConflictError
		assert.Assert(t, errors.As(err, &conflict), "%v", err)
		assert.Equal(t, conflict.Rev, uint64(2))
		var v struct{ V int }
		assert.NilError(t, json.Unmarshal(conflict.Value, &v))
		assert.Equal(t, v.V, 2)
	}
}

// Guards against an outage that is not reported as UnavailableError, and a slow
// API that is not reported as a timeout.
func TestOutage(t *testing.T) {
	f := newFixture(t, 0)
	f.srv.SetFault(object.Fault{Down: true})
	_, _, err := f.List(t.Context(), store.KindNode)
	var un *store.UnavailableError
	assert.Assert(t, errors.As(err, &un), "%v", err)
	assert.Equal(t, f.Counters.Retries.Get(store.CauseStatus), uint64(2))
	f.srv.SetFault(object.Fault{Slow: conf.Duration(time.Minute)})
	f.Timeout = 10 * time.Millisecond
	_, err = f.Get(t.Context(), store.KindNode, name)
	assert.Assert(t, errors.As(err, &un) && un.Cause == store.CauseTimeout, "%v", err)
}

// Guards against watches that miss changes, and that don't report when the
// requested history is gone.
func TestWatch(t *testing.T) {
	f := newFixture(t, 2)
	evs, rev, err := f.Watch(t.Context(), 1, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(evs)+int(rev), 1)
	go func() { _, _ = f.Put(context.Background(), store.KindKey, "k", 0, json.RawMessage(`{}`)) }()
	evs, _, err = f.Watch(t.Context(), 1, 5*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, len(evs), 1)
	assert.Equal(t, evs[0].Rev, uint64(2))
	rev = f.put(t, store.KindNode, name, 1, `{}`)
	f.put(t, store.KindNode, name, rev, `{}`)
	_, _, err = f.Watch(t.Context(), 1, 0)
	var gone *store.GoneError
	assert.Assert(t, errors.As(err, &gone), "%v", err)
}

// Guards against an instance list that shows a change before its lag has
// passed, or whose revisions are not valid for a conditional update.
func TestInstanceLag(t *testing.T) {
	f := newFixture(t, 0)
	f.put(t, store.KindInstance, "i1", 0, `{"state":"live"}`)
	listInstances := func() []store.Object {
		objs, _, err := f.List(t.Context(), store.KindInstance)
		assert.NilError(t, err)
		return objs
	}
	assert.Equal(t, len(listInstances()), 0)
	f.now.Add(int64(time.Second))
	objs := listInstances()
	assert.Equal(t, len(objs), 1)
	f.put(t, store.KindInstance, "i1", objs[0].Rev, `{"state":"leaving"}`)
}

// Guards against treating a leaving instance as one that may get packets.
func TestLive(t *testing.T) {
	f := newFixture(t, 0)
	f.put(t, store.KindInstance, "i1", 0, `{"data":"127.0.0.1:1","state":"leaving"}`)
	f.put(t, store.KindInstance, "i2", 0, `{"data":"127.0.0.1:2","state":"live"}`)
	f.now.Add(int64(time.Second))
	list, err := object.LiveInstances(t.Context(), f.Client)
	assert.NilError(t, err)
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0], netip.MustParseAddrPort("127.0.0.1:2"))
}

// Guards against faults that cannot be set from outside the process.
func TestFaultOverHTTP(t *testing.T) {
	f := newFixture(t, 0)
	for body, want := range map[string]int{`{"down":true}`: http.StatusOK, `{`: http.StatusBadRequest} {
		res, err := http.Post(f.Addrs[0]+"/fault", "application/json", strings.NewReader(body))
		assert.NilError(t, err)
		res.Body.Close()
		assert.Equal(t, res.StatusCode, want)
	}
	_, err := f.Get(t.Context(), store.KindNode, name)
	assert.Assert(t, err != nil)
}

// Guards against a simulated store that keeps what it must have lost.
func TestRestore(t *testing.T) {
	f := newFixture(t, 0)
	rev := f.put(t, store.KindNode, name, 1, `{"v":2}`)
	f.put(t, store.KindKey, "k", 0, `{}`)
	f.put(t, store.KindInstance, "i1", 0, `{"state":"live"}`) // not published yet
	res, err := http.Post(f.Addrs[0]+"/restore", "application/json", strings.NewReader(`{"revisions":3}`))
	assert.NilError(t, err)
	res.Body.Close()
	o, err := f.Get(t.Context(), store.KindNode, name)
	assert.NilError(t, err)
	var v struct{ V int }
	assert.NilError(t, json.Unmarshal(o.Value, &v))
	assert.Equal(t, v.V, 1)
	var missing *store.NotFoundError
	_, err = f.Get(t.Context(), store.KindKey, "k")
	assert.Assert(t, errors.As(err, &missing), "%v", err)
	var gone *store.GoneError
	_, _, err = f.Watch(t.Context(), rev, 0)
	assert.Assert(t, errors.As(err, &gone), "%v", err)
	f.now.Add(int64(time.Second))
	objs, _, err := f.List(t.Context(), store.KindInstance)
	assert.NilError(t, err)
	assert.Equal(t, len(objs), 0, "a write that was lost is published")
	res, err = http.Get(f.Addrs[0] + "/v1/objects?prefix=node")
	assert.NilError(t, err)
	res.Body.Close()
	assert.Equal(t, res.Header.Get(store.EraHeader), "1")
}
