package core

import (
	"slices"
	"time"

	"ebonypaddle/pkg/wire"
)

// sends returns what was decided, without the frames that must not reach a
// server any more. Requests in progress, cancellations and probes are decided
// by tables that do not know of marks and freshness, so every frame to a
// server passes here.
func (c *Core) sends(now time.Time) []wire.Send {
	c.out.Sends = slices.DeleteFunc(c.out.Sends, func(s wire.Send) bool {
		return s.Target == wire.ToServer && c.forbidden(now, &s.Packet)
	})
	for i := range c.out.Sends {
		if s := &c.out.Sends[i]; s.Target == wire.ToServer && s.Packet.Frame.Expires == 0 {
			c.expire(now, &s.Packet.Frame)
		}
	}
	return c.out.Sends
}

// expire limits the arrival of a frame to the time for which its server is
// confirmed and, in another failure domain, this instance is fresh. A frame of
// a paused instance that is sent late is then discarded.
func (c *Core) expire(now time.Time, f *wire.Frame) {
	if f.Kind == wire.KindProbe {
		return
	}
	until, _ := c.Servers.Confirmed(now, f.Server)
	if c.addrs[f.Server].domain != c.Domain {
		if cross := c.Freshness.CrossUntil(now); cross.Before(until) {
			until = cross
		}
	}
	f.SetExpires(until)
}

// forbidden reports whether a frame may not be sent to its server, and counts
// the reason.
func (c *Core) forbidden(now time.Time, p *wire.Packet) bool {
	f := &p.Frame
	t, ok := c.addrs[f.Server]
	why := wire.ReasonNone
	switch {
	case !ok || t.generation != f.Generation:
		why = wire.ReasonServerGone
	case c.domains[t.domain]:
		why = wire.ReasonDomainOut
	case f.Kind == wire.KindProbe:
		// A probe carries nothing of a caller; it confirms the identity.
	case t.domain != c.Domain && !now.Before(c.Freshness.CrossUntil(now)):
		why = wire.ReasonNotFresh
	default:
		if _, ok := c.Servers.Confirmed(now, f.Server); !ok {
			why = wire.ReasonUnconfirmed
		}
	}
	if why == wire.ReasonNone {
		return false
	}
	if f.Kind != wire.KindProbe {
		c.drop(p, why)
	}
	return true
}
