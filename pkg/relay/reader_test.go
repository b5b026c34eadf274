package relay

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"ebonypaddle/pkg/cache"
)

// Guards against calls that cost money when all instances restart together: an
// instance reads each kind once, and others confirm its objects before it
// watches them.
func TestRestartReadsEachKindOnce(t *testing.T) {
	t.Parallel()
	s, v, first := startReader(t)
	second := startInstance(t, s, "second", 1, first.Control)
	waitUntil(t, "the second instance no longer reads", func() bool { return second.version() == v && !second.readsStore() })
	time.Sleep(2 * firstReadPause)
	assert.Equal(t, s.callsOf("second"), int(cache.Kinds))
}

// Guards against calls of the whole fleet while the store does not answer: in an
// outage of 6 s each instance made some 30. The bound is a third of that.
func TestFewCallsInAnOutage(t *testing.T) {
	t.Parallel()
	s, v, first := startReader(t)
	second := startInstance(t, s, "second", 1, first.Control)
	waitUntil(t, "the second instance no longer reads", func() bool { return second.version() == v && !second.readsStore() })
	s.setDown(true)
	waitUntil(t, "the second instance reads", second.readsStore)
	before := s.callsOf("second")
	time.Sleep(6 * time.Second)
	calls := s.callsOf("second") - before
	assert.Assert(t, calls <= 10, "%d calls", calls)
	s.setDown(false)
	v = s.change()
	waitUntil(t, "the change is in force", func() bool { return second.version() == v })
}

// Guards against instances below a parent that the store turns away: they read
// the store as well, or their objects become older than the bound, although
// another instance can read it.
func TestTurnedAwayInstancesAskOthers(t *testing.T) {
	t.Parallel()
	s, v, first := startReader(t)
	second := startInstance(t, s, "second", 5, first.Control)
	third := startInstance(t, s, "third", 1, first.Control)
	waitUntil(t, "the other instances no longer read", func() bool {
		return second.version() == v && third.version() == v && !second.readsStore() && !third.readsStore()
	})
	s.refuse("first", "second")
	before := s.callsOf("second")
	deadline := time.Now().Add(3 * first.ReadPolicy.MaxDelay)
	for n := 0; time.Now().Before(deadline); n++ {
		if n%10 == 0 {
			v = s.change()
		}
		time.Sleep(100 * time.Millisecond)
		for _, i := range []*instance{first, second, third} {
			i.cacheMu.Lock()
			age := time.Since(i.cache.ConfirmedAt())
			i.cacheMu.Unlock()
			assert.Assert(t, age < i.ReadPolicy.MaxDelay, "objects of %s were confirmed %v ago", i.Name, age)
		}
	}
	for _, i := range []*instance{first, second, third} {
		waitUntil(t, i.Name+" has the last change", func() bool { return i.version() == v })
	}
	calls := s.callsOf("second") - before
	assert.Assert(t, calls <= 10, "%d calls", calls)
}

// Guards against a change that is not in force after the store came back from an older copy.
func TestChangeInForceAfterRestore(t *testing.T) {
	t.Parallel()
	for name, lost := range map[string]uint64{"revisions given out again": 1, "lower revisions": 5} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, _, first := startReader(t)
			second := startInstance(t, s, "second", 1, first.Control)
			var v uint64
			for range 6 {
				v = s.change()
			}
			both := func() bool { return first.version() == v && second.version() == v }
			waitUntil(t, "both instances have the settings", both)
			s.restore(t, lost, true)
			before := s.callsOf("first")
			for range 10 {
				time.Sleep(100 * time.Millisecond)
				assert.Assert(t, both(), "versions %d and %d are in force instead of %d", first.version(), second.version(), v)
			}
			calls := s.callsOf("first") - before
			assert.Assert(t, calls <= 4*int(cache.Kinds), "%d calls in a second", calls)
			for s.change() < v+1 { // the operator writes what was lost again
				continue
			}
			v++
			waitWithin(t, first.ReadPolicy.MaxDelay, "the change is in force", both)
		})
	}
}

// Guards against lists without a pause while the store answers with older objects.
func TestOlderListIsNotRepeatedAtOnce(t *testing.T) {
	t.Parallel()
	s, _, first := startReader(t)
	for range 3 {
		s.change()
	}
	v := s.change()
	waitUntil(t, "the instance has the settings", func() bool { return first.version() == v })
	s.restore(t, 2, false)
	before := s.callsOf("first")
	time.Sleep(time.Second)
	assert.Equal(t, first.version(), v)
	calls := s.callsOf("first") - before
	assert.Assert(t, calls <= 4*int(cache.Kinds), "%d calls in a second", calls)
	for s.change() < v+1 {
		continue
	}
	waitUntil(t, "the change is in force", func() bool { return first.version() == v+1 })
}

// waitWithin waits until ok returns true, for up to limit.
func waitWithin(t *testing.T, limit time.Duration, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", what)
	}, poll.WithTimeout(limit), poll.WithDelay(10*time.Millisecond))
}

// Guards against a failure domain that comes back into use because the store lost its exclusion.
func TestRestoredStoreKeepsExclusions(t *testing.T) {
	t.Parallel()
	s, _, first := startReader(t)
	second := startInstance(t, s, "second", 1, first.Control)
	excluded := func(n int) func() bool {
		return func() bool { return first.excluded() == n && second.excluded() == n }
	}
	s.change()
	s.exclude()
	waitUntil(t, "both instances have the exclusion", excluded(1))
	s.restore(t, 1, true)
	for range 10 {
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, excluded(1)())
	}
	waitUntil(t, "the state of the store applies", excluded(0))
}

// Guards against instances that all list the store when it comes back from an older copy.
func TestFewListsAfterRestore(t *testing.T) {
	t.Parallel()
	s, v, first := startReader(t)
	all := []*instance{first}
	for i := range 19 {
		all = append(all, startInstance(t, s, fmt.Sprint(i), 1, first.Control))
	}
	every := func(ok func(i *instance) bool) func() bool {
		return func() bool { return !slices.ContainsFunc(all, func(i *instance) bool { return !ok(i) }) }
	}
	waitUntil(t, "one instance reads", every(func(i *instance) bool { return i.version() == v && i.readsStore() == (i == first) }))
	s.setDown(true)
	waitUntil(t, "all instances read", every((*instance).readsStore))
	time.Sleep(minRetryDelay * 2 / 3) // the store is back before most instances try again
	s.restore(t, 0, true)
	s.mu.Lock()
	s.lists = 0
	s.mu.Unlock()
	s.setDown(false)
	v = s.change()
	waitUntil(t, "one instance reads", every(func(i *instance) bool { return i.version() == v && i.readsStore() == (i == first) }))
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Assert(t, s.lists <= len(all)*int(cache.Kinds)/2, "%d lists", s.lists)
}

// Guards against revisions with the era that reach an instance of the version before.
func TestExchangeWithFormerVersion(t *testing.T) {
	t.Parallel()
	_, _, first := startReader(t)
	res, err := http.Post("http://"+first.Control.String()+"/ebonypaddle.relay.v1.Relay/Ask", "application/cbor", nil)
	assert.NilError(t, err)
	assert.NilError(t, res.Body.Close())
	assert.Equal(t, res.StatusCode, http.StatusNotFound)
}
