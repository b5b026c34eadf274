package core

import (
	"net/netip"
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/flow"
	"ebonypaddle/pkg/pick"
	"ebonypaddle/pkg/wire"
)

// HandleCaller decides what happens to a frame from a caller. The result is
// valid until the next call.
func (c *Core) HandleCaller(now time.Time, p *wire.Packet) []wire.Send {
	c.enter(now)
	c.lastPkt = now
	c.via[p.Service] = p.Via
	switch p.Frame.Kind {
	case wire.KindOpen, wire.KindData, wire.KindClose:
		c.route(now, p, c.Router.Route(now, p))
		c.Router.Flush(&c.out)
	case wire.KindRequest, wire.KindCancel:
		c.request(now, p)
	default:
		c.drop(p, wire.ReasonMalformed)
	}
	return c.sends(now)
}

func (c *Core) request(now time.Time, p *wire.Packet) {
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

// refuse answers a frame that this instance sends nowhere. A request may have
// run through another instance before, so its outcome is unknown.
func (c *Core) refuse(p *wire.Packet, why wire.Reason) {
	c.Stats.Refused.Add(why)
	if p.Frame.Kind == wire.KindRequest {
		c.Log.Info("request refused", "request", p.Frame.ID, "caller", p.Caller, "service", p.Service, "outcome", wire.OutcomeUnknown, "reason", why, "rev", c.rev())
	} else {
		c.Log.Info("flow refused", "flow", p.LogValue(), "reason", why, "rev", c.rev())
	}
	f := wire.Frame{Kind: wire.KindRefusal, Flow: p.Frame.Flow, ID: p.Frame.ID, Reason: why}
	if p.Frame.Kind == wire.KindRequest {
		f.Outcome = wire.OutcomeUnknown
	}
	c.toCaller(p, f)
}

func (c *Core) toCaller(p *wire.Packet, f wire.Frame) {
	c.out.Caller(&wire.Packet{Caller: p.Caller, Service: p.Service, Via: p.Via, Frame: f})
}

// route carries out the decision of the router for a frame of a flow.
func (c *Core) route(now time.Time, p *wire.Packet, rt flow.Route) {
	switch rt.Verdict {
	case flow.Hold:
	case flow.Place:
		c.open(now, p, 0)
	case flow.Forward:
		if rt.Stateless && p.Frame.Kind == wire.KindOpen {
			c.open(now, p, rt.Server)
			return
		}
		c.renew(now, p, rt)
		c.forward(now, p, rt.Server, rt.Generation)
	case flow.Refuse:
		c.refuseFlow(now, p, rt.Reason)
	}
}

// open places a new flow on the server only, if it is not zero: the server of
// the bucket of a caller without token. A server in cold start takes new flows
// within its quota.
func (c *Core) open(now time.Time, p *wire.Packet, only conf.ServerID) {
	svc, _ := c.Router.Service(p.Service)
	ask := c.ask(now, svc, true, c.deadline(now, svc, p.Frame.Timeout))
	ask.Only = only
	ch, why := c.Picker.Place(now, &ask)
	if why != wire.ReasonNone {
		c.refuse(p, why)
		return
	}
	c.Log.Info("flow placed", "flow", p.LogValue(), "server", ch.Server, "domain", c.addrs[ch.Server].domain, "cold", ch.Cold, "freshFor", ask.CrossUntil.Sub(now), "rev", c.rev())
	c.toServer(p, ch.Addr, ch.Server, ch.Generation, ch.Deadline, ch.Expires)
}

// renew gives the caller a token under the newest key. The old key may be
// removed later, and the flow would end with it.
func (c *Core) renew(now time.Time, p *wire.Packet, rt flow.Route) {
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

// forward sends a frame of an established flow to its server. It does not
// allocate.
func (c *Core) forward(now time.Time, p *wire.Packet, id conf.ServerID, generation uint32) {
	t, ok := c.addrs[id]
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
		cross := c.Freshness.CrossUntil(now)
		if !now.Before(cross) {
			c.drop(p, wire.ReasonNotFresh)
			return
		}
		if cross.Before(until) {
			until = cross
		}
	}
	c.toServer(p, t.addr, id, generation, until, until)
}

// toServer sends a caller's frame to a server in the caller's name.
func (c *Core) toServer(p *wire.Packet, to netip.AddrPort, id conf.ServerID, generation uint32, deadline, expires time.Time) {
	svc, _ := c.Router.Service(p.Service)
	q := *p
	q.Frame.Token = nil
	q.Frame.Service, q.Frame.Server, q.Frame.Generation = svc, id, generation
	q.Frame.SetDeadline(deadline)
	q.Frame.SetExpires(expires)
	c.out.Server(to, &q)
}

// refuseFlow handles a frame that the router refuses. Flows that ended are
// closed towards the caller; a frame whose token does not open is dropped,
// since another instance may have the key. An instance that is not fresh drops
// as well: its view that a server is gone may be old.
func (c *Core) refuseFlow(now time.Time, p *wire.Packet, why wire.Reason) {
	if p.Frame.Kind == wire.KindOpen {
		c.refuse(p, why)
		return
	}
	switch why {
	case wire.ReasonDomainOut, wire.ReasonServerGone:
		if why == wire.ReasonServerGone && !now.Before(c.Freshness.CrossUntil(now)) {
			c.drop(p, wire.ReasonNotFresh)
			return
		}
		c.Stats.Closed.Add(why)
		c.Log.Info("flow closed", "flow", p.LogValue(), "reason", why, "rev", c.rev())
		c.toCaller(p, wire.Frame{Kind: wire.KindClosed, Flow: p.Frame.Flow, Reason: why})
	default:
		c.drop(p, why)
	}
}

// ask describes new work to the picker.
func (c *Core) ask(now time.Time, svc conf.ServiceID, isFlow bool, deadline time.Time) pick.Criteria {
	return pick.Criteria{
		Service: svc, Flow: isFlow, Deadline: deadline,
		CrossUntil: c.Freshness.CrossUntil(now), ColdUntil: c.coldUntil(now),
	}
}

// deadline is when the caller stops waiting, at most the service's request
// time away.
func (c *Core) deadline(now time.Time, svc conf.ServiceID, timeout uint32) time.Time {
	d := c.limits[svc].RequestTime
	if t := time.Duration(timeout) * time.Millisecond; t > 0 && t < d {
		d = t
	}
	return now.Add(d)
}
