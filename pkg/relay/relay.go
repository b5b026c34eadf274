// Package relay does the input and output around package router: the socket for
// callers' packets, the readiness check, the exchange of objects with other
// instances and the reads from the store. Every decision about a packet is made
// by package router.
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
	// tickInterval is the interval at which the balancer's timers run.
	tickInterval = 100 * time.Millisecond
	// peersInterval is the interval at which the balancer gets the live
	// instances of its failure domain.
	peersInterval = time.Second
	// socketBufferSize in bytes holds about 2,000 large packets while the
	// process is not scheduled.
	socketBufferSize = 4 << 20
)

// Codec decodes and encodes packets.
type Codec interface {
	// Decode decodes a caller's packet into p.
	Decode(b []byte, p *router.Packet) error
	// Forward appends the packet raw, encoded for a server, to dst.
	Forward(dst, raw []byte, to router.Target) []byte
	// Refuse appends the packet that ends the flow of p to dst, and returns dst
	// and the address to send it to.
	Refuse(dst []byte, p *router.Packet) ([]byte, netip.AddrPort)
}

// ShutdownTimes bound the time in which a stopping instance goes on forwarding.
type ShutdownTimes struct {
	// A stopping instance first fails its readiness check. It then forwards for
	// at least Min, the time that the platform's routers need to notice, and
	// ends when no packet arrived for Idle, at the latest after Max.
	Max, Min, Idle time.Duration
}

// Relay runs one instance. The exported fields are set before Run.
type Relay struct {
	// Name is the name of this instance. Weight ranks it among the others.
	Name   string
	Weight uint32
	// LinkRate is the capacity of the link in bits a second, 0 for no limit.
	LinkRate float64
	// Data receives callers' packets, Ready serves the readiness check and
	// Control serves requests of other instances. Seeds are Control addresses
	// of some of them.
	Data, Ready, Control netip.AddrPort
	// ReadyPath is the path of the readiness check at Ready.
	ReadyPath  string
	Seeds      []netip.AddrPort
	Codec      Codec
	Store      Store
	Decoder    Decoder
	ReadPolicy cache.ReadPolicy
	// Seed seeds random choices that need no secrecy.
	Seed uint64
	// MaxPacket is the size of the largest packet in bytes.
	MaxPacket int
	// Clock returns the monotonic time.
	Clock    func() time.Time
	Shutdown ShutdownTimes
	// TokenPauses are set to others in tests.
	TokenPauses TokenPauses
	Balancer    *router.Balancer
	Log         *slog.Logger
	// Counters count packets and requests.
	Counters Counters
	// Loads count the datagrams by which instances exchange their load.
	Loads LoadCounters
	// Debug serves the variables of Vars at the address Metrics. Without Debug
	// no such server runs.
	Metrics netip.AddrPort
	Debug   http.Handler

	mu           sync.Mutex // guards the state of Balancer
	conn         *net.UDPConn
	packet       router.Packet // the packet being handled
	leaving      atomic.Bool
	lastPacketAt atomic.Int64 // arrival of the latest packet in Unix nanoseconds
	sharer       loadSharer   // Balancer unless a test replaces it

	// cacheMu guards the fields below. It is locked before mu.
	cacheMu         sync.Mutex
	cache           cache.Cache
	members         cache.Members
	level           int           // in the tree of instances
	reading         bool          // whether this instance reads the store
	storeDown       bool          // the store did not answer the reader of availabilityKind
	peerConfirmedAt time.Time     // when other instances last confirmed the cache
	updated         chan struct{} // closed when the cache or the reader role changes
	linkBusyUntil   time.Time     // when the link will have carried the responses sent so far
}

// Counters count the packets and requests of an instance.
type Counters struct {
	// In and Out are packets received and sent, SendErrors packets that the
	// operating system did not accept, Malformed packets that do not decode.
	In, Out, SendErrors, Malformed atomic.Uint64
	// SentRequests are requests to other instances that got a response,
	// FailedRequests those that did not.
	SentRequests, FailedRequests atomic.Uint64
	// ReceivedRequests are requests from other instances.
	ReceivedRequests atomic.Uint64
	// Explained are explanations given to operators. ExplainsLimited are those that
	// were refused as too many in a second, ExplainsInvalid those with wrong addresses.
	Explained, ExplainsLimited, ExplainsInvalid atomic.Uint64
}

// Run serves until ctx ends, then forwards until the platform's routers have
// moved the flows to other instances.
func (r *Relay) Run(ctx context.Context) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(r.Data))
	if err != nil {
		return fmt.Errorf("listen for callers' packets: %w", err)
	}
	r.conn = conn
	if err := conn.SetReadBuffer(socketBufferSize); err != nil {
		r.Log.Warn("read buffer not set", "bytes", socketBufferSize, "err", err)
	}
	r.initMembers()
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
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	wg.Go(r.forward)
	wg.Go(func() { r.tick(runCtx) })
	wg.Go(func() { r.probe(runCtx) })
	wg.Go(func() { r.runReadPolicy(runCtx) })
	wg.Go(func() { r.exchangeLoop(runCtx) })
	wg.Go(func() { r.shareLoad(runCtx) })
	wg.Go(func() { r.askTokens(runCtx) })
	for k := range cache.Kinds {
		wg.Go(func() { r.readLoop(runCtx, k) })
	}
	<-ctx.Done()
	r.forwardUntilIdle(runCtx)
	cancel()
	_ = conn.Close()
	err = errors.Join(ready.Close(), peers.Close(), metrics.Close())
	wg.Wait()
	r.Log.Info("stopped", "in", r.Counters.In.Load(), "out", r.Counters.Out.Load())
	return err
}

// initMembers prepares the fields that the exchange with other instances uses.
func (r *Relay) initMembers() {
	r.updated = make(chan struct{})
	r.members = cache.Members{
		Self: cache.Member{Addr: r.Control, Domain: r.Balancer.Domain, Weight: r.Weight},
		Rand: rand.New(rand.NewPCG(r.Seed, 1)),
	}
}

// done reports whether an instance that has been stopping for a time, and has
// received no packet for the time idle, may end.
func (t *ShutdownTimes) done(stopping, idle time.Duration) bool {
	return stopping >= t.Max || stopping >= t.Min && idle >= t.Idle
}

// forwardUntilIdle fails the readiness check and waits while packets are still
// forwarded, as long as ShutdownTimes allow.
func (r *Relay) forwardUntilIdle(ctx context.Context) {
	r.leaving.Store(true)
	r.cacheMu.Lock()
	r.notifyWaiters()
	r.cacheMu.Unlock()
	stoppingAt := r.Clock()
	r.Log.Info("stopping", "within", r.Shutdown.Max)
	for {
		wait.Pause(ctx, tickInterval)
		now := r.Clock()
		if r.Shutdown.done(now.Sub(stoppingAt), time.Duration(now.UnixNano()-r.lastPacketAt.Load())) {
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
			// An ICMP error caused by an earlier send does not affect other
			// packets.
			r.Log.Warn("datagram not read", "err", err)
			continue
		}
		if n == lagProbeSize && from == r.Data {
			r.receiveLagProbe(in[:n])
			continue
		}
		r.Counters.In.Add(1)
		out = r.handle(in[:n], out[:0])
	}
}

// lagProbeSize is the size of a lag probe in bytes. No packet is as short.
const lagProbeSize = 8

// sendLagProbe sends a datagram with the time since the start of the process to
// this instance's own socket. It queues there like a packet, so its arrival
// shows how far packet handling lags behind.
func (r *Relay) sendLagProbe(now time.Time) {
	b := binary.BigEndian.AppendUint64(nil, uint64(now.Sub(r.ReadPolicy.StartedAt)))
	if _, err := r.conn.WriteToUDPAddrPort(b, r.Data); err != nil {
		r.Counters.SendErrors.Add(1)
		r.Log.Warn("datagram not sent", "to", r.Data, "err", err)
	}
}

// receiveLagProbe reports the time that a lag probe spent in the queue.
func (r *Relay) receiveLagProbe(b []byte) {
	now := r.Clock()
	lag := now.Sub(r.ReadPolicy.StartedAt) - time.Duration(binary.BigEndian.Uint64(b))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Balancer.ReportLag(now, lag)
}

// handle decodes a packet, asks the balancer what to do with it and sends the
// result. It returns the buffer out for reuse.
func (r *Relay) handle(raw, out []byte) []byte {
	p := &r.packet
	if err := r.Codec.Decode(raw, p); err != nil {
		r.Counters.Malformed.Add(1)
		r.Balancer.Stats.Dropped.Add(wire.ReasonMalformed)
		r.Log.Info("datagram dropped", "bytes", len(raw), "reason", wire.ReasonMalformed, "err", err)
		return out
	}
	now := r.Clock()
	r.lastPacketAt.Store(now.UnixNano())
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
		r.Counters.SendErrors.Add(1)
		r.Balancer.Stats.Dropped.Add(wire.ReasonSendFailed)
		r.Log.Warn("datagram not sent", "flow", p.LogValue(), "to", to, "err", err)
		return out
	}
	r.Counters.Out.Add(1)
	return out
}

// tick runs the balancer's timers, and reports the lag of this loop and the
// live instances of the failure domain to the balancer.
func (r *Relay) tick(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	var peersSetAt time.Time
	lastTick := r.Clock()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := r.Clock()
		r.sendLagProbe(now)
		var peers []string
		if now.Sub(peersSetAt) >= peersInterval {
			peersSetAt = now
			r.cacheMu.Lock()
			peers = r.members.DomainMembers(now)
			r.cacheMu.Unlock()
		}
		lag := now.Sub(lastTick) - tickInterval
		lastTick = now
		r.mu.Lock()
		r.Balancer.ReportLag(now, lag)
		if peers != nil {
			r.Balancer.SetPeers(r.Control.String(), peers)
		}
		r.Balancer.Tick(now)
		r.mu.Unlock()
	}
}

// serveReady serves the readiness check, which answers 200 while the instance
// takes new flows and 503 otherwise.
func (r *Relay) serveReady() (*http.Server, error) {
	l, err := net.Listen("tcp4", r.Ready.String())
	if err != nil {
		return nil, fmt.Errorf("ready address: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+r.ReadyPath, r.ready)
	return r.serve(l, mux), nil
}

// serveMetrics serves the counters, if Debug is set.
func (r *Relay) serveMetrics() (*http.Server, error) {
	if r.Debug == nil {
		return &http.Server{ReadHeaderTimeout: httpHeaderTimeout}, nil
	}
	l, err := net.Listen("tcp4", r.Metrics.String())
	if err != nil {
		return nil, fmt.Errorf("metrics address: %w", err)
	}
	return r.serve(l, r.Debug), nil
}

// serve starts an HTTP server, which runs until it is closed, and returns it.
func (r *Relay) serve(l net.Listener, h http.Handler) *http.Server {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: httpHeaderTimeout, IdleTimeout: httpIdleTimeout}
	go func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			r.Log.Error("HTTP server failed", "addr", l.Addr(), "err", err)
		}
	}()
	return srv
}

// The platform's routers check twice a second, so a connection that is idle for
// several seconds is dead.
const (
	httpHeaderTimeout = 2 * time.Second
	httpIdleTimeout   = 10 * time.Second
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
