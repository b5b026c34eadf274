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

// platform answers calls in order; a status of 0 is a failed connection, and
// a negative one a connection that breaks.
type platform struct {
	statuses []int
	body     string
	hosts    []string
}

func (p *platform) RoundTrip(r *http.Request) (*http.Response, error) {
	status := p.statuses[min(len(p.hosts), len(p.statuses)-1)]
	p.hosts = append(p.hosts, r.Method+" "+r.URL.Host)
	switch {
	case status == 0:
		return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
	case status < 0:
		return nil, io.ErrUnexpectedEOF
	}
	return &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader(p.body)), Request: r}, nil
}

func newClient(p *platform, waits *[]time.Duration) *store.Client {
	return &store.Client{
		Addrs: []string{"http://a", "http://b"}, HTTP: &http.Client{Transport: p},
		Rand: rand.New(rand.NewPCG(1, 2)), Timeout: time.Second, Tries: 4,
		Backoff: 100 * time.Millisecond, MaxBackoff: 300 * time.Millisecond,
		Sleep: func(_ context.Context, d time.Duration) error {
			*waits = append(*waits, d)
			return nil
		},
	}
}

// Guards against reads that are repeated without bound or without backoff, or
// that stay on an address that fails.
func TestReadRetries(t *testing.T) {
	for name, tc := range map[string]struct {
		statuses []int
		calls    int
		ok       bool
	}{
		"first answers":   {[]int{200}, 1, true},
		"second answers":  {[]int{0, 200}, 2, true},
		"outage":          {[]int{503}, 4, false},
		"absent is final": {[]int{404}, 1, false},
		"gone is final":   {[]int{410}, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			var waits []time.Duration
			p := &platform{statuses: tc.statuses, body: `{"rev":7}`}
			c := newClient(p, &waits)
			_, _, err := c.Watch(t.Context(), 1, 0)
			assert.Equal(t, err == nil, tc.ok, "%v", err)
			assert.Equal(t, len(p.hosts), tc.calls)
			assert.Equal(t, len(waits), tc.calls-1)
			for i, d := range waits {
				full := min(100*time.Millisecond<<i, 300*time.Millisecond)
				assert.Assert(t, d >= full/2 && d <= full, "wait %d: %v", i, d)
				assert.Assert(t, p.hosts[i] != p.hosts[i+1])
			}
		})
	}
}

// Guards against a write that is repeated although it may have taken effect.
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
			p := &platform{statuses: tc.statuses, body: `{"rev":3,"objects":[{"kind":"node","name":"/x","rev":3,"value":{"edit":"old"}}]}`}
			_, err := newClient(p, &waits).Put(t.Context(), store.KindNode, "/x", 3, []byte(`{}`))
			var un *store.UnavailableError
			assert.Assert(t, errors.As(err, &un), "%v", err)
			assert.Equal(t, un.Uncertain, tc.uncertain)
			puts := 0
			for _, h := range p.hosts {
				if strings.HasPrefix(h, "PUT") {
					puts++
				}
			}
			assert.Equal(t, puts, tc.puts)
		})
	}
}

// Guards against a lost answer that is reported as a plain conflict, or as
// success, when a later write hides whether this one took effect.
func TestLostAnswerOverwritten(t *testing.T) {
	var waits []time.Duration
	p := &platform{statuses: []int{-1, 200}, body: `{"rev":9,"objects":[{"kind":"node","name":"/x","rev":8,"value":{"edit":"other"}}]}`}
	_, err := newClient(p, &waits).Put(t.Context(), store.KindNode, "/x", 3, []byte(`{}`))
	var conflict *store.ConflictError
	assert.Assert(t, errors.As(err, &conflict), "%v", err)
	assert.Assert(t, conflict.Uncertain)
	assert.Equal(t, conflict.Rev, uint64(8))
	assert.Equal(t, string(conflict.Value), `{"edit":"other"}`)
}
