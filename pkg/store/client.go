// Package store is the client of the platform's object API: versioned
// objects, conditional updates and watches over HTTP with JSON.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"ebonypaddle/pkg/revs"
)

// Kinds of objects.
const (
	KindNode     = "node"
	KindDomain   = "domain"
	KindServer   = "server"
	KindKey      = "key"
	KindInstance = "instance"
	// KindEra holds the object by which operators confirm that a store which came
	// back from an older copy has the settings that are to be in force.
	KindEra = "era"
)

// EraConfirmation is the name of the object of KindEra. Its value is a Confirmation.
const EraConfirmation = "confirmed"

// Confirmation names the era of the store that operators confirmed.
type Confirmation struct {
	Era uint64 `json:"era"`
}

// maxResponse is the largest response of the object API that is read, in bytes,
// which bounds the memory of one call.
const maxResponse = 256 << 20

// EraHeader is the header of all responses that says how often the store came back
// from an older copy of itself. A store without it is in era 0.
const EraHeader = "Store-Era"

// maxPreallocated bounds the buffer that is allocated for the stated length of a
// response, in bytes. Pages are at most 1 MB.
const maxPreallocated = 2 << 20

// Object is one object of the platform. All revisions that the Client returns or
// takes are values of revs.Rev, which include the era of the store.
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
	// Addrs are base URLs. Calls use one address until it fails, then the next.
	Addrs []string
	HTTP  *http.Client
	// Rand is the source of edit identifiers and of the jitter of retries.
	Rand *rand.Rand
	// Sleep waits between attempts. It returns early with an error when ctx
	// ends.
	Sleep func(ctx context.Context, d time.Duration) error
	// Timeout limits one call. A watch may take its waiting time in addition.
	Timeout time.Duration
	// Tries is the largest number of attempts of one read.
	Tries int
	// Backoff is the delay after the first failed attempt. It doubles with
	// every further one up to MaxBackoff. Half of each delay is random jitter.
	Backoff, MaxBackoff time.Duration
	Counters            Counters
	// Log gets a line for each object that is left out of a response because it
	// cannot be decoded; nil selects the default logger.
	Log *slog.Logger

	mu        sync.Mutex
	addrIndex int // index of the address in use
}

// List returns the objects of a kind and the revision at which they were read.
func (c *Client) List(ctx context.Context, kind string) ([]Object, uint64, error) {
	objects, _, rev, err := c.listPrefix(ctx, kind+"/")
	return objects, rev, err
}

// listPrefix returns the objects whose kind and name begin with prefix, how many
// others are left out because they cannot be decoded, and the revision.
func (c *Client) listPrefix(ctx context.Context, prefix string) (objects []Object, leftOut int, rev uint64, err error) {
	var res listResponse
	era, err := c.Read(ctx, "/v1/objects?prefix="+url.QueryEscape(prefix), c.Timeout, &res)
	if err != nil {
		return nil, 0, 0, err
	}
	if err := addEra(era, &res.Rev); err != nil {
		return nil, 0, 0, err
	}
	for _, e := range c.decodeNamed(prefix, res.Objects, era) {
		objects = append(objects, Object{e.Kind, e.Name, e.Rev, e.Value})
	}
	return objects, len(res.Objects) - len(objects), res.Rev, nil
}

// addEra turns the store's counter in rev into a revision of the era. It leaves 0,
// which stands for no object, as it is.
func addEra(era uint64, rev *uint64) error {
	if *rev == 0 {
		return nil
	}
	r, err := revs.New(era, *rev)
	if err != nil {
		return &UnavailableError{Cause: CauseMalformed, Err: err}
	}
	*rev = uint64(r)
	return nil
}

// Get returns one object. It returns a *NotFoundError if the object does not
// exist.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	var body rawBody
	era, err := c.Read(ctx, objectPath(kind, name), c.Timeout, &body)
	if err != nil {
		return Object{}, err
	}
	e, err := decodeEvent(body, era)
	if err != nil {
		return Object{}, &UnavailableError{Cause: CauseMalformed, Err: err}
	}
	return Object{e.Kind, e.Name, e.Rev, e.Value}, nil
}

// Watch waits up to wait for changes after revision since. It returns the
// changes, or none after that time, and the revision reached. It returns a
// *GoneError if the platform no longer has the changes after since, or is in another
// era.
func (c *Client) Watch(ctx context.Context, since uint64, wait time.Duration) ([]Event, uint64, error) {
	var res watchResponse
	from := revs.Rev(since)
	path := fmt.Sprintf("/v1/watch?since=%d&timeout=%d", from.Counter(), wait.Milliseconds())
	era, err := c.Read(ctx, path, c.Timeout+wait, &res)
	if err == nil && era != from.Era() {
		err = &GoneError{Path: path}
	}
	if err != nil {
		return nil, 0, err
	}
	if err := addEra(era, &res.Rev); err != nil {
		return nil, 0, err
	}
	return c.decodeNamed(path, res.Events, era), res.Rev, nil
}

func objectPath(kind, name string) string {
	return "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// Read sends a GET request for path, with up to Tries attempts, and decodes the
// JSON response into out, which may be a BodyDecoder. It returns the era of the store
// that responded. It is exported for readers of APIs with other paths.
// Errors include *UnavailableError, *GoneError and *NotFoundError.
func (c *Client) Read(ctx context.Context, path string, timeout time.Duration, out any) (era uint64, err error) {
	for attempt := 1; ; attempt++ {
		era, err := c.call(ctx, http.MethodGet, path, 0, nil, timeout, out)
		cause, retriable := causeOf(err)
		if err == nil || !retriable {
			return era, err
		}
		c.useNextAddr()
		if attempt >= max(c.Tries, 1) {
			return era, err
		}
		c.Counters.Retries.Add(cause)
		if c.Sleep(ctx, c.backoff(attempt)) != nil {
			return era, err
		}
	}
}

// backoff returns the delay after the given number of failed attempts.
func (c *Client) backoff(attempt int) time.Duration {
	d := c.Backoff << min(attempt-1, 16)
	if d <= 0 || d > c.MaxBackoff {
		d = c.MaxBackoff
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return d/2 + time.Duration(c.Rand.Int64N(int64(d/2)+1))
}

func (c *Client) useNextAddr() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addrIndex = (c.addrIndex + 1) % len(c.Addrs)
}

func (c *Client) currentAddr() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Addrs[c.addrIndex]
}

// call sends one HTTP request to the address in use and decodes the response
// into out. rev is the expected revision of a write. It returns the era of the
// store, 0 without a response.
func (c *Client) call(ctx context.Context, method, path string, rev uint64, body []byte, timeout time.Duration, out any) (era uint64, err error) {
	c.Counters.Calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.currentAddr()+path, bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("object API request: %w", err)
	}
	if method != http.MethodGet {
		req.Header.Set("If-Match", strconv.FormatUint(revs.Rev(rev).Counter(), 10))
		req.Header.Set("Content-Type", "application/json")
	}
	era, err = c.roundTrip(req, out)
	if cause, _ := causeOf(err); err != nil {
		c.Counters.Errors.Add(cause)
	}
	return era, err
}

func (c *Client) roundTrip(req *http.Request, out any) (era uint64, err error) {
	res, err := c.HTTP.Do(req)
	if err != nil {
		return 0, transportError(err)
	}
	defer res.Body.Close()
	b, err := readBody(res)
	if err != nil {
		return 0, transportError(err)
	}
	if v := res.Header.Get(EraHeader); v != "" {
		if era, err = strconv.ParseUint(v, 10, 64); err != nil {
			return 0, &UnavailableError{Cause: CauseMalformed, Err: fmt.Errorf("header %s: %w", EraHeader, err)}
		}
	}
	if err := statusError(req, res.StatusCode, b); err != nil {
		return era, err
	}
	if d, ok := out.(BodyDecoder); ok {
		err = d.DecodeBody(b)
	} else {
		err = Decode(b, out)
	}
	if err != nil {
		return era, &UnavailableError{Cause: CauseMalformed, Err: err}
	}
	return era, nil
}

// readBody returns the content of a response, up to maxResponse bytes. Without
// a buffer of the stated length, a page of objects would be copied ten times.
func readBody(res *http.Response) ([]byte, error) {
	var b bytes.Buffer
	if n := res.ContentLength; n > 0 {
		b.Grow(int(min(n, maxPreallocated)) + bytes.MinRead)
	}
	_, err := b.ReadFrom(io.LimitReader(res.Body, maxResponse))
	return b.Bytes(), err
}
