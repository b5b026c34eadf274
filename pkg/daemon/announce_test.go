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

// announced runs an announcer on virtual time against a platform that is down
// until up, and returns when it wrote. It ends without a write after limit.
func announced(seed uint64, up, limit time.Duration) (first, wrote time.Duration, tries int) {
	now := time.Duration(0)
	ctx, cancel := context.WithCancel(context.Background())
	a := &announcer{
		rand: rand.New(rand.NewPCG(seed, 3)), failed: func(error) { tries++ },
		sleep: func(_ context.Context, d time.Duration) {
			if now += d; now >= limit {
				cancel()
			}
		},
		write: func(context.Context) error {
			if tries == 0 {
				first = now
			}
			if now < up {
				return errDown
			}
			wrote = now
			return nil
		},
	}
	a.run(ctx)
	return first, wrote, tries
}

// Guards against an instance that starts during an outage and gets no packets
// after it, and against 591 instances that write in the same moment.
func TestAnnounce(t *testing.T) {
	var first [10]int // writes in each 100 ms
	for seed := range uint64(591) {
		at, wrote, _ := announced(seed, 0, time.Hour)
		assert.Equal(t, at, wrote)
		first[at/(announceJitter/10)]++
		const outage = 10 * time.Minute
		_, wrote, tries := announced(seed, outage, time.Hour)
		assert.Assert(t, wrote >= outage && wrote < outage+announceMaxWait, wrote)
		assert.Assert(t, tries < 50, tries)
		_, wrote, _ = announced(seed, time.Hour, outage)
		assert.Equal(t, wrote, time.Duration(0))
	}
	for _, n := range first {
		assert.Assert(t, n < 2*591/10, first)
	}
}

// Guards against writes of the live state after the instance began to leave.
func TestAnnounceStops(t *testing.T) {
	p := &platform{status: http.StatusServiceUnavailable}
	d := newDaemon(t, p)
	d.Store.Tries = 1
	stop := d.announceLive(t.Context())
	stop()
	assert.Equal(t, d.Store.Counters.Calls.Load(), uint64(0))
}
