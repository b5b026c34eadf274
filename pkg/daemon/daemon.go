// Package daemon runs one instance. It does the I/O for pkg/core: sockets,
// timers, reads of the platform's object API and the admin server. All
// balancing decisions are made in pkg/core.
package daemon

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"ebonypaddle/pkg/admin"
	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/core"
	"ebonypaddle/pkg/logs"
	"ebonypaddle/pkg/stats"
	"ebonypaddle/pkg/store"
	"ebonypaddle/pkg/wire"
)

const (
	// tickInterval is the interval between calls of core.Tick.
	tickInterval = 20 * time.Millisecond
	// maxDatagramBytes is the size of the read buffer for one datagram.
	maxDatagramBytes = 2048
	// socketBufferBytes is the receive buffer of each socket. It holds a burst
	// of about 10,000 packets while the process is not scheduled.
	socketBufferBytes = 4 << 20
)

// Daemon runs one instance. Set the exported fields before Run.
type Daemon struct {
	Process *conf.Process
	// Clock returns the current time of the wall clock.
	Clock func() time.Time
	// Seed seeds the random choices that need no secrecy.
	Seed uint64
	Logs *logs.Switch
	// Store reads and writes the platform's object API.
	Store *store.Client
	// Stats holds the counters by reason, Counters the counters of the
	// daemon's I/O. Run allocates them if they are nil.
	Stats    *stats.Counters
	Counters *Counters
	// Debug serves the published counters to operators; it may be nil.
	Debug http.Handler

	// mu guards core, sealer and wasReader.
	mu        sync.Mutex
	core      *core.Core
	sealer    wire.Sealer
	data      *net.UDPConn
	peer      *net.UDPConn
	log       *slog.Logger
	admin     *admin.Server
	wasReader bool
	// watchedRev is the platform's revision up to which this instance has
	// received events. Only readSettings uses it, without mu.
	watchedRev uint64
	// instancesEra is the latest era of the store in which this instance found
	// the instance list complete; nil before its first read of the store. Only
	// readSettings uses it, without mu.
	instancesEra *uint64
	// outage tracks whether the object API answers. Only readSettings uses it,
	// without mu.
	outage store.Outage
}

// Run serves until ctx ends and then stops gracefully: it finishes requests in
// progress and continues to serve the tickets it issued until they expire. It
// returns an error if the cluster key is invalid, an address cannot be opened or
// the admin server fails to close.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.start(); err != nil {
		return err
	}
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { d.readData() })
	wg.Go(func() { d.readPeer() })
	wg.Go(func() { d.tick(run) })
	wg.Go(func() { d.readSettings(run) })
	adminServer, err := d.serveAdmin(run)
	if err != nil {
		cancel()
		d.close()
		wg.Wait()
		return err
	}
	stopAnnouncing := d.announceLive(run)
	<-ctx.Done()
	stopAnnouncing()
	d.leave(run)
	cancel()
	d.close()
	err = adminServer.Close()
	wg.Wait()
	d.log.Info("stopped")
	return err
}

func (d *Daemon) start() error {
	d.log = d.Logs.Logger("daemon")
	if d.Stats == nil {
		d.Stats = &stats.Counters{}
	}
	if d.Counters == nil {
		d.Counters = &Counters{}
	}
	d.sealer.Rand = rand.Reader
	if err := d.sealer.SetKey(d.Process.ClusterKey); err != nil {
		return err
	}
	var err error
	if d.data, err = listen(d.Process.Data); err != nil {
		return fmt.Errorf("data address: %w", err)
	}
	if d.peer, err = listen(d.Process.Peer); err != nil {
		_ = d.data.Close()
		return fmt.Errorf("peer address: %w", err)
	}
	p := d.Process
	d.core = &core.Core{
		Entry: conf.Entry{Name: p.Entry, Data: p.Data, Peer: p.Peer, Admin: p.Admin},
		Half:  p.Half, Domain: p.Domain, Seed: d.Seed, Nonces: rand.Reader,
		Log: d.Logs.Logger("core"), Stats: d.Stats,
	}
	d.core.Start(d.Clock())
	d.log.Info("started", "entry", p.Entry, "half", p.Half, "domain", p.Domain, "data", p.Data, "peer", p.Peer, "admin", p.Admin)
	return nil
}

func listen(a netip.AddrPort) (*net.UDPConn, error) {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, err
	}
	if err := c.SetReadBuffer(socketBufferBytes); err != nil {
		return nil, fmt.Errorf("read buffer of %d bytes: %w", socketBufferBytes, err)
	}
	return c, nil
}

func (d *Daemon) close() {
	_ = d.data.Close()
	_ = d.peer.Close()
}

// readData handles the packets of callers and backend servers until the data
// socket is closed.
func (d *Daemon) readData() {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := d.data.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		var p wire.Packet
		if err := wire.Decode(buf[:n], &p); err != nil {
			d.countMalformed(unmap(from), err)
			continue
		}
		p.Via = unmap(from)
		d.mu.Lock()
		d.send(d.core.Handle(d.Clock(), p.Via, &p))
		d.mu.Unlock()
	}
}

func (d *Daemon) countMalformed(from netip.AddrPort, err error) {
	reason := wire.ReasonMalformed
	var decodeErr *wire.DecodeError
	if errors.As(err, &decodeErr) {
		reason = decodeErr.Reason
	}
	d.Stats.Dropped.Add(reason)
	d.log.Info("datagram dropped", "from", from, "reason", reason, "err", err)
}

// readPeer handles the control messages of other instances until the peer
// socket is closed.
func (d *Daemon) readPeer() {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := d.peer.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		d.Counters.PeerBytesIn.Add(uint64(n))
		d.mu.Lock()
		kind, body, err := d.sealer.Open(buf[:n])
		if err != nil {
			d.Stats.Dropped.Add(wire.ReasonForgedPeer)
			d.log.Warn("datagram dropped", "from", unmap(from), "reason", wire.ReasonForgedPeer, "err", err)
		} else {
			d.send(d.core.HandlePeer(d.Clock(), unmap(from), kind, body))
		}
		d.mu.Unlock()
	}
}

func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

func (d *Daemon) tick(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		d.mu.Lock()
		d.send(d.core.Tick(d.Clock()))
		d.mu.Unlock()
	}
}

// send encodes and sends the datagrams that the core returned. The caller
// holds mu.
func (d *Daemon) send(sends []wire.Send) {
	for i := range sends {
		s := &sends[i]
		var err error
		switch s.Target {
		case wire.ToPeer:
			err = d.sendPeer(s)
		case wire.ToCaller, wire.ToServer:
			err = d.sendPacket(s)
		}
		if err != nil {
			d.Stats.Dropped.Add(wire.ReasonSendFailed)
			d.log.Warn("datagram not sent", "to", s.To, "err", err)
		}
	}
}

func (d *Daemon) sendPeer(s *wire.Send) error {
	b, err := d.sealer.Seal(s.Peer)
	if err != nil {
		return fmt.Errorf("control message: %w", err)
	}
	// Relayed requests are callers' traffic, so they do not count as control
	// traffic.
	if s.Peer.Kind == wire.PeerRelay || s.Peer.Kind == wire.PeerRelayAck {
		d.Counters.RelayBytesOut.Add(uint64(len(b)))
	} else {
		d.Counters.PeerBytesOut.Add(uint64(len(b)))
	}
	_, err = d.peer.WriteToUDPAddrPort(b, s.To)
	return err
}

func (d *Daemon) sendPacket(s *wire.Send) error {
	b, err := wire.Encode(&s.Packet)
	if err != nil {
		return err
	}
	if s.Packet.Frame.Kind == wire.KindProbe {
		d.Counters.ProbeBytesOut.Add(uint64(len(b)))
	}
	_, err = d.data.WriteToUDPAddrPort(b, s.To)
	return err
}
