package pick

import (
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wire"
)

// workWeight is the wait in seconds that one second of work adds to a server's
// score.
const workWeight = 0.05

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
	r.End()
	if res.Outcome == Shed {
		r.Refused(now, r.limits.warmLimit())
	}
	ended := res.Outcome == Done || res.Outcome == Shed
	if c.Cold && ended && c.epoch == r.epoch {
		r.coldUsed = max(r.coldUsed-1, 0)
	}
	if res.Outcome == Done {
		r.Observe(now, res.Latency)
	}
}

// Reported takes the load report of a frame from a server.
func (p *Picker) Reported(now time.Time, id conf.ServerID, load wire.Load) {
	if r := p.rows[id]; r != nil {
		r.load, r.loadAt = load, now
	}
}

// filled is the share of connections in use, as a part of one second, so that
// flows go to servers with free connections before they go to fast ones.
func (r *row) filled() time.Duration {
	flows := int(r.load.Flows) + r.opened
	return time.Duration(flows) * time.Second / time.Duration(max(r.limits.connections, 1))
}

// acceptable is the wait up to which a server of the own failure domain comes
// before all others.
func (r *row) acceptable() time.Duration { return r.Latency }
