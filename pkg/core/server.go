package core

import (
	"net/netip"
	"time"

	"ebonypaddle/pkg/wire"
)

// HandleServer handles a packet from the address of a backend server. The result
// is valid until the next call.
func (c *Core) HandleServer(now time.Time, from netip.AddrPort, p *wire.Packet) []wire.Send {
	c.beginCall(now)
	f := &p.Frame
	if !c.Servers.Receive(now, from, f, 0) {
		c.drop(p, wire.ReasonUnconfirmed)
		return nil
	}
	c.Picker.Reported(now, f.Server, f.Load)
	p.Via = c.viaByService[p.Service]
	switch f.Kind {
	case wire.KindProbed:
	case wire.KindAnswer:
		c.handleAnswer(now, from, p)
	case wire.KindRefusal:
		if f.ID == (wire.RequestID{}) {
			c.refuse(p, refusalReason(f))
			break
		}
		c.handleAnswer(now, from, p)
	case wire.KindOpened:
		c.handleOpened(now, p)
	case wire.KindData, wire.KindClosed, wire.KindClose:
		c.toCaller(p, callerFrame(f))
	default:
		c.drop(p, wire.ReasonMalformed)
	}
	return c.allowedSends(now)
}

// handleAnswer passes an answer to the request table. It keeps the frame for
// placer.Finished, which reports it with the latency to the server table.
func (c *Core) handleAnswer(now time.Time, from netip.AddrPort, p *wire.Packet) {
	c.serverFrame = &serverFrame{from, &p.Frame}
	c.Requests.HandleAnswer(now, p, &c.out)
	c.serverFrame = nil
}

// handleOpened sends the caller the token of its new flow.
func (c *Core) handleOpened(now time.Time, p *wire.Packet) {
	f := &p.Frame
	g := callerFrame(f)
	if !f.Has(wire.FlagStateless) {
		tok, err := c.Router.IssueToken(now, nil, f.Service, f.Server, f.Generation, f.Flow)
		if err != nil {
			c.refuse(p, wire.ReasonBadToken)
			return
		}
		g.Token = tok
	}
	c.Opened++
	c.toCaller(p, g)
}

// refusalReason returns the reason to report for a server's refusal of a flow.
func refusalReason(f *wire.Frame) wire.Reason {
	if f.Has(wire.FlagDraining) {
		return wire.ReasonServerLeft
	}
	return wire.ReasonServerShed
}

// callerFrame returns a server's frame with only the fields that the caller
// needs. Server and generation let the caller tell apart the servers that its
// retransmitted open frames reached. The caller keeps the first and ignores the
// others.
func callerFrame(f *wire.Frame) wire.Frame {
	return wire.Frame{
		Kind: f.Kind, Flow: f.Flow, Reason: f.Reason, Body: f.Body, ID: f.ID,
		Service: f.Service, Server: f.Server, Generation: f.Generation,
	}
}
