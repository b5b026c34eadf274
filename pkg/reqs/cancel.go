package reqs

import (
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wire"
)

// HandleCancel handles a caller's cancel frame. With a ticket it reaches the
// owner; without one it only has effect on the instance that runs the request.
func (t *Table) HandleCancel(now time.Time, service conf.ServiceID, p *wire.Packet, out *wire.Outbox) {
	t.init()
	if len(p.Frame.Token) > 0 {
		t.ticketed(now, service, p, out)
		return
	}
	c := t.pending[callKey{p.Caller, p.Frame.ID}]
	if c == nil {
		t.drop(&p.Frame, wire.ReasonCancelled)
		return
	}
	c.cancelAttempt(out)
	t.stopAttempt(now, c, ResultCancelled)
	t.fail(c, wire.OutcomeUnknown, wire.ReasonCancelled, out)
}

// cancelOwned cancels the request of a ticket. A cancel that overtakes its
// request uses the ticket up, so that notRun stays true.
func (t *Table) cancelOwned(now time.Time, c *call, p *wire.Packet, out *wire.Outbox) {
	switch c.phase {
	case phaseIssued:
		c.frame, c.reply = p.Frame, addressOf(p)
		t.fail(c, wire.OutcomeNotRun, wire.ReasonCancelled, out)
	case phaseRunning:
		c.cancelAttempt(out)
		t.stopAttempt(now, c, ResultCancelled)
		t.fail(c, wire.OutcomeUnknown, wire.ReasonCancelled, out)
	default:
		t.drop(&p.Frame, wire.ReasonCancelled)
	}
}
