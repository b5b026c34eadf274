package reqs

import (
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/token"
	"ebonypaddle/pkg/wire"
)

// IssueTicket returns a sealed ticket for one request to the service, or the
// reason why there is none. The ticket occupies an entry until it expires, so
// that its first use never finds the table full.
func (t *Table) IssueTicket(now time.Time, service conf.ServiceID) ([]byte, wire.Reason) {
	t.init()
	if t.leaving {
		return nil, wire.ReasonStopping
	}
	if len(t.owned) >= t.MaxTickets || t.bytes > t.MaxBytes/2 {
		return nil, wire.ReasonTableFull
	}
	nonce := t.Rand.Uint64()
	if t.owned[nonce] != nil {
		return nil, wire.ReasonTableFull
	}
	tk := token.Ticket{Service: service, Owner: t.Self, Incarnation: t.Incarnation, Nonce: nonce, Expires: now.Add(t.TicketTime)}
	b, err := t.Box.SealTicket(now, make([]byte, 0, token.Size), &tk)
	if err != nil {
		return nil, wire.ReasonNoSettings
	}
	c := &call{once: true, service: service, nonce: nonce, expires: tk.Expires}
	c.timer.call = c
	t.owned[nonce] = c
	t.timers.set(&c.timer, c.expires)
	return b, wire.ReasonNone
}

// offerTicket refuses a request that needs a ticket and hands one out. No
// instance runs a frame without a ticket, so notRun is true of this frame.
func (t *Table) offerTicket(now time.Time, service conf.ServiceID, p *wire.Packet, out *wire.Outbox) {
	tok, r := t.IssueTicket(now, service)
	if r == wire.ReasonNone {
		r = wire.ReasonTicketNeeded
	}
	t.refuse(addressOf(p), &p.Frame, tok, wire.OutcomeNotRun, r, out)
}

// ticketed hands a frame with a ticket to the ticket's owner.
func (t *Table) ticketed(now time.Time, service conf.ServiceID, p *wire.Packet, out *wire.Outbox) {
	var tk token.Ticket
	if r := t.openTicket(service, p, &tk); r != wire.ReasonNone {
		t.unknown(p, r, out)
		return
	}
	if tk.Owner == t.Self {
		t.own(now, &tk, p, out)
		return
	}
	p.Frame.Service = service
	t.relay(now, tk.Owner, p, out)
}

// openTicket checks the parts of a ticket that every instance can check. The
// expiry is left to the owner, whose clock set it.
func (t *Table) openTicket(service conf.ServiceID, p *wire.Packet, tk *token.Ticket) wire.Reason {
	if t.Box.OpenTicket(p.Frame.Token, tk) != nil {
		return wire.ReasonBadTicket
	}
	if tk.Service != service {
		return wire.ReasonWrongService
	}
	return wire.ReasonNone
}

// unknown refuses a ticketed frame whose request may have run elsewhere. A
// cancel has no outcome of its own.
func (t *Table) unknown(p *wire.Packet, r wire.Reason, out *wire.Outbox) {
	if p.Frame.Kind == wire.KindCancel {
		t.drop(&p.Frame, r)
		return
	}
	t.refuse(addressOf(p), &p.Frame, p.Frame.Token, wire.OutcomeUnknown, r, out)
}

// own handles a frame whose ticket names this address as owner.
func (t *Table) own(now time.Time, tk *token.Ticket, p *wire.Packet, out *wire.Outbox) {
	if tk.Incarnation != t.Incarnation {
		t.unknown(p, wire.ReasonOwnerGone, out)
		return
	}
	c := t.owned[tk.Nonce]
	switch {
	case c == nil || c.phase == phaseIssued && !now.Before(c.expires):
		// The outcome may have been forgotten.
		t.unknown(p, wire.ReasonTicketExpired, out)
	case c.phase != phaseIssued && c.frame.ID != p.Frame.ID:
		t.refuse(addressOf(p), &p.Frame, p.Frame.Token, wire.OutcomeNotRun, wire.ReasonBadTicket, out)
	case p.Frame.Kind == wire.KindCancel:
		t.cancelOwned(now, c, p, out)
	case c.phase == phaseIssued:
		t.first(now, c, p, out)
	default:
		c.reply = addressOf(p)
		t.replay(c, out)
	}
}

// first sends the request of a ticket. This is the only place that does, and
// it leaves phaseIssued for good, so the request runs at most once.
func (t *Table) first(now time.Time, c *call, p *wire.Packet, out *wire.Outbox) {
	c.frame, c.reply = p.Frame, addressOf(p)
	c.deadline = t.deadlineOf(now, c.service, &p.Frame)
	pl, r := t.place(now, c, 0)
	if r != wire.ReasonNone {
		t.fail(c, wire.OutcomeNotRun, r, out)
		return
	}
	t.send(now, c, pl, out)
}

// replay answers a repeat with what is stored. While the request runs these
// are the parts that came so far; the rest follows as it arrives.
func (t *Table) replay(c *call, out *wire.Outbox) {
	switch {
	case c.phase == phaseRunning && c.lost:
		// The parts that came were passed on but not kept.
	case c.outcome == wire.OutcomeDone && c.lost:
		t.refuse(c.reply, &c.frame, c.frame.Token, wire.OutcomeUnknown, wire.ReasonTableFull, out)
	case c.outcome == wire.OutcomeDone || c.phase == phaseRunning:
		for i, body := range c.parts {
			if body != nil {
				t.passOn(c, uint16(i), body, c.outcome, out)
			}
		}
	default:
		t.refuse(c.reply, &c.frame, c.frame.Token, c.outcome, c.reason, out)
	}
}
