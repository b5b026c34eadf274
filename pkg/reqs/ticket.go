package reqs

import (
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/token"
	"ebonypaddle/pkg/wire"
)

// IssueTicket returns a sealed ticket for one request to the service, or the
// reason why none is issued. The ticket has an entry in the table until it
// expires, so that its first use never finds the table full.
func (t *Table) IssueTicket(now time.Time, service conf.ServiceID) ([]byte, wire.Reason) {
	t.init()
	if t.leaving {
		return nil, wire.ReasonStopping
	}
	if len(t.tickets) >= t.MaxTickets || t.storedBytes > t.MaxBytes/2 {
		return nil, wire.ReasonTableFull
	}
	nonce := t.Rand.Uint64()
	if t.tickets[nonce] != nil {
		return nil, wire.ReasonTableFull
	}
	tk := token.Ticket{Service: service, Owner: t.Self, Incarnation: t.Incarnation, Nonce: nonce, Expires: now.Add(t.TicketTime)}
	b, err := t.Box.SealTicket(now, make([]byte, 0, token.Size), &tk)
	if err != nil {
		return nil, wire.ReasonNoSettings
	}
	req := &request{atMostOnce: true, service: service, nonce: nonce, ticketExpires: tk.Expires}
	req.timer.request = req
	t.tickets[nonce] = req
	t.timers.set(&req.timer, req.ticketExpires)
	return b, wire.ReasonNone
}

// requireTicket refuses a request that has no ticket but needs one, and issues
// a ticket with the refusal. No instance runs such a frame without a ticket, so
// the outcome of this frame is notRun.
func (t *Table) requireTicket(now time.Time, service conf.ServiceID, p *wire.Packet, out *wire.Outbox) {
	tok, r := t.IssueTicket(now, service)
	if r == wire.ReasonNone {
		r = wire.ReasonTicketNeeded
	}
	t.refuse(replyAddressOf(p), &p.Frame, tok, wire.OutcomeNotRun, r, out)
}

// handleTicketed handles a frame with a ticket if this instance is the owner of
// the ticket, and otherwise relays it to the owner.
func (t *Table) handleTicketed(now time.Time, service conf.ServiceID, p *wire.Packet, out *wire.Outbox) {
	var tk token.Ticket
	if r := t.openTicket(service, p, &tk); r != wire.ReasonNone {
		t.refuseUnknown(p, r, out)
		return
	}
	if tk.Owner == t.Self {
		t.handleOwned(now, &tk, p, out)
		return
	}
	p.Frame.Service = service
	t.startRelay(now, tk.Owner, p, out)
}

// openTicket decrypts a ticket and checks its service. Every instance can do
// that. Only the owner checks the expiry, because its clock set it.
func (t *Table) openTicket(service conf.ServiceID, p *wire.Packet, tk *token.Ticket) wire.Reason {
	if t.Box.OpenTicket(p.Frame.Token, tk) != nil {
		return wire.ReasonBadTicket
	}
	if tk.Service != service {
		return wire.ReasonWrongService
	}
	return wire.ReasonNone
}

// refuseUnknown refuses a frame with a ticket as unknown, since its request may
// have run elsewhere. A cancel frame is dropped, because it has no outcome.
func (t *Table) refuseUnknown(p *wire.Packet, r wire.Reason, out *wire.Outbox) {
	if p.Frame.Kind == wire.KindCancel {
		t.drop(&p.Frame, r)
		return
	}
	t.refuse(replyAddressOf(p), &p.Frame, p.Frame.Token, wire.OutcomeUnknown, r, out)
}

// handleOwned handles a frame whose ticket names this address as the owner.
func (t *Table) handleOwned(now time.Time, tk *token.Ticket, p *wire.Packet, out *wire.Outbox) {
	if tk.Incarnation != t.Incarnation {
		t.refuseUnknown(p, wire.ReasonOwnerGone, out)
		return
	}
	req := t.tickets[tk.Nonce]
	switch {
	case req == nil || req.phase == phaseIssued && !now.Before(req.ticketExpires):
		// The request may have run, and its outcome been removed since.
		t.refuseUnknown(p, wire.ReasonTicketExpired, out)
	case req.phase != phaseIssued && req.frame.ID != p.Frame.ID:
		t.refuse(replyAddressOf(p), &p.Frame, p.Frame.Token, wire.OutcomeNotRun, wire.ReasonBadTicket, out)
	case p.Frame.Kind == wire.KindCancel:
		t.cancelOwned(now, req, p, out)
	case req.phase == phaseIssued:
		t.startOnce(now, req, p, out)
	default:
		req.replyTo = replyAddressOf(p)
		t.replay(req, out)
	}
}

// startOnce sends a request on the first use of its ticket. No other function
// sends such a request, and the ticket never returns to phaseIssued, so the
// request runs at most once.
func (t *Table) startOnce(now time.Time, req *request, p *wire.Packet, out *wire.Outbox) {
	req.frame, req.replyTo = p.Frame, replyAddressOf(p)
	req.deadline = t.deadlineOf(now, req.service, &p.Frame)
	pl, r := t.place(now, req, 0)
	if r != wire.ReasonNone {
		t.fail(req, wire.OutcomeNotRun, r, out)
		return
	}
	t.send(now, req, pl, out)
}

// replay answers a retransmission from the stored state. While the request
// runs, it sends the parts that have arrived so far; the others follow as they
// arrive.
func (t *Table) replay(req *request, out *wire.Outbox) {
	switch {
	case req.phase == phaseRunning && req.answerDiscarded:
		// The parts that arrived were sent to the caller but not stored.
	case req.outcome == wire.OutcomeDone && req.answerDiscarded:
		t.refuse(req.replyTo, &req.frame, req.frame.Token, wire.OutcomeUnknown, wire.ReasonTableFull, out)
	case req.outcome == wire.OutcomeDone || req.phase == phaseRunning:
		for i, body := range req.parts {
			if body != nil {
				t.sendPart(req, uint16(i), body, req.outcome, out)
			}
		}
	default:
		t.refuse(req.replyTo, &req.frame, req.frame.Token, req.outcome, req.reason, out)
	}
}
