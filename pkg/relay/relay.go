// Package relay is the shell around router: the socket of callers' packets, the
// answer whether the instance serves, and the readers of the store. It takes no
// decisions about packets.
package relay

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"ebonypaddle/pkg/cache"
	"ebonypaddle/pkg/router"
	"ebonypaddle/pkg/wait"
	"ebonypaddle/pkg/wire"
)

const (
	// tickEvery is the interval of the systems of the router.
	tickEvery = 100 * time.Millisecond
	// peersEvery is the interval at which the balancer is told the live instances of its
	// failure domain.
	peersEvery = time.Second
	// socketBuffer in bytes holds about 2,000 large packets while the process
	// does not run.
	socketBuffer = 4 << 20
)

// Codec reads and writes packets.
type Codec interface {
	// Decode reads a caller's packet.
	Decode(b []byte, p *router.Packet) error
	// Forward appends the packet raw for a server to dst.
	Forward(dst, raw []byte, to router.Target) []byte
	// Refuse appends the answer that ends the flow of p to dst, and returns
	// the address it goes to.
	Refuse(dst []byte, p *router.Packet) ([]byte, netip.AddrPort)
}

// Times are the waits of the shell.
type Times struct {
	// Leave is how long a stopping instance forwards after it reports that it
	// does not serve, and Quiet the time without packets after which it ends
	// earlier. LeaveAtLeast is the time that routers need to notice.
	Leave, LeaveAtLeast, Quiet time.Duration
}

// Relay runs one instance. The exported fields are set before Run.
type Relay struct {
	// Name is the name of this instance, Weight its strength among others.
	Name   string
	Weight uint32
	// LinkRate is what the link carries in bits a second, 0 for no limit.
	LinkRate float64
	// Data takes callers' packets, Ready tells routers whether the instance
	// serves, Control takes calls of other instances, some of which are at
	// Seeds.
	Data, Ready, Control netip.AddrPort
	// ReadyPath is the path that routers ask at Ready.
	ReadyPath  string
	Seeds      []netip.AddrPort
	Codec      Codec
	Store      Store
	Decoder    Decoder
	ReadPolicy cache.ReadPolicy
	// Seed makes random choices that need no secrecy.
	Seed uint64
	// MaxPacket is the largest packet in bytes.
	MaxPacket int
	// Clock is the steady clock.
	Clock    func() time.Time
	Times    Times
	Balancer *router.Balancer
	Log      *slog.Logger
	// Counts are the counters of the shell.
	Counts Counts
	// Metrics is the address of Vars, and Debug serves them there. Without
	// Debug there is no such address.
	Metrics netip.AddrPort
	Debug   http.Handler

	mu      sync.Mutex
	conn    *net.UDPConn
	packet  router.Packet // the one being handled
	leaving atomic.Bool
	lastAt  atomic.Int64 // time of the latest packet in nanoseconds

	// fmu guards the exchange of facts. It is taken before mu.
	fmu     sync.Mutex
	cache   cache.Cache
	members cache.Members
	level   int           // in the tree of instances
	reading bool          // this instance reads the store
	peerAt  time.Time     // facts were last confirmed by another instance
	news    chan struct{} // closed when facts or the role change
	sending time.Time     // when the link has carried the answers given so far
}

// Counts count what the shell does.
type Counts struct {
	// In and Out are packets received and sent, SendErrors those that the
	// system did not take, Malformed those that do not decode.
	In, Out, SendErrors, Malformed atomic.Uint64
	// Asks are calls to other instances that were answered, AskErrors others.
	Asks, AskErrors atomic.Uint64
	// Answers are calls of other instances.
	Answers atomic.Uint64
}

// Run serves until ctx ends and then forwards until the routers have moved the
// flows away.
func (r *Relay) Run(ctx context.Context) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(r.Data))
	if err != nil {
		return fmt.Errorf("packets of callers: %w", err)
	}
	r.conn = conn
	if err := conn.SetReadBuffer(socketBuffer); err != nil {
		r.Log.Warn("read buffer not set", "bytes", socketBuffer, "err", err)
	}
	r.startFeed()
	ready, err := r.serveReady()
	if err != nil {
		_ = conn.Close()
		return err
	}
	peers, err := r.servePeers()
	if err != nil {
		_ = conn.Close()
		_ = ready.Close()
		return err
	}
	metrics, err := r.serveMetrics()
	if err != nil {
		_ = conn.Close()
		return errors.Join(err, ready.Close(), peers.Close())
	}
	r.Log.Info("started", "data", r.Data, "ready", r.Ready)
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	wg.Go(r.forward)
	wg.Go(func() { r.tick(run) })
	wg.Go(func() { r.probe(run) })
	wg.Go(func() { r.role(run) })
	wg.Go(func() { r.ask(run) })
	for k := range cache.Kinds {
		wg.Go(func() { r.read(run, k) })
	}
	<-ctx.Done()
	r.leave(run)
	cancel()
	_ = conn.Close()
	err = errors.Join(ready.Close(), peers.Close(), metrics.Close())
	wg.Wait()
	r.Log.Info("stopped", "in", r.Counts.In.Load(), "out", r.Counts.Out.Load())
	return err
}

func (r *Relay) startFeed() {
	r.news = make(chan struct{})
	r.members = cache.Members{
		Self: cache.Member{Addr: r.Control, Domain: r.Balancer.Domain, Weight: r.Weight},
		Rand: rand.New(rand.NewPCG(r.Seed, 1)),
	}
}

// over reports whether a stopping instance may end, a time after it began to stop
// and a time after its latest packet.
func (t *Times) over(stopping, quiet time.Duration) bool {
	return stopping >= t.Leave || stopping >= t.LeaveAtLeast && quiet >= t.Quiet
}

// leave forwards packets until no more come.
func (r *Relay) leave(ctx context.Context) {
	r.leaving.Store(true)
	r.fmu.Lock()
	r.wake()
	r.fmu.Unlock()
	began := r.Clock()
	r.Log.Info("stopping", "within", r.Times.Leave)
	for {
		wait.Pause(ctx, tickEvery)
		now := r.Clock()
		if r.Times.over(now.Sub(began), time.Duration(now.UnixNano()-r.lastAt.Load())) {
			return
		}
	}
}

// forward handles callers' packets until the socket is closed.
func (r *Relay) forward() {
	in, out := make([]byte, r.MaxPacket+1), make([]byte, 0, r.MaxPacket+1)
	for {
		n, from, err := r.conn.ReadFromUDPAddrPort(in)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// An ICMP error of an earlier send says nothing of callers' packets.
			r.Log.Warn("datagram not read", "err", err)
			continue
		}
		if n == beaconSize && from == r.Data {
			r.returned(in[:n])
			continue
		}
		r.Counts.In.Add(1)
		out = r.handle(in[:n], out[:0])
	}
}

// beaconSize is the length of a beacon, which is shorter than any packet.
const beaconSize = 8

// beacon sends a datagram to the own socket. It waits there like a packet, so its
// return tells how far this instance is behind.
func (r *Relay) beacon(now time.Time) {
	b := binary.BigEndian.AppendUint64(nil, uint64(now.Sub(r.ReadPolicy.StartedAt)))
	if _, err := r.conn.WriteToUDPAddrPort(b, r.Data); err != nil {
		r.Counts.SendErrors.Add(1)
		r.Log.Warn("datagram not sent", "to", r.Data, "err", err)
	}
}

func (r *Relay) returned(b []byte) {
	now := r.Clock()
	lag := now.Sub(r.ReadPolicy.StartedAt) - time.Duration(binary.BigEndian.Uint64(b))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Balancer.ReportLag(now, lag)
}

func (r *Relay) handle(raw, out []byte) []byte {
	p := &r.packet
	if err := r.Codec.Decode(raw, p); err != nil {
		r.Counts.Malformed.Add(1)
		r.Balancer.Stats.Dropped.Add(wire.ReasonMalformed)
		r.Log.Info("datagram dropped", "bytes", len(raw), "reason", wire.ReasonMalformed, "err", err)
		return out
	}
	now := r.Clock()
	r.lastAt.Store(now.UnixNano())
	r.mu.Lock()
	v := r.Balancer.Handle(now, p)
	r.mu.Unlock()
	var to netip.AddrPort
	switch v.Action {
	case router.Forward:
		out, to = r.Codec.Forward(out, raw, v.To), v.To.Addr
	case router.Refuse:
		out, to = r.Codec.Refuse(out, p)
	default:
		return out
	}
	if _, err := r.conn.WriteToUDPAddrPort(out, to); err != nil {
		r.Counts.SendErrors.Add(1)
		r.Balancer.Stats.Dropped.Add(wire.ReasonSendFailed)
		r.Log.Warn("datagram not sent", "flow", p.LogValue(), "to", to, "err", err)
		return out
	}
	r.Counts.Out.Add(1)
	return out
}

func (r *Relay) tick(ctx context.Context) {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	var told time.Time
	ticked := r.Clock()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := r.Clock()
		r.beacon(now)
		var peers []string
		if now.Sub(told) >= peersEvery {
			told = now
			r.fmu.Lock()
			peers = r.members.DomainMembers(now)
			r.fmu.Unlock()
		}
		late := now.Sub(ticked) - tickEvery
		ticked = now
		r.mu.Lock()
		r.Balancer.ReportLag(now, late)
		if peers != nil {
			r.Balancer.SetPeers(r.Control.String(), peers)
		}
		r.Balancer.Tick(now)
		r.mu.Unlock()
	}
}

// serveReady answers 200 at ReadyPath while the instance serves.
func (r *Relay) serveReady() (*http.Server, error) {
	l, err := net.Listen("tcp4", r.Ready.String())
	if err != nil {
		return nil, fmt.Errorf("ready address: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+r.ReadyPath, r.ready)
	return r.serve(l, mux), nil
}

// serveMetrics serves the counters.
func (r *Relay) serveMetrics() (*http.Server, error) {
	if r.Debug == nil {
		return &http.Server{ReadHeaderTimeout: readyTimeout}, nil
	}
	l, err := net.Listen("tcp4", r.Metrics.String())
	if err != nil {
		return nil, fmt.Errorf("metrics address: %w", err)
	}
	return r.serve(l, r.Debug), nil
}

// serve answers HTTP until the server is closed.
func (r *Relay) serve(l net.Listener, h http.Handler) *http.Server {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readyTimeout, IdleTimeout: readyIdle}
	go func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			r.Log.Error("server failed", "addr", l.Addr(), "err", err)
		}
	}()
	return srv
}

// Routers ask twice a second; a connection that is silent for longer is dead.
const (
	readyTimeout = 2 * time.Second
	readyIdle    = 10 * time.Second
)

func (r *Relay) ready(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	ok := r.Balancer.Ready() && !r.Balancer.Isolated()
	r.mu.Unlock()
	if !ok || r.leaving.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
