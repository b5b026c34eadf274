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

// Reading back after a lost answer: a write that was on its way shows up
// within these tries or is reported as unknown.
const (
	tries    = 4
	tryPause = 500 * time.Millisecond
	callTime = 5 * time.Second
)

// errNoAPI reports that no address of the object API was given.
var errNoAPI = errors.New("no address of the object API is given")

// Platform is the object API of the platform.
type Platform struct{ Store *store.Client }

// Dial returns the object API at base URLs such as http://10.0.0.1:8080. The
// next is used when one fails. pause waits between tries.
func Dial(base []string, hc *http.Client, rnd *rand.Rand, pause func(context.Context, time.Duration) error) *Platform {
	return &Platform{&store.Client{
		Addrs: base, HTTP: hc, Rand: rnd, Sleep: pause,
		Timeout: callTime, Tries: tries, Backoff: tryPause, MaxBackoff: tryPause,
	}}
}

// List implements Objects.
func (p *Platform) List(ctx context.Context, kind conf.Kind) (uint64, []conf.Object, error) {
	if len(p.Store.Addrs) == 0 {
		return 0, nil, errNoAPI
	}
	objs, rev, err := p.Store.List(ctx, string(kind))
	out := make([]conf.Object, 0, len(objs))
	for _, o := range objs {
		out = append(out, conf.Object{Kind: conf.Kind(o.Kind), Name: o.Name, Rev: o.Rev, Value: o.Value})
	}
	return rev, out, err
}

// Get implements Objects.
func (p *Platform) Get(ctx context.Context, kind conf.Kind, name string) (conf.Object, error) {
	if len(p.Store.Addrs) == 0 {
		return conf.Object{}, errNoAPI
	}
	o, err := p.Store.Get(ctx, string(kind), name)
	var missing *store.NotFoundError
	if errors.As(err, &missing) {
		return conf.Object{}, fmt.Errorf("%s %q: %w", kind, name, ErrNotFound)
	}
	return conf.Object{Kind: kind, Name: name, Rev: o.Rev, Value: o.Value}, err
}

// Put implements Objects.
func (p *Platform) Put(ctx context.Context, kind conf.Kind, name string, rev uint64, value []byte, edit string) (uint64, error) {
	if len(p.Store.Addrs) == 0 {
		return 0, errNoAPI
	}
	return p.Store.PutEdit(ctx, string(kind), name, rev, value, edit)
}

// Delete implements Objects.
func (p *Platform) Delete(ctx context.Context, kind conf.Kind, name string, rev uint64) (uint64, error) {
	if len(p.Store.Addrs) == 0 {
		return 0, errNoAPI
	}
	return p.Store.Delete(ctx, string(kind), name, rev)
}
