package reqs

import (
	"time"

	"ebonypaddle/pkg/wire"
)

// HandleAnswer handles a part of an answer, or a refusal, from a server.
func (t *Table) HandleAnswer(now time.Time, p *wire.Packet, out *wire.Outbox) {
	t.init()
	f := &p.Frame
	req := t.attempts[attemptKey{p.Caller, f.ID, f.Attempt}]
	if req == nil || req.placement.Server != f.Server || req.placement.Generation != f.Generation {
		t.drop(f, wire.ReasonLateAnswer)
		return
	}
	switch f.Kind {
	case wire.KindAnswer:
		t.handlePart(now, req, f, out)
	case wire.KindRefusal:
		t.handleServerRefusal(now, req, f, out)
	default:
		t.drop(f, wire.ReasonMalformed)
	}
}

// handlePart handles one part of an answer. An answer that arrives after the
// request ended as unknown is stored for retransmissions, which then get done.
func (t *Table) handlePart(now time.Time, req *request, f *wire.Frame, out *wire.Outbox) {
	if r := req.acceptPart(f); r != wire.ReasonNone {
		t.drop(f, r)
		return
	}
	req.parts[f.Part] = receivedMarker
	req.receivedParts++
	t.storePart(req, f)
	late, done := req.phase == phaseEnded, req.receivedParts == len(req.parts)
	switch {
	case late:
		t.drop(f, wire.ReasonLateAnswer)
	case done:
		t.sendPart(req, f.Part, f.Body, wire.OutcomeDone, out)
		t.endAttempt(now, req, ResultAnswered)
	default:
		t.sendPart(req, f.Part, f.Body, wire.OutcomeNone, out)
	}
	if done {
		t.end(req, wire.OutcomeDone, wire.ReasonNone)
	}
}

// acceptPart checks a part against the parts that arrived before. It returns the
// reason to drop the part, if any.
func (req *request) acceptPart(f *wire.Frame) wire.Reason {
	total := int(max(f.Parts, 1))
	switch {
	case req.outcome == wire.OutcomeDone || req.outcome == wire.OutcomeNotRun:
		return wire.ReasonLateAnswer
	case len(f.Body) > wire.MaxBody:
		return wire.ReasonTooLarge
	case total > wire.MaxParts || int(f.Part) >= total:
		return wire.ReasonMalformed
	case req.parts == nil:
		req.parts, req.boot = make([][]byte, total), f.Boot
	case total != len(req.parts) || f.Boot != req.boot:
		return wire.ReasonMalformed
	case req.parts[f.Part] != nil:
		return wire.ReasonLateAnswer
	}
	return wire.ReasonNone
}

// partOverhead is the memory of a stored part in bytes, without its body.
const partOverhead = 24

// storePart stores a part for retransmissions of a request that may run at most
// once. If the answer does not fit into MaxBytes, it is discarded, and
// retransmissions get unknown.
func (t *Table) storePart(req *request, f *wire.Frame) {
	if !req.atMostOnce || req.answerDiscarded {
		return
	}
	n := len(f.Body) + partOverhead
	if t.storedBytes+n > t.MaxBytes {
		req.answerDiscarded = true
		t.storedBytes -= req.storedBytes
		req.storedBytes = 0
		for i, body := range req.parts {
			if body != nil {
				req.parts[i] = receivedMarker
			}
		}
		return
	}
	t.storedBytes += n
	req.storedBytes += n
	if f.Body != nil {
		req.parts[f.Part] = f.Body
	}
}

// sendPart sends one part to the caller. It carries server, generation, boot and
// attempt, so that the caller joins only parts of the same run.
func (t *Table) sendPart(req *request, part uint16, body []byte, o wire.Outcome, out *wire.Outbox) {
	out.Caller(req.replyTo.packet(wire.Frame{
		Kind: wire.KindAnswer, Flow: req.frame.Flow, ID: req.frame.ID,
		Attempt: req.attemptKey.attempt, Part: part, Parts: uint16(len(req.parts)), Outcome: o, Body: body,
		Service: req.service, Server: req.placement.Server, Generation: req.placement.Generation, Boot: req.boot,
	}))
}

// handleServerRefusal handles a refusal by a server. The refusal proves that the
// request did not run only if it has FlagShed and no part of an answer came
// before it.
func (t *Table) handleServerRefusal(now time.Time, req *request, f *wire.Frame, out *wire.Outbox) {
	if req.phase != phaseRunning {
		t.drop(f, wire.ReasonLateAnswer)
		return
	}
	shed := f.Has(wire.FlagShed) && req.receivedParts == 0
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
		res = ResultShedCold
	case shed:
		res = ResultShed
	}
	switch {
	case !req.atMostOnce && shed:
		t.retry(now, req, res, wire.ReasonRetryShed, out)
	case shed:
		t.endAttempt(now, req, res)
		t.fail(req, wire.OutcomeNotRun, reason, out)
	default:
		t.endAttempt(now, req, res)
		t.fail(req, wire.OutcomeUnknown, reason, out)
	}
}
