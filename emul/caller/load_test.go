package caller_test

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/emul/caller"
	"ebonypaddle/emul/fabric"
	"ebonypaddle/emul/server"
	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wire"
)

// fakeBalancer forwards packets between the fabric and one server, with a constant
// ticket. It sends every request with a ticket to the server twice. If dedup is set,
// it drops requests that it has seen and sends the others once, so that none runs
// twice.
type fakeBalancer struct {
	conn        *net.UDPConn
	serverAddr  netip.AddrPort
	fabricAddr  netip.AddrPort
	dedup       bool
	refuseOpens int // number of open frames still to refuse
	seen        map[wire.RequestID]bool
}

func (r *fakeBalancer) run() {
	buf := make([]byte, 2048)
	for {
		n, from, err := r.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		var p wire.Packet
		if wire.Decode(buf[:n], &p) != nil {
			continue
		}
		if from == r.serverAddr {
			p.Frame.Token = []byte("token")
			r.send(r.fabricAddr, &p)
			continue
		}
		r.fromCaller(&p)
	}
}

func (r *fakeBalancer) fromCaller(p *wire.Packet) {
	f := &p.Frame
	if f.Kind == wire.KindRequest && f.Has(wire.FlagOnce) && len(f.Token) == 0 {
		p.Frame = wire.Frame{Kind: wire.KindRefusal, ID: f.ID, Outcome: wire.OutcomeNotRun, Reason: wire.ReasonTicketNeeded, Token: []byte("ticket")}
		r.send(r.fabricAddr, p)
		return
	}
	if f.Kind == wire.KindOpen && r.refuseOpens > 0 {
		r.refuseOpens--
		p.Frame = wire.Frame{Kind: wire.KindRefusal, Flow: f.Flow, Reason: wire.ReasonColdLimit}
		r.send(r.fabricAddr, p)
		return
	}
	f.Service, f.Server = 1, 2
	copies := 1
	if f.Kind == wire.KindRequest && f.Has(wire.FlagOnce) {
		if copies = 2; r.dedup {
			copies = 1
			if r.seen[f.ID] {
				return
			}
			r.seen[f.ID] = true
		}
	}
	for range copies {
		r.send(r.serverAddr, p)
	}
}

func (r *fakeBalancer) send(to netip.AddrPort, p *wire.Packet) {
	if b, err := wire.Encode(p); err == nil {
		_, _ = r.conn.WriteToUDPAddrPort(b, to)
	}
}

// runLoad runs one caller, the fabric, a fakeBalancer and one server in this process.
func runLoad(t *testing.T, dedup bool, refuseOpens int, options ...func(*caller.Load)) *caller.Report {
	t.Helper()
	local := netip.MustParseAddrPort("127.0.0.1:0")
	pool := &server.Pool{Clock: time.Now, Servers: []*server.Server{{
		Rand: rand.New(rand.NewPCG(11, 12)), Config: server.Config{
			Service: 1, ID: 2, Addr: local, Slots: 64, ColdSlots: 64, Mean: conf.Duration(time.Millisecond), Push: conf.Duration(20 * time.Millisecond),
		},
	}}}
	assert.NilError(t, pool.Listen())
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
	assert.NilError(t, err)
	fab := &fabric.Fabric{
		Clock: time.Now, Rand: rand.New(rand.NewPCG(13, 14)), Services: []netip.AddrPort{local}, Inside: local,
		List: func(context.Context) ([]netip.AddrPort, error) {
			return []netip.AddrPort{conn.LocalAddr().(*net.UDPAddr).AddrPort()}, nil
		},
	}
	assert.NilError(t, fab.Listen())
	fab.SetFault(fabric.Fault{Duplicate: 0.2, Reorder: 0.2})
	balancer := &fakeBalancer{conn: conn, serverAddr: pool.Servers[0].Addr, fabricAddr: fab.Inside, dedup: dedup, refuseOpens: refuseOpens, seen: map[wire.RequestID]bool{}}
	h := httptest.NewServer(pool.Handler())
	defer h.Close()
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer func() { _ = conn.Close() }()
	defer cancel()
	wg.Go(balancer.run)
	wg.Go(func() { _ = pool.Run(ctx) })
	wg.Go(func() { _ = fab.Run(ctx) })
	l := &caller.Load{
		Callers: []*caller.Caller{{Clock: time.Now, Rand: rand.New(rand.NewPCG(15, 16)), Service: fab.Services[0], Resend: 100 * time.Millisecond}},
		Rand:    rand.New(rand.NewPCG(17, 18)), HTTP: http.DefaultClient, Records: []string{h.URL + "/records"},
		Flows: 5, OpenTries: 20, OpenPause: 5 * time.Millisecond, Keepalive: 20 * time.Millisecond, Stall: 10 * time.Second, Rate: 200, OnceRatio: 0.5, AnswerSize: 8000,
		Timeout: 10 * time.Second, Duration: 300 * time.Millisecond, MaxInFlight: 200, SettleTime: 50 * time.Millisecond,
	}
	for _, f := range options {
		f(l)
	}
	rep, err := l.Run(ctx)
	assert.NilError(t, err)
	return rep
}

// Guards against lost answers or broken flows when the fabric duplicates and reorders
// packets.
func TestLoad(t *testing.T) {
	rep := runLoad(t, true, 0)
	assert.Equal(t, rep.Failed, 0, "%v", rep.Failures)
	assert.Assert(t, rep.Outcomes["done"] > 0)
	assert.Equal(t, len(rep.Reasons), 0, "%v", rep.Reasons)
	assert.Equal(t, rep.Flows, uint64(5))
	assert.Equal(t, len(rep.Broken), 0, "%v", rep.Broken)
	assert.Assert(t, rep.Echoed > 0)
	b, err := json.Marshal(rep)
	assert.NilError(t, err)
	var back caller.Report
	assert.NilError(t, json.Unmarshal(b, &back))
	assert.Equal(t, back.Outcomes["done"], rep.Outcomes["done"])
}

// Guards against a report without a failure although requests ran twice.
func TestLoadDetectsSecondRun(t *testing.T) {
	assert.Assert(t, runLoad(t, false, 0).Failed > 0)
}

// Guards against flows that are not opened again after one refusal. Servers in cold
// start refuse new flows above their limit.
func TestLoadRetriesRefusedOpens(t *testing.T) {
	rep := runLoad(t, true, 7)
	assert.Equal(t, rep.Flows, uint64(5))
	assert.Equal(t, rep.NotOpened, uint64(0))
	assert.Assert(t, rep.OpenRetries > 0)
}

// Guards against flows that stay open until the end of the run although FlowLife is
// set. A leaving server would then never become empty.
func TestLoadClosesFlows(t *testing.T) {
	rep := runLoad(t, true, 0, func(l *caller.Load) { l.FlowLife = 40 * time.Millisecond })
	assert.Assert(t, rep.Flows > 5)
	assert.Equal(t, rep.NotOpened, uint64(0))
	assert.Equal(t, len(rep.Broken), 0, "%v", rep.Broken)
}

// Guards against a load run that panics on a value out of its bounds or silently
// changes it.
func TestLoadBounds(t *testing.T) {
	good := func() *caller.Load {
		return &caller.Load{
			Callers: []*caller.Caller{{Resend: time.Second}}, OpenTries: 1, Keepalive: time.Second, Stall: time.Second,
			Timeout: time.Second, Duration: time.Second, MaxInFlight: 1,
		}
	}
	assert.NilError(t, good().Check())
	for field, setOutOfBounds := range map[string]func(*caller.Load){
		"callers":    func(l *caller.Load) { l.Callers = nil },
		"flows":      func(l *caller.Load) { l.Flows = -1 },
		"open tries": func(l *caller.Load) { l.OpenTries = 0 },
		"open pause": func(l *caller.Load) { l.OpenPause = -1 },
		"flow life":  func(l *caller.Load) { l.FlowLife = -1 },
		"keepalive":  func(l *caller.Load) { l.Keepalive = 0 },
		"stall":      func(l *caller.Load) { l.Stall = 0 },
		"rate":       func(l *caller.Load) { l.Rate = math.NaN() },
		"once":       func(l *caller.Load) { l.OnceRatio = 1.5 },
		"answer":     func(l *caller.Load) { l.AnswerSize = -1 },
		"timeout":    func(l *caller.Load) { l.Timeout = 0 },
		"duration":   func(l *caller.Load) { l.Duration = 0 },
		"settle":     func(l *caller.Load) { l.SettleTime = -1 },
		"in-flight":  func(l *caller.Load) { l.MaxInFlight = 0 },
		"resend":     func(l *caller.Load) { l.Callers[0].Resend = 0 },
	} {
		l := good()
		setOutOfBounds(l)
		var out *caller.BoundError
		assert.Assert(t, errors.As(l.Check(), &out), field)
		assert.Equal(t, out.Field, field)
	}
}
