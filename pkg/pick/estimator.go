package pick

import "time"

// workAge is the time over which given work counts as recent.
const workAge = time.Second

// workOff is the share of a server's speed by which a known backlog shrinks,
// since other instances go on sending.
const workOff = 0.5

// LoadEstimator estimates, from the answers that one instance sees, how long new
// work waits at a server.
type LoadEstimator struct {
	// Slots is the number of requests that the server works on at a time.
	Slots int
	// InFlight counts the requests of this instance in progress, Latency is
	// the estimated service time.
	InFlight int
	Latency  time.Duration

	backlog   float64
	work      float64
	workAt    time.Time
	backlogAt time.Time
}

// Begin notes a request sent now.
func (g *LoadEstimator) Begin(now time.Time) {
	g.InFlight++
	g.work, g.workAt = g.RecentWork(now)+float64(g.Latency)/float64(g.slots()), now
}

// End notes that a request is no longer in progress.
func (g *LoadEstimator) End() { g.InFlight = max(g.InFlight-1, 0) }

// Refused notes that the server refused work because n requests waited.
func (g *LoadEstimator) Refused(now time.Time, n int) { g.backlog, g.backlogAt = float64(n), now }

// Observe separates an answer's latency into the service time and the backlog
// that the request met. The estimate of the service time follows shorter
// answers faster than longer ones, since waiting only adds to an answer.
func (g *LoadEstimator) Observe(now time.Time, latency time.Duration) {
	switch {
	case g.Latency == 0:
		g.Latency = latency
	case latency < g.Latency:
		g.Latency += (latency - g.Latency) / 4
	default:
		g.Latency += (latency - g.Latency) / 32
	}
	met := max(float64(latency)/float64(g.Latency)-1, 0) * float64(g.slots())
	old := g.Backlog(now)
	g.backlog, g.backlogAt = old+(met-old)/2, now
}

// Backlog is the work that the last answers and refusals revealed, less what
// the server has worked off since.
func (g *LoadEstimator) Backlog(now time.Time) float64 {
	if g.Latency <= 0 {
		return 0
	}
	done := float64(now.Sub(g.backlogAt)) / float64(g.Latency) * float64(g.slots()) * workOff
	return max(g.backlog-done, 0)
}

// Wait is the expected wait for a request sent now.
func (g *LoadEstimator) Wait(now time.Time) time.Duration {
	return time.Duration((float64(g.InFlight) + g.Backlog(now)) * float64(g.Latency) / float64(g.slots()))
}

// RecentWork is the work that this instance gave the server within about a
// second, in nanoseconds of each slot.
func (g *LoadEstimator) RecentWork(now time.Time) float64 {
	age := float64(now.Sub(g.workAt)) / float64(workAge)
	return g.work * max(1-age, 0)
}

func (g *LoadEstimator) slots() int { return max(g.Slots, 1) }
