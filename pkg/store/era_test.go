package store_test

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/revs"
	"ebonypaddle/pkg/store"
)

// Guards against revisions of two eras of the store that are compared by their counters.
func TestRevisionsHaveTheEra(t *testing.T) {
	const era = 2
	status := http.StatusOK
	ifMatch := ""
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ifMatch = r.Header.Get("If-Match")
		w.Header().Set(store.EraHeader, fmt.Sprint(era))
		w.WriteHeader(status)
		_, err := fmt.Fprint(w, `{"rev":7,"objects":[{"kind":"node","name":"/x","rev":6}],"events":[{"kind":"node","name":"/x","rev":7}]}`)
		assert.Check(t, err)
	}))
	defer srv.Close()
	c := &store.Client{Addrs: []string{srv.URL}, HTTP: srv.Client(), Timeout: time.Second, Tries: 1}
	at := func(era, counter uint64) uint64 {
		rev, err := revs.New(era, counter)
		assert.NilError(t, err)
		return uint64(rev)
	}
	t.Run("reads", func(t *testing.T) {
		objs, rev, err := c.List(t.Context(), store.KindNode)
		assert.NilError(t, err)
		assert.Equal(t, rev, at(era, 7))
		assert.Equal(t, objs[0].Rev, at(era, 6))
		events, rev, err := c.Watch(t.Context(), at(era, 5), 0)
		assert.NilError(t, err)
		assert.Equal(t, rev, at(era, 7))
		assert.Equal(t, events[0].Rev, at(era, 7))
	})
	t.Run("watch from an earlier era", func(t *testing.T) {
		_, _, err := c.Watch(t.Context(), at(era-1, 5), 0)
		var gone *store.GoneError
		assert.Assert(t, errors.As(err, &gone), "%v", err)
	})
	t.Run("write", func(t *testing.T) {
		rev, err := c.PutEdit(t.Context(), store.KindNode, "/x", at(era, 6), []byte(`{}`), "e")
		assert.NilError(t, err)
		assert.Equal(t, rev, at(era, 7))
		assert.Equal(t, ifMatch, "6")
	})
	t.Run("write of what was read in an earlier era", func(t *testing.T) {
		_, err := c.PutEdit(t.Context(), store.KindNode, "/x", at(era-1, 6), []byte(`{}`), "e")
		var restored *store.RestoredError
		assert.Assert(t, errors.As(err, &restored), "%v", err)
		assert.Equal(t, restored.Rev, at(era, 7))
	})
	t.Run("conflict", func(t *testing.T) {
		status = http.StatusConflict
		_, err := c.Delete(t.Context(), store.KindNode, "/x", at(era, 5))
		var conflict *store.ConflictError
		assert.Assert(t, errors.As(err, &conflict), "%v", err)
		assert.Equal(t, conflict.Rev, at(era, 7))
	})
}
