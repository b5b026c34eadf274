package store_test

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/store"
)

// Guards against a response that broke off and is taken for a complete one: what
// arrived may be valid JSON by itself, such as a page without its later objects.
func TestCutShortResponse(t *testing.T) {
	for name, response := range map[string]string{
		"complete JSON, stated length":        "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"rev\":7,\"events\":[]}",
		"complete JSON, chunks":               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n15\r\n{\"rev\":7,\"events\":[]}\r\n",
		"part of JSON, until the end":         "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"rev\":7,\"events\":[",
		"two responses, the second is a copy": "HTTP/1.1 200 OK\r\nContent-Length: 42\r\n\r\n{\"rev\":7,\"events\":[]}{\"rev\":7,\"events\":[]}",
	} {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := w.(http.Hijacker).Hijack()
				assert.Check(t, err)
				_, err = conn.Write([]byte(response))
				assert.Check(t, err)
				assert.Check(t, conn.Close())
			}))
			defer srv.Close()
			c := &store.Client{Addrs: []string{srv.URL}, HTTP: srv.Client(), Timeout: time.Second, Tries: 1}
			_, _, err := c.Watch(t.Context(), 1, 0)
			var unavailable *store.UnavailableError
			assert.Assert(t, errors.As(err, &unavailable), "%v", err)
		})
	}
}

// Guards against a second copy of a response that arrives on a connection in use
// again: the next request must not get it as its own.
func TestSecondCopyOfAResponse(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, l.Close()) }()
	served := make(chan struct{})
	go func() {
		defer close(served)
		bodies := []string{`{"rev":7,"events":[]}`, `{"rev":8,"events":[]}`}
		for n := 0; n < len(bodies); {
			conn, err := l.Accept()
			if !assert.Check(t, err) {
				return
			}
			n += answerTwice(t, conn, bodies[n:])
		}
	}()
	c := &store.Client{Addrs: []string{"http://" + l.Addr().String()}, HTTP: &http.Client{Transport: &http.Transport{}}, Timeout: time.Second, Tries: 1}
	for _, want := range []uint64{7, 8} {
		_, rev, err := c.Watch(t.Context(), 1, 0)
		assert.NilError(t, err)
		assert.Equal(t, rev, want)
		time.Sleep(50 * time.Millisecond) // the copy arrives while the connection is idle
	}
	<-served
}

// answerTwice answers the requests of a connection in order, each with its
// response and a copy of it. It returns the number of requests that it answered.
func answerTwice(t *testing.T, conn net.Conn, bodies []string) int {
	t.Helper()
	defer func() { _ = conn.Close() }() // the client may have closed it
	buf := make([]byte, 4096)
	for n, body := range bodies {
		if _, err := conn.Read(buf); err != nil {
			return n
		}
		response := "HTTP/1.1 200 OK\r\nContent-Length: 21\r\n\r\n" + body
		if _, err := conn.Write([]byte(response + response)); err != nil {
			return n + 1
		}
	}
	return len(bodies)
}
