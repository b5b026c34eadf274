package server

import (
	"maps"
	"net/netip"
	"time"

	"ebonypaddle/emul/body"
	"ebonypaddle/pkg/wire"
)

// handleFlow processes the frames of flows.
func (h *Server) handleFlow(now time.Time, via netip.AddrPort, p *wire.Packet) {
	k := flowKey{p.Caller, p.Frame.Flow}
	fl := h.flows[k]
	if fl != nil {
		fl.via, fl.pkt, fl.heard = via, *p, now
	}
	switch p.Frame.Kind {
	case wire.KindOpen:
		h.open(now, via, p, k)
	case wire.KindData:
		if fl == nil {
			h.count.UnknownFlow++
			h.send(now, via, p, wire.Frame{Kind: wire.KindClosed, Reason: wire.ReasonUnknownFlow})
			return
		}
		h.send(now, via, p, wire.Frame{Kind: wire.KindData, Body: p.Frame.Body})
	case wire.KindClose:
		delete(h.flows, k)
	}
}

// open adds a flow. A repeated open frame is answered again.
func (h *Server) open(now time.Time, via netip.AddrPort, p *wire.Packet, k flowKey) {
	if h.flows[k] == nil {
		if h.draining || (h.Connections > 0 && len(h.flows) >= h.Connections) {
			h.refuse(now, via, p, wire.ReasonServerShed)
			return
		}
		h.flows[k] = &flow{pkt: *p, via: via, heard: now, next: now.Add(time.Duration(h.Push))}
	}
	h.send(now, via, p, wire.Frame{Kind: wire.KindOpened})
}

// forget drops flows whose callers are silent. A caller that repeats an open
// frame can leave a second flow behind on another server.
func (h *Server) forget(now time.Time) {
	if h.Idle > 0 {
		maps.DeleteFunc(h.flows, func(_ flowKey, fl *flow) bool { return now.Sub(fl.heard) > time.Duration(h.Idle) })
	}
}

// push sends the feed to flows whose interval is over.
func (h *Server) push(now time.Time) {
	if h.Push <= 0 {
		return
	}
	for _, fl := range h.flows {
		if fl.next.After(now) {
			continue
		}
		fl.next = now.Add(time.Duration(h.Push))
		fl.seq++
		h.send(now, fl.via, &fl.pkt, wire.Frame{Kind: wire.KindData, Body: body.Data(body.Push, fl.seq)})
	}
}
