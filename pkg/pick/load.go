package pick

import (
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wire"
)

// workAge is the time over which given work counts, and workWeight the wait
// in seconds that one second of work adds to a server's score.
const (
	workAge    = time.Second
	workWeight = 0.05
)

// workOff is the share of a server's speed by which a known backlog shrinks,
// since other instances go on sending.
const workOff = 0.5

// Outcome is how work on a server ended.
type Outcome uint8

// Outcomes of work on a server.
const (
	Done Outcome = iota + 1
	Shed
	TimedOut
	Cancelled
)

// Result is the outcome of a choice. Latency counts for Done only.
type Result struct {
	Outcome Outcome
	Latency time.Duration
}

// Finished takes back a choice. A cold server's unit is free again only when
// the server itself ended the work: after a timeout or a cancellation the
// server may still run it until the deadline.
func (p *Picker) Finished(now time.Time, c Choice, res Result) {
	r := p.rows[c.Server]
	if r == nil || r.generation != c.Generation || c.Flow {
		return
	}
	r.inFlight = max(r.inFlight-1, 0)
	if res.Outcome == Shed {
		r.backlog, r.backlogAt = float64(r.limits.warmLimit()), now
	}
	ended := res.Outcome == Done || res.Outcome == Shed
	if c.Cold && ended && c.epoch == r.epoch {
		r.coldUsed = max(r.coldUsed-1, 0)
	}
	if res.Outcome == Done {
		r.learn(now, res.Latency)
	}
}

// learn separates an answer's latency into the service time and the backlog
// that the request met. The estimate of the service time follows shorter
// answers faster than longer ones, since waiting only adds to an answer.
func (r *row) learn(now time.Time, latency time.Duration) {
	switch {
	case r.latency == 0:
		r.latency = latency
	case latency < r.latency:
		r.latency += (latency - r.latency) / 4
	default:
		r.latency += (latency - r.latency) / 32
	}
	met := max(float64(latency)/float64(r.latency)-1, 0) * float64(r.limits.slots)
	old := r.met(now)
	r.backlog, r.backlogAt = old+(met-old)/2, now
}

// met is the backlog that the last answers and sheds revealed, less what the
// server has worked off since.
func (r *row) met(now time.Time) float64 {
	if r.latency <= 0 {
		return 0
	}
	done := float64(now.Sub(r.backlogAt)) / float64(r.latency) * float64(r.limits.slots) * workOff
	return max(r.backlog-done, 0)
}

// Reported takes the load report of a frame from a server.
func (p *Picker) Reported(now time.Time, id conf.ServerID, load wire.Load) {
	if r := p.rows[id]; r != nil {
		r.load, r.loadAt = load, now
	}
}

// wait is the expected wait for a request sent now.
func (r *row) wait(now time.Time) time.Duration {
	return time.Duration((float64(r.inFlight) + r.met(now)) * float64(r.latency) / float64(r.limits.slots))
}

// worked is the time in slots that this instance gave the server within about
// a second.
func (r *row) worked(now time.Time) float64 {
	age := float64(now.Sub(r.workAt)) / float64(workAge)
	return r.work * max(1-age, 0)
}

// filled is the share of connections in use, as a part of one second, so that
// flows go to servers with free connections before they go to fast ones.
func (r *row) filled() time.Duration {
	flows := int(r.load.Flows) + r.opened
	return time.Duration(flows) * time.Second / time.Duration(max(r.limits.connections, 1))
}

// acceptable is the wait up to which a server of the own failure domain comes
// before all others.
func (r *row) acceptable() time.Duration { return r.latency }
