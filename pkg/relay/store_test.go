package relay

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/cache"
	"ebonypaddle/pkg/revs"
	"ebonypaddle/pkg/store"
)

// fakeStore stands in for the store. It holds the same objects for all
// instances.
type fakeStore struct {
	mu         sync.Mutex
	rev        revs.Rev
	version    uint64
	versionRev revs.Rev
	domainRev  revs.Rev // of the exclusion of failure domain "b", 0 for none
	changed    chan struct{}
	calls      map[string]int // by instance
	lists      int            // of all instances
	watchWaits map[string][]time.Duration
	down       bool
	refused    []string // names of the instances whose calls fail
}

func newFakeStore() *fakeStore {
	return &fakeStore{rev: 1, changed: make(chan struct{}), calls: map[string]int{}, watchWaits: map[string][]time.Duration{}}
}

// change puts new settings in the store and returns their version.
func (s *fakeStore) change() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.version++
	s.versionRev = s.rev
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// exclude takes failure domain "b" out.
func (s *fakeStore) exclude() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.domainRev = s.rev
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore makes the store come back from a copy that is n changes old, in a new
// era if newEra is set.
func (s *fakeStore) restore(t *testing.T, n uint64, newEra bool) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.rev.Era()
	if newEra {
		era++
	}
	rev, err := revs.New(era, s.rev.Counter()-n)
	assert.NilError(t, err)
	s.rev, s.versionRev, s.domainRev = rev, rev, 0
	s.version -= n
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) downFor(name string) bool { return s.down || slices.Contains(s.refused, name) }

func (s *fakeStore) refuse(names ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused, s.watchWaits = names, map[string][]time.Duration{}
}

func (s *fakeStore) callsOf(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[name]
}

var errDown = errors.New("store is down")

// storeView is the store as one instance sees it.
type storeView struct {
	s    *fakeStore
	name string
}

func (v storeView) List(_ context.Context, k cache.Kind, _ time.Duration) (cache.Delta, error) {
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	v.s.calls[v.name]++
	if v.s.downFor(v.name) {
		return cache.Delta{}, &store.UnavailableError{Err: errDown}
	}
	v.s.lists++
	return v.s.delta(k, 0), nil
}

// delta returns the objects of a kind changed after a revision. The caller
// holds mu.
func (s *fakeStore) delta(k cache.Kind, since revs.Rev) cache.Delta {
	d := cache.Delta{Kind: k, Since: since, Rev: s.rev, Full: since == 0}
	if k == cache.Settings && s.versionRev > since {
		spec, err := cache.Pack(fmt.Append(nil, s.version))
		if err != nil {
			panic(err)
		}
		d.Objects = []cache.Object{{Name: "main", Rev: s.versionRev, Spec: spec}}
	}
	if k == cache.Domains && s.domainRev > since {
		d.Objects = []cache.Object{{Name: "b", Rev: s.domainRev}}
	}
	return d
}

func (v storeView) Watch(ctx context.Context, k cache.Kind, since revs.Rev, wait time.Duration) (cache.Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	v.s.mu.Lock()
	v.s.calls[v.name]++
	v.s.watchWaits[v.name] = append(v.s.watchWaits[v.name], wait)
	for {
		d, changed, down := v.s.delta(k, since), v.s.changed, v.s.downFor(v.name)
		v.s.mu.Unlock()
		switch {
		case down:
			return cache.Delta{}, &store.UnavailableError{Err: errDown}
		case since.Era() != d.Rev.Era() || since > d.Rev:
			return cache.Delta{}, &store.GoneError{}
		case len(d.Objects) > 0 || ctx.Err() != nil:
			return d, nil
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
		v.s.mu.Lock()
	}
}
