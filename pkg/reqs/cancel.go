package reqs

import (
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wire"
)

// HandleCancel handles a cancel frame of a caller. A frame with a ticket is
// handled by the owner. One without a ticket has an effect only on the instance
// that runs the request.
func (t *Table) HandleCancel(now time.Time, service conf.ServiceID, p *wire.Packet, out *wire.Outbox) {
	t.init()
	if len(p.Frame.Token) > 0 {
		t.handleTicketed(now, service, p, out)
		return
	}
	req := t.pending[requestKey{p.Caller, p.Frame.ID}]
	if req == nil {
		t.drop(&p.Frame, wire.ReasonCancelled)
		return
	}
	req.cancelAttempt(out)
	t.endAttempt(now, req, ResultCancelled)
	t.fail(req, wire.OutcomeUnknown, wire.ReasonCancelled, out)
}

// cancelOwned cancels the request of a ticket. A cancel frame that overtakes its
// request uses up the ticket, so that the request cannot run after the caller
// got notRun.
func (t *Table) cancelOwned(now time.Time, req *request, p *wire.Packet, out *wire.Outbox) {
	switch req.phase {
	case phaseIssued:
		req.frame, req.replyTo = p.Frame, replyAddressOf(p)
		t.fail(req, wire.OutcomeNotRun, wire.ReasonCancelled, out)
	case phaseRunning:
		req.cancelAttempt(out)
		t.endAttempt(now, req, ResultCancelled)
		t.fail(req, wire.OutcomeUnknown, wire.ReasonCancelled, out)
	default:
		t.drop(&p.Frame, wire.ReasonCancelled)
	}
}
