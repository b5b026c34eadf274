// Package fabric simulates the platform's network fabric. It sprays callers'
// packets over the instances, each with a PROXY protocol v2 header, and forwards
// the answers to the callers.
package fabric

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"ebonypaddle/pkg/wire"
)

const (
	maxDatagramBytes    = 2048
	flushInterval       = 5 * time.Millisecond // limits the delay of a reordered packet
	defaultListInterval = time.Second
)

// Counters counts datagrams.
type Counters struct {
	FromCallers, ToCallers, NoInstance, Malformed, Duplicated, Reordered uint64
}

// Fabric simulates the network fabric. The exported fields must be set before
// Listen is called.
type Fabric struct {
	Clock func() time.Time
	Rand  *rand.Rand
	// Services holds the service addresses to listen on.
	Services []netip.AddrPort
	// Inside is the address that instances send answers to.
	Inside netip.AddrPort
	// List returns the data addresses of the instances that are not leaving. It
	// is called every ListInterval (1 s if 0). If it fails, the last list stays
	// in use.
	List         func(ctx context.Context) ([]netip.AddrPort, error)
	ListInterval time.Duration

	mu         sync.Mutex
	instances  []netip.AddrPort
	fault      Fault
	faultSetAt time.Time
	reordered  []func()
	counters   Counters

	serviceConns []*net.UDPConn
	insideConn   *net.UDPConn
}

// Listen opens the sockets of Inside and Services, and sets both to the
// addresses in use.
func (f *Fabric) Listen() error {
	var err error
	if f.insideConn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(f.Inside)); err != nil {
		return fmt.Errorf("fabric address: %w", err)
	}
	for i, a := range f.Services {
		c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
		if err != nil {
			f.close()
			return fmt.Errorf("service address: %w", err)
		}
		f.serviceConns = append(f.serviceConns, c)
		f.Services[i] = localAddr(c)
	}
	f.Inside = localAddr(f.insideConn)
	return nil
}

func localAddr(c *net.UDPConn) netip.AddrPort {
	return c.LocalAddr().(*net.UDPAddr).AddrPort()
}

func (f *Fabric) close() {
	_ = f.insideConn.Close()
	for _, c := range f.serviceConns {
		_ = c.Close()
	}
}

// Counters returns the current counters.
func (f *Fabric) Counters() Counters {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counters
}

// Run forwards packets until ctx ends, then closes the sockets.
func (f *Fabric) Run(ctx context.Context) error {
	f.refreshInstances(ctx)
	var wg sync.WaitGroup
	for i, c := range f.serviceConns {
		wg.Go(func() { receive(c, func(from netip.AddrPort, b []byte) { f.fromCaller(f.Services[i], from, b) }) })
	}
	wg.Go(func() { receive(f.insideConn, func(_ netip.AddrPort, b []byte) { f.fromInstance(b) }) })
	wg.Go(func() { f.flushLoop(ctx) })
	every := f.ListInterval
	if every <= 0 {
		every = defaultListInterval
	}
	t := time.NewTicker(every)
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-t.C:
			f.refreshInstances(ctx)
		}
	}
	f.close()
	wg.Wait()
	return nil
}

func (f *Fabric) refreshInstances(ctx context.Context) {
	list, err := f.List(ctx)
	if err != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = list
}

func receive(c *net.UDPConn, handle func(netip.AddrPort, []byte)) {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := c.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buf[:n])
		}
	}
}

// fromCaller sends a caller's packet to a random instance.
func (f *Fabric) fromCaller(service, caller netip.AddrPort, b []byte) {
	head, err := wire.EncodeHeader(caller, service)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counters.FromCallers++
	to, ok := f.randomInstance()
	if err != nil || !ok {
		f.counters.NoInstance++
		return
	}
	f.sendWithFaults(f.insideConn, to, append(head, b...))
}

// fromInstance sends an answer to the caller that its header names, from the
// service address that the caller sent to.
func (f *Fabric) fromInstance(b []byte) {
	caller, service, rest, err := wire.DecodeHeader(b)
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, a := range f.Services {
		if err == nil && a == service {
			f.counters.ToCallers++
			f.sendWithFaults(f.serviceConns[i], caller, append([]byte(nil), rest...))
			return
		}
	}
	f.counters.Malformed++
}
