package reqs_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/reqs"
	"ebonypaddle/pkg/stats"
	"ebonypaddle/pkg/token"
	"ebonypaddle/pkg/wire"
)

const (
	service     = conf.ServiceID(7)
	ticketTime  = 30 * time.Second
	requestTime = 2 * time.Second
)

var (
	startTime   = time.UnixMilli(1_700_000_000_000)
	serviceAddr = netip.MustParseAddrPort("127.0.0.9:80")
	via         = netip.MustParseAddrPort("127.0.0.8:1")
	timeouts    = reqs.Timeouts{Attempt: 300 * time.Millisecond, Request: requestTime}
)

func addr(net, host int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(net), byte(host + 1)}), 4000)
}

// fakePlacer places attempts round robin on its servers, or refuses all of them
// with the reason in refuse. unfinished counts the placements for which Finished
// was not called yet.
type fakePlacer struct {
	servers, lastServer, unfinished int
	refuse                          wire.Reason
	deadline                        time.Time
	results                         []reqs.Result
}

func (p *fakePlacer) Place(time.Time, reqs.PlacementRequest) (reqs.Placement, wire.Reason) {
	if p.refuse != wire.ReasonNone {
		return reqs.Placement{}, p.refuse
	}
	p.lastServer, p.unfinished = p.lastServer%p.servers+1, p.unfinished+1
	return reqs.Placement{Server: conf.ServerID(p.lastServer), Generation: 1, Addr: addr(2, p.lastServer), Deadline: p.deadline}, wire.ReasonNone
}

func (p *fakePlacer) Finished(_ time.Time, _ reqs.Placement, r reqs.Result, _ time.Duration) {
	p.unfinished--
	p.results = append(p.results, r)
}

func (p *fakePlacer) Timeouts(conf.ServiceID) reqs.Timeouts { return timeouts }

// fakeBudget earns perRequest retries for each request.
type fakeBudget struct{ retries, perRequest float64 }

func (b *fakeBudget) Earn(time.Time) { b.retries += b.perRequest }
func (b *fakeBudget) Spend(time.Time) bool {
	if b.retries < 1 {
		return false
	}
	b.retries--
	return true
}

func newTable(i int, incarnation uint64) (*reqs.Table, *fakePlacer) {
	var seed [32]byte
	binary.BigEndian.PutUint64(seed[:], uint64(i)<<32|incarnation)
	src := rand.NewChaCha8(seed)
	box := &token.Box{Rand: src}
	if err := box.SetKeys(map[string]conf.Key{"a": {ID: 1, Secret: make([]byte, 32)}}); err != nil {
		panic(err)
	}
	p := &fakePlacer{servers: 3}
	return &reqs.Table{
		Self: addr(1, i), Incarnation: incarnation, Rand: rand.New(src), Box: box, Placer: p, Services: p,
		Budget: &fakeBudget{retries: 10, perRequest: 0.1}, Stats: &stats.Counters{}, TicketTime: ticketTime,
		MaxTickets: 1000, MaxPending: 1000, MaxRelays: 100, MaxBytes: 1 << 20,
	}, p
}

// request is a request of a caller that follows the rules for the caller's
// library in the package comment.
type request struct {
	index          int
	frame          wire.Frame
	caller         netip.AddrPort
	deadline       time.Time
	parts          map[string][]string
	outcome        wire.Outcome
	runs           int
	reportedNotRun bool // an instance reported notRun
}

func (r *request) atMostOnce() bool { return r.frame.Has(wire.FlagOnce) }

// packet returns the packet to send at now, with the remaining timeout.
func (r *request) packet(now time.Time) wire.Packet {
	p := wire.Packet{Caller: r.caller, Service: serviceAddr, Via: via, Frame: r.frame}
	p.Frame.Timeout = uint32(max(r.deadline.Sub(now).Milliseconds(), 1))
	return p
}

// receive handles a frame to the caller. It returns a description of the error
// if the frame is wrong, or "".
func (r *request) receive(f *wire.Frame) string {
	if f.Kind == wire.KindAnswer {
		return r.join(f)
	}
	hasTicket := r.atMostOnce() && f.Reason != wire.ReasonTicketNeeded && len(f.Token) > 0
	if f.Outcome == wire.OutcomeNotRun && (hasTicket || !r.atMostOnce()) {
		r.reportedNotRun = true
	}
	switch {
	case r.outcome != wire.OutcomeNone:
	case f.Reason == wire.ReasonTicketNeeded && r.frame.Token == nil:
		r.frame.Token = f.Token
	case f.Outcome == wire.OutcomeNotRun && hasTicket && bytes.Equal(f.Token, r.frame.Token):
		r.outcome = f.Outcome
	}
	return ""
}

// join adds a part of an answer and sets the outcome done once all parts of one
// run have arrived. Errors are returned like those of receive.
func (r *request) join(f *wire.Frame) string {
	if !strings.HasPrefix(string(f.Body), fmt.Sprintf("%d/", r.index)) {
		return fmt.Sprintf("request %d got the answer %q of another request", r.index, f.Body)
	}
	key := fmt.Sprint(f.Attempt, f.Server, f.Generation, f.Boot)
	if r.parts[key] == nil {
		r.parts[key] = make([]string, f.Parts)
	}
	r.parts[key][f.Part] = string(f.Body)
	for i, s := range r.parts[key] {
		if s == "" {
			return ""
		}
		if want := fmt.Sprintf("%s/%d", r.parts[key][0][:strings.LastIndex(r.parts[key][0], "/")], i); s != want {
			return fmt.Sprintf("request %d got part %q, want %q of the same run", r.index, s, want)
		}
	}
	r.outcome = wire.OutcomeDone
	return ""
}
