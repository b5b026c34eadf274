// Package store is the client of the platform's object API: versioned
// objects, conditional updates and watches over HTTP with JSON.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"
)

// Kinds of objects.
const (
	KindNode     = "node"
	KindDomain   = "domain"
	KindServer   = "server"
	KindKey      = "key"
	KindInstance = "instance"
)

// maxResponse bounds the memory that one answer of the object API may take,
// in bytes.
const maxResponse = 256 << 20

// Object is one object of the platform.
type Object struct {
	Kind  string          `json:"kind"`
	Name  string          `json:"name"`
	Rev   uint64          `json:"rev"`
	Value json.RawMessage `json:"value"`
}

// Event is one change of an object.
type Event struct {
	Rev     uint64          `json:"rev"`
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Value   json.RawMessage `json:"value,omitempty"`
	Deleted bool            `json:"deleted,omitempty"`
}

// Client calls the object API. The fields are set before first use. It is
// safe for concurrent use.
type Client struct {
	// Addrs are base URLs. Calls go to one address until it fails.
	Addrs []string
	HTTP  *http.Client
	// Rand draws edit identifiers and the jitter of retries.
	Rand *rand.Rand
	// Sleep waits between tries and returns early when ctx ends.
	Sleep func(ctx context.Context, d time.Duration) error
	// Timeout bounds one call, without the waiting time of a watch.
	Timeout time.Duration
	// Tries bounds the attempts of one read, including the first.
	Tries int
	// Backoff is the wait after the first failure. It doubles with every
	// further one up to MaxBackoff; half of it is jitter.
	Backoff, MaxBackoff time.Duration
	Counters            Counters

	mu   sync.Mutex
	next int // index of the address in use
}

// List returns the objects of a kind and the revision they were read at.
func (c *Client) List(ctx context.Context, kind string) ([]Object, uint64, error) {
	return c.list(ctx, kind+"/")
}

func (c *Client) list(ctx context.Context, prefix string) ([]Object, uint64, error) {
	var out struct {
		Rev     uint64   `json:"rev"`
		Objects []Object `json:"objects"`
	}
	err := c.Read(ctx, "/v1/objects?prefix="+url.QueryEscape(prefix), c.Timeout, &out)
	return out.Objects, out.Rev, err
}

// Get returns one object. An absent object is a *NotFoundError.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	var o Object
	err := c.Read(ctx, objectPath(kind, name), c.Timeout, &o)
	return o, err
}

// Watch waits up to wait for changes after revision since. It returns no
// events when none came, and a *GoneError when since is too old.
func (c *Client) Watch(ctx context.Context, since uint64, wait time.Duration) ([]Event, uint64, error) {
	var out struct {
		Rev    uint64  `json:"rev"`
		Events []Event `json:"events"`
	}
	path := fmt.Sprintf("/v1/watch?since=%d&timeout=%d", since, wait.Milliseconds())
	err := c.Read(ctx, path, c.Timeout+wait, &out)
	return out.Events, out.Rev, err
}

func objectPath(kind, name string) string {
	return "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// Read repeats a GET until it has an answer or Tries is reached, and decodes
// the JSON of the answer into out. Readers of a store with paths of its own
// build on it. Errors are *UnavailableError, *GoneError and *NotFoundError.
func (c *Client) Read(ctx context.Context, path string, timeout time.Duration, out any) error {
	for try := 1; ; try++ {
		err := c.call(ctx, http.MethodGet, path, 0, nil, timeout, out)
		cause, retriable := causeOf(err)
		if err == nil || !retriable {
			return err
		}
		c.rotate()
		if try >= max(c.Tries, 1) {
			return err
		}
		c.Counters.Retries.Add(cause)
		if c.Sleep(ctx, c.pause(try)) != nil {
			return err
		}
	}
}

// pause returns the wait after the given number of failed tries.
func (c *Client) pause(try int) time.Duration {
	d := c.Backoff << min(try-1, 16)
	if d <= 0 || d > c.MaxBackoff {
		d = c.MaxBackoff
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return d/2 + time.Duration(c.Rand.Int64N(int64(d/2)+1))
}

func (c *Client) rotate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next = (c.next + 1) % len(c.Addrs)
}

func (c *Client) addr() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Addrs[c.next]
}

// call makes one HTTP call to the address in use and decodes its answer.
func (c *Client) call(ctx context.Context, method, path string, rev uint64, body []byte, timeout time.Duration, out any) error {
	c.Counters.Calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.addr()+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("object API request: %w", err)
	}
	if method != http.MethodGet {
		req.Header.Set("If-Match", strconv.FormatUint(rev, 10))
		req.Header.Set("Content-Type", "application/json")
	}
	err = c.exchange(req, out)
	if cause, _ := causeOf(err); err != nil {
		c.Counters.Errors.Add(cause)
	}
	return err
}

func (c *Client) exchange(req *http.Request, out any) error {
	res, err := c.HTTP.Do(req)
	if err != nil {
		return transportError(err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxResponse))
	if err != nil {
		return transportError(err)
	}
	if err := statusError(req, res.StatusCode, b); err != nil {
		return err
	}
	if err := json.Unmarshal(b, out); err != nil {
		return &UnavailableError{Cause: CauseMalformed, Err: err}
	}
	return nil
}
