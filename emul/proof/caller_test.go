package proof_test

import (
	"bytes"
	"encoding/binary"
	"maps"
	"net/netip"
	"slices"
	"time"

	"ebonypaddle/emul/body"
	"ebonypaddle/emul/caller"
	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/reqs"
	"ebonypaddle/pkg/wire"
)

// flow is the caller's end of a long-lived flow. It repeats each keepalive until
// the server's echo arrives, and then sends the next one.
type flow struct {
	id              uint64
	caller, service netip.AddrPort
	token           []byte
	server          *backendServer
	opened          bool
	startedAt       time.Time
	seq             uint64
	lastEcho        time.Time
}

// packet returns a packet of the flow; a data packet carries the next keepalive.
func (fl *flow) packet(kind wire.Kind) wire.Packet {
	f := wire.Frame{Kind: kind, Flow: fl.id, Token: fl.token}
	if kind == wire.KindData {
		f.Body = body.Data(body.Keepalive, fl.seq)
	}
	return wire.Packet{Caller: fl.caller, Service: fl.service, Frame: f}
}

// addFlows starts n flows.
func (sim *simulation) addFlows(n int) {
	for range n {
		fl := &flow{}
		sim.flows = append(sim.flows, fl)
		fl.restart(sim)
	}
}

// restart replaces the flow by a new one with a random identifier.
func (fl *flow) restart(sim *simulation) {
	id := sim.rnd.Uint64()
	*fl = flow{
		id: id, caller: testAddr(7, 1+int(id%200)), service: testAddr(8, 1+int(id>>8)%2),
		startedAt: sim.Now, lastEcho: sim.Now,
	}
}

// mayEnd reports whether the flow may end: it has no server yet, its server
// died, or operators took the server or its failure domain out of service.
func (fl *flow) mayEnd(sim *simulation) bool {
	srv := fl.server
	if srv == nil {
		return true
	}
	record := sim.platform.latest().Servers[srv.name]
	domain := sim.platform.latest().Domains[srv.domain]
	return srv.stopped || !srv.diedAt.Before(fl.startedAt) || record.Mark == conf.MarkRemoved || record.ID != srv.ID || domain.Mark == conf.MarkOut || !domain.Since.Before(fl.startedAt)
}

// canBeServed reports whether an instance in the failure domain of the server is
// able to serve the flow: it runs with a correct clock, has settings, and is
// older than 5 s. Time during which none is able does not count as a stall.
func (fl *flow) canBeServed(sim *simulation) bool {
	for _, inst := range sim.instances {
		working := inst.up && !inst.paused && inst.clockSkew == 0 && inst.core.Replica.Rev() > 0 && sim.Now.Sub(inst.startedAt) > 5*time.Second
		if working && inst.domain == fl.server.domain {
			return true
		}
	}
	return false
}

// step sends the flow's next packet, or replaces a flow that ended or stalled.
func (fl *flow) step(sim *simulation) {
	switch {
	case !fl.opened:
		sim.sendFromCaller(fl.packet(wire.KindOpen))
	case fl.mayEnd(sim):
		if sim.Now.Sub(fl.lastEcho) > time.Second {
			sim.counts.ended++
			fl.restart(sim)
			return
		}
		sim.sendFromCaller(fl.packet(wire.KindData))
	default:
		if !fl.canBeServed(sim) {
			fl.lastEcho = sim.Now
		}
		if sim.Now.Sub(fl.lastEcho) > stallTime {
			sim.errorf("flow %x on server %s stalled", fl.id, fl.server.name)
			sim.counts.broken++
			fl.restart(sim)
			return
		}
		sim.sendFromCaller(fl.packet(wire.KindData))
	}
}

func (fl *flow) receive(sim *simulation, f *wire.Frame) {
	if f.Kind == wire.KindOpened && !fl.opened {
		fl.opened, fl.startedAt, fl.lastEcho = true, sim.Now, sim.Now
		if fl.server = sim.serverOf(f); fl.server == nil {
			sim.errorf("flow %x opened on unknown server %d", fl.id, f.Server)
			fl.restart(sim)
			return
		}
		sim.counts.opened++
	}
	// A repeated open frame can open a second flow on another server, whose
	// frames are ignored.
	if f.Server != 0 && fl.opened && (f.Server != fl.server.ID || f.Generation != fl.server.Generation) {
		return
	}
	if len(f.Token) > 0 {
		fl.token = f.Token
	}
	switch f.Kind {
	case wire.KindData:
		if k, seq, ok := body.ParseData(f.Body); ok && k == body.Keepalive && seq == fl.seq {
			fl.seq, fl.lastEcho = fl.seq+1, sim.Now
		}
	case wire.KindClosed:
		if !fl.opened {
			return
		}
		if fl.mayEnd(sim) {
			sim.counts.ended++
		} else {
			sim.errorf("flow %x on server %s closed: %s", fl.id, fl.server.name, f.Reason)
			sim.counts.broken++
		}
		fl.restart(sim)
	}
}

// serverOf returns the server whose identity a frame carries, or nil.
func (sim *simulation) serverOf(f *wire.Frame) *backendServer {
	for _, srv := range sim.servers {
		if srv.ID == f.Server && srv.Generation == f.Generation {
			return srv
		}
	}
	return nil
}

// request is a request as its caller sees it. It follows the rules for callers
// in the package comment of reqs.
type request struct {
	id              wire.RequestID
	once            bool
	caller, service netip.AddrPort
	body            []byte
	deadline        time.Time
	sentAt          time.Time
	ticket          []byte
	parts           map[partsKey]*caller.Reassembler
	answer          []byte
	outcome         wire.Outcome
	reason          wire.Reason
}

// partsKey identifies the answer that a part belongs to. Only parts with equal
// keys are joined.
type partsKey struct {
	attempt    uint32
	server     conf.ServerID
	generation uint32
	boot       uint64
}

// startRequest sends a new request. One in four has an answer of several parts.
func (sim *simulation) startRequest(once bool) {
	r := &request{
		once: once, caller: testAddr(7, 1+sim.rnd.IntN(200)), service: testAddr(8, 1+sim.rnd.IntN(2)),
		deadline: sim.Now.Add(2 * time.Second), parts: map[partsKey]*caller.Reassembler{},
	}
	binary.BigEndian.PutUint64(r.id[:8], sim.rnd.Uint64())
	binary.BigEndian.PutUint64(r.id[8:], sim.rnd.Uint64())
	size := 100
	if sim.rnd.IntN(4) == 0 {
		size = 3000
	}
	r.body = body.Request(size, r.id[:4])
	sim.requests[r.id] = r
	r.send(sim)
}

func (r *request) send(sim *simulation) {
	r.sentAt = sim.Now
	f := wire.Frame{Kind: wire.KindRequest, ID: r.id, Token: r.ticket, Body: r.body, Timeout: uint32(max(r.deadline.Sub(sim.Now).Milliseconds(), 1))}
	if r.once {
		f.Flags = wire.FlagOnce
	}
	sim.sendFromCaller(wire.Packet{Caller: r.caller, Service: r.service, Frame: f})
}

// sendWithTicket sends the request with its ticket, at a random time within
// maxTicketDelay.
func (r *request) sendWithTicket(sim *simulation) {
	if sim.maxTicketDelay == 0 {
		r.send(sim)
		return
	}
	wait := sim.randomDuration(0, sim.maxTicketDelay)
	r.sentAt, r.deadline = sim.Now.Add(wait), r.deadline.Add(wait)
	sim.After(wait, func() { r.send(sim) })
}

// step repeats an unanswered request every 300 ms until its deadline, and
// reports it as unknown at the deadline plus reqs.CallerGrace.
func (r *request) step(sim *simulation) {
	switch {
	case sim.Now.After(r.deadline.Add(reqs.CallerGrace)):
		r.finish(sim, wire.OutcomeUnknown)
	case sim.Now.Before(r.deadline) && sim.Now.Sub(r.sentAt) >= 300*time.Millisecond:
		r.send(sim)
	}
}

func (r *request) receive(sim *simulation, f *wire.Frame) {
	switch {
	case f.Kind == wire.KindAnswer:
		k := partsKey{f.Attempt, f.Server, f.Generation, f.Boot}
		if r.parts[k] == nil {
			r.parts[k] = &caller.Reassembler{}
		}
		if answer, ok := r.parts[k].Add(f.Part, f.Parts, f.Body); ok {
			r.answer = answer
			r.finish(sim, wire.OutcomeDone)
		}
	case f.Kind != wire.KindRefusal:
	case f.Reason == wire.ReasonTicketNeeded:
		// The network may duplicate this refusal, so only the first one counts.
		if r.once && r.ticket == nil && len(f.Token) > 0 {
			r.ticket = f.Token
			r.sendWithTicket(sim)
		}
	case r.once && r.ticket != nil && f.Outcome == wire.OutcomeNotRun && bytes.Equal(f.Token, r.ticket):
		r.reason = f.Reason
		r.finish(sim, wire.OutcomeNotRun)
	default:
		r.reason = f.Reason
	}
}

func (r *request) finish(sim *simulation, o wire.Outcome) {
	r.outcome = o
	delete(sim.requests, r.id)
	sim.finished = append(sim.finished, r)
	switch o {
	case wire.OutcomeDone:
		sim.counts.done++
	case wire.OutcomeNotRun:
		sim.counts.notRun++
	default:
		sim.counts.unknown++
	}
}

// verify compares the outcome that the caller got with the number of runs that
// the servers recorded.
func (r *request) verify(sim *simulation, runs int) {
	switch {
	case r.once && runs > 1:
		sim.errorf("request %x may run at most once and ran %d times", r.id, runs)
	case r.outcome == wire.OutcomeNotRun && runs > 0:
		sim.errorf("request %x ran although its outcome was notRun (%s)", r.id, r.reason)
	case r.outcome == wire.OutcomeDone && runs == 0:
		sim.errorf("request %x has outcome done and never ran", r.id)
	case r.outcome == wire.OutcomeDone && !bytes.Equal(r.answer, body.Answer(r.id, body.AnswerSize(r.body))):
		sim.errorf("request %x got the answer of another request", r.id)
	}
}

// deliverToCaller passes an instance's datagram to the request or flow that it
// belongs to.
func (sim *simulation) deliverToCaller(to netip.AddrPort, b []byte) {
	var p wire.Packet
	if wire.Decode(b, &p) != nil {
		return
	}
	if r := sim.requests[p.Frame.ID]; r != nil {
		if r.caller != to {
			sim.errorf("answer to request %x reached another caller", r.id)
		}
		r.receive(sim, &p.Frame)
		return
	}
	for _, fl := range sim.flows {
		if fl.id == p.Frame.Flow && fl.caller == to {
			fl.receive(sim, &p.Frame)
		}
	}
}

// stepCallers sends what each flow and request has due, and starts new requests.
// It runs every 100 ms.
func (sim *simulation) stepCallers() {
	for _, fl := range sim.flows {
		fl.step(sim)
	}
	for _, r := range slices.SortedFunc(maps.Values(sim.requests), func(a, b *request) int { return bytes.Compare(a.id[:], b.id[:]) }) {
		r.step(sim)
	}
	for i := range sim.requestsPer100ms {
		sim.startRequest(i%2 == 0)
	}
}
