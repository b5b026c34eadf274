package caller

import (
	"bytes"
	"encoding/hex"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/emul/body"
	"ebonypaddle/emul/server"
	"ebonypaddle/pkg/wire"
)

var now = time.UnixMilli(1_700_000_000_000)

func newRequest(once bool, size int) *request {
	return &request{id: wire.RequestID{1}, once: once, body: body.Request(size, nil), deadline: now.Add(time.Second)}
}

// answerFrames returns the frames of the answer that an attempt of r gives.
func answerFrames(r *request, attempt uint32) []wire.Frame {
	b := body.Answer(r.id, body.AnswerSize(r.body))
	var out []wire.Frame
	n := (len(b) + wire.MaxBody - 1) / wire.MaxBody
	for i := range n {
		out = append(out, wire.Frame{
			Kind: wire.KindAnswer, ID: r.id, Attempt: attempt, Part: uint16(i), Parts: uint16(n),
			Body: b[i*wire.MaxBody : min((i+1)*wire.MaxBody, len(b))],
		})
	}
	return out
}

// Guards against a request that is reported as done before all parts of its answer
// arrived, and against parts that are joined in the order of arrival.
func TestReassembly(t *testing.T) {
	rnd := rand.New(rand.NewPCG(7, 8))
	for range 200 {
		r := newRequest(false, 1+rnd.IntN(20*wire.MaxBody))
		frames := answerFrames(r, 1)
		n := len(frames)
		frames = append(frames, frames[:n-1]...) // repeated parts
		rnd.Shuffle(len(frames), func(i, j int) { frames[i], frames[j] = frames[j], frames[i] })
		seen := map[uint16]bool{}
		for i := range frames {
			res, _ := r.receive(&frames[i])
			seen[frames[i].Part] = true
			assert.Equal(t, res != nil, len(seen) == n)
			if res != nil {
				assert.Assert(t, res.AnswerCorrect && res.Outcome == wire.OutcomeDone)
				break
			}
		}
	}
}

// Guards against an answer that is assembled from parts of different attempts.
func TestReassemblyAttempts(t *testing.T) {
	r := newRequest(false, 2*wire.MaxBody)
	one, two := answerFrames(r, 1), answerFrames(r, 2)
	res, _ := r.receive(&one[0])
	assert.Assert(t, res == nil)
	res, _ = r.receive(&two[1])
	assert.Assert(t, res == nil)
	res, _ = r.receive(&two[0])
	assert.Assert(t, res != nil && res.AnswerCorrect)
	bad := newRequest(false, 10)
	wrong := answerFrames(bad, 1)
	wrong[0].Body = bytes.Repeat([]byte{1}, 10)
	res, _ = bad.receive(&wrong[0])
	assert.Assert(t, res != nil && !res.AnswerCorrect)
}

func refusal(reason wire.Reason, outcome wire.Outcome, ticket string) *wire.Frame {
	return &wire.Frame{Kind: wire.KindRefusal, Reason: reason, Outcome: outcome, Token: []byte(ticket)}
}

// Guards against use of a second ticket, with which the request could run twice.
func TestFirstTicketOnly(t *testing.T) {
	r := newRequest(true, 0)
	r.frame(now)
	res, sendNow := r.receive(refusal(wire.ReasonTicketNeeded, wire.OutcomeNotRun, "a"))
	assert.Assert(t, res == nil && sendNow)
	assert.Equal(t, string(r.frame(now).Token), "a")
	res, sendNow = r.receive(refusal(wire.ReasonTicketNeeded, wire.OutcomeNotRun, "b"))
	assert.Assert(t, res == nil && !sendNow)
	assert.Equal(t, string(r.frame(now).Token), "a")
}

// Guards against a request that is reported as not run while another of its
// frames may have run.
func TestOutcome(t *testing.T) {
	notRun := func(reason wire.Reason) *wire.Frame { return refusal(reason, wire.OutcomeNotRun, "") }
	for name, tc := range map[string]struct {
		once, ticket bool
		frames       int
		in           *wire.Frame
		want         wire.Outcome // OutcomeNone if the request is still in progress
	}{
		"repeatable sent once":           {false, false, 1, notRun(wire.ReasonOverloaded), wire.OutcomeNotRun},
		"repeatable sent twice":          {false, false, 2, notRun(wire.ReasonOverloaded), wire.OutcomeNone},
		"repeatable without an answer":   {false, false, 1, nil, wire.OutcomeUnknown},
		"once, stopping before ticket":   {true, false, 1, notRun(wire.ReasonStopping), wire.OutcomeNone},
		"once, table full":               {true, false, 2, notRun(wire.ReasonTableFull), wire.OutcomeNotRun},
		"once, late refusal, has ticket": {true, true, 1, notRun(wire.ReasonTableFull), wire.OutcomeNone},
		"once, refused by the owner":     {true, true, 1, notRun(wire.ReasonServerShed), wire.OutcomeNotRun},
		"once, owner gone":               {true, true, 1, refusal(wire.ReasonOwnerGone, wire.OutcomeUnknown, ""), wire.OutcomeUnknown},
		"once, never sent with ticket":   {true, false, 3, nil, wire.OutcomeNotRun},
		"once, no answer to the ticket":  {true, true, 1, nil, wire.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRequest(tc.once, 0)
			if tc.ticket {
				r.ticket = []byte("a")
			}
			for range tc.frames {
				r.frame(now)
			}
			res := r.timeoutResult()
			if tc.in != nil {
				res, _ = r.receive(tc.in)
			}
			got := wire.OutcomeNone
			if res != nil {
				got = res.Outcome
			}
			assert.Equal(t, got, tc.want)
		})
	}
}

// Guards against broken flows and gaps in the pushes that are not detected, and
// against late or repeated frames that count as gaps.
func TestFlow(t *testing.T) {
	fl := &Flow{ID: 1}
	in := func(kind wire.Kind, token string, b []byte) {
		fl.receive(now, &wire.Frame{Kind: kind, Token: []byte(token), Body: b, Reason: wire.ReasonServerGone})
	}
	assert.Equal(t, fl.frame(time.Second).Kind, wire.KindOpen)
	in(wire.KindOpened, "a", nil)
	in(wire.KindOpened, "b", nil)
	// A retransmitted open frame reached another server. Its token must be ignored.
	fl.receive(now, &wire.Frame{Kind: wire.KindOpened, Token: []byte("c"), Server: 9})
	for range 3 {
		assert.Equal(t, string(fl.frame(0).Token), "b")
	}
	for _, seq := range []uint64{3, 1, 1} {
		in(wire.KindData, "", body.Data(body.Keepalive, seq))
	}
	assert.Equal(t, fl.Echoed, uint64(2))
	for _, seq := range []uint64{1, 4, 3, 3} {
		in(wire.KindData, "", body.Data(body.Push, seq))
	}
	assert.Equal(t, fl.Gaps, uint64(1))
	fl.detectStall(now.Add(time.Second), time.Second)
	assert.Equal(t, fl.Broken, "")
	stalled := *fl
	stalled.detectStall(now.Add(time.Second+1), time.Second)
	assert.Equal(t, stalled.Broken, CauseStalled)
	in(wire.KindClosed, "", nil)
	assert.Equal(t, fl.Broken, "serverGone")
}

// Guards against Report.Check passing although a result contradicts the records of
// the servers.
func TestCheck(t *testing.T) {
	sent := body.Request(0, []byte("x"))
	for name, tc := range map[string]struct {
		res    Result
		runs   [2]int // on two servers
		body   []byte
		misses uint64
		fails  int
	}{
		"done":                  {Result{Once: true, Outcome: wire.OutcomeDone, AnswerCorrect: true}, [2]int{1, 0}, sent, 0, 0},
		"done twice":            {Result{Once: true, Outcome: wire.OutcomeDone, AnswerCorrect: true}, [2]int{1, 1}, sent, 0, 1},
		"done but never ran":    {Result{Outcome: wire.OutcomeDone, AnswerCorrect: true}, [2]int{}, sent, 0, 1},
		"done with part":        {Result{Outcome: wire.OutcomeDone}, [2]int{1, 0}, sent, 0, 1},
		"repeatable ran twice":  {Result{Outcome: wire.OutcomeDone, AnswerCorrect: true}, [2]int{1, 1}, sent, 0, 0},
		"unknown ran twice":     {Result{Once: true, Outcome: wire.OutcomeUnknown}, [2]int{0, 2}, sent, 0, 1},
		"not run":               {Result{Outcome: wire.OutcomeNotRun}, [2]int{}, sent, 0, 0},
		"not run but ran":       {Result{Outcome: wire.OutcomeNotRun}, [2]int{0, 1}, sent, 0, 1},
		"ran with another body": {Result{Outcome: wire.OutcomeDone, AnswerCorrect: true}, [2]int{1, 0}, []byte("y"), 0, 1},
		"misrouted":             {Result{Outcome: wire.OutcomeUnknown}, [2]int{}, sent, 2, 1},
	} {
		t.Run(name, func(t *testing.T) {
			rep := NewReport()
			tc.res.ID, tc.res.Body = wire.RequestID{9}, sent
			rep.Add(tc.res)
			var servers []server.Report
			for _, n := range tc.runs {
				s := server.Report{}
				if n > 0 {
					s.Records = []server.Record{{ID: hex.EncodeToString(tc.res.ID[:]), Runs: n, Body: tc.body}}
				}
				servers = append(servers, s)
			}
			servers[0].Misrouted = tc.misses
			rep.Check(servers)
			assert.Equal(t, rep.Failed, tc.fails, "%v", rep.Failures)
		})
	}
}

// Guards against a flow that counts as broken although its caller closed it: if the
// close frame overtakes the last keepalive, that keepalive gets a closed frame with
// the reason unknownFlow.
func TestClosedByCaller(t *testing.T) {
	for _, closing := range []bool{false, true} {
		fl := &Flow{ID: 1}
		fl.receive(now, &wire.Frame{Kind: wire.KindOpened, Token: []byte("t")})
		fl.closedByCaller = closing
		fl.receive(now, &wire.Frame{Kind: wire.KindClosed, Reason: wire.ReasonUnknownFlow})
		fl.detectStall(now.Add(time.Hour), time.Second)
		assert.Equal(t, fl.Broken != "", !closing)
	}
}
