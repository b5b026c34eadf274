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
	// Once is set if the request has a single attempt.
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
	// Deadline is the latest deadline that the frame may carry, or zero if
	// only the caller's deadline limits it.
	Deadline time.Time
	// Expires is when the server discards the frame if it arrives later. Zero
	// means no limit.
	Expires time.Time
	// Choice is data of the placer, which it gets back in Finished.
	Choice any
}

// Result is how an attempt ended.
type Result uint8

// Results of an attempt.
const (
	ResultAnswered  Result = iota + 1 // the complete answer arrived
	ResultShed                        // the server refused before running
	ResultShedCold                    // like ResultShed, because the server is in cold start
	ResultFailed                      // any other refusal by the server
	ResultTimedOut                    // no complete answer in time
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
	case ResultShedCold:
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

// Placer chooses the server of each attempt and receives its result.
type Placer interface {
	// Place returns a server, or the reason why there is none.
	Place(now time.Time, req PlacementRequest) (Placement, wire.Reason)
	// Finished is called exactly once for each successful Place.
	Finished(now time.Time, p Placement, r Result, latency time.Duration)
}

// Budget limits retries to a share of the requests. Each request earns a part
// of a retry, and Spend reports whether a whole one is left and takes it.
type Budget interface {
	Spend(now time.Time) bool
	Earn(now time.Time)
}

// Timeouts are the timeouts of a service.
type Timeouts struct {
	// Attempt is how long to wait for an answer before a retry.
	Attempt time.Duration
	// Request limits the whole request, with all its attempts.
	Request time.Duration
}

// Services looks up the timeouts of a service.
type Services interface {
	Timeouts(id conf.ServiceID) Timeouts
}

// Table holds the requests in progress of one instance and the outcomes of the
// tickets that it issued. It is not safe for concurrent use. It retains the
// byte slices of the frames that it is given.
type Table struct {
	// Self is the control address of this instance, and Incarnation
	// distinguishes its process from earlier ones at that address. Both are
	// sealed into its tickets.
	Self        netip.AddrPort
	Incarnation uint64
	Rand        *rand.Rand
	Box         *token.Box
	Placer      Placer
	Budget      Budget
	Services    Services
	Stats       *stats.Counters
	// Log gets a line for each decision on a request. It may be nil.
	Log *slog.Logger
	// TicketTime is the lifetime of a ticket.
	TicketTime time.Duration
	// MaxTickets limits the number of tickets with their outcomes, MaxPending
	// the repeatable requests in progress, MaxRelays the relays that wait for
	// an acknowledgement, and MaxBytes the stored answer parts, in bytes. No
	// ticket is issued while more than half of MaxBytes is in use.
	MaxTickets, MaxPending, MaxRelays, MaxBytes int

	// tickets is indexed by the nonce of the ticket, relays by the sequence
	// number of the relay message.
	tickets     map[uint64]*request
	pending     map[requestKey]*request
	attempts    map[attemptKey]*request
	relays      map[uint64]*pendingRelay
	timers      timerHeap
	storedBytes int
	running     int
	leaving     bool
	relaySeq    uint64
}

// Size is the number of entries in a table.
type Size struct {
	// Tickets counts tickets with their outcomes, Pending repeatable requests
	// in progress, Running requests of both kinds that were sent to a server
	// and have no outcome yet, and Relays unacknowledged relays. Bytes is the
	// size of the stored answer parts in bytes.
	Tickets, Pending, Running, Relays, Bytes int
	// Attempts counts the attempts whose answers are still accepted, Timers
	// the timers that are set.
	Attempts, Timers int
}

// Size returns the number of entries in the table.
func (t *Table) Size() Size {
	return Size{
		Tickets: len(t.tickets), Pending: len(t.pending), Running: t.running, Relays: len(t.relays),
		Bytes: t.storedBytes, Attempts: len(t.attempts), Timers: len(t.timers),
	}
}

// Leave stops issuing tickets. Tickets that were issued before stay valid.
func (t *Table) Leave() { t.leaving = true }

// Idle reports whether no ticket is valid and no request is in progress, so
// that a leaving instance may exit.
func (t *Table) Idle() bool { return t.Size() == Size{} }

// Tick handles the timeouts of attempts and relays, and removes expired tickets.
func (t *Table) Tick(now time.Time, out *wire.Outbox) {
	for len(t.timers) > 0 && !t.timers[0].at.After(now) {
		tm := t.timers[0]
		t.timers.remove(tm)
		if tm.relay != nil {
			t.relayTimerExpired(now, tm.relay, out)
		} else {
			t.requestTimerExpired(now, tm.request, out)
		}
	}
}

// drop counts and logs a frame that is discarded.
func (t *Table) drop(f *wire.Frame, reason wire.Reason) {
	t.Stats.Dropped.Add(reason)
	t.Log.Info("frame dropped", "request", f.ID, "kind", f.Kind, "server", f.Server, "attempt", f.Attempt, "reason", reason)
}

func (t *Table) init() {
	if t.tickets == nil {
		t.tickets = map[uint64]*request{}
		t.pending = map[requestKey]*request{}
		t.attempts = map[attemptKey]*request{}
		t.relays = map[uint64]*pendingRelay{}
		t.relaySeq = t.Rand.Uint64()
		t.Log = logs.OrDiscard(t.Log)
	}
}

// replyAddress holds the addresses of a caller's packet, which frames to the
// caller carry as well.
type replyAddress struct {
	caller, service, via netip.AddrPort
}

func replyAddressOf(p *wire.Packet) replyAddress { return replyAddress{p.Caller, p.Service, p.Via} }

func (a replyAddress) packet(f wire.Frame) *wire.Packet {
	return &wire.Packet{Caller: a.caller, Service: a.service, Via: a.via, Frame: f}
}

// refuse answers a request with a refusal. tok is the ticket that the request
// carried, or a new ticket for the caller to use.
func (t *Table) refuse(to replyAddress, f *wire.Frame, tok []byte, o wire.Outcome, r wire.Reason, out *wire.Outbox) {
	t.Stats.Refused.Add(r)
	if r == wire.ReasonTicketNeeded {
		t.Log.Info("ticket issued", "request", f.ID, "caller", to.caller, "service", to.service)
	} else {
		t.Log.Info("request refused", "request", f.ID, "caller", to.caller, "service", to.service, "outcome", o, "reason", r)
	}
	out.Caller(to.packet(wire.Frame{Kind: wire.KindRefusal, Flow: f.Flow, Token: tok, ID: f.ID, Outcome: o, Reason: r}))
}
