package steer

import "time"

const (
	// suspectMisses is the number of signs in a row, without an answer between
	// them, after which a server gets no new flows. One can be a lost
	// datagram.
	suspectMisses = 2
	// suspectFor is how long a suspect server gets no new flows. Callers send
	// an opening again after 200 ms, so a trial after it costs one flow that.
	suspectFor = time.Second
	// maxSuspectFor bounds the time as it doubles with each failed trial.
	maxSuspectFor = 4 * time.Second
	// aliveFor is how long after an answer a server counts as alive. Records
	// are removed after three heartbeats of silence, so the server of a
	// rightly removed record has been silent for longer.
	aliveFor = 1500 * time.Millisecond
)

// evidence is what packets of callers tell of whether a server answers.
type evidence struct {
	answeredAt time.Time
	missedAt   time.Time
	misses     int
	// until is when a suspect server gets a new flow as a trial.
	until time.Time
	wait  time.Duration
}

// answered notes that a caller got something from the server.
func (e *evidence) answered(now time.Time) {
	e.answeredAt = now
	e.misses, e.wait, e.until = 0, 0, time.Time{}
}

// missed notes that a caller repeated something that the server should have
// answered.
func (e *evidence) missed(now time.Time) {
	e.misses++
	e.missedAt = now
	if e.misses < suspectMisses || now.Before(e.until) {
		return
	}
	e.wait = min(max(2*e.wait, suspectFor), maxSuspectFor)
	e.until = now.Add(e.wait)
}

// suspect reports whether the server should get no new flow.
func (e *evidence) suspect(now time.Time) bool { return now.Before(e.until) }

func (e *evidence) alive(now time.Time) bool {
	return !e.answeredAt.IsZero() && now.Sub(e.answeredAt) < aliveFor && e.misses < suspectMisses
}
