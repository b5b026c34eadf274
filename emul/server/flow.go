package server

import (
	"maps"
	"net/netip"
	"time"

	"ebonypaddle/emul/body"
	"ebonypaddle/pkg/wire"
)

// handleFlowFrame handles frames that open, use and close a flow.
func (s *Server) handleFlowFrame(now time.Time, instance netip.AddrPort, p *wire.Packet) {
	k := flowKey{p.Caller, p.Frame.Flow}
	fl := s.flows[k]
	if fl != nil {
		fl.instance, fl.lastPacket, fl.lastHeard = instance, *p, now
	}
	switch p.Frame.Kind {
	case wire.KindOpen:
		s.openFlow(now, instance, p, k)
	case wire.KindData:
		if fl == nil {
			s.counters.UnknownFlow++
			s.send(now, instance, p, wire.Frame{Kind: wire.KindClosed, Reason: wire.ReasonUnknownFlow})
			return
		}
		s.send(now, instance, p, wire.Frame{Kind: wire.KindData, Body: p.Frame.Body})
	case wire.KindClose:
		delete(s.flows, k)
	}
}

// openFlow adds a flow, or refuses it while the server drains or has too many
// flows. A retransmitted open frame is answered again.
func (s *Server) openFlow(now time.Time, instance netip.AddrPort, p *wire.Packet, k flowKey) {
	if s.flows[k] == nil {
		if s.draining || (s.Connections > 0 && len(s.flows) >= s.Connections) {
			s.sendRefusal(now, instance, p, wire.ReasonServerShed)
			return
		}
		s.flows[k] = &flow{lastPacket: *p, instance: instance, lastHeard: now, nextPush: now.Add(time.Duration(s.Push))}
	}
	s.send(now, instance, p, wire.Frame{Kind: wire.KindOpened})
}

// removeIdleFlows removes flows whose callers send nothing. A caller that
// retransmits an open frame can leave an unused second flow on another server.
func (s *Server) removeIdleFlows(now time.Time) {
	if s.Idle > 0 {
		maps.DeleteFunc(s.flows, func(_ flowKey, fl *flow) bool { return now.Sub(fl.lastHeard) > time.Duration(s.Idle) })
	}
}

// sendPushFeed sends the next data frame to every flow whose interval has
// passed.
func (s *Server) sendPushFeed(now time.Time) {
	if s.Push <= 0 {
		return
	}
	for _, fl := range s.flows {
		if fl.nextPush.After(now) {
			continue
		}
		fl.nextPush = now.Add(time.Duration(s.Push))
		fl.pushSeq++
		s.send(now, fl.instance, &fl.lastPacket, wire.Frame{Kind: wire.KindData, Body: body.Data(body.Push, fl.pushSeq)})
	}
}
