package server

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"ebonypaddle/emul/body"
	"ebonypaddle/pkg/wire"
)

// Outgoing is one packet to send.
type Outgoing struct {
	To     netip.AddrPort
	Packet wire.Packet
}

type flowKey struct {
	caller netip.AddrPort
	flow   uint64
}

// flow is an open flow. pkt and via belong to its last packet.
type flow struct {
	pkt  wire.Packet
	via  netip.AddrPort
	seq  uint64
	next time.Time // of the push feed
	// heard is when the last packet of the caller came.
	heard time.Time
}

// job is an accepted request.
type job struct {
	pkt wire.Packet
	via netip.AddrPort
	end time.Time
}

// Server is one backend server without its socket. It is not safe for
// concurrent use.
type Server struct {
	Config
	Rand      *rand.Rand
	Misreport Misreport

	boot      uint64
	downUntil time.Time
	coldUntil time.Time
	draining  bool
	excess    int // requests shed in a row while cold
	margin    int // of them that it bears

	running, queue []*job
	flows          map[flowKey]*flow
	records        map[wire.RequestID]*Record
	count          Counters
	lastPacket     time.Time

	report   wire.Load
	reportAt time.Time
	out      []Outgoing
}

// Start starts the server cold with a new boot identifier. The records of
// runs stay, because they belong to the checker.
func (h *Server) Start(now time.Time) {
	h.boot = h.Rand.Uint64()
	h.downUntil = now
	h.running, h.queue, h.flows = nil, nil, map[flowKey]*flow{}
	h.draining = false
	if h.records == nil {
		h.records = map[wire.RequestID]*Record{}
	}
	h.GoCold(now, h.ColdMargin)
}

// GoCold falls back into cold start without a new boot identifier. Until it
// starts again it sheds up to margin requests in a row.
func (h *Server) GoCold(now time.Time, margin int) {
	h.margin = margin
	h.coldUntil = now.Add(time.Duration(h.ColdTime))
	h.excess = 0
}

// FallOver loses everything and restarts cold after DownTime.
func (h *Server) FallOver(now time.Time) {
	h.count.FellOver++
	h.Start(now.Add(time.Duration(h.DownTime)))
}

// Drain sets whether the server refuses new work.
func (h *Server) Drain(on bool) { h.draining = on }

// Handle processes a packet that came from the instance at via.
func (h *Server) Handle(now time.Time, via netip.AddrPort, p *wire.Packet) []Outgoing {
	h.out = nil
	if now.Before(h.downUntil) {
		return nil
	}
	h.lastPacket = now
	h.expire(now)
	f := &p.Frame
	switch {
	case f.Kind == wire.KindProbe:
		h.send(now, via, p, wire.Frame{Kind: wire.KindProbed, ID: f.ID})
	case f.Service != h.Service || f.Server != h.ID || f.Generation != h.Generation:
		h.count.Misrouted++
		h.refuse(now, via, p, wire.ReasonWrongService)
	case f.Late(now):
		h.count.Late++
	case f.Kind == wire.KindRequest:
		h.request(now, via, p)
	case f.Kind == wire.KindCancel:
		h.cancel(now, p)
	default:
		h.handleFlow(now, via, p)
	}
	return h.out
}

// Tick finishes requests that are due and sends the push feed.
func (h *Server) Tick(now time.Time) []Outgoing {
	h.out = nil
	h.expire(now)
	for i := 0; i < len(h.running); {
		j := h.running[i]
		if j.end.After(now) {
			i++
			continue
		}
		h.running = append(h.running[:i], h.running[i+1:]...)
		h.answer(now, j)
		h.startQueued(now, j.end)
	}
	h.forget(now)
	h.push(now)
	return h.out
}

// expire stops requests whose deadline has passed. Their caller no longer
// waits, and instances rely on it to hand over the slots of a cold server.
func (h *Server) expire(now time.Time) {
	h.running = slices.DeleteFunc(h.running, func(j *job) bool {
		f := &j.pkt.Frame
		late := f.Deadline != 0 && !j.end.Before(f.DeadlineTime()) && now.After(f.DeadlineTime())
		if late {
			h.count.Expired++
		}
		return late
	})
	h.startQueued(now, now)
}

func (h *Server) cold(now time.Time) bool { return now.Before(h.coldUntil) }

// request admits, sheds or falls over.
func (h *Server) request(now time.Time, via netip.AddrPort, p *wire.Packet) {
	n := len(h.running) + len(h.queue)
	switch {
	case h.draining:
		h.refuse(now, via, p, wire.ReasonServerShed)
	case h.cold(now) && n >= h.ColdSlots:
		h.count.ColdExcess++
		if h.excess++; h.excess > h.margin {
			h.FallOver(now)
			return
		}
		h.refuse(now, via, p, wire.ReasonServerShed)
	case n >= h.Slots+h.Queue:
		h.refuse(now, via, p, wire.ReasonServerShed)
	default:
		if h.cold(now) {
			h.count.PeakCold = max(h.count.PeakCold, n+1)
		}
		h.queue = append(h.queue, &job{pkt: *p, via: via})
		h.startQueued(now, now)
	}
}

// startQueued fills free slots. at is when the slot became free, so that the
// interval of ticks adds nothing to service times.
func (h *Server) startQueued(now, at time.Time) {
	for len(h.running) < h.Slots && len(h.queue) > 0 {
		j := h.queue[0]
		h.queue = h.queue[1:]
		if f := &j.pkt.Frame; f.Deadline != 0 && at.After(f.DeadlineTime()) {
			h.count.Late++
			continue
		}
		j.end = at.Add(h.serviceTime(now))
		h.running = append(h.running, j)
		h.record(&j.pkt.Frame)
	}
}

func (h *Server) serviceTime(now time.Time) time.Duration {
	d := float64(h.Mean)
	if h.Distribution == "exponential" {
		d *= h.Rand.ExpFloat64()
	}
	if h.cold(now) && h.ColdFactor > 0 {
		d *= h.ColdFactor
	}
	return time.Duration(d)
}

// answer sends the answer in as many parts as it needs.
func (h *Server) answer(now time.Time, j *job) {
	h.excess = 0
	f := &j.pkt.Frame
	b := body.Answer(f.ID, body.Size(f.Body))
	parts := max((len(b)+wire.MaxBody-1)/wire.MaxBody, 1)
	for i := range parts {
		part := b[i*wire.MaxBody : min((i+1)*wire.MaxBody, len(b))]
		h.send(now, j.via, &j.pkt, wire.Frame{
			Kind: wire.KindAnswer, ID: f.ID, Part: uint16(i), Parts: uint16(parts), Outcome: wire.OutcomeDone, Body: part,
		})
	}
}

// cancel drops the request. One that waits has not run, which is reported.
func (h *Server) cancel(now time.Time, p *wire.Packet) {
	for i, j := range h.queue {
		if same(j, p) {
			h.queue = append(h.queue[:i], h.queue[i+1:]...)
			h.count.Cancelled++
			h.refuse(now, j.via, &j.pkt, wire.ReasonCancelled)
			return
		}
	}
	for i, j := range h.running {
		if same(j, p) {
			h.running = append(h.running[:i], h.running[i+1:]...)
			h.count.Cancelled++
			h.startQueued(now, now)
			return
		}
	}
}

// same tells whether a cancel frame means the request. Attempt 0 means any.
func same(j *job, p *wire.Packet) bool {
	f, c := &j.pkt.Frame, &p.Frame
	return j.pkt.Caller == p.Caller && f.ID == c.ID && (c.Attempt == 0 || f.Attempt == c.Attempt)
}

// refuse reports that the work was not run.
func (h *Server) refuse(now time.Time, via netip.AddrPort, p *wire.Packet, reason wire.Reason) {
	r := wire.Frame{Kind: wire.KindRefusal, ID: p.Frame.ID, Flags: wire.FlagShed, Outcome: wire.OutcomeNotRun, Reason: reason}
	if h.cold(now) {
		r.Flags |= wire.FlagCold
	}
	if h.draining {
		r.Flags |= wire.FlagDraining
	}
	if reason == wire.ReasonServerShed {
		h.count.Shed++
	}
	h.send(now, via, p, r)
}

// send completes a frame with the identity and load and addresses it to the
// caller of p through the instance at via.
func (h *Server) send(now time.Time, via netip.AddrPort, p *wire.Packet, f wire.Frame) {
	f.Flow, f.Attempt = p.Frame.Flow, p.Frame.Attempt
	f.Service, f.Server, f.Generation, f.Boot = h.Service, h.ID, h.Generation, h.boot
	f.Load = h.Load(now)
	h.out = append(h.out, Outgoing{To: via, Packet: wire.Packet{Caller: p.Caller, Service: p.Service, Frame: f}})
}
