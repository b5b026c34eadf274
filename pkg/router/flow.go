package router

import (
	"encoding/binary"
	"log/slog"
	"time"
)

// flowKey is the address and port of both ends.
type flowKey [12]byte

func keyOf(p *Packet) flowKey {
	var k flowKey
	c, v := p.Caller.Addr().As4(), p.Service.Addr().As4()
	copy(k[0:], c[:])
	binary.BigEndian.PutUint16(k[4:], p.Caller.Port())
	copy(k[6:], v[:])
	binary.BigEndian.PutUint16(k[10:], p.Service.Port())
	return k
}

// LogValue identifies the flow of a packet in log lines.
func (p *Packet) LogValue() slog.Value {
	return slog.StringValue(p.Caller.String() + ">" + p.Service.String())
}

// flow holds notes on one flow. Forwarding does not need them.
type flow struct {
	server *server
	open   bool
	seenAt time.Time
	// openedAt is when its opening was last forwarded.
	openedAt time.Time
	// seq and acked are the highest values that the caller sent.
	seq, acked uint32
	// askedAt is when the request in progress began; zero between requests.
	askedAt time.Time
	// repeats counts data that the caller sent again without progress.
	repeats int
	// answered tells that this instance saw the server answer the flow.
	answered bool
	// sentAt is when data was last forwarded.
	sentAt time.Time
	// doubted tells that the missing answer to its opening was counted.
	doubted bool
}

// flowIdle is the time without packets after which notes on a flow are
// discarded, unless the settings say when a flow is idle. Only the load estimate
// loses by it.
const flowIdle = 15 * time.Second

// flows is a bounded table of notes on flows.
type flows struct {
	max  int
	rows map[flowKey]*flow
}

func (t *flows) start(n int) {
	t.max = n
	t.rows = map[flowKey]*flow{}
}

func (t *flows) get(p *Packet) *flow { return t.rows[keyOf(p)] }

// put notes that an opening went to a server. A full table forgets some flow.
func (t *flows) put(now time.Time, p *Packet, r *server) {
	k := keyOf(p)
	f := t.rows[k]
	if f == nil {
		if len(t.rows) >= t.max {
			for old, g := range t.rows {
				g.end()
				delete(t.rows, old)
				break
			}
		}
		f = &flow{}
		t.rows[k] = f
	}
	*f = flow{server: r, seenAt: now, openedAt: now, seq: p.Seq}
	r.load.opening()
}

func (t *flows) forget(p *Packet) {
	k := keyOf(p)
	if f := t.rows[k]; f != nil {
		f.server.load.finished(f)
		delete(t.rows, k)
	}
}

func (t *flows) expire(now time.Time, idle time.Duration) {
	for k, f := range t.rows {
		if now.Sub(f.seenAt) > idle {
			f.end()
			delete(t.rows, k)
		}
	}
}

func (f *flow) end() { f.server.load.finished(f) }

// after reports whether sequence number a comes after b.
func after(a, b uint32) bool { return int32(a-b) > 0 }

// repeatGap is the least time between two copies of data that a caller sends
// because it has no answer. Copies that come closer together waited in a queue
// on their way.
const repeatGap = 150 * time.Millisecond

// observe takes from a packet of a flow what it tells of the server. It reports
// whether the flow is lost and its caller can safely begin anew.
func (s *Balancer) observe(now time.Time, p *Packet, r *server, rt *Route) (lost bool) {
	f := s.flows.get(p)
	if f == nil || f.server != r {
		// The flow was opened by another instance or at the other server of
		// two that got its opening.
		f = s.flows.adopt(now, p, r)
	}
	f.seenAt = now
	if !f.open {
		f.open, f.answered = true, true
		f.acked = p.Acked
		s.OpenTime.Record(now.Sub(f.openedAt))
		s.answered(now, r)
		r.load.opened()
	}
	if after(p.Acked, f.acked) {
		f.acked = p.Acked
		f.repeats, f.answered = 0, true
		s.answered(now, r)
		if !f.askedAt.IsZero() {
			s.AnswerTime.Record(now.Sub(f.askedAt))
			r.load.answered(now, f)
		}
	}
	if p.Size > 0 {
		s.data(now, p, f)
		// A flow that another instance opened may have been answered there,
		// so it takes a sign of its own.
		known := f.answered || f.repeats > 0
		lost = rt != nil && rt.Repeatable && !now.Before(s.closeFrom) && (known && r.evidence.silent(now) || r.evidence.mute(now, f.repeats))
	}
	if p.End || p.Reset {
		s.flows.forget(p)
	}
	return lost
}

// data takes data that a caller sends, for the first time or again.
func (s *Balancer) data(now time.Time, p *Packet, f *flow) {
	end := p.Seq + uint32(p.Size)
	switch {
	case after(end, f.seq):
		f.seq = end
		if f.askedAt.IsZero() {
			f.askedAt = now
			f.server.load.Begin(now)
		}
	case end == f.seq && now.Sub(f.sentAt) >= repeatGap:
		f.repeats++
		s.unacked(now, f.server, keyOf(p))
	}
	f.sentAt = now
}

// adopt notes an open flow that this instance did not open.
func (t *flows) adopt(now time.Time, p *Packet, r *server) *flow {
	t.forget(p)
	t.put(now, p, r)
	f := t.get(p)
	r.load.opened()
	f.open, f.acked = true, p.Acked
	return f
}

// unanswered takes a copy of an opening as a sign that the server to which the
// earlier one went did not answer it.
func (s *Balancer) unanswered(now time.Time, f *flow, p *Packet) {
	if p.Retransmissions == 0 {
		return
	}
	s.Copied++
	f.server.load.opened()
	if !f.doubted {
		s.missed(now, f.server, keyOf(p))
	}
	s.Log.Info("opening not answered", "flow", p, "server", f.server.name, "copy", p.Retransmissions, "after", now.Sub(f.openedAt), "misses", f.server.evidence.misses)
}
