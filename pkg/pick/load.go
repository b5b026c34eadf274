package pick

import (
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wire"
)

// reportAge is the age at which a load report no longer counts.
const reportAge = time.Second

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
func (p *Picker) Finished(_ time.Time, c Choice, res Result) {
	r := p.rows[c.Server]
	if r == nil || r.generation != c.Generation || c.Flow {
		return
	}
	r.inFlight = max(r.inFlight-1, 0)
	ended := res.Outcome == Done || res.Outcome == Shed
	if c.Cold && ended && c.epoch == r.epoch {
		r.coldUsed = max(r.coldUsed-1, 0)
	}
	if res.Outcome == Done {
		r.learn(res.Latency)
	}
}

func (r *row) learn(latency time.Duration) {
	if r.latency == 0 {
		r.latency = latency
	}
	r.latency += (latency - r.latency) / 8
}

// Reported takes the load report of a frame from a server.
func (p *Picker) Reported(now time.Time, id conf.ServerID, load wire.Load) {
	if r := p.rows[id]; r != nil {
		r.load, r.loadAt = load, now
	}
}

// wait is the expected wait for a request sent now.
func (r *row) wait(now time.Time) time.Duration {
	age := max(now.Sub(r.loadAt), 0)
	reported := 0.0
	if age < reportAge {
		reported = float64(r.load.InFlight) * (1 - float64(age)/float64(reportAge))
	}
	return time.Duration((float64(r.inFlight) + reported) * float64(r.latency) / float64(r.limits.slots))
}

// acceptable is the wait up to which a server of the own failure domain comes
// before all others.
func (r *row) acceptable() time.Duration { return r.latency }
