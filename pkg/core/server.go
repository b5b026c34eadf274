package core

import (
	"net/netip"
	"time"

	"ebonypaddle/pkg/wire"
)

// HandleServer takes a frame that came from a backend server's address. The
// result is valid until the next call.
func (c *Core) HandleServer(now time.Time, from netip.AddrPort, p *wire.Packet) []wire.Send {
	c.enter(now)
	f := &p.Frame
	if !c.Servers.Receive(now, from, f, 0) {
		c.drop(p, wire.ReasonUnconfirmed)
		return nil
	}
	c.Picker.Reported(now, f.Server, f.Load)
	p.Via = c.via[p.Service]
	switch f.Kind {
	case wire.KindProbed:
	case wire.KindAnswer:
		c.answer(now, from, p)
	case wire.KindRefusal:
		if f.ID == (wire.RequestID{}) {
			c.refuse(p, refusalReason(f))
			break
		}
		c.answer(now, from, p)
	case wire.KindOpened:
		c.opened(now, p)
	case wire.KindData, wire.KindClosed, wire.KindClose:
		c.toCaller(p, clientFrame(f))
	default:
		c.drop(p, wire.ReasonMalformed)
	}
	return c.sends(now)
}

// answer passes an answer to the request table. The frame stays at hand for
// the placer, which learns the latency there.
func (c *Core) answer(now time.Time, from netip.AddrPort, p *wire.Packet) {
	c.inbound = &inbound{from, &p.Frame}
	c.Requests.HandleAnswer(now, p, &c.out)
	c.inbound = nil
}

// opened gives the caller the token of its new flow.
func (c *Core) opened(now time.Time, p *wire.Packet) {
	f := &p.Frame
	g := clientFrame(f)
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

func refusalReason(f *wire.Frame) wire.Reason {
	if f.Has(wire.FlagDraining) {
		return wire.ReasonServerLeft
	}
	return wire.ReasonServerShed
}

// clientFrame keeps what concerns the caller of a server's frame. Server and
// generation let the caller tell apart the servers that its repeated open
// frames reached; it keeps the first and ignores the others.
func clientFrame(f *wire.Frame) wire.Frame {
	return wire.Frame{
		Kind: f.Kind, Flow: f.Flow, Reason: f.Reason, Body: f.Body, ID: f.ID,
		Service: f.Service, Server: f.Server, Generation: f.Generation,
	}
}
