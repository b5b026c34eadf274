package reqs

import (
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wire"
)

// HandleRequest handles a request that a caller sent to the service.
func (t *Table) HandleRequest(now time.Time, service conf.ServiceID, p *wire.Packet, out *wire.Outbox) {
	t.init()
	f := &p.Frame
	switch {
	case len(f.Body) > wire.MaxBody:
		// Every instance refuses such a frame, so notRun is true.
		t.refuse(addressOf(p), f, f.Token, wire.OutcomeNotRun, wire.ReasonTooLarge, out)
	case !f.Has(wire.FlagOnce):
		t.repeatable(now, service, p, out)
	case len(f.Token) == 0:
		t.offerTicket(now, service, p, out)
	default:
		t.ticketed(now, service, p, out)
	}
}

// repeatable starts a request that may run more than once. Its refusals say
// unknown: the fabric may have delivered the same frame to another instance,
// which this one cannot rule out.
func (t *Table) repeatable(now time.Time, service conf.ServiceID, p *wire.Packet, out *wire.Outbox) {
	key := callKey{p.Caller, p.Frame.ID}
	if c := t.pending[key]; c != nil {
		c.reply.via = p.Via
		return
	}
	if len(t.pending) >= t.MaxPending {
		t.refuse(addressOf(p), &p.Frame, nil, wire.OutcomeUnknown, wire.ReasonTableFull, out)
		return
	}
	t.Budget.Earn(now)
	c := &call{service: service, frame: p.Frame, reply: addressOf(p), deadline: t.deadlineOf(now, service, &p.Frame)}
	c.timer.call = c
	t.pending[key] = c
	pl, r := t.place(now, c, 0)
	if r != wire.ReasonNone {
		t.fail(c, wire.OutcomeUnknown, r, out)
		return
	}
	t.send(now, c, pl, out)
}

// retry replaces the current attempt of a repeatable request. Without budget
// or server, a timed-out attempt goes on waiting and a shed one ends the
// request.
func (t *Table) retry(now time.Time, c *call, res Result, why wire.Reason, out *wire.Outbox) {
	if res != ResultTimedOut {
		t.stopAttempt(now, c, res)
	}
	var pl Placement
	r := wire.ReasonRetryBudget
	if t.Budget.Spend(now) {
		pl, r = t.place(now, c, c.placement.Server)
	}
	switch {
	case r == wire.ReasonNone:
		if res == ResultTimedOut {
			c.cancelAttempt(out)
			t.stopAttempt(now, c, res)
		}
		t.Stats.Retried.Add(why)
		t.Log.Info("request retried", "request", c.frame.ID, "caller", c.reply.caller, "reason", why, "after", now.Sub(c.sent))
		t.send(now, c, pl, out)
	case res == ResultTimedOut:
		t.timers.set(&c.timer, t.wakeup(now, c))
	default:
		t.fail(c, wire.OutcomeUnknown, r, out)
	}
}
