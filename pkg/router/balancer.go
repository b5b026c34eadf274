package router

import (
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"time"

	"ebonypaddle/pkg/logs"
	"ebonypaddle/pkg/stats"
	"ebonypaddle/pkg/wire"
)

// Limits bounds the memory and the grace periods of a Balancer.
type Limits struct {
	// MaxFlows is the number of flows whose state an instance keeps. A flow
	// without state is still forwarded by its token.
	MaxFlows int
	// RemovalGrace is how long a server is still used after its record was
	// removed: it keeps its open flows, and gets new ones if it answered
	// callers recently. A server whose record expired during an outage of the
	// store renews it within about 2 s of the store's return.
	RemovalGrace time.Duration
	// MaxLeavingDelay is the time after a server's record was removed from which on
	// it must get no new flows.
	MaxLeavingDelay time.Duration
	// NewServerDelay is how long a new server gets no flows while there is
	// another, so that the other instances learn of it too and can forward
	// packets of its flows.
	NewServerDelay time.Duration
	// UnknownGrace is how much longer than the first packet of a flow with an
	// unknown token or route the instance must have been up to date before it
	// refuses the flow: another instance may have learned of a new server or
	// route earlier and opened the flow. A response of the store can lack changes
	// of the last second.
	UnknownGrace time.Duration
}

// DefaultLimits suit an instance with a few megabytes of memory for flow
// state.
var DefaultLimits = Limits{
	MaxFlows:        1 << 15,
	RemovalGrace:    2200 * time.Millisecond,
	MaxLeavingDelay: 3 * time.Second,
	NewServerDelay:  time.Second,
	UnknownGrace:    3 * time.Second,
}

// Balancer decides for one instance where the packets of callers go. It holds
// the servers, routes and flows that the instance knows. Set the exported
// fields, then call Start. It is not safe for concurrent use.
type Balancer struct {
	// Domain is the failure domain of this instance.
	Domain string
	// Seed makes the random choices repeatable, together with the time that
	// is passed to Start.
	Seed   uint64
	Limits Limits
	Log    *slog.Logger
	Stats  *stats.Counters

	// Opened counts openings that were forwarded, including retransmitted
	// ones. Retransmitted counts the retransmissions of openings, CrossDomain
	// the openings that were forwarded to another failure domain.
	Opened, Retransmitted, CrossDomain uint64
	// OpenTime is the time from forwarding an opening to the caller's next
	// packet, AnswerTime the time from a request to the caller's
	// acknowledgement of its answer.
	OpenTime, AnswerTime stats.Latency

	choose           choosePolicy // tests compare others with the default
	estimates        []estimate   // reused by fairServer
	rnd              *rand.Rand
	settings         *Settings
	routes           map[netip.AddrPort]*Route
	services         map[string]Service
	marks            domainMarks
	byName           map[string]*server
	tokens           tokenTable
	pools            map[string]*pool
	demand           demand
	admission        admission
	flows            flowTable
	answers          lastAnswers
	ended            endedProcesses
	unknownTokens    map[uint32]time.Time // by token, with the time of its first packet
	domains          map[string]*domain
	pendingOpenings  []pendingOpening // oldest first; those before nextPending are done
	nextPending      int
	self             string                     // name of this instance
	peers            []string                   // live instances of this failure domain, with this one
	removedServers   map[*server]struct{}       // servers without a record
	expired          map[netip.AddrPort]*server // those that outlive RemovalGrace, by address
	synced           bool                       // all server records of the store were applied
	cleanedAt        time.Time                  // last removal of idle flows and old tokens
	confirmedAt      time.Time                  // latest time at which everything known here was current
	startedAt        time.Time                  // start of the process
	lastCallAt       time.Time                  // latest call of Handle or Tick
	resumedAt        time.Time                  // end of the last pause above openingLifetime
	healthChecksFrom time.Time                  // failures count from then on
	closeFlowsFrom   time.Time                  // flows of unresponsive servers are closed from then on
}

// Start initializes the tables and sets defaults for Log, Stats and Limits.
func (lb *Balancer) Start(now time.Time) {
	lb.rnd = rand.New(rand.NewPCG(lb.Seed, uint64(now.UnixNano())))
	lb.Log = logs.OrDiscard(lb.Log)
	if lb.Stats == nil {
		lb.Stats = &stats.Counters{}
	}
	if lb.Limits == (Limits{}) {
		lb.Limits = DefaultLimits
	}
	if lb.choose == nil {
		lb.choose = (*Balancer).fairServer
	}
	lb.marks.start()
	lb.byName = map[string]*server{}
	lb.tokens.start(lb.Log)
	lb.ended.start()
	lb.pools = map[string]*pool{}
	lb.demand.start()
	lb.admission.start()
	lb.unknownTokens = map[uint32]time.Time{}
	lb.domains = map[string]*domain{}
	lb.expired, lb.removedServers = map[netip.AddrPort]*server{}, map[*server]struct{}{}
	lb.startedAt, lb.lastCallAt = now, now
	lb.flows.start(lb.Limits.MaxFlows)
}

// SetSynced records that all server records of the store were applied.
func (lb *Balancer) SetSynced() { lb.synced = true }

// Ready reports whether the instance has the settings and all server records,
// which it needs to place flows.
func (lb *Balancer) Ready() bool { return lb.synced && lb.settings != nil }

// Handle decides whether a caller's packet is forwarded, refused or dropped,
// and updates counters and server health.
func (lb *Balancer) Handle(now time.Time, p *Packet) Verdict {
	lb.beginCall(now)
	var v Verdict
	if p.Open {
		v = lb.handleOpening(now, p)
	} else {
		v = lb.handleOpenFlow(now, p)
	}
	switch v.Action {
	case Drop:
		lb.Stats.Dropped.Add(v.Reason)
		lb.logEnd(now, "packet dropped", p, v.Reason)
	case Refuse:
		lb.Stats.Refused.Add(v.Reason)
		if p.Open {
			lb.logEnd(now, "opening refused", p, v.Reason)
		} else {
			lb.logEnd(now, "flow closed", p, v.Reason)
		}
	case Forward:
	}
	return v
}

// logEnd logs a dropped or refused packet with the state on which the decision
// rests.
func (lb *Balancer) logEnd(now time.Time, msg string, p *Packet, reason wire.Reason) {
	args := make([]any, 0, 16)
	args = append(args, "flow", p, "reason", reason)
	if lb.settings != nil {
		args = append(args, "version", lb.settings.Version, "confirmed", logs.Age(now, lb.confirmedAt))
	}
	if !p.Open {
		args = append(args, "token", p.Token)
	}
	if since, ok := lb.unknownTokens[p.Token]; ok && !p.Open {
		args = append(args, "unknownFor", now.Sub(since))
	}
	if srv := lb.tokens.owner(p.Token); srv != nil && !p.Open {
		args = append(args, "server", srv.name, "rev", srv.Rev, "misses", srv.health.failures, "unacked", srv.health.retransmissions)
		args = append(args, "answeredBefore", logs.Age(now, srv.health.answeredAt))
	}
	lb.Log.Info(msg, args...)
}

// handleOpening places a new flow. A retransmitted opening is placed anew,
// since the server of the earlier one did not answer it.
func (lb *Balancer) handleOpening(now time.Time, p *Packet) Verdict {
	rt, f := lb.routes[p.Service], lb.flowToOpen(p)
	if v, done := lb.beforePlacing(now, p, rt, f); done {
		return v
	}
	var failed *server
	if f != nil {
		failed = f.server
		lb.recordRetransmittedOpening(now, f, p)
	}
	service := lb.chooseService(rt)
	srv, reason := lb.placeAdmitted(now, p, rt, service, failed)
	if srv == nil {
		return refuse(reason)
	}
	lb.Opened++
	if srv.Domain != lb.Domain {
		lb.CrossDomain++
		lb.demand.sent(now, srv)
	}
	lb.Log.Info("flow placed", "flow", p, "server", srv.name, "domain", srv.Domain, "copy", p.Retransmissions, "inFlight", srv.load.InFlight, "latency", srv.load.Latency, "version", lb.settings.Version, "rev", srv.Rev)
	lb.flows.put(now, p, srv)
	if len(lb.pendingOpenings) < lb.Limits.MaxFlows {
		lb.pendingOpenings = append(lb.pendingOpenings, pendingOpening{keyOf(p), now})
	}
	return forward(srv)
}

// beforePlacing returns the decision on an opening that is not placed. rt is its route
// and f its flow, nil if there is none.
func (lb *Balancer) beforePlacing(now time.Time, p *Packet, rt *Route, f *flow) (v Verdict, done bool) {
	switch {
	case !lb.Ready():
		return drop(wire.ReasonNoSettings), true
	case lb.staleAfterPause(now):
		return drop(wire.ReasonNotFresh), true
	case rt == nil:
		return lb.handleUnroutedOpening(p), true
	case f != nil && f.open:
		// A delayed duplicate of an opening that the server has answered.
		return drop(wire.ReasonUnknownFlow), true
	}
	return Verdict{}, false
}

// flowToOpen returns the state of the flow that an opening is for. There is none if the
// caller ended the flow: its port is in use again.
func (lb *Balancer) flowToOpen(p *Packet) *flow {
	f := lb.flows.get(p)
	if f != nil && f.ended {
		return nil
	}
	return f
}

// handleUnroutedOpening handles an opening to an address without a route. An
// instance that knows a new route may have opened the flow of an earlier copy.
func (lb *Balancer) handleUnroutedOpening(p *Packet) Verdict {
	if p.Retransmissions > 0 {
		return drop(wire.ReasonUnknownService)
	}
	return refuse(wire.ReasonUnknownService)
}

// handleOpenFlow forwards a packet of an open flow to the server of its token.
// It refuses the packet if its route was dropped or its server is unresponsive.
func (lb *Balancer) handleOpenFlow(now time.Time, p *Packet) Verdict {
	srv := lb.tokens.owner(p.Token)
	if srv == nil {
		return lb.handleUnknownToken(now, p)
	}
	rt := lb.routes[p.Service]
	if rt == nil && lb.routeDropped(p) {
		lb.flows.remove(p)
		return refuse(wire.ReasonUnknownService)
	}
	if lb.observe(now, p, srv, rt) {
		lb.flows.remove(p)
		return refuse(wire.ReasonTimeout)
	}
	return forward(srv)
}

// routeDropped reports whether the settings dropped the route of an open flow, which
// they do not have. An instance that is not up to date may not know the route yet.
func (lb *Balancer) routeDropped(p *Packet) bool {
	f := lb.flows.get(p)
	return lb.Ready() && f != nil && (!f.adopted || lb.upToDateSince(f.openedAt))
}

// upToDateSince reports whether this instance knows all that others knew at a time.
func (lb *Balancer) upToDateSince(t time.Time) bool {
	return !lb.confirmedAt.Before(t.Add(lb.Limits.UnknownGrace))
}

// SetConfirmed records that at a time everything known here was current.
func (lb *Balancer) SetConfirmed(at time.Time) {
	if at.After(lb.confirmedAt) {
		lb.confirmedAt = at
	}
}

// handleUnknownToken handles a packet whose token belongs to no known server.
func (lb *Balancer) handleUnknownToken(now time.Time, p *Packet) Verdict {
	if lb.tokens.contested(p.Token) {
		return drop(wire.ReasonTokenContested)
	}
	if p.Reset {
		return drop(wire.ReasonUnknownFlow)
	}
	if lb.tokens.removed.has(p.Token) && lb.serverGone(now, p) {
		lb.flows.remove(p)
		return refuse(wire.ReasonServerGone)
	}
	firstSeen, ok := lb.unknownTokens[p.Token]
	if !ok && len(lb.unknownTokens) < maxUnknownTokens {
		lb.unknownTokens[p.Token] = now
	}
	if !lb.Ready() || !ok || !lb.upToDateSince(firstSeen) {
		return drop(wire.ReasonUnknownFlow)
	}
	return refuse(wire.ReasonUnknownFlow)
}

// serverGone reports whether the flow of a packet with the token of a removed server
// was open at that server. The server may have started again under its ID since, which
// has the same token. It then gets flows only NewServerDelay after others learned of it.
func (lb *Balancer) serverGone(now time.Time, p *Packet) bool {
	f := lb.flows.get(p)
	known := f != nil && f.server.hasToken(p.Token)
	return known || now.Sub(lb.confirmedAt) < lb.Limits.NewServerDelay
}

// Tick removes servers whose grace period has ended and, once a second, idle
// flows and old unknown tokens. Call it every 100 ms: gaps above maxCallGap
// between calls count as pauses of the process.
func (lb *Balancer) Tick(now time.Time) {
	lb.beginCall(now)
	lb.expireRemoved(now)
	lb.expireRestored(now)
	lb.demand.expire(now, maxInProgress)
	lb.expireSums(now)
	lb.tokens.expire(now)
	if now.Sub(lb.cleanedAt) < time.Second {
		return
	}
	lb.cleanedAt = now
	lb.flows.expire(now, lb.idleTimeout())
	for t, since := range lb.unknownTokens {
		if lb.tokens.owner(t) != nil || now.Sub(since) > unknownTokenTTL {
			delete(lb.unknownTokens, t)
		}
	}
}

// idleTimeout returns the time without packets after which the state of a flow is
// discarded.
func (lb *Balancer) idleTimeout() time.Duration {
	if lb.settings != nil && lb.settings.IdleTimeout > 0 {
		return lb.settings.IdleTimeout
	}
	return defaultIdleTimeout
}
