package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

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
