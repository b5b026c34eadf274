package pick

import "time"

// recentWorkWindow is the time without a new request after which RecentWork is
// zero.
const recentWorkWindow = time.Second

// backlogDrainRate is the fraction of a server's processing rate at which the
// estimated backlog shrinks. It is below 1 because other instances keep sending
// requests to the server.
const backlogDrainRate = 0.5

// LoadEstimator estimates how long a new request waits at a server. It uses
// only the answers and refusals that this instance receives.
type LoadEstimator struct {
	// Slots is the number of requests that the server processes concurrently.
	Slots int
	// InFlight is the number of requests of this instance in progress.
	InFlight int
	// Latency is the estimated service time, 0 until the first answer.
	Latency time.Duration

	// backlog is the estimated number of requests queued at backlogAt.
	backlog float64
	// sentWork is the value of RecentWork at sentWorkAt, when the latest
	// request was sent.
	sentWork   float64
	sentWorkAt time.Time
	backlogAt  time.Time
}

// Begin records that a request is sent to the server.
func (e *LoadEstimator) Begin(now time.Time) {
	e.InFlight++
	e.sentWork, e.sentWorkAt = e.RecentWork(now)+float64(e.Latency)/float64(e.slots()), now
}

// End records that a request is no longer in progress.
func (e *LoadEstimator) End() { e.InFlight = max(e.InFlight-1, 0) }

// Refused records that the server refused a request because n requests were
// already queued.
func (e *LoadEstimator) Refused(now time.Time, n int) { e.backlog, e.backlogAt = float64(n), now }

// Observe updates the estimated service time and backlog from the latency of an
// answer. The service time follows short answers faster than long ones, because
// queueing can only lengthen an answer.
func (e *LoadEstimator) Observe(now time.Time, latency time.Duration) {
	e.Latency = FollowShort(e.Latency, latency)
	observed := max(float64(latency)/float64(e.Latency)-1, 0) * float64(e.slots())
	expected := e.Backlog(now)
	e.backlog, e.backlogAt = expected+(observed-expected)/2, now
}

// FollowShort returns an estimate updated by an observation, which follows short
// observations faster than long ones. The first one replaces an estimate of 0.
func FollowShort(estimate, observed time.Duration) time.Duration {
	switch {
	case estimate == 0:
		return observed
	case observed < estimate:
		return estimate + (observed-estimate)/4
	default:
		return estimate + (observed-estimate)/32
	}
}

// Backlog returns the estimated number of requests queued at the server: the
// backlog seen in the last answers and refusals, less what the server is
// expected to have processed since.
func (e *LoadEstimator) Backlog(now time.Time) float64 {
	if e.Latency <= 0 {
		return 0
	}
	done := float64(now.Sub(e.backlogAt)) / float64(e.Latency) * float64(e.slots()) * backlogDrainRate
	return max(e.backlog-done, 0)
}

// Wait returns the expected queueing time of a request sent now.
func (e *LoadEstimator) Wait(now time.Time) time.Duration {
	return time.Duration((float64(e.InFlight) + e.Backlog(now)) * float64(e.Latency) / float64(e.slots()))
}

// RecentWork returns the work that this instance recently sent to the server, in
// nanoseconds: the estimated service time of each request divided by the number
// of slots. Older work counts less.
func (e *LoadEstimator) RecentWork(now time.Time) float64 {
	age := float64(now.Sub(e.sentWorkAt)) / float64(recentWorkWindow)
	return e.sentWork * max(1-age, 0)
}

func (e *LoadEstimator) slots() int { return max(e.Slots, 1) }
