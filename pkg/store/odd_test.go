package store_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/store"
)

// oddObjects are objects with content or fields that other writers may have made
// unreadable.
var oddObjects = map[string]string{
	"deeply nested value": `{"kind":"server","name":"odd","rev":3,"value":` + deepValue + `}`,
	"number too large":    `{"kind":"server","name":"odd","rev":1e400,"value":{}}`,
	"revision too large":  `{"kind":"server","name":"odd","rev":18446744073709551615,"value":{}}`,
	"name of other type":  `{"kind":"server","name":{"a":1},"rev":3,"value":{}}`,
	"no name":             `{"rev":3}`,
	"no object":           `[7]`,
}

// Guards against one object of another writer that stops the reading of all
// others.
func TestOddObjectLeavesTheOthers(t *testing.T) {
	const good = `{"kind":"server","name":"good","rev":4,"value":{"a":1}}`
	for name, odd := range oddObjects {
		t.Run(name, func(t *testing.T) {
			var waits []time.Duration
			api := &fakeAPI{statuses: []int{200}, body: fmt.Sprintf(`{"rev":9,"objects":[%s,%s]}`, odd, good)}
			objects, rev, err := newClient(api, &waits).List(t.Context(), "server")
			assert.NilError(t, err)
			assert.Equal(t, rev, uint64(9))
			last := objects[len(objects)-1]
			assert.Equal(t, last.Name, "good")
			assert.Equal(t, string(last.Value), `{"a":1}`)

			api = &fakeAPI{statuses: []int{200}, body: fmt.Sprintf(`{"rev":9,"events":[%s,%s]}`, odd, good)}
			events, rev, err := newClient(api, &waits).Watch(t.Context(), 3, time.Second)
			assert.NilError(t, err)
			assert.Equal(t, rev, uint64(9))
			assert.Equal(t, events[len(events)-1].Name, "good")
			assert.Equal(t, len(waits), 0)
		})
	}
}

// Guards against an object that is left out without a log line.
func TestObjectLeftOutIsLogged(t *testing.T) {
	var logged strings.Builder
	c := newClient(&fakeAPI{statuses: []int{200}, body: `{"rev":9,"objects":[` + oddObjects["number too large"] + `]}`}, new([]time.Duration))
	c.Log = slog.New(slog.NewTextHandler(&logged, nil))
	objects, _, err := c.List(t.Context(), "server")
	assert.NilError(t, err)
	assert.Equal(t, len(objects), 0)
	assert.Equal(t, strings.Count(logged.String(), "object left out of a response"), 1, logged.String())
	assert.Assert(t, strings.Contains(logged.String(), "member rev"), logged.String())
}

// Guards against a conflict that counts as an unavailable store because another
// writer's object cannot be decoded, and against a value that Get loses.
func TestOddValueInConflict(t *testing.T) {
	api := &fakeAPI{statuses: []int{409, 200}, body: oddObjects["deeply nested value"]}
	_, err := newClient(api, new([]time.Duration)).Put(context.Background(), "server", "odd", 1, []byte(`{}`))
	var conflict *store.ConflictError
	assert.Assert(t, errors.As(err, &conflict), "%v", err)
	assert.Equal(t, conflict.Rev, uint64(3))
	assert.Equal(t, string(conflict.Value), deepValue)
}

// Guards against a write without an answer that counts as undone because its object
// cannot be decoded.
func TestReadBackOfOddObject(t *testing.T) {
	api := &fakeAPI{statuses: []int{-1, 200}, body: `{"rev":9,"objects":[` + oddObjects["number too large"] + `]}`}
	_, err := newClient(api, new([]time.Duration)).Delete(context.Background(), "server", "odd", 1)
	var unavailable *store.UnavailableError
	assert.Assert(t, errors.As(err, &unavailable) && unavailable.Uncertain, "%v", err)
}
