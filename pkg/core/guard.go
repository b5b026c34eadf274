package core

import (
	"slices"
	"time"

	"ebonypaddle/pkg/wire"
)

// allowedSends returns the pending sends, without the frames that may no longer
// be sent to a server. The tables that send requests, cancellations and probes do
// not check marks and freshness, so all frames to servers are checked here.
func (c *Core) allowedSends(now time.Time) []wire.Send {
	c.out.Sends = slices.DeleteFunc(c.out.Sends, func(s wire.Send) bool {
		return s.Target == wire.ToServer && c.forbidden(now, &s.Packet)
	})
	for i := range c.out.Sends {
		if s := &c.out.Sends[i]; s.Target == wire.ToServer && s.Packet.Frame.Expires == 0 {
			c.limitExpiry(now, &s.Packet.Frame)
		}
	}
	return c.out.Sends
}

// limitExpiry lets a frame expire when its server is no longer confirmed or, if
// the server is in another failure domain, when this instance is no longer fresh.
// The server then discards a frame that a paused instance sends late.
func (c *Core) limitExpiry(now time.Time, f *wire.Frame) {
	if f.Kind == wire.KindProbe {
		return
	}
	until, _ := c.Servers.Confirmed(now, f.Server)
	if c.targets[f.Server].domain != c.Domain {
		if crossUntil := c.Freshness.CrossUntil(now); crossUntil.Before(until) {
			until = crossUntil
		}
	}
	f.SetExpires(until)
}

// forbidden reports whether a frame may not be sent to its server. It counts and
// logs such a frame, unless it is a probe.
func (c *Core) forbidden(now time.Time, p *wire.Packet) bool {
	f := &p.Frame
	t, ok := c.targets[f.Server]
	reason := wire.ReasonNone
	switch {
	case !ok || t.generation != f.Generation:
		reason = wire.ReasonServerGone
	case c.domainOut[t.domain]:
		reason = wire.ReasonDomainOut
	case f.Kind == wire.KindProbe:
		// Probes carry no data of callers and are needed to confirm the
		// server.
	case t.domain != c.Domain && !now.Before(c.Freshness.CrossUntil(now)):
		reason = wire.ReasonNotFresh
	default:
		if _, ok := c.Servers.Confirmed(now, f.Server); !ok {
			reason = wire.ReasonUnconfirmed
		}
	}
	if reason == wire.ReasonNone {
		return false
	}
	if f.Kind != wire.KindProbe {
		c.drop(p, reason)
	}
	return true
}
