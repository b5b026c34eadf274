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

// Limits bound times and memory.
type Limits struct {
	// MaxFlows is the number of flows of which an instance keeps notes. A flow
	// without notes is forwarded by its token alone.
	MaxFlows int
	// RemovalGrace is how long a server that answers callers is used after its
	// record was removed. Servers renew lapsed records within about 2 s of
	// the store's return.
	RemovalGrace time.Duration
	// NewServerDelay is how long a new server gets no flows, until the other
	// instances know it too and can continue its flows.
	NewServerDelay time.Duration
	// UnknownTokenGrace is how long packets with an unknown token are dropped
	// before they are refused: another instance may know a new server
	// earlier.
	UnknownTokenGrace time.Duration
}

// DefaultLimits hold for an instance with a few megabytes for flows.
var DefaultLimits = Limits{
	MaxFlows:          1 << 15,
	RemovalGrace:      2200 * time.Millisecond,
	NewServerDelay:    time.Second,
	UnknownTokenGrace: 3 * time.Second,
}

// Balancer is the table of servers, routes and flows of one instance. Set the
// exported fields, then call Start. It is not safe for concurrent use.
type Balancer struct {
	// Domain is the failure domain of this instance.
	Domain string
	// Seed makes every random choice repeatable.
	Seed   uint64
	Limits Limits
	Log    *slog.Logger
	Stats  *stats.Counters

	// Opened counts openings that were placed, Copied those of them that were
	// placed again, Crossed those placed in another failure domain.
	Opened, Copied, Crossed uint64
	// OpenTime is the time from an opening to the caller's next packet,
	// AnswerTime that from a request to its answer.
	OpenTime, AnswerTime stats.Latency

	rnd       *rand.Rand
	settings  *Settings
	routes    map[netip.AddrPort]*Route
	services  map[string]Service
	out       map[string]time.Time // domains taken out, and since when
	byName    map[string]*server
	byToken   map[uint32]*server
	pools     map[string]*pool
	flows     flows
	gone      tokenSet // tokens of servers that were dropped
	unknown   map[uint32]time.Time
	domains   map[string]*domain
	pending   []pending // openings by time; those before due are done
	due       int
	self      string   // name of this instance
	peers     []string // names of the live instances of the own domain
	lapsing   int      // servers without a record that may come back
	listed    bool
	tickedAt  time.Time
	began     time.Time // start of the process
	entered   time.Time // latest call
	judgeFrom time.Time // signs of silence count from then on
	closeFrom time.Time // flows of silent servers are closed from then on
}

// Start prepares the tables.
func (s *Balancer) Start(now time.Time) {
	s.rnd = rand.New(rand.NewPCG(s.Seed, uint64(now.UnixNano())))
	s.Log = logs.OrDiscard(s.Log)
	if s.Stats == nil {
		s.Stats = &stats.Counters{}
	}
	if s.Limits == (Limits{}) {
		s.Limits = DefaultLimits
	}
	s.out = map[string]time.Time{}
	s.byName = map[string]*server{}
	s.byToken = map[uint32]*server{}
	s.pools = map[string]*pool{}
	s.unknown = map[uint32]time.Time{}
	s.domains = map[string]*domain{}
	s.began, s.entered = now, now
	s.flows.start(s.Limits.MaxFlows)
	s.gone.start()
}

// SetSynced tells that all records of servers that exist were applied.
func (s *Balancer) SetSynced() { s.listed = true }

// Ready reports whether the instance knows enough to place flows.
func (s *Balancer) Ready() bool { return s.listed && s.settings != nil }

// Handle decides what happens to a caller's packet.
func (s *Balancer) Handle(now time.Time, p *Packet) Verdict {
	s.enter(now)
	var v Verdict
	if p.Open {
		v = s.open(now, p)
	} else {
		v = s.follow(now, p)
	}
	switch v.Action {
	case Drop:
		s.Stats.Dropped.Add(v.Reason)
		s.logEnd(now, "packet dropped", p, v.Reason)
	case Refuse:
		s.Stats.Refused.Add(v.Reason)
		if p.Open {
			s.logEnd(now, "opening refused", p, v.Reason)
		} else {
			s.logEnd(now, "flow closed", p, v.Reason)
		}
	case Forward:
	}
	return v
}

// logEnd writes why a packet did not go to a server, with what decided it.
func (s *Balancer) logEnd(now time.Time, msg string, p *Packet, why wire.Reason) {
	as := make([]any, 0, 16)
	as = append(as, "flow", p, "reason", why)
	if s.settings != nil {
		as = append(as, "version", s.settings.Version)
	}
	if !p.Open {
		as = append(as, "token", p.Token)
	}
	if since, ok := s.unknown[p.Token]; ok && !p.Open {
		as = append(as, "unknownFor", now.Sub(since))
	}
	if r := s.byToken[p.Token]; r != nil && !p.Open {
		as = append(as, "server", r.name, "rev", r.Rev, "misses", r.evidence.misses, "unacked", r.evidence.unacked)
		as = append(as, "answeredBefore", logs.Age(now, r.evidence.answeredAt))
	}
	s.Log.Info(msg, as...)
}

// open places a new flow, or a further copy of its opening.
func (s *Balancer) open(now time.Time, p *Packet) Verdict {
	if !s.Ready() {
		return drop(wire.ReasonNoSettings)
	}
	rt := s.routes[p.Service]
	if rt == nil {
		return refuse(wire.ReasonUnknownService)
	}
	f := s.flows.get(p)
	if f != nil && f.open {
		// A late copy of an opening that was answered.
		return drop(wire.ReasonUnknownFlow)
	}
	var tried *server
	if f != nil {
		tried = f.server
		s.unanswered(now, f, p)
	}
	r, why := s.place(now, s.choose(rt), rt.LatencyTarget, tried)
	if r == nil {
		return refuse(why)
	}
	s.Opened++
	if r.Domain != s.Domain {
		s.Crossed++
	}
	s.Log.Info("flow placed", "flow", p, "server", r.name, "domain", r.Domain, "copy", p.Retransmissions, "inFlight", r.load.InFlight, "latency", r.load.Latency, "version", s.settings.Version, "rev", r.Rev)
	s.flows.put(now, p, r)
	if len(s.pending) < s.Limits.MaxFlows {
		s.pending = append(s.pending, pending{keyOf(p), now})
	}
	return forward(r)
}

// follow forwards a packet of a flow to the server of its token.
func (s *Balancer) follow(now time.Time, p *Packet) Verdict {
	r := s.byToken[p.Token]
	if r == nil {
		return s.lost(now, p)
	}
	rt := s.routes[p.Service]
	if s.Ready() && rt == nil {
		s.flows.forget(p)
		return refuse(wire.ReasonUnknownService)
	}
	if s.observe(now, p, r, rt) {
		s.flows.forget(p)
		return refuse(wire.ReasonTimeout)
	}
	return forward(r)
}

// lost handles a packet whose token names no server.
func (s *Balancer) lost(now time.Time, p *Packet) Verdict {
	if p.Reset {
		return drop(wire.ReasonUnknownFlow)
	}
	if s.gone.has(p.Token) {
		s.flows.forget(p)
		return refuse(wire.ReasonServerGone)
	}
	first, ok := s.unknown[p.Token]
	if !ok && len(s.unknown) < maxUnknown {
		s.unknown[p.Token] = now
	}
	if !s.Ready() || !ok || now.Sub(first) < s.Limits.UnknownTokenGrace {
		return drop(wire.ReasonUnknownFlow)
	}
	return refuse(wire.ReasonUnknownFlow)
}

// Tick expires what is due. Call it several times a second.
func (s *Balancer) Tick(now time.Time) {
	s.enter(now)
	s.expireLapsed(now)
	if now.Sub(s.tickedAt) < time.Second {
		return
	}
	s.tickedAt = now
	idle := flowIdle
	if s.settings != nil && s.settings.IdleTimeout > 0 {
		idle = s.settings.IdleTimeout
	}
	s.flows.expire(now, idle)
	for t, since := range s.unknown {
		if _, known := s.byToken[t]; known || now.Sub(since) > unknownLife {
			delete(s.unknown, t)
		}
	}
}
