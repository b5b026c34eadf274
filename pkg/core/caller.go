package core

import (
	"net/netip"
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/flow"
	"ebonypaddle/pkg/pick"
	"ebonypaddle/pkg/wire"
)

// HandleCaller handles a packet of a caller, which came through the fabric. The
// result is valid until the next call.
func (c *Core) HandleCaller(now time.Time, p *wire.Packet) []wire.Send {
	c.beginCall(now)
	c.lastPacket = now
	c.viaByService[p.Service] = p.Via
	switch p.Frame.Kind {
	case wire.KindOpen, wire.KindData, wire.KindClose:
		c.routeFlow(now, p, c.Router.Route(now, p))
		c.Router.Flush(&c.out)
	case wire.KindRequest, wire.KindCancel:
		c.handleRequest(now, p)
	default:
		c.drop(p, wire.ReasonMalformed)
	}
	return c.allowedSends(now)
}

// handleRequest passes a request or cancel frame to the request table.
func (c *Core) handleRequest(now time.Time, p *wire.Packet) {
	if c.snap == nil {
		c.refuse(p, wire.ReasonNoSettings)
		return
	}
	svc, ok := c.Router.Service(p.Service)
	if !ok {
		c.refuse(p, wire.ReasonUnknownService)
		return
	}
	if p.Frame.Kind == wire.KindCancel {
		c.Requests.HandleCancel(now, svc, p, &c.out)
		return
	}
	c.Requests.HandleRequest(now, svc, p, &c.out)
}

// refuse answers a frame that this instance does not send to a server. A request
// may have run through another instance before, so its outcome is unknown.
func (c *Core) refuse(p *wire.Packet, reason wire.Reason) {
	c.Stats.Refused.Add(reason)
	if p.Frame.Kind == wire.KindRequest {
		c.Log.Info("request refused", "request", p.Frame.ID, "caller", p.Caller, "service", p.Service, "outcome", wire.OutcomeUnknown, "reason", reason, "rev", c.rev())
	} else {
		c.Log.Info("flow refused", "flow", p.LogValue(), "reason", reason, "rev", c.rev())
	}
	f := wire.Frame{Kind: wire.KindRefusal, Flow: p.Frame.Flow, ID: p.Frame.ID, Reason: reason}
	if p.Frame.Kind == wire.KindRequest {
		f.Outcome = wire.OutcomeUnknown
	}
	c.toCaller(p, f)
}

// toCaller sends a frame to the caller of a packet.
func (c *Core) toCaller(p *wire.Packet, f wire.Frame) {
	c.out.Caller(&wire.Packet{Caller: p.Caller, Service: p.Service, Via: p.Via, Frame: f})
}

// routeFlow carries out the decision of the router for a frame of a flow.
func (c *Core) routeFlow(now time.Time, p *wire.Packet, rt flow.Route) {
	switch rt.Verdict {
	case flow.Hold:
	case flow.Place:
		c.placeFlow(now, p, 0)
	case flow.Forward:
		if rt.Stateless && p.Frame.Kind == wire.KindOpen {
			c.placeFlow(now, p, rt.Server)
			return
		}
		c.renewToken(now, p, rt)
		c.forward(now, p, rt.Server, rt.Generation)
	case flow.Refuse:
		c.refuseFlow(now, p, rt.Reason)
	}
}

// placeFlow places a new flow and sends its frame. If onlyServer is not zero, no
// other server may be chosen; it is the server of the caller's bucket, for a
// caller that cannot carry a token. A server in cold start gets new flows within
// its quota.
func (c *Core) placeFlow(now time.Time, p *wire.Packet, onlyServer conf.ServerID) {
	svc, _ := c.Router.Service(p.Service)
	criteria := c.criteria(now, svc, true, c.deadline(now, svc, p.Frame.Timeout))
	criteria.Only = onlyServer
	ch, reason := c.Picker.Place(now, &criteria)
	if reason != wire.ReasonNone {
		c.refuse(p, reason)
		return
	}
	c.Log.Info("flow placed", "flow", p.LogValue(), "server", ch.Server, "domain", c.targets[ch.Server].domain, "cold", ch.Cold, "freshFor", criteria.CrossUntil.Sub(now), "rev", c.rev())
	c.toServer(p, ch.Addr, ch.Server, ch.Generation, ch.Deadline, ch.Expires)
}

// renewToken sends the caller a token under the newest key if its token uses an
// older one. Otherwise the flow would end when the old key is removed.
func (c *Core) renewToken(now time.Time, p *wire.Packet, rt flow.Route) {
	if p.Frame.Kind != wire.KindData || !c.box.Outdated(now, p.Frame.Token) {
		return
	}
	svc, _ := c.Router.Service(p.Service)
	tok, err := c.Router.IssueToken(now, nil, svc, rt.Server, rt.Generation, p.Frame.Flow)
	if err != nil {
		return
	}
	c.toCaller(p, wire.Frame{
		Kind: wire.KindOpened, Flow: p.Frame.Flow, Token: tok,
		Service: svc, Server: rt.Server, Generation: rt.Generation,
	})
}

// forward sends a frame of an established flow to its server, without
// allocating memory. It drops the frame if the server is unconfirmed, or if it is
// in another failure domain and this instance is not fresh.
func (c *Core) forward(now time.Time, p *wire.Packet, id conf.ServerID, generation uint32) {
	t, ok := c.targets[id]
	if !ok {
		c.drop(p, wire.ReasonServerGone)
		return
	}
	until, ok := c.Servers.Confirmed(now, id)
	if !ok {
		c.drop(p, wire.ReasonUnconfirmed)
		return
	}
	if t.domain != c.Domain {
		crossUntil := c.Freshness.CrossUntil(now)
		if !now.Before(crossUntil) {
			c.drop(p, wire.ReasonNotFresh)
			return
		}
		if crossUntil.Before(until) {
			until = crossUntil
		}
	}
	c.toServer(p, t.addr, id, generation, until, until)
}

// toServer sends a caller's frame to a server. The packet keeps the address of the
// caller.
func (c *Core) toServer(p *wire.Packet, to netip.AddrPort, id conf.ServerID, generation uint32, deadline, expires time.Time) {
	svc, _ := c.Router.Service(p.Service)
	q := *p
	q.Frame.Token = nil
	q.Frame.Service, q.Frame.Server, q.Frame.Generation = svc, id, generation
	q.Frame.SetDeadline(deadline)
	q.Frame.SetExpires(expires)
	c.out.Server(to, &q)
}

// refuseFlow handles a frame that the router refuses. A new flow is refused. For
// a flow that ended, the caller gets a closed frame. A frame whose token cannot be
// opened is dropped, since another instance may have the key. An instance that is
// not fresh also drops frames for a server that is gone, because its settings may
// be outdated.
func (c *Core) refuseFlow(now time.Time, p *wire.Packet, reason wire.Reason) {
	if p.Frame.Kind == wire.KindOpen {
		c.refuse(p, reason)
		return
	}
	switch reason {
	case wire.ReasonDomainOut, wire.ReasonServerGone:
		if reason == wire.ReasonServerGone && !now.Before(c.Freshness.CrossUntil(now)) {
			c.drop(p, wire.ReasonNotFresh)
			return
		}
		c.Stats.Closed.Add(reason)
		c.Log.Info("flow closed", "flow", p.LogValue(), "reason", reason, "rev", c.rev())
		c.toCaller(p, wire.Frame{Kind: wire.KindClosed, Flow: p.Frame.Flow, Reason: reason})
	default:
		c.drop(p, reason)
	}
}

// criteria returns the placement criteria of a new flow or attempt.
func (c *Core) criteria(now time.Time, svc conf.ServiceID, isFlow bool, deadline time.Time) pick.Criteria {
	return pick.Criteria{
		Service: svc, Flow: isFlow, Deadline: deadline,
		CrossUntil: c.Freshness.CrossUntil(now), ColdUntil: c.coldUntil(now),
	}
}

// deadline returns when the caller stops waiting. timeout is in milliseconds and
// limited by the request timeout of the service.
func (c *Core) deadline(now time.Time, svc conf.ServiceID, timeout uint32) time.Time {
	d := c.serviceSettings[svc].RequestTime
	if wait := time.Duration(timeout) * time.Millisecond; wait > 0 && wait < d {
		d = wait
	}
	return now.Add(d)
}
