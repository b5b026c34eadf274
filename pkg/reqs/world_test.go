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
	service    = conf.ServiceID(7)
	ticketTime = 30 * time.Second
	reqTime    = 2 * time.Second
)

var (
	start   = time.UnixMilli(1_700_000_000_000)
	svcAddr = netip.MustParseAddrPort("127.0.0.9:80")
	via     = netip.MustParseAddrPort("127.0.0.8:1")
	limits  = reqs.Limits{Attempt: 300 * time.Millisecond, Request: reqTime}
)

func addr(net, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(net), byte(i + 1)}), 4000)
}

// placer places round robin on n servers; refuse forces a reason. open counts
// placements that were not reported as finished.
type placer struct {
	n, next, open int
	refuse        wire.Reason
	until         time.Time
	results       []reqs.Result
}

func (p *placer) Place(time.Time, reqs.PlacementRequest) (reqs.Placement, wire.Reason) {
	if p.refuse != wire.ReasonNone {
		return reqs.Placement{}, p.refuse
	}
	p.next, p.open = p.next%p.n+1, p.open+1
	return reqs.Placement{Server: conf.ServerID(p.next), Generation: 1, Addr: addr(2, p.next), Until: p.until}, wire.ReasonNone
}

func (p *placer) Finished(_ time.Time, _ reqs.Placement, r reqs.Result, _ time.Duration) {
	p.open--
	p.results = append(p.results, r)
}

func (p *placer) Limits(conf.ServiceID) reqs.Limits { return limits }

// budget earns share retries a request.
type budget struct{ have, share float64 }

func (b *budget) Earn(time.Time) { b.have += b.share }
func (b *budget) Spend(time.Time) bool {
	if b.have < 1 {
		return false
	}
	b.have--
	return true
}

func newTable(i int, inc uint64) (*reqs.Table, *placer) {
	var seed [32]byte
	binary.BigEndian.PutUint64(seed[:], uint64(i)<<32|inc)
	src := rand.NewChaCha8(seed)
	box := &token.Box{Rand: src}
	if err := box.SetKeys(map[string]conf.Key{"a": {ID: 1, Secret: make([]byte, 32)}}); err != nil {
		panic(err)
	}
	p := &placer{n: 3}
	return &reqs.Table{
		Self: addr(1, i), Incarnation: inc, Rand: rand.New(src), Box: box, Placer: p, Services: p,
		Budget: &budget{have: 10, share: 0.1}, Stats: &stats.Counters{}, TicketTime: ticketTime,
		MaxTickets: 1000, MaxPending: 1000, MaxRelays: 100, MaxBytes: 1 << 20,
	}, p
}

// request is a request as the caller's library sees it, by the rules in the
// package comment.
type request struct {
	index    int
	frame    wire.Frame
	caller   netip.AddrPort
	deadline time.Time
	parts    map[string][]string
	outcome  wire.Outcome
	runs     int
	denied   bool // an instance said notRun
}

func (r *request) once() bool { return r.frame.Has(wire.FlagOnce) }

// packet returns the frame to send at now.
func (r *request) packet(now time.Time) wire.Packet {
	p := wire.Packet{Caller: r.caller, Service: svcAddr, Via: via, Frame: r.frame}
	p.Frame.Timeout = uint32(max(r.deadline.Sub(now).Milliseconds(), 1))
	return p
}

// receive handles a frame to the caller and returns what is wrong with it.
func (r *request) receive(f *wire.Frame) string {
	if f.Kind == wire.KindAnswer {
		return r.join(f)
	}
	forTicket := r.once() && f.Reason != wire.ReasonTicketNeeded && len(f.Token) > 0
	if f.Outcome == wire.OutcomeNotRun && (forTicket || !r.once()) {
		r.denied = true
	}
	switch {
	case r.outcome != wire.OutcomeNone:
	case f.Reason == wire.ReasonTicketNeeded && r.frame.Token == nil:
		r.frame.Token = f.Token
	case f.Outcome == wire.OutcomeNotRun && forTicket && bytes.Equal(f.Token, r.frame.Token):
		r.outcome = f.Outcome
	}
	return ""
}

func (r *request) join(f *wire.Frame) string {
	if !strings.HasPrefix(string(f.Body), fmt.Sprintf("%d/", r.index)) {
		return fmt.Sprintf("request %d got the answer %q", r.index, f.Body)
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
			return fmt.Sprintf("request %d joins %q with %q", r.index, s, want)
		}
	}
	r.outcome = wire.OutcomeDone
	return ""
}
