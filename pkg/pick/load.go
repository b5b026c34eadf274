package pick

import (
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wire"
)

// recentWorkWeight is the number of seconds added to a candidate's score for
// each second of recent work.
const recentWorkWeight = 0.05

// Outcome is how work on a server ended.
type Outcome uint8

// Outcomes of work on a server.
const (
	Done Outcome = iota + 1
	Shed
	TimedOut
	Cancelled
)

// Result is the outcome of work on a chosen server. Latency is used for Done
// only.
type Result struct {
	Outcome Outcome
	Latency time.Duration
}

// Finished records that the request of a choice ended. A cold server's quota
// unit is released only if the server itself ended the request: after a timeout
// or a cancellation the server may still run it until the deadline.
func (p *Picker) Finished(now time.Time, c Choice, res Result) {
	st := p.states[c.Server]
	if st == nil || st.generation != c.Generation || c.Flow {
		return
	}
	st.End()
	if res.Outcome == Shed {
		st.Refused(now, st.limits.warmLimit())
	}
	ended := res.Outcome == Done || res.Outcome == Shed
	if c.Cold && ended && c.epoch == st.epoch {
		st.coldInUse = max(st.coldInUse-1, 0)
	}
	if res.Outcome == Done {
		st.Observe(now, res.Latency)
	}
}

// Reported stores the load report that a frame of a server carries.
func (p *Picker) Reported(now time.Time, id conf.ServerID, load wire.Load) {
	if st := p.states[id]; st != nil {
		st.load, st.loadAt = load, now
	}
}

// connectionUse returns the used share of the server's connections, where one
// second stands for all of them. Added to a candidate's score, it sends flows to
// servers with free connections rather than to fast ones.
func (st *serverState) connectionUse() time.Duration {
	flows := int(st.load.Flows) + st.openedFlows
	return time.Duration(flows) * time.Second / time.Duration(max(st.limits.connections, 1))
}

// maxLocalWait returns the score up to which a server of this instance's failure
// domain is chosen without comparing it with servers of other domains: one
// service time.
func (st *serverState) maxLocalWait() time.Duration { return st.Latency }
