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

type bench struct {
	*store.Client
	srv *object.Server
	now atomic.Int64 // ns
}

func newBench(t *testing.T, history int) *bench {
	b := &bench{}
	b.srv = &object.Server{Clock: func() time.Time { return time.Unix(0, b.now.Load()) }, History: history, InstanceLag: time.Second}
	assert.NilError(t, b.srv.Load([]byte(`[{"kind":"node","name":"/koysipaja/order","value":{"v":1}}]`)))
	h := httptest.NewServer(b.srv.Handler())
	t.Cleanup(h.Close)
	b.Client = &store.Client{
		Addrs: []string{h.URL}, HTTP: h.Client(), Rand: rand.New(rand.NewPCG(3, 4)),
		Timeout: 5 * time.Second, Tries: 3, Backoff: time.Millisecond, MaxBackoff: time.Millisecond,
		Sleep: func(context.Context, time.Duration) error { return nil },
	}
	return b
}

func (b *bench) put(t *testing.T, kind, name string, rev uint64, value string) uint64 {
	t.Helper()
	got, err := b.Put(t.Context(), kind, name, rev, json.RawMessage(value))
	assert.NilError(t, err)
	return got
}

// Guards against a write that is reported as failed, or made twice, when only
// its answer was lost.
func TestLostAnswer(t *testing.T) {
	b := newBench(t, 0)
	b.srv.SetFault(object.Fault{LoseAnswers: 1})
	assert.Equal(t, b.put(t, store.KindNode, name, 1, `{"v":2}`), uint64(2))
	assert.Equal(t, b.Counters.Resolved.Load(), uint64(1))
	assert.Equal(t, b.srv.Calls().Writes, uint64(1))
	b.srv.SetFault(object.Fault{LoseAnswers: 1})
	b.put(t, store.KindKey, "k", 0, `{}`) // takes the lost answer, at revision 3
	b.srv.SetFault(object.Fault{LoseAnswers: 1})
	rev, err := b.Delete(t.Context(), store.KindNode, name, 2)
	assert.NilError(t, err)
	assert.Equal(t, rev, uint64(4))
	var missing *store.NotFoundError
	_, err = b.Get(t.Context(), store.KindNode, name)
	assert.Assert(t, errors.As(err, &missing), "%v", err)
}

// Guards against a lagging replica that makes a write which took effect look
// as if it had not.
func TestLostAnswerBehindReplica(t *testing.T) {
	b := newBench(t, 0)
	b.srv.SetFault(object.Fault{LoseAnswers: 1, ReplicaLag: 1})
	_, err := b.Put(t.Context(), store.KindNode, name, 1, json.RawMessage(`{"v":2}`))
	var un *store.UnavailableError
	assert.Assert(t, errors.As(err, &un) && un.Uncertain, "%v", err)
	o, err := b.Get(t.Context(), store.KindNode, name)
	assert.NilError(t, err)
	assert.Equal(t, o.Rev, uint64(1), "replica does not lag")
	b.srv.SetFault(object.Fault{})
	o, err = b.Get(t.Context(), store.KindNode, name)
	assert.NilError(t, err)
	assert.Equal(t, o.Rev, uint64(2))
}

// Guards against a replica that has not seen an object's creation, which makes
// a removal whose answer was lost look as if it was confirmed.
func TestLostRemovalBehindCreation(t *testing.T) {
	b := newBench(t, 0)
	rev := b.put(t, store.KindKey, "k", 0, `{}`)
	b.srv.SetFault(object.Fault{LoseAnswers: 1, ReplicaLag: 2})
	_, err := b.Delete(t.Context(), store.KindKey, "k", rev)
	var un *store.UnavailableError
	assert.Assert(t, errors.As(err, &un) && un.Uncertain, "%v", err)
}

// Guards against an update that overwrites another operator's edit.
func TestConflict(t *testing.T) {
	b := newBench(t, 0)
	b.put(t, store.KindNode, name, 1, `{"v":2}`)
	for _, rev := range []uint64{0, 1} {
		_, err := b.Put(t.Context(), store.KindNode, name, rev, json.RawMessage(`{"v":3}`))
		var conflict *store.ConflictError
		assert.Assert(t, errors.As(err, &conflict), "%v", err)
		assert.Equal(t, conflict.Rev, uint64(2))
		var v struct{ V int }
		assert.NilError(t, json.Unmarshal(conflict.Value, &v))
		assert.Equal(t, v.V, 2)
	}
}

// Guards against an outage that is not reported as one.
func TestOutage(t *testing.T) {
	b := newBench(t, 0)
	b.srv.SetFault(object.Fault{Down: true})
	_, _, err := b.List(t.Context(), store.KindNode)
	var un *store.UnavailableError
	assert.Assert(t, errors.As(err, &un), "%v", err)
	assert.Equal(t, b.Counters.Retries.Get(store.CauseStatus), uint64(2))
	b.srv.SetFault(object.Fault{Slow: conf.Duration(time.Minute)})
	b.Timeout = 10 * time.Millisecond
	_, err = b.Get(t.Context(), store.KindNode, name)
	assert.Assert(t, errors.As(err, &un) && un.Cause == store.CauseTimeout, "%v", err)
}

// Guards against watches that miss changes or do not say that they did.
func TestWatch(t *testing.T) {
	b := newBench(t, 2)
	evs, rev, err := b.Watch(t.Context(), 1, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(evs)+int(rev), 1)
	go func() { _, _ = b.Put(context.Background(), store.KindKey, "k", 0, json.RawMessage(`{}`)) }()
	evs, _, err = b.Watch(t.Context(), 1, 5*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, len(evs), 1)
	assert.Equal(t, evs[0].Rev, uint64(2))
	rev = b.put(t, store.KindNode, name, 1, `{}`)
	b.put(t, store.KindNode, name, rev, `{}`)
	_, _, err = b.Watch(t.Context(), 1, 0)
	var gone *store.GoneError
	assert.Assert(t, errors.As(err, &gone), "%v", err)
}

// Guards against an instance list that shows a change before its lag is over,
// or whose revisions are of no use for an update.
func TestInstanceLag(t *testing.T) {
	b := newBench(t, 0)
	b.put(t, store.KindInstance, "i1", 0, `{"state":"live"}`)
	seen := func() []store.Object {
		objs, _, err := b.List(t.Context(), store.KindInstance)
		assert.NilError(t, err)
		return objs
	}
	assert.Equal(t, len(seen()), 0)
	b.now.Add(int64(time.Second))
	objs := seen()
	assert.Equal(t, len(objs), 1)
	b.put(t, store.KindInstance, "i1", objs[0].Rev, `{"state":"leaving"}`)
}

// Guards against packets for instances that are leaving.
func TestLive(t *testing.T) {
	b := newBench(t, 0)
	b.put(t, store.KindInstance, "i1", 0, `{"data":"127.0.0.1:1","state":"leaving"}`)
	b.put(t, store.KindInstance, "i2", 0, `{"data":"127.0.0.1:2","state":"live"}`)
	b.now.Add(int64(time.Second))
	list, err := object.LiveInstances(t.Context(), b.Client)
	assert.NilError(t, err)
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0], netip.MustParseAddrPort("127.0.0.1:2"))
}

// Guards against faults that cannot be set from outside the process.
func TestFaultOverHTTP(t *testing.T) {
	b := newBench(t, 0)
	for body, want := range map[string]int{`{"down":true}`: http.StatusOK, `{`: http.StatusBadRequest} {
		res, err := http.Post(b.Addrs[0]+"/fault", "application/json", strings.NewReader(body))
		assert.NilError(t, err)
		res.Body.Close()
		assert.Equal(t, res.StatusCode, want)
	}
	_, err := b.Get(t.Context(), store.KindNode, name)
	assert.Assert(t, err != nil)
}
