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

// flow is an open flow. lastPacket is the last packet of its caller, and
// instance the address of the instance that forwarded it.
type flow struct {
	lastPacket wire.Packet
	instance   netip.AddrPort
	pushSeq    uint64
	nextPush   time.Time // when the next frame of the push feed is due
	// lastHeard is when the last packet of the caller came.
	lastHeard time.Time
}

// job is an accepted request. endTime is when its run finishes; it is zero while
// the request is queued.
type job struct {
	packet   wire.Packet
	instance netip.AddrPort
	endTime  time.Time
}

// Server simulates one backend server, without its socket. It is not safe for
// concurrent use.
type Server struct {
	Config
	Rand      *rand.Rand
	Misreport Misreport

	boot         uint64
	downUntil    time.Time
	coldUntil    time.Time
	draining     bool
	shedInRow    int // requests shed since the last answer of this cold start
	maxShedInRow int // limit of shedInRow above which the server falls over

	running, queue []*job
	flows          map[flowKey]*flow
	records        map[wire.RequestID]*Record
	counters       Counters
	lastPacket     time.Time

	loadReport   wire.Load
	loadReportAt time.Time
	outgoing     []Outgoing
}

// Start starts or restarts the server in cold start, with a new boot
// identifier. The records of runs and the counters stay, because the checks
// after a run need them.
func (s *Server) Start(now time.Time) {
	s.boot = s.Rand.Uint64()
	s.downUntil = now
	s.running, s.queue, s.flows = nil, nil, map[flowKey]*flow{}
	s.draining = false
	if s.records == nil {
		s.records = map[wire.RequestID]*Record{}
	}
	s.GoCold(now, s.ColdMargin)
}

// GoCold puts the server back into cold start without a new boot identifier.
// Until the next restart, it sheds up to margin requests in a row without
// falling over.
func (s *Server) GoCold(now time.Time, margin int) {
	s.maxShedInRow = margin
	s.coldUntil = now.Add(time.Duration(s.ColdTime))
	s.shedInRow = 0
}

// FallOver simulates a crash: all requests and flows are lost, and the server
// restarts in cold start after DownTime.
func (s *Server) FallOver(now time.Time) {
	s.counters.FellOver++
	s.Start(now.Add(time.Duration(s.DownTime)))
}

// Drain sets whether the server refuses new requests and flows.
func (s *Server) Drain(on bool) { s.draining = on }

// Handle processes a packet that the instance with the given address forwarded,
// and returns the packets to send.
func (s *Server) Handle(now time.Time, instance netip.AddrPort, p *wire.Packet) []Outgoing {
	s.outgoing = nil
	if now.Before(s.downUntil) {
		return nil
	}
	s.lastPacket = now
	s.expireRequests(now)
	f := &p.Frame
	switch {
	case f.Kind == wire.KindProbe:
		s.send(now, instance, p, wire.Frame{Kind: wire.KindProbed, ID: f.ID})
	case f.Service != s.Service || f.Server != s.ID || f.Generation != s.Generation:
		s.counters.Misrouted++
		s.sendRefusal(now, instance, p, wire.ReasonWrongService)
	case f.Expired(now):
		s.counters.Late++
	case f.Kind == wire.KindRequest:
		s.handleRequest(now, instance, p)
	case f.Kind == wire.KindCancel:
		s.cancelRequest(now, p)
	default:
		s.handleFlowFrame(now, instance, p)
	}
	return s.outgoing
}

// Tick finishes requests whose service time has passed, removes idle flows,
// sends the push feed and returns the packets to send.
func (s *Server) Tick(now time.Time) []Outgoing {
	s.outgoing = nil
	s.expireRequests(now)
	for i := 0; i < len(s.running); {
		j := s.running[i]
		if j.endTime.After(now) {
			i++
			continue
		}
		s.running = append(s.running[:i], s.running[i+1:]...)
		s.sendAnswer(now, j)
		s.startQueued(now, j.endTime)
	}
	s.removeIdleFlows(now)
	s.sendPushFeed(now)
	return s.outgoing
}

// expireRequests stops running requests whose deadline has passed. Their caller
// no longer waits for them, and instances rely on their end when they give the
// slots of a cold server to other requests.
func (s *Server) expireRequests(now time.Time) {
	s.running = slices.DeleteFunc(s.running, func(j *job) bool {
		f := &j.packet.Frame
		late := f.Deadline != 0 && !j.endTime.Before(f.DeadlineTime()) && now.After(f.DeadlineTime())
		if late {
			s.counters.Expired++
		}
		return late
	})
	s.startQueued(now, now)
}

func (s *Server) isCold(now time.Time) bool { return now.Before(s.coldUntil) }

// handleRequest accepts a request or sheds it. In cold start, too many excess
// requests in a row make the server fall over.
func (s *Server) handleRequest(now time.Time, instance netip.AddrPort, p *wire.Packet) {
	n := len(s.running) + len(s.queue)
	switch {
	case s.draining:
		s.sendRefusal(now, instance, p, wire.ReasonServerShed)
	case s.isCold(now) && n >= s.ColdSlots:
		s.counters.ColdExcess++
		if s.shedInRow++; s.shedInRow > s.maxShedInRow {
			s.FallOver(now)
			return
		}
		s.sendRefusal(now, instance, p, wire.ReasonServerShed)
	case n >= s.Slots+s.Queue:
		s.sendRefusal(now, instance, p, wire.ReasonServerShed)
	default:
		if s.isCold(now) {
			s.counters.PeakCold = max(s.counters.PeakCold, n+1)
		}
		s.queue = append(s.queue, &job{packet: *p, instance: instance})
		s.startQueued(now, now)
	}
}

// startQueued runs queued requests in free slots. at is when the slot became
// free; service times begin then, so that the tick interval does not add to
// them.
func (s *Server) startQueued(now, at time.Time) {
	for len(s.running) < s.Slots && len(s.queue) > 0 {
		j := s.queue[0]
		s.queue = s.queue[1:]
		if f := &j.packet.Frame; f.Deadline != 0 && at.After(f.DeadlineTime()) {
			s.counters.Late++
			continue
		}
		j.endTime = at.Add(s.serviceTime(now))
		s.running = append(s.running, j)
		s.recordRun(&j.packet.Frame)
	}
}

func (s *Server) serviceTime(now time.Time) time.Duration {
	d := float64(s.Mean)
	if s.Distribution == "exponential" {
		d *= s.Rand.ExpFloat64()
	}
	if s.isCold(now) && s.ColdFactor > 0 {
		d *= s.ColdFactor
	}
	return time.Duration(d)
}

// sendAnswer sends the answer to a finished request, split into parts of at
// most wire.MaxBody bytes.
func (s *Server) sendAnswer(now time.Time, j *job) {
	s.shedInRow = 0
	f := &j.packet.Frame
	b := body.Answer(f.ID, body.AnswerSize(f.Body))
	parts := max((len(b)+wire.MaxBody-1)/wire.MaxBody, 1)
	for i := range parts {
		part := b[i*wire.MaxBody : min((i+1)*wire.MaxBody, len(b))]
		s.send(now, j.instance, &j.packet, wire.Frame{
			Kind: wire.KindAnswer, ID: f.ID, Part: uint16(i), Parts: uint16(parts), Outcome: wire.OutcomeDone, Body: part,
		})
	}
}

// cancelRequest removes the request that a cancel frame names. A queued request
// has not run, so it is refused with outcome notRun.
func (s *Server) cancelRequest(now time.Time, p *wire.Packet) {
	for i, j := range s.queue {
		if matchesCancel(j, p) {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			s.counters.Cancelled++
			s.sendRefusal(now, j.instance, &j.packet, wire.ReasonCancelled)
			return
		}
	}
	for i, j := range s.running {
		if matchesCancel(j, p) {
			s.running = append(s.running[:i], s.running[i+1:]...)
			s.counters.Cancelled++
			s.startQueued(now, now)
			return
		}
	}
}

// matchesCancel returns whether a cancel frame applies to the request. Attempt 0
// matches any attempt.
func matchesCancel(j *job, p *wire.Packet) bool {
	f, c := &j.packet.Frame, &p.Frame
	return j.packet.Caller == p.Caller && f.ID == c.ID && (c.Attempt == 0 || f.Attempt == c.Attempt)
}

// sendRefusal answers that the request was not run, or the flow not opened.
func (s *Server) sendRefusal(now time.Time, instance netip.AddrPort, p *wire.Packet, reason wire.Reason) {
	r := wire.Frame{Kind: wire.KindRefusal, ID: p.Frame.ID, Flags: wire.FlagShed, Outcome: wire.OutcomeNotRun, Reason: reason}
	if s.isCold(now) {
		r.Flags |= wire.FlagCold
	}
	if s.draining {
		r.Flags |= wire.FlagDraining
	}
	if reason == wire.ReasonServerShed {
		s.counters.Shed++
	}
	s.send(now, instance, p, r)
}

// send adds the server's identity and load report to a frame and queues it for
// the caller of p, through the instance with the given address.
func (s *Server) send(now time.Time, instance netip.AddrPort, p *wire.Packet, f wire.Frame) {
	f.Flow, f.Attempt = p.Frame.Flow, p.Frame.Attempt
	f.Service, f.Server, f.Generation, f.Boot = s.Service, s.ID, s.Generation, s.boot
	f.Load = s.Load(now)
	s.outgoing = append(s.outgoing, Outgoing{To: instance, Packet: wire.Packet{Caller: p.Caller, Service: p.Service, Frame: f}})
}
