package reqs

import (
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/logs"
	"ebonypaddle/pkg/stats"
	"ebonypaddle/pkg/token"
	"ebonypaddle/pkg/wire"
)

// PlacementRequest describes an attempt that needs a backend server.
type PlacementRequest struct {
	Service conf.ServiceID
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Once says that the request has a single attempt.
	Once bool
	// Avoid is the server of the previous attempt, or 0.
	Avoid conf.ServerID
	// Request and Caller identify the request in the logs.
	Request wire.RequestID
	Caller  netip.AddrPort
}

// Placement is the backend server chosen for one attempt.
type Placement struct {
	Server     conf.ServerID
	Generation uint32
	Addr       netip.AddrPort
	// Until limits the deadline of the frame; zero means no limit.
	Until time.Time
	// Expires is the latest arrival of the frame; zero means no limit.
	Expires time.Time
	// Choice is the placer's own record of the placement.
	Choice any
}

// Result is how an attempt ended.
type Result uint8

// Results of an attempt.
const (
	ResultAnswered  Result = iota + 1 // the whole answer came
	ResultShed                        // the server refused before running
	ResultCold                        // as ResultShed, because of cold start
	ResultFailed                      // the server refused otherwise
	ResultTimedOut                    // no whole answer in time
	ResultCancelled                   // the caller cancelled
	ResultUnsent                      // nothing was sent
)

// String returns the result as logs show it.
func (r Result) String() string {
	switch r {
	case ResultAnswered:
		return "answered"
	case ResultShed:
		return "shed"
	case ResultCold:
		return "shedCold"
	case ResultFailed:
		return "failed"
	case ResultTimedOut:
		return "timedOut"
	case ResultCancelled:
		return "cancelled"
	case ResultUnsent:
		return "unsent"
	}
	return "invalid"
}

// Placer chooses servers and learns how each attempt ended.
type Placer interface {
	// Place returns a server, or the reason why there is none.
	Place(now time.Time, ask PlacementRequest) (Placement, wire.Reason)
	// Finished is called exactly once for each successful Place.
	Finished(now time.Time, p Placement, r Result, latency time.Duration)
}

// Budget limits retries to a share of the requests.
type Budget interface {
	Spend(now time.Time) bool
	Earn(now time.Time)
}

// Limits are the times of a service's requests.
type Limits struct {
	// Attempt is how long one attempt waits before a retry.
	Attempt time.Duration
	// Request is the longest time a request may take.
	Request time.Duration
}

// Services looks up the limits of a service.
type Services interface {
	Limits(id conf.ServiceID) Limits
}

// Table holds the requests in progress of one instance and the outcomes of the
// tickets that it issued. It is not safe for concurrent use. It keeps the byte
// slices of the frames it is given.
type Table struct {
	// Self is this instance's control address and Incarnation its process.
	// Both are sealed into its tickets.
	Self        netip.AddrPort
	Incarnation uint64
	Rand        *rand.Rand
	Box         *token.Box
	Placer      Placer
	Budget      Budget
	Services    Services
	Stats       *stats.Counters
	// Log takes a line for each decision on a request; it may be nil.
	Log *slog.Logger
	// TicketTime is the lifetime of a ticket.
	TicketTime time.Duration
	// MaxTickets bounds the tickets and their outcomes, MaxPending the
	// repeatable requests in progress, MaxRelays the relays that wait for an
	// acknowledgement, and MaxBytes the stored answer parts. No ticket is
	// issued while more than half of MaxBytes is in use.
	MaxTickets, MaxPending, MaxRelays, MaxBytes int

	owned    map[uint64]*call
	pending  map[callKey]*call
	attempts map[attemptKey]*call
	relays   map[uint64]*relay
	timers   timers
	bytes    int
	running  int
	leaving  bool
	relaySeq uint64
}

// Size is what a table holds.
type Size struct {
	// Tickets counts tickets and their outcomes, Pending repeatable requests
	// in progress, Running requests in progress of both kinds, Relays
	// unacknowledged relays, and Bytes stored answers in bytes.
	Tickets, Pending, Running, Relays, Bytes int
	// Attempts and Timers count index entries.
	Attempts, Timers int
}

// Size returns what the table holds.
func (t *Table) Size() Size {
	return Size{
		Tickets: len(t.owned), Pending: len(t.pending), Running: t.running, Relays: len(t.relays),
		Bytes: t.bytes, Attempts: len(t.attempts), Timers: len(t.timers),
	}
}

// Leave stops the issue of tickets. Tickets issued before stay valid.
func (t *Table) Leave() { t.leaving = true }

// Idle reports whether no ticket is alive and no request is in progress, so
// that a leaving instance may exit.
func (t *Table) Idle() bool { return t.Size() == Size{} }

// Tick ends attempts, relays and tickets whose time has come.
func (t *Table) Tick(now time.Time, out *wire.Outbox) {
	for len(t.timers) > 0 && !t.timers[0].at.After(now) {
		tm := t.timers[0]
		t.timers.remove(tm)
		if tm.relay != nil {
			t.relayDue(now, tm.relay, out)
		} else {
			t.callDue(now, tm.call, out)
		}
	}
}

// drop counts a frame that is discarded and says why.
func (t *Table) drop(f *wire.Frame, why wire.Reason) {
	t.Stats.Dropped.Add(why)
	t.Log.Info("frame dropped", "request", f.ID, "kind", f.Kind, "server", f.Server, "attempt", f.Attempt, "reason", why)
}

func (t *Table) init() {
	if t.owned == nil {
		t.owned = map[uint64]*call{}
		t.pending = map[callKey]*call{}
		t.attempts = map[attemptKey]*call{}
		t.relays = map[uint64]*relay{}
		t.relaySeq = t.Rand.Uint64()
		t.Log = logs.OrDiscard(t.Log)
	}
}

// address is where frames for a caller go.
type address struct {
	caller, service, via netip.AddrPort
}

func addressOf(p *wire.Packet) address { return address{p.Caller, p.Service, p.Via} }

func (a address) packet(f wire.Frame) *wire.Packet {
	return &wire.Packet{Caller: a.caller, Service: a.service, Via: a.via, Frame: f}
}

// refuse answers a request. The refusal repeats the ticket that the request
// carried, or carries the ticket to use next, in tok.
func (t *Table) refuse(to address, f *wire.Frame, tok []byte, o wire.Outcome, r wire.Reason, out *wire.Outbox) {
	t.Stats.Refused.Add(r)
	if r == wire.ReasonTicketNeeded {
		t.Log.Info("ticket issued", "request", f.ID, "caller", to.caller, "service", to.service)
	} else {
		t.Log.Info("request refused", "request", f.ID, "caller", to.caller, "service", to.service, "outcome", o, "reason", r)
	}
	out.Caller(to.packet(wire.Frame{Kind: wire.KindRefusal, Flow: f.Flow, Token: tok, ID: f.ID, Outcome: o, Reason: r}))
}
