package pick

import (
	"net/netip"
	"slices"
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wire"
)

// Criteria are the requirements of a new flow or request on its server.
type Criteria struct {
	Service conf.ServiceID
	// Flow is set for a new flow, unset for a request.
	Flow bool
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Once is set for a request that gets a single attempt. The attempt may
	// last until Deadline.
	Once bool
	// Only, if not zero, is the only server that may be chosen.
	Only conf.ServerID
	// Tried are servers that must not be chosen again.
	Tried []conf.ServerID
	// CrossUntil is when this instance's settings are no longer fresh enough
	// to use servers of other failure domains.
	CrossUntil time.Time
	// ColdUntil is when this instance must stop sending to cold servers. Until
	// then its settings are fresh, its clock skew is within the bound, and it
	// receives peer messages at its own address, which shows that no other
	// process has replaced it there.
	ColdUntil time.Time
}

// Choice is the server chosen for a flow or request.
type Choice struct {
	Server     conf.ServerID
	Generation uint32
	Addr       netip.AddrPort
	// Deadline is the deadline that the frame to the server must carry.
	// Expires is the latest arrival of the frame at the server: after that
	// the server's identity must be confirmed again, and for a server in
	// another failure domain the settings as well.
	Deadline, Expires time.Time
	Flow              bool
	// Cold says that the work counts against a cold server's quota.
	Cold bool

	epoch int64
}

// candidate is a server that may get the work.
type candidate struct {
	state    *serverState
	deadline time.Time
	expires  time.Time
	wait     time.Duration
	// score orders candidates, lowest first: the expected wait plus a share of
	// the recent work, which spreads load when all waits are near zero.
	score time.Duration
	cold  bool
	epoch int64
}

// Place chooses a server. If none is available, it returns the most specific of
// the reasons that excluded the servers of the service.
func (p *Picker) Place(now time.Time, crit *Criteria) (Choice, wire.Reason) {
	svc := p.services[crit.Service]
	if svc == nil {
		return Choice{}, wire.ReasonUnknownService
	}
	if !now.Before(crit.Deadline) {
		return Choice{}, wire.ReasonDeadline
	}
	best, reason := p.pickBest(now, crit, svc.local)
	if best.state == nil || best.score > best.state.maxLocalWait() {
		if other, otherReason := p.pickBest(now, crit, svc.remote); other.state != nil {
			if best.state == nil || other.score < best.score {
				best = other
			}
		} else {
			reason = moreSpecific(reason, otherReason)
		}
	}
	if best.state == nil {
		return Choice{}, reason
	}
	if now.Add(best.wait).After(crit.Deadline) {
		return Choice{}, wire.ReasonOverloaded
	}
	return p.assign(now, crit, &best), wire.ReasonNone
}

// extraCandidates is the number of random candidates compared with the first.
const extraCandidates = 5

// pickBest returns the best of a few random candidates.
func (p *Picker) pickBest(now time.Time, crit *Criteria, states []*serverState) (candidate, wire.Reason) {
	none := wire.ReasonNoServer
	best, reason := p.randomCandidate(now, crit, states, nil)
	if best.state == nil {
		return best, moreSpecific(none, reason)
	}
	for range extraCandidates {
		if other, _ := p.randomCandidate(now, crit, states, best.state); other.state != nil && other.score < best.score {
			best = other
		}
	}
	return best, wire.ReasonNone
}

// maxScanned bounds the servers that one call of randomCandidate looks at.
const maxScanned = 32

// randomCandidate returns the first usable server other than exclude, starting
// from a random position in the list.
func (p *Picker) randomCandidate(now time.Time, crit *Criteria, states []*serverState, exclude *serverState) (candidate, wire.Reason) {
	combined := wire.ReasonNoServer
	if len(states) == 0 {
		return candidate{}, combined
	}
	i := p.Rand.IntN(len(states))
	for range min(len(states), maxScanned) {
		st := states[i]
		if i++; i == len(states) {
			i = 0
		}
		if st == exclude || slices.Contains(crit.Tried, st.id) {
			continue
		}
		c, reason := p.evaluate(now, crit, st)
		if reason == wire.ReasonNone {
			return c, reason
		}
		combined = moreSpecific(combined, reason)
	}
	return candidate{}, combined
}

// evaluate checks whether the work may be sent to a server. It returns the
// candidate with its score, or the reason that forbids it.
func (p *Picker) evaluate(now time.Time, crit *Criteria, st *serverState) (candidate, wire.Reason) {
	c := candidate{state: st, deadline: crit.Deadline}
	if st.domainOut {
		return c, wire.ReasonDomainOut
	}
	if now.Before(st.usableFrom) || crit.Only != 0 && st.id != crit.Only {
		return c, wire.ReasonNoServer
	}
	if !st.local {
		if !now.Before(crit.CrossUntil) {
			return c, wire.ReasonNotFresh
		}
		c.expires = crit.CrossUntil
	}
	until, reason := p.Servers.Usable(now, st.id)
	if reason != wire.ReasonNone {
		return c, reason
	}
	if c.expires.IsZero() || until.Before(c.expires) {
		c.expires = until
	}
	total, _, warm := p.Servers.Stage(st.id)
	if !warm {
		return p.evaluateCold(now, crit, c, total)
	}
	if !crit.Once {
		c.limitDeadline(now.Add(st.limits.attempt))
	}
	return c.evaluateWarm(now, crit)
}

// evaluateWarm applies the connection or request limit of a warm server and
// computes the candidate's score.
func (c candidate) evaluateWarm(now time.Time, crit *Criteria) (candidate, wire.Reason) {
	st := c.state
	if crit.Flow {
		epoch, _, _ := st.limits.window(now)
		st.startEpoch(epoch)
		c.epoch = epoch
		if st.openedFlows >= st.flowQuota() {
			return c, wire.ReasonOverloaded
		}
	} else if st.InFlight >= st.limits.warmLimit() {
		return c, wire.ReasonOverloaded
	}
	c.wait = st.Wait(now)
	c.score = c.wait + time.Duration(st.RecentWork(now)*recentWorkWeight)
	if crit.Flow {
		c.score += st.connectionUse()
	}
	return c, wire.ReasonNone
}

// evaluateCold applies the quota of a cold server (section 4.5 of the design).
// The work must end by the end of the epoch, because the quota units then pass
// to other instances. The score of a cold candidate is 0, so that it wins every
// comparison with a warm server that has load.
func (p *Picker) evaluateCold(now time.Time, crit *Criteria, c candidate, total int) (candidate, wire.Reason) {
	st := c.state
	epoch, end, ok := st.limits.window(now)
	c.limitDeadline(end)
	c.limitDeadline(crit.ColdUntil)
	if !ok || now.Before(p.coldFrom) || st.position.index < 0 || c.deadline.Sub(now) <= minColdServiceTimes*st.Latency || end.Sub(now) <= st.minEpochRemaining(crit) {
		return c, wire.ReasonColdLimit
	}
	st.startEpoch(epoch)
	c.cold, c.epoch = true, epoch
	if crit.Flow {
		if st.position.units(st.offset, epoch, 1) == 0 || now.Before(st.nextFlowAt) || st.openedFlows >= st.flowQuota() {
			return c, wire.ReasonColdLimit
		}
		return c, wire.ReasonNone
	}
	units := st.position.units(st.offset, epoch, total)
	if max(st.coldInUse, st.InFlight) >= units {
		return c, wire.ReasonColdLimit
	}
	return c, wire.ReasonNone
}

const (
	// minColdServiceTimes is the minimum time to the deadline of work on a
	// cold server, in estimated service times.
	minColdServiceTimes = 2
	// minOnceServiceTimes is the minimum time to the end of the epoch for a
	// single-attempt request, in estimated service times. The outcome of such
	// a request stays unknown if the server abandons it at its deadline. The
	// estimate follows short answers, so this is seven times the mean if
	// service times are distributed exponentially.
	minOnceServiceTimes = 16
)

// minEpochRemaining returns how long before the end of the epoch work must start
// on a cold server. It is half of the epoch while the service time is unknown,
// and never more than that, because a slow server would otherwise get no work. A
// flow may open at any time, since it opens at once. A repeatable request with a
// known service time is limited by minColdServiceTimes alone.
func (st *serverState) minEpochRemaining(crit *Criteria) time.Duration {
	half := st.limits.epoch / 2
	switch {
	case crit.Flow:
		return 0
	case st.Latency == 0:
		return half
	case crit.Once:
		return min(minOnceServiceTimes*st.Latency, half)
	}
	return 0
}

// limitDeadline sets the deadline to t if t is earlier.
func (c *candidate) limitDeadline(t time.Time) {
	if t.Before(c.deadline) {
		c.deadline = t
	}
}

// startEpoch resets the counters of the epoch when a new one begins.
func (st *serverState) startEpoch(epoch int64) {
	if st.epoch == epoch {
		return
	}
	st.epoch, st.coldInUse, st.openedFlows = epoch, 0, 0
}

// epochOpenDivisor is the divisor of a server's free connections that gives the
// number of flows which all instances together may open in one epoch. Load
// reports are up to one epoch old, so the free connections F(e) in epoch e obey
// F(e+1) >= F(e) - F(e-1)/4, which stays positive. With a divisor of 3 they
// could become negative.
const epochOpenDivisor = 4

// flowQuota returns how many flows this instance may open on the server in the
// epoch. It relies on the server's load reports: closes may pass through any
// instance, so an instance cannot count a server's open flows itself.
func (st *serverState) flowQuota() int {
	free := max(st.limits.connections-int(st.load.Flows), 0)
	return st.position.units(st.offset, st.epoch, free/epochOpenDivisor)
}

// assign counts the work against the candidate's limits and returns the choice.
func (p *Picker) assign(now time.Time, crit *Criteria, c *candidate) Choice {
	st := c.state
	p.Placed++
	if st.local {
		p.Local++
	}
	if c.cold {
		p.Cold++
	}
	if crit.Flow {
		st.openedFlows++
		_, stage, _ := p.Servers.Stage(st.id)
		st.nextFlowAt = now.Add(time.Second / time.Duration(st.limits.coldFlows<<min(stage, 8)))
	} else {
		st.Begin(now)
		if c.cold {
			st.coldInUse++
		}
	}
	return Choice{Server: st.id, Generation: st.generation, Addr: st.addr, Deadline: c.deadline, Expires: c.expires, Flow: crit.Flow, Cold: c.cold, epoch: c.epoch}
}

// moreSpecific returns the more specific of two reasons. A reason that passes by
// itself takes precedence over one that requires a change.
func moreSpecific(a, b wire.Reason) wire.Reason {
	if specificity(b) > specificity(a) {
		return b
	}
	return a
}

// specificity returns the rank of a reason in the order of precedence, or -1
// for a reason that is not in it.
func specificity(r wire.Reason) int {
	order := [...]wire.Reason{wire.ReasonNoServer, wire.ReasonDomainOut, wire.ReasonServerLeft, wire.ReasonServerGone,
		wire.ReasonUnconfirmed, wire.ReasonNotFresh, wire.ReasonColdLimit, wire.ReasonOverloaded}
	return slices.Index(order[:], r)
}
