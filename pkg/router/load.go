package router

import (
	"time"

	"ebonypaddle/pkg/pick"
)

// serverLoad is this instance's estimate of the load of a server. The instance sees
// only the packets of callers, and only those that reach it rather than
// another instance.
type serverLoad struct {
	pick.LoadEstimator
	// pendingOpenings is the number of openings that were forwarded and not
	// yet answered.
	pendingOpenings int
	// sentWork is the work per slot that callers sent to the server through this
	// instance, in nanoseconds. Only differences to pool.virtualWork matter.
	sentWork float64
	// pathLatency is the time of a handshake, which takes the path of a request
	// but no work; 0 until the first one.
	pathLatency time.Duration
	// work is the mean work of a request, and samples the number of answers in
	// it, at most maxWorkSamples.
	work    time.Duration
	samples int
	// active is the number of requests in progress that began within
	// maxInProgress, flows that of open flows.
	active, flows int
	shared        sharedLoad
}

const (
	// maxWorkSamples is the number of answers over which the mean work of a
	// server is taken.
	maxWorkSamples = 16
	// priorWorkSamples is the weight of the pool's mean in the estimate of a
	// server's work, in answers.
	priorWorkSamples = 2
	// maxPathRatio bounds the part of a latency that counts as the path: of 4
	// parts, one is work. A handshake at a busy server can take longer than the
	// path.
	maxPathRatio = 4
)

// handshakeDone updates the path latency. Handshakes can only be delayed.
func (l *serverLoad) handshakeDone(d time.Duration) {
	l.pathLatency = pick.FollowShort(l.pathLatency, d)
}

// estimateWork returns the expected work of a request, given the mean of the
// pool.
func (l *serverLoad) estimateWork(poolMean time.Duration) time.Duration {
	return (l.work*time.Duration(l.samples) + poolMean*priorWorkSamples) / time.Duration(l.samples+priorWorkSamples)
}

func (l *serverLoad) openingSent() { l.pendingOpenings++ }

// openingDone ends a pending opening, which was answered or is no longer
// expected to be.
func (l *serverLoad) openingDone() { l.pendingOpenings = max(l.pendingOpenings-1, 0) }

// requestDone records that the request in progress was answered.
func (l *serverLoad) requestDone(now time.Time, f *flow) {
	l.End()
	l.inactive(f)
	latency := now.Sub(f.requestStartedAt)
	l.Observe(now, latency)
	l.samples = min(l.samples+1, maxWorkSamples)
	work := max(latency-l.pathLatency, latency/maxPathRatio)
	l.work += (work - l.work) / time.Duration(l.samples)
	f.requestStartedAt = time.Time{}
}

// flowDone ends the pending opening or the request in progress of a flow that
// ended.
func (l *serverLoad) flowDone(f *flow) {
	if !f.open {
		l.openingDone()
		return
	}
	l.flows--
	if !f.requestStartedAt.IsZero() {
		l.End()
		l.inactive(f)
		f.requestStartedAt = time.Time{}
	}
}

// inactive takes the request in progress of a flow out of the active ones.
func (l *serverLoad) inactive(f *flow) {
	if f.active {
		f.active = false
		l.active--
	}
}
