package reqs_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ebonypaddle/pkg/reqs"
	"ebonypaddle/pkg/wire"
)

func TestMain(m *testing.M) {
	for k, v := range map[string]string{"rapid.seed": "11", "rapid.checks": "300", "rapid.steps": "150", "rapid.nofailfile": "true"} {
		if err := flag.Set(k, v); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// message is in the network. inst is the instance that it goes to, or that
// sent it to a server.
type message struct {
	to   wire.Target
	inst int
	back bool // from a server to inst
	send wire.Send
}

// world runs several tables against fake servers and callers.
type world struct {
	now      time.Time
	tables   []*reqs.Table
	placers  []*placer
	incs     []uint64
	held     [][]message // sends of a paused instance, nil when it runs
	pausing  bool
	pool     []message
	requests []*request
	lastRun  int
	out      wire.Outbox
	tally    map[wire.Outcome]int
}

func (w *world) boot(i int) {
	w.incs[i]++
	w.tables[i], w.placers[i] = newTable(i, w.incs[i])
}

// flush moves what instance i sent into the network, or holds it back.
func (w *world) flush(i int) {
	if w.pausing && w.held[i] == nil {
		w.held[i] = []message{}
	}
	for _, s := range w.out.Sends {
		m := message{to: s.Target, inst: i, send: s}
		if w.held[i] != nil {
			w.held[i] = append(w.held[i], m)
		} else {
			w.pool = append(w.pool, m)
		}
	}
	w.out.Reset()
}

func (w *world) tick(d time.Duration) {
	w.now = w.now.Add(d)
	for i, tb := range w.tables {
		if w.held[i] == nil {
			tb.Tick(w.now, &w.out)
			w.flush(i)
		}
	}
	for _, r := range w.requests {
		if r.outcome == wire.OutcomeNone && w.now.After(r.deadline.Add(reqs.CallerGrace)) {
			r.outcome = wire.OutcomeUnknown
		}
	}
}

// toInstance hands a message to instance i; a paused instance loses it.
func (w *world) toInstance(i int, m message) {
	if w.held[i] != nil {
		return
	}
	tb, p := w.tables[i], m.send.Packet
	switch body := m.send.Peer.Body.(type) {
	case reqs.Relay:
		tb.HandleRelay(w.now, addr(1, m.inst), body, &w.out)
	case reqs.RelayAck:
		tb.HandleRelayAck(addr(1, m.inst), body)
	default:
		switch {
		case m.back:
			tb.HandleAnswer(w.now, &p, &w.out)
		case p.Frame.Kind == wire.KindCancel:
			tb.HandleCancel(w.now, service, &p, &w.out)
		default:
			tb.HandleRequest(w.now, service, &p, &w.out)
		}
	}
	w.flush(i)
}

// serve is a backend server: it discards late frames, sheds, or runs.
func (w *world) serve(m message, shed bool, parts int) {
	p := m.send.Packet
	if p.Frame.Kind != wire.KindRequest || !w.now.Before(p.Frame.DeadlineTime()) {
		return
	}
	p.Frame.Deadline, p.Frame.Boot, p.Frame.Parts = 0, 1, uint16(parts)
	back := message{to: wire.ToServer, inst: m.inst, back: true}
	if shed {
		p.Frame.Kind, p.Frame.Flags = wire.KindRefusal, wire.FlagShed
		back.send.Packet = p
		w.pool = append(w.pool, back)
		return
	}
	var index int
	if _, err := fmt.Sscan(string(p.Frame.Body), &index); err != nil {
		panic(err)
	}
	w.requests[index].runs++
	w.lastRun++
	p.Frame.Kind = wire.KindAnswer
	for i := range parts {
		p.Frame.Part, p.Frame.Body = uint16(i), fmt.Appendf(nil, "%d/%d/%d", index, w.lastRun, i)
		back.send.Packet = p
		w.pool = append(w.pool, back)
	}
}

// deliver takes message k out of the network unless keep is set. at is the
// instance that the fabric chooses.
func (w *world) deliver(t *rapid.T, k, at int, keep, shed bool, parts int) {
	m := w.pool[k]
	if !keep || m.back || m.to == wire.ToServer {
		w.pool[k] = w.pool[len(w.pool)-1]
		w.pool = w.pool[:len(w.pool)-1]
	}
	switch {
	case m.back:
		w.toInstance(m.inst, m)
	case m.to == wire.ToServer:
		w.serve(m, shed, parts)
	case m.to == wire.ToPeer:
		for i, tb := range w.tables {
			if tb.Self == m.send.To {
				w.toInstance(i, m)
			}
		}
	case m.inst < 0:
		w.toInstance(at, m)
	default:
		f := &m.send.Packet.Frame
		for _, r := range w.requests {
			if r.caller == m.send.Packet.Caller && r.frame.ID == f.ID {
				if msg := r.receive(f); msg != "" {
					t.Fatal(msg)
				}
			}
		}
	}
}

// fromCaller puts a frame of a caller into the network.
func (w *world) fromCaller(r *request, kind wire.Kind) {
	p := r.packet(w.now)
	p.Frame.Kind = kind
	w.pool = append(w.pool, message{to: wire.ToCaller, inst: -1, send: wire.Send{Packet: p}})
}

// check asserts what must hold at every step.
func (w *world) check(t *rapid.T) {
	for _, r := range w.requests {
		if r.once() && r.runs > 1 {
			t.Fatalf("request %d ran %d times", r.index, r.runs)
		}
		if r.runs > 0 && (r.denied || r.outcome == wire.OutcomeNotRun) {
			t.Fatalf("request %d ran but was reported as notRun", r.index)
		}
	}
}

// finish lets everything end and checks that nothing is left.
func (w *world) finish(t *rapid.T) {
	for i := range w.tables {
		w.pool, w.held[i] = append(w.pool, w.held[i]...), nil
	}
	w.tick(reqTime + reqs.CallerGrace)
	w.tick(reqs.CallerGrace)
	for i, tb := range w.tables {
		s := tb.Size()
		assert.Equal(t, s.Running+s.Relays+s.Pending+w.placers[i].open, 0, "after the last deadline: %+v", s)
	}
	for len(w.pool) > 0 {
		w.deliver(t, 0, 0, false, false, 2)
	}
	w.check(t)
	w.tick(reqTime)
	w.tick(ticketTime + reqTime)
	for _, tb := range w.tables {
		assert.Equal(t, tb.Size(), reqs.Size{})
	}
	for _, r := range w.requests {
		assert.Assert(t, r.outcome != wire.OutcomeNone, "request %d has no outcome", r.index)
		w.tally[r.outcome]++
	}
}

// actions are the steps that rapid draws from. Skip means that a step does not
// apply now; rapid then draws another one.
func (w *world) actions(t *rapid.T) map[string]func(*rapid.T) {
	n := func(name string, m int) int { return rapid.IntRange(0, m-1).Draw(t, name) }
	someRequest := func() *request {
		if len(w.requests) == 0 {
			t.Skip("no request")
		}
		return w.requests[n("request", len(w.requests))]
	}
	deliver := func(keep bool) {
		if len(w.pool) == 0 {
			t.Skip("no message")
		}
		k, at := n("message", len(w.pool)), n("instance", len(w.tables))
		w.deliver(t, k, at, keep, n("shed", 5) == 0, 1+n("parts", 3))
	}
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) { w.check(t) },
		"request": func(*rapid.T) {
			i := len(w.requests)
			r := &request{index: i, caller: addr(3, i%3), deadline: w.now.Add(reqTime), parts: map[string][]string{}}
			// Requests of different callers share identifiers.
			r.frame = wire.Frame{Kind: wire.KindRequest, ID: wire.RequestID{byte(i / 3)}, Body: fmt.Append(nil, i)}
			if n("once", 3) > 0 {
				r.frame.Flags = wire.FlagOnce
			}
			w.requests = append(w.requests, r)
			w.fromCaller(r, wire.KindRequest)
		},
		"repeat":    func(*rapid.T) { w.fromCaller(someRequest(), wire.KindRequest) },
		"cancel":    func(*rapid.T) { w.fromCaller(someRequest(), wire.KindCancel) },
		"deliver":   func(*rapid.T) { deliver(false) },
		"deliver2":  func(*rapid.T) { deliver(false) },
		"deliver3":  func(*rapid.T) { deliver(false) },
		"duplicate": func(*rapid.T) { deliver(true) },
		// A pause between check and send: the instance handles the message,
		// and what it sends waits until it resumes.
		"pause": func(*rapid.T) {
			w.pausing = true
			defer func() { w.pausing = false }()
			deliver(false)
		},
		"resume": func(*rapid.T) {
			i := n("instance", len(w.tables))
			w.pool, w.held[i] = append(w.pool, w.held[i]...), nil
		},
		"crash": func(*rapid.T) {
			if i := n("instance", len(w.tables)); n("sure", 4) == 0 {
				w.held[i] = nil
				w.boot(i)
			}
		},
		"lose": func(*rapid.T) {
			if len(w.pool) > 0 && n("sure", 2) == 0 {
				w.pool = w.pool[1:]
			}
		},
		"advance": func(*rapid.T) { w.tick(time.Duration(n("ms", 300)) * time.Millisecond) },
	}
}

// Any order of delivery, loss, duplication, pause and crash must keep the
// promises to callers.
func TestStateMachine(t *testing.T) {
	tally := map[wire.Outcome]int{}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 4).Draw(t, "instances")
		w := &world{now: start, tables: make([]*reqs.Table, n), placers: make([]*placer, n), incs: make([]uint64, n), held: make([][]message, n), tally: tally}
		for i := range n {
			w.boot(i)
		}
		t.Repeat(w.actions(t))
		w.finish(t)
	})
	t.Log("outcomes:", tally)
	for _, o := range []wire.Outcome{wire.OutcomeDone, wire.OutcomeNotRun, wire.OutcomeUnknown} {
		assert.Assert(t, tally[o] > 20, "only %d requests ended as %s", tally[o], o)
	}
}
