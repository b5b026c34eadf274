package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var errDown = errors.New("platform is down")

// runAnnouncer runs an announcer on virtual time against a platform that is
// down until upAt. It returns the times of the first attempt and of the write,
// and the number of failures. Without a write it ends after limit.
func runAnnouncer(seed uint64, upAt, limit time.Duration) (firstAt, writtenAt time.Duration, failures int) {
	now := time.Duration(0)
	ctx, cancel := context.WithCancel(context.Background())
	a := &announcer{
		rand: rand.New(rand.NewPCG(seed, 3)), onError: func(error) { failures++ },
		sleep: func(_ context.Context, d time.Duration) {
			if now += d; now >= limit {
				cancel()
			}
		},
		write: func(context.Context) error {
			if failures == 0 {
				firstAt = now
			}
			if now < upAt {
				return errDown
			}
			writtenAt = now
			return nil
		},
	}
	a.run(ctx)
	return firstAt, writtenAt, failures
}

// Guards against an instance that starts during an outage and is still not in
// the instance list after it, and against 591 instances that start together
// and write at the same time.
func TestAnnounceRetriesUntilPlatformIsUp(t *testing.T) {
	var writesPerSlot [10]int // number of first writes in each 100 ms
	for seed := range uint64(591) {
		firstAt, writtenAt, _ := runAnnouncer(seed, 0, time.Hour)
		assert.Equal(t, firstAt, writtenAt)
		writesPerSlot[firstAt/(announceJitter/10)]++
		const outage = 10 * time.Minute
		_, writtenAt, failures := runAnnouncer(seed, outage, time.Hour)
		assert.Assert(t, writtenAt >= outage && writtenAt < outage+announceMaxBackoff, writtenAt)
		assert.Assert(t, failures < 50, failures)
		_, writtenAt, _ = runAnnouncer(seed, time.Hour, outage)
		assert.Equal(t, writtenAt, time.Duration(0))
	}
	for _, n := range writesPerSlot {
		assert.Assert(t, n < 2*591/10, writesPerSlot)
	}
}

// Guards against writes of the live state after the instance has begun to
// leave.
func TestAnnounceStopsBeforeLeaving(t *testing.T) {
	p := &fakePlatform{status: http.StatusServiceUnavailable}
	d := newDaemon(t, p)
	d.Store.Tries = 1
	stop := d.announceLive(t.Context())
	stop()
	assert.Equal(t, d.Store.Counters.Calls.Load(), uint64(0))
}
