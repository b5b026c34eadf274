package caller

import (
	"bytes"
	"time"

	"ebonypaddle/emul/body"
	"ebonypaddle/pkg/wire"
)

// maxAssemblies bounds the attempts whose parts are kept for one request.
const maxAssemblies = 8

// Result is what became of a request.
type Result struct {
	ID      wire.RequestID
	Once    bool
	Body    []byte
	Outcome wire.Outcome
	Reason  wire.Reason
	// Whole tells that the answer is the one asked for.
	Whole   bool
	Sent    time.Time // of the first frame
	Latency time.Duration
}

// request is one request and what was heard of it.
type request struct {
	id       wire.RequestID
	once     bool
	body     []byte
	deadline time.Time
	ticket   []byte
	// sent counts frames without a ticket, ticketed those with one.
	sent, ticketed int
	answers        map[assemblyKey]*Reassembler
}

// frame returns the next frame to send.
func (r *request) frame(now time.Time) wire.Frame {
	f := wire.Frame{
		Kind: wire.KindRequest, ID: r.id, Token: r.ticket, Body: r.body,
		Timeout: uint32(max(r.deadline.Sub(now).Milliseconds(), 0)),
	}
	if r.once {
		f.Flags = wire.FlagOnce
	}
	if r.ticket != nil {
		r.ticketed++
	} else {
		r.sent++
	}
	return f
}

// receive processes a frame. It returns the result when the request is over,
// and whether to send again at once.
func (r *request) receive(f *wire.Frame) (res *Result, again bool) {
	switch f.Kind {
	case wire.KindAnswer:
		whole, ok := r.assemble(f)
		if !ok {
			return nil, false
		}
		want := body.Answer(r.id, body.Size(r.body))
		return r.result(wire.OutcomeDone, wire.ReasonNone, bytes.Equal(whole, want)), false
	case wire.KindRefusal:
		return r.refused(f)
	}
	return nil, false
}

// refused processes a refusal. The first ticket is kept for good, because a
// second one would allow a second run.
func (r *request) refused(f *wire.Frame) (*Result, bool) {
	switch {
	case f.Reason == wire.ReasonTicketNeeded:
		if !r.once || r.ticket != nil || len(f.Token) == 0 {
			return nil, false
		}
		r.ticket = f.Token
		return nil, true
	case f.Outcome == wire.OutcomeNotRun && r.ambiguous(f.Reason):
		return nil, false
	}
	return r.result(f.Outcome, f.Reason, false), false
}

// ambiguous tells whether a refusal may belong to another frame of the
// request than the one that counts. A refusal names no frame: once a ticket
// was used, reasons for refusing frames without one say nothing, and of several
// frames that may be repeated one can run while another is refused.
func (r *request) ambiguous(reason wire.Reason) bool {
	if r.once && r.ticketed == 0 {
		return reason == wire.ReasonStopping // the request is sent again
	}
	if r.once {
		return reason == wire.ReasonStopping || reason == wire.ReasonTableFull
	}
	return r.sent > 1
}

// expired returns the result when the caller's time is over. A request that
// needs a ticket and was never sent with one has not run.
func (r *request) expired() *Result {
	if r.once && r.ticketed == 0 {
		return r.result(wire.OutcomeNotRun, wire.ReasonTimeout, false)
	}
	return r.result(wire.OutcomeUnknown, wire.ReasonTimeout, false)
}

func (r *request) result(o wire.Outcome, reason wire.Reason, whole bool) *Result {
	return &Result{ID: r.id, Once: r.once, Body: r.body, Outcome: o, Reason: reason, Whole: whole}
}

// assemblyKey separates the answers of different attempts.
type assemblyKey struct {
	attempt uint32
	parts   uint16
}

func (r *request) assemble(f *wire.Frame) ([]byte, bool) {
	k := assemblyKey{f.Attempt, f.Parts}
	a := r.answers[k]
	if a == nil {
		if len(r.answers) >= maxAssemblies {
			return nil, false
		}
		if r.answers == nil {
			r.answers = map[assemblyKey]*Reassembler{}
		}
		a = &Reassembler{}
		r.answers[k] = a
	}
	return a.Add(f.Part, f.Parts, f.Body)
}

// Reassembler collects the parts of one answer in any order.
type Reassembler struct {
	parts [][]byte
	got   int
}

// Add stores a part and returns the whole answer once all parts have come.
// Repeated parts and parts out of range are ignored.
func (a *Reassembler) Add(part, parts uint16, b []byte) ([]byte, bool) {
	if a.parts == nil {
		a.parts = make([][]byte, max(parts, 1))
	}
	if int(part) >= len(a.parts) || a.parts[part] != nil {
		return nil, false
	}
	a.parts[part] = append([]byte{}, b...)
	if a.got++; a.got < len(a.parts) {
		return nil, false
	}
	return bytes.Join(a.parts, nil), true
}
