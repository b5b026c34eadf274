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

// flow is a long-lived flow. It sends a keepalive until its echo comes, then
// the next one.
type flow struct {
	id              uint64
	caller, service netip.AddrPort
	token           []byte
	host            *host
	opened          bool
	began           time.Time
	seq             uint64
	heard           time.Time
}

func (fl *flow) packet(kind wire.Kind) wire.Packet {
	f := wire.Frame{Kind: kind, Flow: fl.id, Token: fl.token}
	if kind == wire.KindData {
		f.Body = body.Data(body.Keepalive, fl.seq)
	}
	return wire.Packet{Caller: fl.caller, Service: fl.service, Frame: f}
}

func (w *world) addFlows(n int) {
	for range n {
		fl := &flow{}
		w.flows = append(w.flows, fl)
		fl.renew(w)
	}
}

func (fl *flow) renew(w *world) {
	id := w.rnd.Uint64()
	*fl = flow{
		id: id, caller: addr(7, 1+int(id%200)), service: addr(8, 1+int(id>>8)%2),
		began: w.Now, heard: w.Now,
	}
}

// excused reports whether the flow may end: its server died, or operators took
// its failure domain or the server out.
func (fl *flow) excused(w *world) bool {
	h := fl.host
	if h == nil {
		return true
	}
	rec := w.plat.last().Servers[h.name]
	dom := w.plat.last().Domains[h.domain]
	return h.gone || !h.died.Before(fl.began) || rec.Mark == conf.MarkRemoved || rec.ID != h.ID || dom.Mark == conf.MarkOut || !dom.Since.Before(fl.began)
}

// servable reports whether some instance of the server's failure domain can
// serve the flow. Time in which none can does not count as a stall.
func (fl *flow) servable(w *world) bool {
	for _, in := range w.insts {
		ok := in.up && !in.paused && in.skew == 0 && in.core.Replica.Rev() > 0 && w.Now.Sub(in.began) > 5*time.Second
		if ok && in.domain == fl.host.domain {
			return true
		}
	}
	return false
}

func (fl *flow) step(w *world) {
	switch {
	case !fl.opened:
		w.spray(fl.packet(wire.KindOpen))
	case fl.excused(w):
		if w.Now.Sub(fl.heard) > time.Second {
			w.score.given++
			fl.renew(w)
			return
		}
		w.spray(fl.packet(wire.KindData))
	default:
		if !fl.servable(w) {
			fl.heard = w.Now
		}
		if w.Now.Sub(fl.heard) > stallTime {
			w.fault("flow %x on server %s stalled", fl.id, fl.host.name)
			w.score.broken++
			fl.renew(w)
			return
		}
		w.spray(fl.packet(wire.KindData))
	}
}

func (fl *flow) receive(w *world, f *wire.Frame) {
	if f.Kind == wire.KindOpened && !fl.opened {
		fl.opened, fl.began, fl.heard = true, w.Now, w.Now
		if fl.host = w.hostOf(f); fl.host == nil {
			w.fault("flow %x opened on unknown server %d", fl.id, f.Server)
			fl.renew(w)
			return
		}
		w.score.opened++
	}
	// A repeated open frame may have reached another server.
	if f.Server != 0 && fl.opened && (f.Server != fl.host.ID || f.Generation != fl.host.Generation) {
		return
	}
	if len(f.Token) > 0 {
		fl.token = f.Token
	}
	switch f.Kind {
	case wire.KindData:
		if k, seq, ok := body.ParseData(f.Body); ok && k == body.Keepalive && seq == fl.seq {
			fl.seq, fl.heard = fl.seq+1, w.Now
		}
	case wire.KindClosed:
		if !fl.opened {
			return
		}
		if fl.excused(w) {
			w.score.given++
		} else {
			w.fault("flow %x on server %s closed: %s", fl.id, fl.host.name, f.Reason)
			w.score.broken++
		}
		fl.renew(w)
	}
}

// hostOf returns the server that a frame names.
func (w *world) hostOf(f *wire.Frame) *host {
	for _, h := range w.all {
		if h.ID == f.Server && h.Generation == f.Generation {
			return h
		}
	}
	return nil
}

// request follows the rules for callers in the comment of package reqs.
type request struct {
	id              wire.RequestID
	once            bool
	caller, service netip.AddrPort
	body            []byte
	deadline        time.Time
	sent            time.Time
	ticket          []byte
	parts           map[partsOf]*caller.Reassembler
	whole           []byte
	outcome         wire.Outcome
	reason          wire.Reason
}

type partsOf struct {
	attempt    uint32
	server     conf.ServerID
	generation uint32
	boot       uint64
}

// ask starts a request. One in four has an answer of several parts.
func (w *world) ask(once bool) {
	r := &request{
		once: once, caller: addr(7, 1+w.rnd.IntN(200)), service: addr(8, 1+w.rnd.IntN(2)),
		deadline: w.Now.Add(2 * time.Second), parts: map[partsOf]*caller.Reassembler{},
	}
	binary.BigEndian.PutUint64(r.id[:8], w.rnd.Uint64())
	binary.BigEndian.PutUint64(r.id[8:], w.rnd.Uint64())
	size := 100
	if w.rnd.IntN(4) == 0 {
		size = 3000
	}
	r.body = body.Request(size, r.id[:4])
	w.reqs[r.id] = r
	r.send(w)
}

func (r *request) send(w *world) {
	r.sent = w.Now
	f := wire.Frame{Kind: wire.KindRequest, ID: r.id, Token: r.ticket, Body: r.body, Timeout: uint32(max(r.deadline.Sub(w.Now).Milliseconds(), 1))}
	if r.once {
		f.Flags = wire.FlagOnce
	}
	w.spray(wire.Packet{Caller: r.caller, Service: r.service, Frame: f})
}

// use sends the request with its ticket, which the caller may have kept.
func (r *request) use(w *world) {
	if w.hold == 0 {
		r.send(w)
		return
	}
	wait := w.between(0, w.hold)
	r.sent, r.deadline = w.Now.Add(wait), r.deadline.Add(wait)
	w.After(wait, func() { r.send(w) })
}

func (r *request) step(w *world) {
	switch {
	case w.Now.After(r.deadline.Add(reqs.CallerGrace)):
		r.end(w, wire.OutcomeUnknown)
	case w.Now.Before(r.deadline) && w.Now.Sub(r.sent) >= 300*time.Millisecond:
		r.send(w)
	}
}

func (r *request) receive(w *world, f *wire.Frame) {
	switch {
	case f.Kind == wire.KindAnswer:
		k := partsOf{f.Attempt, f.Server, f.Generation, f.Boot}
		if r.parts[k] == nil {
			r.parts[k] = &caller.Reassembler{}
		}
		if whole, ok := r.parts[k].Add(f.Part, f.Parts, f.Body); ok {
			r.whole = whole
			r.end(w, wire.OutcomeDone)
		}
	case f.Kind != wire.KindRefusal:
	case f.Reason == wire.ReasonTicketNeeded:
		// The network may double this refusal, so a second one says nothing.
		if r.once && r.ticket == nil && len(f.Token) > 0 {
			r.ticket = f.Token
			r.use(w)
		}
	case r.once && r.ticket != nil && f.Outcome == wire.OutcomeNotRun && bytes.Equal(f.Token, r.ticket):
		r.reason = f.Reason
		r.end(w, wire.OutcomeNotRun)
	default:
		r.reason = f.Reason
	}
}

func (r *request) end(w *world, o wire.Outcome) {
	r.outcome = o
	delete(w.reqs, r.id)
	w.over = append(w.over, r)
	switch o {
	case wire.OutcomeDone:
		w.score.done++
	case wire.OutcomeNotRun:
		w.score.notRun++
	default:
		w.score.unknown++
	}
}

// verify compares what the caller was told with the runs at the servers.
func (r *request) verify(w *world, runs int) {
	switch {
	case r.once && runs > 1:
		w.fault("request %x may run once and ran %d times", r.id, runs)
	case r.outcome == wire.OutcomeNotRun && runs > 0:
		w.fault("request %x ran although it got notRun (%s)", r.id, r.reason)
	case r.outcome == wire.OutcomeDone && runs == 0:
		w.fault("request %x is done and never ran", r.id)
	case r.outcome == wire.OutcomeDone && !bytes.Equal(r.whole, body.Answer(r.id, body.Size(r.body))):
		w.fault("request %x got another answer than its own", r.id)
	}
}

func (w *world) toCaller(to netip.AddrPort, b []byte) {
	var p wire.Packet
	if wire.Decode(b, &p) != nil {
		return
	}
	if r := w.reqs[p.Frame.ID]; r != nil {
		if r.caller != to {
			w.fault("answer to request %x reached another caller", r.id)
		}
		r.receive(w, &p.Frame)
		return
	}
	for _, fl := range w.flows {
		if fl.id == p.Frame.Flow && fl.caller == to {
			fl.receive(w, &p.Frame)
		}
	}
}

// callers lets every caller act; it runs every 100 ms.
func (w *world) callers() {
	for _, fl := range w.flows {
		fl.step(w)
	}
	for _, r := range slices.SortedFunc(maps.Values(w.reqs), func(a, b *request) int { return bytes.Compare(a.id[:], b.id[:]) }) {
		r.step(w)
	}
	for i := range w.rate {
		w.ask(i%2 == 0)
	}
}
