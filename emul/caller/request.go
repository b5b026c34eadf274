package caller

import (
	"bytes"
	"time"

	"ebonypaddle/emul/body"
	"ebonypaddle/pkg/wire"
)

// maxAssemblies bounds the number of attempts of one request whose answers are
// reassembled at the same time.
const maxAssemblies = 8

// Result is the result of a request.
type Result struct {
	ID      wire.RequestID
	Once    bool
	Body    []byte
	Outcome wire.Outcome
	Reason  wire.Reason
	// AnswerCorrect is set when the complete answer is the expected one.
	AnswerCorrect bool
	Sent          time.Time // time when the first frame was sent
	Latency       time.Duration
}

// request is the state of a request in progress.
type request struct {
	id       wire.RequestID
	once     bool
	body     []byte
	deadline time.Time
	ticket   []byte
	// Numbers of frames sent.
	sentWithoutTicket, sentWithTicket int
	reassemblers                      map[assemblyKey]*Reassembler
}

// frame returns the next frame to send and counts it.
func (r *request) frame(now time.Time) wire.Frame {
	f := wire.Frame{
		Kind: wire.KindRequest, ID: r.id, Token: r.ticket, Body: r.body,
		Timeout: uint32(max(r.deadline.Sub(now).Milliseconds(), 0)),
	}
	if r.once {
		f.Flags = wire.FlagOnce
	}
	if r.ticket != nil {
		r.sentWithTicket++
	} else {
		r.sentWithoutTicket++
	}
	return f
}

// receive processes a frame. It returns the result when the request is finished,
// else nil, and whether to send the next frame at once.
func (r *request) receive(f *wire.Frame) (res *Result, sendNow bool) {
	switch f.Kind {
	case wire.KindAnswer:
		answer, ok := r.assemble(f)
		if !ok {
			return nil, false
		}
		want := body.Answer(r.id, body.AnswerSize(r.body))
		return r.result(wire.OutcomeDone, wire.ReasonNone, bytes.Equal(answer, want)), false
	case wire.KindRefusal:
		return r.handleRefusal(f)
	}
	return nil, false
}

// handleRefusal processes a refusal. Only the first ticket is used, because a second
// ticket would allow the request to run a second time.
func (r *request) handleRefusal(f *wire.Frame) (*Result, bool) {
	switch {
	case f.Reason == wire.ReasonTicketNeeded:
		if !r.once || r.ticket != nil || len(f.Token) == 0 {
			return nil, false
		}
		r.ticket = f.Token
		return nil, true
	case f.Outcome == wire.OutcomeNotRun && r.ambiguousRefusal(f.Reason):
		return nil, false
	}
	return r.result(f.Outcome, f.Reason, false), false
}

// ambiguousRefusal reports whether a refusal does not prove that the request has not
// run. A refusal does not identify the frame that it refuses. Once a ticket was used,
// reasons for refusing a frame without a ticket may refer to an earlier frame. If a
// request that may be repeated was sent several times, one frame can be refused while
// another one runs.
func (r *request) ambiguousRefusal(reason wire.Reason) bool {
	if r.once && r.sentWithTicket == 0 {
		return reason == wire.ReasonStopping // The request is retransmitted.
	}
	if r.once {
		return reason == wire.ReasonStopping || reason == wire.ReasonTableFull
	}
	return r.sentWithoutTicket > 1
}

// timeoutResult returns the result when the deadline has passed or the request is
// cancelled. A request that must not run more than once needs a ticket, so it has not
// run if it was never sent with one.
func (r *request) timeoutResult() *Result {
	if r.once && r.sentWithTicket == 0 {
		return r.result(wire.OutcomeNotRun, wire.ReasonTimeout, false)
	}
	return r.result(wire.OutcomeUnknown, wire.ReasonTimeout, false)
}

func (r *request) result(o wire.Outcome, reason wire.Reason, answerCorrect bool) *Result {
	return &Result{ID: r.id, Once: r.once, Body: r.body, Outcome: o, Reason: reason, AnswerCorrect: answerCorrect}
}

// assemblyKey identifies the answer of one attempt.
type assemblyKey struct {
	attempt uint32
	parts   uint16
}

// assemble adds a part of an answer and returns the whole answer once it is complete.
func (r *request) assemble(f *wire.Frame) ([]byte, bool) {
	key := assemblyKey{f.Attempt, f.Parts}
	reassembler := r.reassemblers[key]
	if reassembler == nil {
		if len(r.reassemblers) >= maxAssemblies {
			return nil, false
		}
		if r.reassemblers == nil {
			r.reassemblers = map[assemblyKey]*Reassembler{}
		}
		reassembler = &Reassembler{}
		r.reassemblers[key] = reassembler
	}
	return reassembler.Add(f.Part, f.Parts, f.Body)
}

// Reassembler collects the parts of one answer in any order.
type Reassembler struct {
	parts    [][]byte
	received int
}

// Add stores a part and returns the whole answer once all parts were received.
// Repeated parts and parts out of range are ignored.
func (a *Reassembler) Add(part, parts uint16, b []byte) ([]byte, bool) {
	if a.parts == nil {
		a.parts = make([][]byte, max(parts, 1))
	}
	if int(part) >= len(a.parts) || a.parts[part] != nil {
		return nil, false
	}
	a.parts[part] = append([]byte{}, b...)
	if a.received++; a.received < len(a.parts) {
		return nil, false
	}
	return bytes.Join(a.parts, nil), true
}
