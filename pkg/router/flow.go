package router

import (
	"encoding/binary"
	"log/slog"
	"time"
)

// flowKey is the address and port of the caller and of the service.
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

// LogValue returns the flow of the packet as "caller>service".
func (p *Packet) LogValue() slog.Value {
	return slog.StringValue(p.Caller.String() + ">" + p.Service.String())
}

// flow is the state of one flow. Forwarding does not need it; it feeds the
// passive health checks and the load estimates.
type flow struct {
	server       *server
	lastPacketAt time.Time
	// openedAt is when the opening was last forwarded, or an adopted flow's first
	// packet came.
	openedAt time.Time
	// requestStartedAt is when the request in progress began; zero between
	// requests.
	requestStartedAt time.Time
	// dataSentAt is when data was last forwarded.
	dataSentAt time.Time
	// seq is the sequence number after the last data that the caller sent,
	// acked the caller's highest acknowledgement.
	seq, acked uint32
	// answerFrom is the first sequence number of the answer to the latest request,
	// and cost the expected cost of that, in mean requests of its service.
	answerFrom uint32
	cost       float32
	// retransmissions counts the caller's retransmissions of data since the
	// last progress.
	retransmissions int
	// class is the priority class of the route, bucket that of the length of the
	// latest request's first data, see costKey.
	class, bucket uint8

	open bool
	// ended is set once the caller ended the flow. The state is kept for endedLifetime,
	// as the caller's last acknowledgements would else look like a flow that another
	// instance opened.
	ended bool
	// adopted is set if another instance opened the flow, or this one before it
	// discarded the flow's state.
	adopted bool
	// answerSeen is set when packets of the caller showed this instance that
	// the server answered the flow.
	answerSeen bool
	// openingTimedOut is set when the missing answer to the opening was
	// already counted as a failure.
	openingTimedOut bool
	// active is set while the request in progress counts as one, see serverLoad.active.
	active bool
	// requested is set when a request began here, free when the latest one found a free
	// slot, answered when its answer has begun.
	requested, free, answered bool
}

// defaultIdleTimeout is the time without packets after which the state of a
// flow is discarded, unless the settings give another. Only the load estimates
// lose precision by it.
const defaultIdleTimeout = 15 * time.Second

// endedLifetime is how long the state of a flow is kept after its caller ended it.
const endedLifetime = 2 * time.Second

// flowTable holds the state of up to max flows.
type flowTable struct {
	max     int
	entries map[flowKey]*flow
}

func (t *flowTable) start(n int) {
	t.max = n
	t.entries = map[flowKey]*flow{}
}

func (t *flowTable) get(p *Packet) *flow { return t.entries[keyOf(p)] }

// put records that an opening was forwarded to a server. A full table evicts
// an arbitrary flow.
func (t *flowTable) put(now time.Time, p *Packet, srv *server) {
	k := keyOf(p)
	f := t.entries[k]
	if f == nil {
		if len(t.entries) >= t.max {
			for old, evicted := range t.entries {
				evicted.end()
				delete(t.entries, old)
				break
			}
		}
		f = &flow{}
		t.entries[k] = f
	}
	*f = flow{server: srv, lastPacketAt: now, openedAt: now, seq: p.Seq}
	srv.load.openingSent()
}

func (t *flowTable) remove(p *Packet) {
	k := keyOf(p)
	if f := t.entries[k]; f != nil {
		f.end()
		delete(t.entries, k)
	}
}

func (t *flowTable) expire(now time.Time, idleTimeout time.Duration) {
	for k, f := range t.entries {
		idle := now.Sub(f.lastPacketAt)
		if idle > idleTimeout || f.ended && idle > endedLifetime {
			f.end()
			delete(t.entries, k)
		}
	}
}

// end takes the flow out of the load of its server.
func (f *flow) end() {
	if !f.ended {
		f.server.load.flowDone(f)
		f.ended = true
	}
}

// seqAfter reports whether sequence number a comes after b, with wraparound.
func seqAfter(a, b uint32) bool { return int32(a-b) > 0 }

// minRetransmissionGap is the shortest time between two copies of data that
// counts as a retransmission by the caller. Copies that arrive closer together
// were queued on their way.
const minRetransmissionGap = 150 * time.Millisecond

// flowOf returns the state of a packet's flow. It adds it if another instance opened
// the flow, or if the opening was retransmitted and went to two servers, and the other
// one got the flow.
func (lb *Balancer) flowOf(now time.Time, p *Packet, srv *server) *flow {
	f := lb.flows.get(p)
	if f != nil && f.server == srv && (!f.ended || !seqAfter(p.Seq+uint32(p.Size), f.seq+1)) {
		return f
	}
	lb.demand.adopted(now)
	return lb.flows.adopt(now, p, srv)
}

// observe updates the state of a flow and the health of its server from a
// packet of the caller. It reports whether the flow should be closed because
// its server is unresponsive and the caller may safely send the request again.
func (lb *Balancer) observe(now time.Time, p *Packet, srv *server, rt *Route) (closeFlow bool) {
	f := lb.flowOf(now, p, srv)
	if f.ended {
		return false
	}
	f.lastPacketAt = now
	if !f.open {
		lb.observeOpened(now, p, f)
	}
	if seqAfter(p.Acked, f.acked) {
		lb.observeAnswer(now, p, f)
	}
	if p.Size > 0 {
		lb.observeData(now, p, f)
		// The answer to a flow that another instance opened may have been seen
		// only there. Failures of other flows therefore close the flow only if
		// this instance has seen an answer or a retransmission of it.
		observed := f.answerSeen || f.retransmissions > 0
		closeFlow = rt != nil && rt.Repeatable && !now.Before(lb.closeFlowsFrom) && lb.aloneSilent(srv) && (observed && srv.health.unresponsive(now) || srv.health.unresponsiveForFlow(now, f.retransmissions))
	}
	if p.End || p.Reset {
		lb.demand.ended(now, f, rt)
		f.end()
	}
	return closeFlow
}

// observeOpened handles the first packet of a caller after its opening.
func (lb *Balancer) observeOpened(now time.Time, p *Packet, f *flow) {
	srv := f.server
	f.open, f.answerSeen = true, true
	srv.load.flows++
	f.acked = p.Acked
	lb.OpenTime.Record(now.Sub(f.openedAt))
	srv.load.handshakeDone(now.Sub(f.openedAt))
	lb.recordAnswer(now, srv)
	srv.load.openingDone()
}

// observeAnswer handles an acknowledgement of new data of the server.
func (lb *Balancer) observeAnswer(now time.Time, p *Packet, f *flow) {
	srv := f.server
	f.acked = p.Acked
	f.retransmissions, f.answerSeen = 0, true
	lb.recordAnswer(now, srv)
	srv.ackedAt = now
	if !f.requestStartedAt.IsZero() {
		lb.AnswerTime.Record(now.Sub(f.requestStartedAt))
		lb.observeCost(now, p, f)
		srv.load.requestDone(now, f)
		lb.demand.answered(now, srv, f, lb.relativeCost(srv.Service, costKey(p, f)))
	}
}

// observeData handles data that a caller sends for the first time or
// retransmits. New data after an answer starts a request.
func (lb *Balancer) observeData(now time.Time, p *Packet, f *flow) {
	end := p.Seq + uint32(p.Size)
	switch {
	case seqAfter(end, f.seq):
		f.seq = end
		if f.requestStartedAt.IsZero() {
			rt := lb.routes[p.Service]
			lb.beginCost(now, p, f, rt)
			relative := lb.relativeCost(f.server.Service, costKey(p, f))
			lb.demand.begun(now, f, rt, relative)
			f.requestStartedAt = now
			f.server.load.Begin(now)
			lb.recordWork(now, f.server, relative)
		}
	case end == f.seq && now.Sub(f.dataSentAt) >= minRetransmissionGap:
		f.retransmissions++
		lb.recordRetransmission(now, f.server, keyOf(p))
	}
	f.dataSentAt = now
}

// adopt adds the state of an open flow that this instance did not open.
func (t *flowTable) adopt(now time.Time, p *Packet, srv *server) *flow {
	t.remove(p)
	t.put(now, p, srv)
	f := t.get(p)
	srv.load.openingDone()
	f.open, f.adopted, f.acked = true, true, p.Acked
	srv.load.flows++
	return f
}

// recordRetransmittedOpening handles a retransmission of an opening. It records
// a failure of the server that got the earlier copy, unless that was already
// done when openingTimeout passed.
func (lb *Balancer) recordRetransmittedOpening(now time.Time, f *flow, p *Packet) {
	if p.Retransmissions == 0 {
		return
	}
	lb.Retransmitted++
	f.server.load.openingDone()
	if !f.openingTimedOut {
		lb.recordFailure(now, f.server, keyOf(p))
	}
	lb.Log.Info("opening not answered", "flow", p, "server", f.server.name, "copy", p.Retransmissions, "after", now.Sub(f.openedAt), "misses", f.server.health.failures)
}
