package pick

import (
	"net/netip"
	"slices"
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wire"
)

// Criteria are what Place must respect for a new flow or request.
type Criteria struct {
	Service conf.ServiceID
	// Flow asks for a server for a new flow instead of a request.
	Flow bool
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Once asks for a request that has a single attempt, which may use the
	// whole time that the caller waits.
	Once bool
	// Only, if not zero, is the only server that may be chosen.
	Only conf.ServerID
	// Tried are servers that must not be chosen again.
	Tried []conf.ServerID
	// CrossUntil is when this instance's freshness for other failure domains
	// ends.
	CrossUntil time.Time
	// ColdUntil is until when this instance may send to cold servers: it is
	// fresh, its clock is within the bound, and it hears peers at its own
	// address, which shows that no other process has taken its place.
	ColdUntil time.Time
}

// Choice is a server for one piece of work.
type Choice struct {
	Server     conf.ServerID
	Generation uint32
	Addr       netip.AddrPort
	// Deadline is the deadline that the frame to the server must carry, and
	// Expires its latest arrival: by then the server's identity and, in
	// another failure domain, the settings need a new confirmation.
	Deadline, Expires time.Time
	Flow              bool
	// Cold tells that the work counts against a cold server's quota.
	Cold bool

	epoch int64
}

// offer is a row that may take the work.
type offer struct {
	row      *row
	deadline time.Time
	expires  time.Time
	wait     time.Duration
	// score orders candidates: the wait plus the work given of late, which
	// spreads load when all waits are near zero.
	score time.Duration
	cold  bool
	epoch int64
}

// Place chooses a server. Without one it returns the reason: the most
// specific of those that excluded the servers of the service.
func (p *Picker) Place(now time.Time, ask *Criteria) (Choice, wire.Reason) {
	svc := p.services[ask.Service]
	if svc == nil {
		return Choice{}, wire.ReasonUnknownService
	}
	if !now.Before(ask.Deadline) {
		return Choice{}, wire.ReasonDeadline
	}
	best, why := p.better(now, ask, svc.own)
	if best.row == nil || best.score > best.row.acceptable() {
		if far, reason := p.better(now, ask, svc.other); far.row != nil {
			if best.row == nil || far.score < best.score {
				best = far
			}
		} else {
			why = worse(why, reason)
		}
	}
	if best.row == nil {
		return Choice{}, why
	}
	if now.Add(best.wait).After(ask.Deadline) {
		return Choice{}, wire.ReasonOverloaded
	}
	return p.take(now, ask, &best), wire.ReasonNone
}

// moreDraws is the number of random candidates beside the first.
const moreDraws = 5

// better returns the best of a few random candidates.
func (p *Picker) better(now time.Time, ask *Criteria, rows []*row) (offer, wire.Reason) {
	why := wire.ReasonNoServer
	a, reason := p.draw(now, ask, rows, nil)
	if a.row == nil {
		return a, worse(why, reason)
	}
	for range moreDraws {
		if b, _ := p.draw(now, ask, rows, a.row); b.row != nil && b.score < a.score {
			a = b
		}
	}
	return a, wire.ReasonNone
}

// maxScan bounds the candidates that one draw looks at.
const maxScan = 32

// draw returns the first candidate from a random position on.
func (p *Picker) draw(now time.Time, ask *Criteria, rows []*row, not *row) (offer, wire.Reason) {
	why := wire.ReasonNoServer
	if len(rows) == 0 {
		return offer{}, why
	}
	i := p.Rand.IntN(len(rows))
	for range min(len(rows), maxScan) {
		r := rows[i]
		if i++; i == len(rows) {
			i = 0
		}
		if r == not || slices.Contains(ask.Tried, r.id) {
			continue
		}
		o, reason := p.offer(now, ask, r)
		if reason == wire.ReasonNone {
			return o, reason
		}
		why = worse(why, reason)
	}
	return offer{}, why
}

// offer checks everything that forbids sending the work to a server.
func (p *Picker) offer(now time.Time, ask *Criteria, r *row) (offer, wire.Reason) {
	o := offer{row: r, deadline: ask.Deadline}
	if r.out {
		return o, wire.ReasonDomainOut
	}
	if now.Before(r.from) || ask.Only != 0 && r.id != ask.Only {
		return o, wire.ReasonNoServer
	}
	if !r.local {
		if !now.Before(ask.CrossUntil) {
			return o, wire.ReasonNotFresh
		}
		o.expires = ask.CrossUntil
	}
	until, reason := p.Servers.Usable(now, r.id)
	if reason != wire.ReasonNone {
		return o, reason
	}
	if o.expires.IsZero() || until.Before(o.expires) {
		o.expires = until
	}
	total, _, warm := p.Servers.Stage(r.id)
	if !warm {
		return p.offerCold(now, ask, o, total)
	}
	if !ask.Once {
		o.limit(now.Add(r.limits.attempt))
	}
	return o.offerWarm(now, ask)
}

func (o offer) offerWarm(now time.Time, ask *Criteria) (offer, wire.Reason) {
	r := o.row
	if ask.Flow {
		epoch, _, _ := r.limits.window(now)
		r.roll(epoch)
		o.epoch = epoch
		if r.opened >= r.flowShare() {
			return o, wire.ReasonOverloaded
		}
	} else if r.InFlight >= r.limits.warmLimit() {
		return o, wire.ReasonOverloaded
	}
	o.wait = r.Wait(now)
	o.score = o.wait + time.Duration(r.RecentWork(now)*workWeight)
	if ask.Flow {
		o.score += r.filled()
	}
	return o, wire.ReasonNone
}

// offerCold applies the quota of section 4.5 of the design. The deadline of
// the work is the end of the epoch, when another place takes its turn.
func (p *Picker) offerCold(now time.Time, ask *Criteria, o offer, total int) (offer, wire.Reason) {
	r := o.row
	epoch, end, ok := r.limits.window(now)
	o.limit(end)
	o.limit(ask.ColdUntil)
	if !ok || now.Before(p.quiet) || r.place.index < 0 || o.deadline.Sub(now) <= coldRoom*r.Latency || end.Sub(now) <= r.epochRoom(ask) {
		return o, wire.ReasonColdLimit
	}
	r.roll(epoch)
	o.cold, o.epoch = true, epoch
	if ask.Flow {
		if r.place.units(r.offset, epoch, 1) == 0 || now.Before(r.flowAt) || r.opened >= r.flowShare() {
			return o, wire.ReasonColdLimit
		}
		return o, wire.ReasonNone
	}
	units := r.place.units(r.offset, epoch, total)
	if max(r.coldUsed, r.InFlight) >= units {
		return o, wire.ReasonColdLimit
	}
	return o, wire.ReasonNone
}

const (
	// coldRoom is the time that work at a cold server needs before its
	// deadline, in estimated service times.
	coldRoom = 2
	// onceRoom is the same before the end of the epoch for a request that may
	// run once, whose outcome stays unknown when the server gives it up. The
	// estimate follows short answers, so this is seven means of exponential
	// service times.
	onceRoom = 16
)

// epochRoom returns how long before the end of the epoch work must start at a
// cold server: half of the epoch while the service time is unknown, and at
// most, because a slow server would get nothing otherwise. A flow opens at
// once.
func (r *row) epochRoom(ask *Criteria) time.Duration {
	half := r.limits.epoch / 2
	switch {
	case ask.Flow:
		return 0
	case r.Latency == 0:
		return half
	case ask.Once:
		return min(onceRoom*r.Latency, half)
	}
	return 0
}

func (o *offer) limit(t time.Time) {
	if t.Before(o.deadline) {
		o.deadline = t
	}
}

func (r *row) roll(epoch int64) {
	if r.epoch == epoch {
		return
	}
	r.epoch, r.coldUsed, r.opened = epoch, 0, 0
}

// openShare divides the free connections of a server into what all places
// together may open in one epoch. Reports lag by up to an epoch, so the free
// connections F follow F(e+1) >= F(e) - F(e-1)/4, which stays positive; with 3
// it would not.
const openShare = 4

// flowShare is this place's part of the flows that may open in the epoch.
// Closes may pass through any instance, so an instance cannot count the open
// flows of a server itself.
func (r *row) flowShare() int {
	free := max(r.limits.connections-int(r.load.Flows), 0)
	return r.place.units(r.offset, r.epoch, free/openShare)
}

func (p *Picker) take(now time.Time, ask *Criteria, o *offer) Choice {
	r := o.row
	p.Placed++
	if r.local {
		p.Local++
	}
	if o.cold {
		p.Cold++
	}
	if ask.Flow {
		r.opened++
		_, stage, _ := p.Servers.Stage(r.id)
		r.flowAt = now.Add(time.Second / time.Duration(r.limits.coldFlows<<min(stage, 8)))
	} else {
		r.Begin(now)
		if o.cold {
			r.coldUsed++
		}
	}
	return Choice{Server: r.id, Generation: r.generation, Addr: r.addr, Deadline: o.deadline, Expires: o.expires, Flow: ask.Flow, Cold: o.cold, epoch: o.epoch}
}

// worse returns the more specific of two reasons: one that passes by itself
// outweighs one that needs a change.
func worse(a, b wire.Reason) wire.Reason {
	if rank(b) > rank(a) {
		return b
	}
	return a
}

func rank(r wire.Reason) int {
	order := [...]wire.Reason{wire.ReasonNoServer, wire.ReasonDomainOut, wire.ReasonServerLeft, wire.ReasonServerGone,
		wire.ReasonUnconfirmed, wire.ReasonNotFresh, wire.ReasonColdLimit, wire.ReasonOverloaded}
	return slices.Index(order[:], r)
}
