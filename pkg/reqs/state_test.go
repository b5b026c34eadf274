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

// TestMain sets a fixed seed and the size of the rapid tests, so that every run
// has the same result.
func TestMain(m *testing.M) {
	for k, v := range map[string]string{"rapid.seed": "11", "rapid.checks": "300", "rapid.steps": "150", "rapid.nofailfile": "true"} {
		if err := flag.Set(k, v); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// message is a packet or control message in transit. instance is the instance
// that sent it, or that it goes to if it comes from a server. It is -1 for a
// message of a caller, which may reach any instance.
type message struct {
	to       wire.Target
	instance int
	reply    bool // from a server to instance
	send     wire.Send
}

// simulation runs the tables of several instances with simulated servers, callers
// and network.
type simulation struct {
	now          time.Time
	tables       []*reqs.Table
	placers      []*fakePlacer
	incarnations []uint64
	heldSends    [][]message // sends of each paused instance, nil if it runs
	pausing      bool
	inTransit    []message
	requests     []*request
	totalRuns    int
	out          wire.Outbox
	outcomes     map[wire.Outcome]int
}

// restart starts a new process of instance i, with an empty table.
func (sim *simulation) restart(i int) {
	sim.incarnations[i]++
	sim.tables[i], sim.placers[i] = newTable(i, sim.incarnations[i])
}

// flush moves the sends of instance i into the network, or holds them back if the
// instance is paused.
func (sim *simulation) flush(i int) {
	if sim.pausing && sim.heldSends[i] == nil {
		sim.heldSends[i] = []message{}
	}
	for _, s := range sim.out.Sends {
		m := message{to: s.Target, instance: i, send: s}
		if sim.heldSends[i] != nil {
			sim.heldSends[i] = append(sim.heldSends[i], m)
		} else {
			sim.inTransit = append(sim.inTransit, m)
		}
	}
	sim.out.Reset()
}

// tick advances the clock by d and runs the timers of instances and callers.
func (sim *simulation) tick(d time.Duration) {
	sim.now = sim.now.Add(d)
	for i, tb := range sim.tables {
		if sim.heldSends[i] == nil {
			tb.Tick(sim.now, &sim.out)
			sim.flush(i)
		}
	}
	for _, r := range sim.requests {
		if r.outcome == wire.OutcomeNone && sim.now.After(r.deadline.Add(reqs.CallerGrace)) {
			r.outcome = wire.OutcomeUnknown
		}
	}
}

// deliverToInstance passes a message to instance i. A paused instance loses it.
func (sim *simulation) deliverToInstance(i int, m message) {
	if sim.heldSends[i] != nil {
		return
	}
	tb, p := sim.tables[i], m.send.Packet
	switch body := m.send.Peer.Body.(type) {
	case reqs.Relay:
		tb.HandleRelay(sim.now, addr(1, m.instance), body, &sim.out)
	case reqs.RelayAck:
		tb.HandleRelayAck(addr(1, m.instance), body)
	default:
		switch {
		case m.reply:
			tb.HandleAnswer(sim.now, &p, &sim.out)
		case p.Frame.Kind == wire.KindCancel:
			tb.HandleCancel(sim.now, service, &p, &sim.out)
		default:
			tb.HandleRequest(sim.now, service, &p, &sim.out)
		}
	}
	sim.flush(i)
}

// serve handles a frame at a backend server, which discards late frames, sheds
// the request, or runs it.
func (sim *simulation) serve(m message, shed bool, parts int) {
	p := m.send.Packet
	if p.Frame.Kind != wire.KindRequest || !sim.now.Before(p.Frame.DeadlineTime()) {
		return
	}
	p.Frame.Deadline, p.Frame.Boot, p.Frame.Parts = 0, 1, uint16(parts)
	reply := message{to: wire.ToServer, instance: m.instance, reply: true}
	if shed {
		p.Frame.Kind, p.Frame.Flags = wire.KindRefusal, wire.FlagShed
		reply.send.Packet = p
		sim.inTransit = append(sim.inTransit, reply)
		return
	}
	var index int
	if _, err := fmt.Sscan(string(p.Frame.Body), &index); err != nil {
		panic(err)
	}
	sim.requests[index].runs++
	sim.totalRuns++
	p.Frame.Kind = wire.KindAnswer
	for i := range parts {
		p.Frame.Part, p.Frame.Body = uint16(i), fmt.Appendf(nil, "%d/%d/%d", index, sim.totalRuns, i)
		reply.send.Packet = p
		sim.inTransit = append(sim.inTransit, reply)
	}
}

// deliver delivers message k. It stays in the network, to be delivered again, if
// keep is set and it does not go to or come from a server. A message of a caller
// goes to instance at.
func (sim *simulation) deliver(t *rapid.T, k, at int, keep, shed bool, parts int) {
	m := sim.inTransit[k]
	if !keep || m.reply || m.to == wire.ToServer {
		sim.inTransit[k] = sim.inTransit[len(sim.inTransit)-1]
		sim.inTransit = sim.inTransit[:len(sim.inTransit)-1]
	}
	switch {
	case m.reply:
		sim.deliverToInstance(m.instance, m)
	case m.to == wire.ToServer:
		sim.serve(m, shed, parts)
	case m.to == wire.ToPeer:
		for i, tb := range sim.tables {
			if tb.Self == m.send.To {
				sim.deliverToInstance(i, m)
			}
		}
	case m.instance < 0:
		sim.deliverToInstance(at, m)
	default:
		f := &m.send.Packet.Frame
		for _, r := range sim.requests {
			if r.caller == m.send.Packet.Caller && r.frame.ID == f.ID {
				if msg := r.receive(f); msg != "" {
					t.Fatal(msg)
				}
			}
		}
	}
}

// sendFromCaller puts a frame of a caller into the network.
func (sim *simulation) sendFromCaller(r *request, kind wire.Kind) {
	p := r.packet(sim.now)
	p.Frame.Kind = kind
	sim.inTransit = append(sim.inTransit, message{to: wire.ToCaller, instance: -1, send: wire.Send{Packet: p}})
}

// checkOutcomes checks after each step that no request ran more often than
// allowed or was reported as notRun although it ran.
func (sim *simulation) checkOutcomes(t *rapid.T) {
	for _, r := range sim.requests {
		if r.atMostOnce() && r.runs > 1 {
			t.Fatalf("request %d ran %d times", r.index, r.runs)
		}
		if r.runs > 0 && (r.reportedNotRun || r.outcome == wire.OutcomeNotRun) {
			t.Fatalf("request %d ran but was reported as notRun", r.index)
		}
	}
}

// finishAll runs until all requests and tickets have ended, and checks that every
// table is empty and every request has an outcome.
func (sim *simulation) finishAll(t *rapid.T) {
	for i := range sim.tables {
		sim.inTransit, sim.heldSends[i] = append(sim.inTransit, sim.heldSends[i]...), nil
	}
	sim.tick(requestTime + reqs.CallerGrace)
	sim.tick(reqs.CallerGrace)
	for i, tb := range sim.tables {
		s := tb.Size()
		assert.Equal(t, s.Running+s.Relays+s.Pending+sim.placers[i].unfinished, 0, "after the last deadline: %+v", s)
	}
	for len(sim.inTransit) > 0 {
		sim.deliver(t, 0, 0, false, false, 2)
	}
	sim.checkOutcomes(t)
	sim.tick(requestTime)
	sim.tick(ticketTime + requestTime)
	for _, tb := range sim.tables {
		assert.Equal(t, tb.Size(), reqs.Size{})
	}
	for _, r := range sim.requests {
		assert.Assert(t, r.outcome != wire.OutcomeNone, "request %d has no outcome", r.index)
		sim.outcomes[r.outcome]++
	}
}

// actions returns the steps that rapid draws from. A step calls Skip if it is not
// possible at the moment, and rapid then draws another one.
func (sim *simulation) actions(t *rapid.T) map[string]func(*rapid.T) {
	draw := func(name string, m int) int { return rapid.IntRange(0, m-1).Draw(t, name) }
	drawRequest := func() *request {
		if len(sim.requests) == 0 {
			t.Skip("no request")
		}
		return sim.requests[draw("request", len(sim.requests))]
	}
	deliver := func(keep bool) {
		if len(sim.inTransit) == 0 {
			t.Skip("no message")
		}
		k, at := draw("message", len(sim.inTransit)), draw("instance", len(sim.tables))
		sim.deliver(t, k, at, keep, draw("shed", 5) == 0, 1+draw("parts", 3))
	}
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) { sim.checkOutcomes(t) },
		"request": func(*rapid.T) {
			i := len(sim.requests)
			r := &request{index: i, caller: addr(3, i%3), deadline: sim.now.Add(requestTime), parts: map[string][]string{}}
			// Requests of different callers have the same identifiers.
			r.frame = wire.Frame{Kind: wire.KindRequest, ID: wire.RequestID{byte(i / 3)}, Body: fmt.Append(nil, i)}
			if draw("once", 3) > 0 {
				r.frame.Flags = wire.FlagOnce
			}
			sim.requests = append(sim.requests, r)
			sim.sendFromCaller(r, wire.KindRequest)
		},
		"repeat": func(*rapid.T) { sim.sendFromCaller(drawRequest(), wire.KindRequest) },
		"cancel": func(*rapid.T) { sim.sendFromCaller(drawRequest(), wire.KindCancel) },
		// Three entries make deliveries more likely than the other steps.
		"deliver":   func(*rapid.T) { deliver(false) },
		"deliver2":  func(*rapid.T) { deliver(false) },
		"deliver3":  func(*rapid.T) { deliver(false) },
		"duplicate": func(*rapid.T) { deliver(true) },
		// The instance pauses between check and send. It handles the message,
		// and its sends are held back until it resumes.
		"pause": func(*rapid.T) {
			sim.pausing = true
			defer func() { sim.pausing = false }()
			deliver(false)
		},
		"resume": func(*rapid.T) {
			i := draw("instance", len(sim.tables))
			sim.inTransit, sim.heldSends[i] = append(sim.inTransit, sim.heldSends[i]...), nil
		},
		"crash": func(*rapid.T) {
			if i := draw("instance", len(sim.tables)); draw("sure", 4) == 0 {
				sim.heldSends[i] = nil
				sim.restart(i)
			}
		},
		"lose": func(*rapid.T) {
			if len(sim.inTransit) > 0 && draw("sure", 2) == 0 {
				sim.inTransit = sim.inTransit[1:]
			}
		},
		"advance": func(*rapid.T) { sim.tick(time.Duration(draw("ms", 300)) * time.Millisecond) },
	}
}

// Guards against requests that run more than once, or run after they were
// reported as notRun. Frames are delivered in any order, lost and duplicated, and
// instances pause and crash.
func TestStateMachine(t *testing.T) {
	outcomes := map[wire.Outcome]int{}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 4).Draw(t, "instances")
		sim := &simulation{now: startTime, tables: make([]*reqs.Table, n), placers: make([]*fakePlacer, n), incarnations: make([]uint64, n), heldSends: make([][]message, n), outcomes: outcomes}
		for i := range n {
			sim.restart(i)
		}
		t.Repeat(sim.actions(t))
		sim.finishAll(t)
	})
	t.Log("outcomes:", outcomes)
	for _, o := range []wire.Outcome{wire.OutcomeDone, wire.OutcomeNotRun, wire.OutcomeUnknown} {
		assert.Assert(t, outcomes[o] > 20, "only %d requests ended as %s", outcomes[o], o)
	}
}
