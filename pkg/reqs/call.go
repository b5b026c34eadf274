package reqs

import (
	"net/netip"
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wire"
)

// callKey identifies a repeatable request. Callers draw identifiers on their
// own, so two callers may use the same one.
type callKey struct {
	caller netip.AddrPort
	id     wire.RequestID
}

// attemptKey identifies the attempt that a frame from a server belongs to.
// The server and its generation are compared with the attempt's placement.
type attemptKey struct {
	caller  netip.AddrPort
	id      wire.RequestID
	attempt uint32
}

type phase uint8

const (
	phaseIssued  phase = iota // the ticket is not used yet
	phaseRunning              // sent to a server, outcome open
	phaseEnded                // the outcome is stored
)

// call is one request: a repeatable one in progress, or a ticket with the
// request that used it.
type call struct {
	phase   phase
	once    bool
	service conf.ServiceID
	// frame is the request. The caller's newest address is in reply.
	frame    wire.Frame
	reply    address
	deadline time.Time
	timer    timer

	// nonce and expires are those of the ticket.
	nonce   uint64
	expires time.Time

	outcome wire.Outcome
	reason  wire.Reason

	// key, placement and sent belong to the current attempt.
	key       attemptKey
	placement Placement
	sent      time.Time

	// parts holds the bodies that came, nil for a part that is missing.
	// Repeatable requests keep only the marker present.
	parts [][]byte
	got   int
	boot  uint64
	bytes int
	// lost is set when MaxBytes left no memory for the answer; parts then
	// only tells which parts came.
	lost bool
}

var present = []byte{}

// deadlineOf derives the absolute deadline from the time the caller waits.
func (t *Table) deadlineOf(now time.Time, service conf.ServiceID, f *wire.Frame) time.Time {
	d := t.Services.Limits(service).Request
	if wait := time.Duration(f.Timeout) * time.Millisecond; wait > 0 && wait < d {
		d = wait
	}
	return now.Add(d)
}

// place chooses a server for the next attempt and the deadline of its frame.
// A reason means that there is none.
func (t *Table) place(now time.Time, c *call, avoid conf.ServerID) (Placement, wire.Reason) {
	p, r := t.Placer.Place(now, PlacementRequest{Service: c.service, Deadline: c.deadline, Once: c.once, Avoid: avoid, Request: c.frame.ID, Caller: c.reply.caller})
	if r != wire.ReasonNone {
		return p, r
	}
	if p.Until.IsZero() || p.Until.After(c.deadline) {
		p.Until = c.deadline
	}
	// Frames carry whole milliseconds, rounded down.
	if p.Until.UnixMilli() <= now.UnixMilli() {
		t.Placer.Finished(now, p, ResultUnsent, 0)
		return p, wire.ReasonDeadline
	}
	return p, wire.ReasonNone
}

// send sends one attempt to the placement.
func (t *Table) send(now time.Time, c *call, p Placement, out *wire.Outbox) {
	if c.phase != phaseRunning {
		c.phase = phaseRunning
		t.running++
	}
	c.placement, c.sent, c.parts, c.got = p, now, nil, 0
	// A random attempt number differs between instances and processes too, so
	// that a caller never joins parts of two runs of a repeated request.
	c.key = attemptKey{c.reply.caller, c.frame.ID, t.Rand.Uint32()}
	t.attempts[c.key] = c
	f := c.frame
	f.Token, f.Timeout, f.Attempt = nil, 0, c.key.attempt
	f.Service, f.Server, f.Generation = c.service, p.Server, p.Generation
	f.SetDeadline(p.Until)
	if !p.Expires.IsZero() {
		f.SetExpires(p.Expires)
	}
	out.Server(p.Addr, c.reply.packet(f))
	t.timers.set(&c.timer, t.wakeup(now, c))
}

// AnswerGrace is how long after the deadline of an attempt its answer may come:
// the bound of clock skew, 100 ms, and the way back.
const AnswerGrace = 250 * time.Millisecond

// wakeup is when a running request needs attention. A request that runs at
// most once has a single attempt, which lasts until its server gives it up.
func (t *Table) wakeup(now time.Time, c *call) time.Time {
	at := now.Add(t.Services.Limits(c.service).Attempt)
	if c.once {
		at = c.placement.Until.Add(AnswerGrace)
	}
	if at.After(c.deadline) {
		return c.deadline
	}
	return at
}

// stopAttempt reports the result of the current attempt. Answers to it no
// longer match, except for a request that runs at most once, whose answer may
// still replace the outcome unknown.
func (t *Table) stopAttempt(now time.Time, c *call, r Result) {
	t.Log.Info("attempt ended", "request", c.frame.ID, "caller", c.reply.caller, "server", c.placement.Server,
		"attempt", c.key.attempt, "result", r, "after", now.Sub(c.sent), "parts", c.got)
	t.Placer.Finished(now, c.placement, r, now.Sub(c.sent))
	if !c.once {
		delete(t.attempts, c.key)
	}
}

// cancelAttempt tells the server that nobody waits for the answer.
func (c *call) cancelAttempt(out *wire.Outbox) {
	f := wire.Frame{
		Kind: wire.KindCancel, Flow: c.frame.Flow, ID: c.frame.ID, Attempt: c.key.attempt,
		Service: c.service, Server: c.placement.Server, Generation: c.placement.Generation,
	}
	f.SetDeadline(c.deadline)
	to := c.reply
	to.caller = c.key.caller
	out.Server(c.placement.Addr, to.packet(f))
}

// end fixes the outcome. A repeatable request is forgotten; a ticket's outcome
// is kept until the ticket has expired.
func (t *Table) end(c *call, o wire.Outcome, r wire.Reason) {
	if c.phase == phaseRunning {
		t.running--
	}
	c.phase, c.outcome, c.reason = phaseEnded, o, r
	c.frame.Body = nil
	if c.lost {
		c.parts = nil
	}
	if c.once {
		t.timers.set(&c.timer, c.expires)
		return
	}
	t.timers.remove(&c.timer)
	delete(t.pending, callKey{c.reply.caller, c.frame.ID})
}

// fail ends the request and tells the caller.
func (t *Table) fail(c *call, o wire.Outcome, r wire.Reason, out *wire.Outbox) {
	t.end(c, o, r)
	t.refuse(c.reply, &c.frame, c.frame.Token, o, r, out)
}

func (t *Table) callDue(now time.Time, c *call, out *wire.Outbox) {
	switch {
	case c.phase != phaseRunning:
		t.forget(c)
	case now.Before(c.deadline) && !c.once:
		t.retry(now, c, ResultTimedOut, wire.ReasonRetryTimeout, out)
	default:
		c.cancelAttempt(out)
		t.stopAttempt(now, c, ResultTimedOut)
		t.fail(c, wire.OutcomeUnknown, wire.ReasonTimeout, out)
	}
}

// forget drops an expired ticket with its outcome.
func (t *Table) forget(c *call) {
	t.bytes -= c.bytes
	delete(t.owned, c.nonce)
	if !c.sent.IsZero() {
		delete(t.attempts, c.key)
	}
}
