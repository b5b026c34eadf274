package client

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/store"
)

// Limits of a call. If the response to a write is lost, the object is read back up
// to maxTries times; a write that does not show up by then has an unknown outcome.
const (
	maxTries     = 4
	retryBackoff = 500 * time.Millisecond
	callTimeout  = 5 * time.Second
)

var errNoAPI = errors.New("no address of the object API was given")

// ObjectClient implements ObjectAPI with the client of the platform's store.
type ObjectClient struct{ Client *store.Client }

// NewObjectClient returns a client of the object API at base URLs such as
// http://10.0.0.1:8080. It switches to the next URL when one fails. sleep waits
// between tries.
func NewObjectClient(baseURLs []string, hc *http.Client, rnd *rand.Rand, sleep func(context.Context, time.Duration) error) *ObjectClient {
	return &ObjectClient{&store.Client{
		Addrs: baseURLs, HTTP: hc, Rand: rnd, Sleep: sleep,
		Timeout: callTimeout, Tries: maxTries, Backoff: retryBackoff, MaxBackoff: retryBackoff,
	}}
}

// List implements ObjectAPI.
func (c *ObjectClient) List(ctx context.Context, kind conf.Kind) (uint64, []conf.Object, error) {
	if len(c.Client.Addrs) == 0 {
		return 0, nil, errNoAPI
	}
	objs, rev, err := c.Client.List(ctx, string(kind))
	out := make([]conf.Object, 0, len(objs))
	for _, o := range objs {
		out = append(out, conf.Object{Kind: conf.Kind(o.Kind), Name: o.Name, Rev: o.Rev, Value: o.Value})
	}
	return rev, out, err
}

// Get implements ObjectAPI.
func (c *ObjectClient) Get(ctx context.Context, kind conf.Kind, name string) (conf.Object, error) {
	if len(c.Client.Addrs) == 0 {
		return conf.Object{}, errNoAPI
	}
	o, err := c.Client.Get(ctx, string(kind), name)
	var notFound *store.NotFoundError
	if errors.As(err, &notFound) {
		return conf.Object{}, fmt.Errorf("%s %q: %w", kind, name, ErrNotFound)
	}
	return conf.Object{Kind: kind, Name: name, Rev: o.Rev, Value: o.Value}, err
}

// Put implements ObjectAPI.
func (c *ObjectClient) Put(ctx context.Context, kind conf.Kind, name string, rev uint64, value []byte, edit string) (uint64, error) {
	if len(c.Client.Addrs) == 0 {
		return 0, errNoAPI
	}
	return c.Client.PutEdit(ctx, string(kind), name, rev, value, edit)
}

// Delete implements ObjectAPI.
func (c *ObjectClient) Delete(ctx context.Context, kind conf.Kind, name string, rev uint64) (uint64, error) {
	if len(c.Client.Addrs) == 0 {
		return 0, errNoAPI
	}
	return c.Client.Delete(ctx, string(kind), name, rev)
}
