package reqs

import (
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wire"
)

// HandleRequest handles a request of a caller to the service.
func (t *Table) HandleRequest(now time.Time, service conf.ServiceID, p *wire.Packet, out *wire.Outbox) {
	t.init()
	f := &p.Frame
	switch {
	case len(f.Body) > wire.MaxBody:
		// Every instance refuses such a frame, so the request never runs.
		t.refuse(replyAddressOf(p), f, f.Token, wire.OutcomeNotRun, wire.ReasonTooLarge, out)
	case !f.Has(wire.FlagOnce):
		t.startRepeatable(now, service, p, out)
	case len(f.Token) == 0:
		t.requireTicket(now, service, p, out)
	default:
		t.handleTicketed(now, service, p, out)
	}
}

// startRepeatable starts a request that may run more than once. Its refusals
// have the outcome unknown, because the fabric may have delivered a duplicate of
// the frame to another instance, which runs it.
func (t *Table) startRepeatable(now time.Time, service conf.ServiceID, p *wire.Packet, out *wire.Outbox) {
	key := requestKey{p.Caller, p.Frame.ID}
	if req := t.pending[key]; req != nil {
		req.replyTo.via = p.Via
		return
	}
	if len(t.pending) >= t.MaxPending {
		t.refuse(replyAddressOf(p), &p.Frame, nil, wire.OutcomeUnknown, wire.ReasonTableFull, out)
		return
	}
	t.Budget.Earn(now)
	req := &request{service: service, frame: p.Frame, replyTo: replyAddressOf(p), deadline: t.deadlineOf(now, service, &p.Frame)}
	req.timer.request = req
	t.pending[key] = req
	pl, r := t.place(now, req, 0)
	if r != wire.ReasonNone {
		t.fail(req, wire.OutcomeUnknown, r, out)
		return
	}
	t.send(now, req, pl, out)
}

// retry replaces the current attempt of a repeatable request by a new one. If
// the budget is used up or there is no server, an attempt that timed out keeps
// waiting for its answer, and one that was shed ends the request.
func (t *Table) retry(now time.Time, req *request, res Result, reason wire.Reason, out *wire.Outbox) {
	if res != ResultTimedOut {
		t.endAttempt(now, req, res)
	}
	var pl Placement
	r := wire.ReasonRetryBudget
	if t.Budget.Spend(now) {
		pl, r = t.place(now, req, req.placement.Server)
	}
	switch {
	case r == wire.ReasonNone:
		if res == ResultTimedOut {
			req.cancelAttempt(out)
			t.endAttempt(now, req, res)
		}
		t.Stats.Retried.Add(reason)
		t.Log.Info("request retried", "request", req.frame.ID, "caller", req.replyTo.caller, "reason", reason, "after", now.Sub(req.sentAt))
		t.send(now, req, pl, out)
	case res == ResultTimedOut:
		t.timers.set(&req.timer, t.attemptTimeout(now, req))
	default:
		t.fail(req, wire.OutcomeUnknown, r, out)
	}
}
