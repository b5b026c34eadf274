package reqs

import (
	"net/netip"
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wire"
)

// requestKey identifies a repeatable request. It holds the caller because two
// callers may draw the same identifier.
type requestKey struct {
	caller netip.AddrPort
	id     wire.RequestID
}

// attemptKey identifies the attempt that a frame from a server belongs to. The
// frame's server and generation must also match the placement of the attempt.
type attemptKey struct {
	caller  netip.AddrPort
	id      wire.RequestID
	attempt uint32
}

// phase is the state of a request.
type phase uint8

const (
	phaseIssued  phase = iota // the ticket has not been used yet
	phaseRunning              // sent to a server, without an outcome yet
	phaseEnded                // the outcome is stored
)

// request is a repeatable request in progress, or a ticket with the request that
// used it.
type request struct {
	phase      phase
	atMostOnce bool
	service    conf.ServiceID
	// frame is the first frame of the request. replyTo has the addresses of
	// the caller's latest frame.
	frame    wire.Frame
	replyTo  replyAddress
	deadline time.Time
	timer    timer

	// nonce and ticketExpires are set for tickets.
	nonce         uint64
	ticketExpires time.Time

	outcome wire.Outcome
	reason  wire.Reason

	// attemptKey, placement and sentAt belong to the current attempt.
	attemptKey attemptKey
	placement  Placement
	sentAt     time.Time

	// parts holds the bodies of the parts that arrived, and nil for missing
	// parts. Repeatable requests hold receivedMarker instead of the bodies.
	parts         [][]byte
	receivedParts int
	boot          uint64
	storedBytes   int
	// answerDiscarded is set if the answer did not fit into MaxBytes. parts
	// then shows which parts arrived, without their bodies.
	answerDiscarded bool
}

// receivedMarker marks a part that arrived and whose body is not stored.
var receivedMarker = []byte{}

// deadlineOf returns the deadline of a request: the timeout in its frame, limited
// by the request timeout of the service.
func (t *Table) deadlineOf(now time.Time, service conf.ServiceID, f *wire.Frame) time.Time {
	d := t.Services.Timeouts(service).Request
	if timeout := time.Duration(f.Timeout) * time.Millisecond; timeout > 0 && timeout < d {
		d = timeout
	}
	return now.Add(d)
}

// place chooses a server for the next attempt and sets the deadline of its
// frame. If there is no server, it returns the reason.
func (t *Table) place(now time.Time, req *request, avoid conf.ServerID) (Placement, wire.Reason) {
	p, r := t.Placer.Place(now, PlacementRequest{Service: req.service, Deadline: req.deadline, Once: req.atMostOnce, Avoid: avoid, Request: req.frame.ID, Caller: req.replyTo.caller})
	if r != wire.ReasonNone {
		return p, r
	}
	if p.Deadline.IsZero() || p.Deadline.After(req.deadline) {
		p.Deadline = req.deadline
	}
	// Frames carry the deadline in milliseconds, rounded down.
	if p.Deadline.UnixMilli() <= now.UnixMilli() {
		t.Placer.Finished(now, p, ResultUnsent, 0)
		return p, wire.ReasonDeadline
	}
	return p, wire.ReasonNone
}

// send sends one attempt to the placed server.
func (t *Table) send(now time.Time, req *request, p Placement, out *wire.Outbox) {
	if req.phase != phaseRunning {
		req.phase = phaseRunning
		t.running++
	}
	req.placement, req.sentAt, req.parts, req.receivedParts = p, now, nil, 0
	// Attempt numbers are random, so that they differ between instances and
	// processes as well. A caller then never joins parts of two runs of a
	// repeatable request.
	req.attemptKey = attemptKey{req.replyTo.caller, req.frame.ID, t.Rand.Uint32()}
	t.attempts[req.attemptKey] = req
	f := req.frame
	f.Token, f.Timeout, f.Attempt = nil, 0, req.attemptKey.attempt
	f.Service, f.Server, f.Generation = req.service, p.Server, p.Generation
	f.SetDeadline(p.Deadline)
	if !p.Expires.IsZero() {
		f.SetExpires(p.Expires)
	}
	out.Server(p.Addr, req.replyTo.packet(f))
	t.timers.set(&req.timer, t.attemptTimeout(now, req))
}

// AnswerGrace is how long after the deadline of an attempt its answer may
// arrive. It covers the allowed clock skew of 100 ms and the network delay.
const AnswerGrace = 250 * time.Millisecond

// attemptTimeout returns when the current attempt times out, at the latest at
// the caller's deadline. A request that may run at most once has a single
// attempt, which lasts until the server stops it and the answer could have
// arrived.
func (t *Table) attemptTimeout(now time.Time, req *request) time.Time {
	at := now.Add(t.Services.Timeouts(req.service).Attempt)
	if req.atMostOnce {
		at = req.placement.Deadline.Add(AnswerGrace)
	}
	if at.After(req.deadline) {
		return req.deadline
	}
	return at
}

// endAttempt reports the result of the current attempt to the placer. Later
// answers of a repeatable request's attempt are dropped. The answer of a request
// that may run at most once is still accepted and can replace the outcome
// unknown.
func (t *Table) endAttempt(now time.Time, req *request, r Result) {
	t.Log.Info("attempt ended", "request", req.frame.ID, "caller", req.replyTo.caller, "server", req.placement.Server,
		"attempt", req.attemptKey.attempt, "result", r, "after", now.Sub(req.sentAt), "parts", req.receivedParts)
	t.Placer.Finished(now, req.placement, r, now.Sub(req.sentAt))
	if !req.atMostOnce {
		delete(t.attempts, req.attemptKey)
	}
}

// cancelAttempt notifies the server that the answer is no longer needed.
func (req *request) cancelAttempt(out *wire.Outbox) {
	f := wire.Frame{
		Kind: wire.KindCancel, Flow: req.frame.Flow, ID: req.frame.ID, Attempt: req.attemptKey.attempt,
		Service: req.service, Server: req.placement.Server, Generation: req.placement.Generation,
	}
	f.SetDeadline(req.deadline)
	to := req.replyTo
	to.caller = req.attemptKey.caller
	out.Server(req.placement.Addr, to.packet(f))
}

// end sets the outcome of a request. A repeatable request is removed from the
// table. The outcome of a ticket is kept until the ticket expires.
func (t *Table) end(req *request, o wire.Outcome, r wire.Reason) {
	if req.phase == phaseRunning {
		t.running--
	}
	req.phase, req.outcome, req.reason = phaseEnded, o, r
	req.frame.Body = nil
	if req.answerDiscarded {
		req.parts = nil
	}
	if req.atMostOnce {
		t.timers.set(&req.timer, req.ticketExpires)
		return
	}
	t.timers.remove(&req.timer)
	delete(t.pending, requestKey{req.replyTo.caller, req.frame.ID})
}

// fail ends the request and sends the refusal to the caller.
func (t *Table) fail(req *request, o wire.Outcome, r wire.Reason, out *wire.Outbox) {
	t.end(req, o, r)
	t.refuse(req.replyTo, &req.frame, req.frame.Token, o, r, out)
}

// requestTimerExpired removes an expired ticket, retries a repeatable request, or
// ends the request with a timeout.
func (t *Table) requestTimerExpired(now time.Time, req *request, out *wire.Outbox) {
	switch {
	case req.phase != phaseRunning:
		t.removeTicket(req)
	case now.Before(req.deadline) && !req.atMostOnce:
		t.retry(now, req, ResultTimedOut, wire.ReasonRetryTimeout, out)
	default:
		req.cancelAttempt(out)
		t.endAttempt(now, req, ResultTimedOut)
		t.fail(req, wire.OutcomeUnknown, wire.ReasonTimeout, out)
	}
}

// removeTicket removes an expired ticket with its outcome.
func (t *Table) removeTicket(req *request) {
	t.storedBytes -= req.storedBytes
	delete(t.tickets, req.nonce)
	if !req.sentAt.IsZero() {
		delete(t.attempts, req.attemptKey)
	}
}
