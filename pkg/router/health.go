package router

import (
	"time"

	"ebonypaddle/pkg/logs"
)

const (
	// suspectFailures is the number of consecutive failures, without an answer
	// between them, after which a server is suspected and gets no new flows. A
	// single failure can be a lost datagram.
	suspectFailures = 2
	// unresponsiveRetransmissions is the number of data retransmissions after
	// which open flows of a server are closed as well. They must come from
	// more than one flow, see passiveHealth.unresponsive.
	unresponsiveRetransmissions = 3
	// singleFlowRetransmissions is the number of data retransmissions after
	// which a flow is closed without failures in other flows. With 1% of
	// datagrams lost, the loss of four in a row has a chance of one in 10^8.
	singleFlowRetransmissions = 3
	// minUnansweredTime is how long a server must also have answered no caller
	// before open flows are closed. It is longer than the 200 ms after which
	// callers retransmit data.
	minUnansweredTime = 250 * time.Millisecond
	// maxRetransmissionAge is how long data retransmissions count. Older ones
	// say nothing about a server that may be reachable again. It is half of
	// the time for which the platform counts a healed link as disturbed.
	maxRetransmissionAge = 2 * time.Second
	// unreachableFailures is the number of consecutive failures after which a
	// failure domain counts as unreachable.
	unreachableFailures = 4
	// suspectBackoff is how long a suspected server gets no new flows. After
	// it, one flow is opened at the server as a trial. If the server does not
	// answer, that costs the flow the 200 ms after which its caller
	// retransmits the opening.
	suspectBackoff = time.Second
	// maxSuspectBackoff bounds the backoff, which doubles with each failed
	// trial.
	maxSuspectBackoff = 4 * time.Second
	// recentAnswerAge is how long after an answer a server counts as alive
	// when its record is removed. The store removes a record after three
	// missed heartbeats, so a server that really stopped has not answered for
	// longer than this.
	recentAnswerAge = 1500 * time.Millisecond
	// openingTimeout is the time in which the server must answer an opening
	// and the caller must send its next packet. It is several times the
	// longest network delay between failure domains, and below the 200 ms
	// after which callers retransmit an opening.
	openingTimeout = 80 * time.Millisecond
	// maxCallGap is the longest time between two calls of Handle or Tick; a
	// longer one means that the process was paused. Tick is called every
	// 100 ms. The limit is below the 200 ms after which callers retransmit data,
	// so that a retransmission which waited in the socket during a pause does
	// not count as a failure of the server.
	maxCallGap = 150 * time.Millisecond
	// pauseGrace is how long after a pause failures do not count. Packets
	// that arrive then may have waited in the socket for an unknown time, and
	// missing ones may be delayed.
	pauseGrace = 400 * time.Millisecond
	// openingLifetime is the time after which callers give up an opening.
	openingLifetime = 1400 * time.Millisecond
	// maxLag is the longest time that a packet may wait in the instance's own
	// socket. Behind a longer queue, the instance reads retransmissions before
	// the packets that confirm the answer.
	maxLag = 40 * time.Millisecond
	// closeGrace is the time after the grace period of a pause or a lag in which
	// no open flow is closed. When it ends, retransmissions that were counted
	// before the pause or lag are older than maxRetransmissionAge and no longer
	// count.
	closeGrace = maxRetransmissionAge
)

// passiveHealth is the result of passive health checks: what packets of
// callers show about whether a server answers. The instance does not see the
// answers themselves, since servers send them to callers directly.
type passiveHealth struct {
	answeredAt time.Time
	failures   int
	// failingSince is when the first of the failures was found.
	failingSince time.Time
	// retransmissions counts the failures that were retransmitted data of an
	// open flow, the latest at retransmittedAt. They are counted apart because
	// an overloaded server ignores openings but still serves its flows.
	retransmissions int
	retransmittedAt time.Time
	// firstFlow is the flow of the first of the consecutive failures.
	// multipleFlows is set when a failure came from another flow.
	firstFlow     flowKey
	multipleFlows bool
	// suspectedUntil is when a suspected server gets a new flow as a trial,
	// backoff the time from the failure until then.
	suspectedUntil time.Time
	backoff        time.Duration
}

// recordAnswer clears all failures, since a caller got an answer from the
// server.
func (h *passiveHealth) recordAnswer(now time.Time) { *h = passiveHealth{answeredAt: now} }

// recordFailure counts an answer that a caller expected of the server and that
// did not come. From suspectFailures on, the server is suspected.
func (h *passiveHealth) recordFailure(now time.Time, k flowKey) {
	if h.failures == 0 {
		h.firstFlow, h.failingSince = k, now
	}
	h.multipleFlows = h.multipleFlows || k != h.firstFlow
	h.failures++
	if h.failures < suspectFailures || now.Before(h.suspectedUntil) {
		return
	}
	h.backoff = min(max(2*h.backoff, suspectBackoff), maxSuspectBackoff)
	h.suspectedUntil = now.Add(h.backoff)
}

// suspected reports whether the server should get no new flows while there is
// another.
func (h *passiveHealth) suspected(now time.Time) bool { return now.Before(h.suspectedUntil) }

// unresponsive reports whether the server answers no caller, so that its open
// flows should be closed.
func (h *passiveHealth) unresponsive(now time.Time) bool {
	return h.retransmissions >= unresponsiveRetransmissions && h.multipleFlows &&
		now.Sub(h.answeredAt) >= minUnansweredTime && now.Sub(h.retransmittedAt) <= maxRetransmissionAge
}

// unresponsiveForFlow reports whether a flow should be closed whose caller
// retransmitted its data the given number of times, because the server has
// recently answered no caller. Single datagrams get lost, so it takes failures
// of another flow too, or more retransmissions of this one.
func (h *passiveHealth) unresponsiveForFlow(now time.Time, retransmissions int) bool {
	if h.failures < suspectFailures || now.Sub(h.answeredAt) < minUnansweredTime {
		return false
	}
	return retransmissions >= singleFlowRetransmissions || retransmissions >= suspectFailures && h.multipleFlows
}

func (h *passiveHealth) recentlyAnswered(now time.Time) bool {
	return !h.answeredAt.IsZero() && now.Sub(h.answeredAt) < recentAnswerAge && h.failures < suspectFailures
}

// domain is the health of a failure domain as seen from this instance. A
// domain whose servers fail in a row is probably cut off from the instance by
// the network and counts as unreachable; the instance's own domain never does.
type domain struct {
	health      passiveHealth
	unreachable bool
}

// domain returns the state of a failure domain, and adds it if it is new.
func (lb *Balancer) domain(name string) *domain {
	d := lb.domains[name]
	if d == nil {
		d = &domain{}
		lb.domains[name] = d
	}
	return d
}

// unreachable reports whether a failure domain counts as unreachable.
func (lb *Balancer) unreachable(name string) bool {
	d := lb.domains[name]
	return d != nil && d.unreachable
}

// recordAnswer records that a caller got an answer from a server.
func (lb *Balancer) recordAnswer(now time.Time, srv *server) {
	srv.health.recordAnswer(now)
	lb.answers.add(now, srv.ID)
	lb.recordReachable(now, srv.Domain)
}

// MarkReachable records that something in a failure domain answered this
// instance, such as a probe of one of its servers.
func (lb *Balancer) MarkReachable(now time.Time, name string) { lb.recordReachable(now, name) }

func (lb *Balancer) recordReachable(now time.Time, name string) {
	d := lb.domain(name)
	if d.unreachable {
		lb.Log.Info("failure domain reached again", "domain", name)
	}
	if d.unreachable {
		// The network lost the packets, so the failures do not count against
		// the servers.
		for _, srv := range lb.byName {
			if srv.Domain == name {
				srv.health = passiveHealth{answeredAt: srv.health.answeredAt}
			}
		}
	}
	d.unreachable = false
	d.health.recordAnswer(now)
}

// recordRetransmission records that a caller retransmitted data of an open
// flow, which is a failure of its server.
func (lb *Balancer) recordRetransmission(now time.Time, srv *server, k flowKey) {
	if now.Before(lb.healthChecksFrom) {
		return
	}
	h := &srv.health
	if now.Sub(h.retransmittedAt) > maxRetransmissionAge {
		h.retransmissions = 0
	}
	h.retransmissions++
	h.retransmittedAt = now
	lb.recordFailure(now, srv, k)
}

// recordFailure records that a server did not answer a flow. Failures do not
// count during the grace period after a pause or a lag of this process.
func (lb *Balancer) recordFailure(now time.Time, srv *server, k flowKey) {
	if now.Before(lb.healthChecksFrom) {
		return
	}
	wasSuspected := srv.health.suspected(now)
	srv.health.recordFailure(now, k)
	if !wasSuspected && srv.health.suspected(now) {
		lb.Log.Info("server suspect", "server", srv.name, "misses", srv.health.failures, "answeredBefore", logs.Age(now, srv.health.answeredAt), "for", srv.health.backoff, "rev", srv.Rev)
	}
	d := lb.domain(srv.Domain)
	d.health.recordFailure(now, k)
	if !d.unreachable && srv.Domain != lb.Domain && d.health.failures >= unreachableFailures && d.health.multipleFlows {
		d.unreachable = true
		lb.Log.Warn("failure domain does not answer", "domain", srv.Domain, "misses", d.health.failures)
	}
}

// ReportLag reports for how long a packet had to wait for this instance, or a
// part of the process was delayed. Above maxLag, callers' packets do not show
// whether servers answer, so passive health checks are suspended.
func (lb *Balancer) ReportLag(now time.Time, lag time.Duration) {
	if lag <= maxLag {
		return
	}
	if !now.Before(lb.healthChecksFrom) {
		lb.Log.Warn("instance is lagging, passive health checks are suspended", "lag", lag)
	}
	lb.healthChecksFrom = now.Add(pauseGrace + lag)
	lb.closeFlowsFrom = lb.healthChecksFrom.Add(closeGrace)
	lb.pendingOpenings, lb.nextPending = lb.pendingOpenings[:0], 0
}

// pendingOpening is an opening that was forwarded at openedAt and waits for
// the caller's next packet, which shows that the server answered.
type pendingOpening struct {
	key      flowKey
	openedAt time.Time
}

// beginCall does what every call of Handle and Tick starts with: it detects
// pauses of the process, and records a failure for each opening that was not
// answered within openingTimeout.
func (lb *Balancer) beginCall(now time.Time) {
	if gap := now.Sub(lb.lastCallAt); gap > maxCallGap {
		lb.healthChecksFrom = now.Add(pauseGrace)
		lb.closeFlowsFrom = lb.healthChecksFrom.Add(closeGrace)
		lb.pendingOpenings, lb.nextPending = lb.pendingOpenings[:0], 0
		if gap > openingLifetime {
			lb.resumedAt = now
		}
	}
	lb.lastCallAt = now
	for lb.nextPending < len(lb.pendingOpenings) && now.Sub(lb.pendingOpenings[lb.nextPending].openedAt) >= openingTimeout {
		p := &lb.pendingOpenings[lb.nextPending]
		lb.nextPending++
		if f := lb.flows.entries[p.key]; f != nil && !f.open && !f.openingTimedOut && f.openedAt.Equal(p.openedAt) {
			f.openingTimedOut = true
			lb.recordFailure(now, f.server, p.key)
		}
	}
	if 2*lb.nextPending > len(lb.pendingOpenings) {
		lb.pendingOpenings = append(lb.pendingOpenings[:0], lb.pendingOpenings[lb.nextPending:]...)
		lb.nextPending = 0
	}
}

// staleAfterPause reports whether this instance may not place openings after a long
// pause: most of those in its socket were given up, and its records are as old as the
// pause until they are confirmed. The other instances serve the callers meanwhile.
func (lb *Balancer) staleAfterPause(now time.Time) bool {
	resumedAt := lb.resumedAt
	if now.Sub(lb.lastCallAt) > openingLifetime {
		resumedAt = now // as beginCall will set it
	}
	return now.Sub(resumedAt) < pauseGrace && lb.confirmedAt.Before(resumedAt)
}

// Isolated reports whether there is a service for which all servers that may
// take new flows are in unreachable failure domains. Other instances can then
// serve the callers better.
func (lb *Balancer) Isolated() bool {
	for _, p := range lb.pools {
		unreachable, reachable := 0, 0
		for _, servers := range [][]*server{p.local, p.remote} {
			for _, srv := range servers {
				switch {
				case !lb.usable(srv):
				case lb.unreachable(srv.Domain):
					unreachable++
				default:
					reachable++
				}
			}
		}
		if unreachable > 0 && reachable == 0 {
			return true
		}
	}
	return false
}

// Probe names a server to connect to. An answer shows that its failure domain
// is reachable again.
type Probe struct {
	Domain string
	Target Target
}

// Probes appends to ps one server of each unreachable failure domain.
func (lb *Balancer) Probes(ps []Probe) []Probe {
	for name, d := range lb.domains {
		if !d.unreachable {
			continue
		}
		for _, srv := range lb.byName {
			if srv.Domain == name {
				ps = append(ps, Probe{name, srv.target()})
				break
			}
		}
	}
	return ps
}
