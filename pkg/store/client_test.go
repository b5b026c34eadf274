package store_test

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/store"
)

// fakeAPI is a transport that returns the statuses in order and repeats the last
// one. Status 0 is a failed connection attempt, a negative status a connection
// that breaks before the response.
type fakeAPI struct {
	statuses []int
	body     string
	requests []string
}

func (api *fakeAPI) RoundTrip(r *http.Request) (*http.Response, error) {
	status := api.statuses[min(len(api.requests), len(api.statuses)-1)]
	api.requests = append(api.requests, r.Method+" "+r.URL.Host)
	switch {
	case status == 0:
		return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
	case status < 0:
		return nil, io.ErrUnexpectedEOF
	}
	return &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader(api.body)), Request: r}, nil
}

func newClient(api *fakeAPI, waits *[]time.Duration) *store.Client {
	return &store.Client{
		Addrs: []string{"http://a", "http://b"}, HTTP: &http.Client{Transport: api},
		Rand: rand.New(rand.NewPCG(1, 2)), Timeout: time.Second, Tries: 4,
		Backoff: 100 * time.Millisecond, MaxBackoff: 300 * time.Millisecond,
		Sleep: func(_ context.Context, d time.Duration) error {
			*waits = append(*waits, d)
			return nil
		},
	}
}

// Guards against reads that are retried without a limit or without backoff, or
// that keep using an address that fails.
func TestReadRetries(t *testing.T) {
	for name, tc := range map[string]struct {
		statuses []int
		calls    int
		ok       bool
	}{
		"success at once":     {[]int{200}, 1, true},
		"success after retry": {[]int{0, 200}, 2, true},
		"outage":              {[]int{503}, 4, false},
		"not found, no retry": {[]int{404}, 1, false},
		"gone, no retry":      {[]int{410}, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			var waits []time.Duration
			api := &fakeAPI{statuses: tc.statuses, body: `{"rev":7}`}
			c := newClient(api, &waits)
			_, _, err := c.Watch(t.Context(), 1, 0)
			assert.Equal(t, err == nil, tc.ok, "%v", err)
			assert.Equal(t, len(api.requests), tc.calls)
			assert.Equal(t, len(waits), tc.calls-1)
			for i, d := range waits {
				full := min(100*time.Millisecond<<i, 300*time.Millisecond)
				assert.Assert(t, d >= full/2 && d <= full, "wait %d: %v", i, d)
				assert.Assert(t, api.requests[i] != api.requests[i+1])
			}
		})
	}
}

// Guards against a write that is sent again although it may have taken effect.
func TestWriteSentOnce(t *testing.T) {
	for name, tc := range map[string]struct {
		statuses  []int
		puts      int
		uncertain bool
	}{
		"no connection tries the next address": {[]int{0, 0}, 2, false},
		"broken connection":                    {[]int{-1, 200}, 1, true},
		"failure status":                       {[]int{500, 200}, 1, true},
		"throttled":                            {[]int{429}, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			var waits []time.Duration
			api := &fakeAPI{statuses: tc.statuses, body: `{"rev":3,"objects":[{"kind":"node","name":"/x","rev":3,"value":{"edit":"old"}}]}`}
			_, err := newClient(api, &waits).Put(t.Context(), store.KindNode, "/x", 3, []byte(`{}`))
			var unavailable *store.UnavailableError
			assert.Assert(t, errors.As(err, &unavailable), "%v", err)
			assert.Equal(t, unavailable.Uncertain, tc.uncertain)
			puts := 0
			for _, req := range api.requests {
				if strings.HasPrefix(req, "PUT") {
					puts++
				}
			}
			assert.Equal(t, puts, tc.puts)
		})
	}
}

// Guards against a write without an answer that is reported as an ordinary
// conflict or as a success, although a later write of another client makes it
// impossible to find out whether it took effect.
func TestLostAnswerOverwritten(t *testing.T) {
	var waits []time.Duration
	api := &fakeAPI{statuses: []int{-1, 200}, body: `{"rev":9,"objects":[{"kind":"node","name":"/x","rev":8,"value":{"edit":"other"}}]}`}
	_, err := newClient(api, &waits).Put(t.Context(), store.KindNode, "/x", 3, []byte(`{}`))
	var conflict *store.ConflictError
	assert.Assert(t, errors.As(err, &conflict), "%v", err)
	assert.Assert(t, conflict.Uncertain)
	assert.Equal(t, conflict.Rev, uint64(8))
	assert.Equal(t, string(conflict.Value), `{"edit":"other"}`)
}
