package reqs

import (
	"time"

	"ebonypaddle/pkg/wire"
)

// HandleAnswer handles an answer part or a refusal from a server.
func (t *Table) HandleAnswer(now time.Time, p *wire.Packet, out *wire.Outbox) {
	t.init()
	f := &p.Frame
	c := t.attempts[attemptKey{p.Caller, f.ID, f.Attempt}]
	if c == nil || c.placement.Server != f.Server || c.placement.Generation != f.Generation {
		t.drop(f, wire.ReasonLateAnswer)
		return
	}
	switch f.Kind {
	case wire.KindAnswer:
		t.part(now, c, f, out)
	case wire.KindRefusal:
		t.refused(now, c, f, out)
	default:
		t.drop(f, wire.ReasonMalformed)
	}
}

// part takes one part of an answer. An answer that comes after the outcome
// unknown is kept for repeats, which then get done.
func (t *Table) part(now time.Time, c *call, f *wire.Frame, out *wire.Outbox) {
	if r := c.admit(f); r != wire.ReasonNone {
		t.drop(f, r)
		return
	}
	c.parts[f.Part] = present
	c.got++
	t.store(c, f)
	late, done := c.phase == phaseEnded, c.got == len(c.parts)
	switch {
	case late:
		t.drop(f, wire.ReasonLateAnswer)
	case done:
		t.passOn(c, f.Part, f.Body, wire.OutcomeDone, out)
		t.stopAttempt(now, c, ResultAnswered)
	default:
		t.passOn(c, f.Part, f.Body, wire.OutcomeNone, out)
	}
	if done {
		t.end(c, wire.OutcomeDone, wire.ReasonNone)
	}
}

// admit checks a part against those that came before.
func (c *call) admit(f *wire.Frame) wire.Reason {
	total := int(max(f.Parts, 1))
	switch {
	case c.outcome == wire.OutcomeDone || c.outcome == wire.OutcomeNotRun:
		return wire.ReasonLateAnswer
	case len(f.Body) > wire.MaxBody:
		return wire.ReasonTooLarge
	case total > wire.MaxParts || int(f.Part) >= total:
		return wire.ReasonMalformed
	case c.parts == nil:
		c.parts, c.boot = make([][]byte, total), f.Boot
	case total != len(c.parts) || f.Boot != c.boot:
		return wire.ReasonMalformed
	case c.parts[f.Part] != nil:
		return wire.ReasonLateAnswer
	}
	return wire.ReasonNone
}

// partOverhead is the memory in bytes that a stored part takes beside its body.
const partOverhead = 24

// store keeps a part for repeats of a request that may run at most once. An
// answer that does not fit is released, and repeats of it get unknown.
func (t *Table) store(c *call, f *wire.Frame) {
	if !c.once || c.lost {
		return
	}
	n := len(f.Body) + partOverhead
	if t.bytes+n > t.MaxBytes {
		c.lost = true
		t.bytes -= c.bytes
		c.bytes = 0
		for i, body := range c.parts {
			if body != nil {
				c.parts[i] = present
			}
		}
		return
	}
	t.bytes += n
	c.bytes += n
	if f.Body != nil {
		c.parts[f.Part] = f.Body
	}
}

// passOn sends one part to the caller. Server, generation, boot and attempt
// let the caller join only parts of the same run.
func (t *Table) passOn(c *call, part uint16, body []byte, o wire.Outcome, out *wire.Outbox) {
	out.Caller(c.reply.packet(wire.Frame{
		Kind: wire.KindAnswer, Flow: c.frame.Flow, ID: c.frame.ID,
		Attempt: c.key.attempt, Part: part, Parts: uint16(len(c.parts)), Outcome: o, Body: body,
		Service: c.service, Server: c.placement.Server, Generation: c.placement.Generation, Boot: c.boot,
	}))
}

// refused handles a server's refusal. Only one that sheds the request, and
// that follows no part of an answer, proves that it did not run.
func (t *Table) refused(now time.Time, c *call, f *wire.Frame, out *wire.Outbox) {
	if c.phase != phaseRunning {
		t.drop(f, wire.ReasonLateAnswer)
		return
	}
	shed := f.Has(wire.FlagShed) && c.got == 0
	res, reason := ResultFailed, f.Reason
	switch {
	case f.Has(wire.FlagShed | wire.FlagCold):
		reason = wire.ReasonColdLimit
	case f.Has(wire.FlagShed):
		reason = wire.ReasonServerShed
	case reason == wire.ReasonNone:
		reason = wire.ReasonServerGone
	}
	switch {
	case shed && f.Has(wire.FlagCold):
		res = ResultCold
	case shed:
		res = ResultShed
	}
	switch {
	case !c.once && shed:
		t.retry(now, c, res, wire.ReasonRetryShed, out)
	case shed:
		t.stopAttempt(now, c, res)
		t.fail(c, wire.OutcomeNotRun, reason, out)
	default:
		t.stopAttempt(now, c, res)
		t.fail(c, wire.OutcomeUnknown, reason, out)
	}
}
