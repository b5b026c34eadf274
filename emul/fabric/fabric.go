// Package fabric stands in for the platform's fabric: it sprays callers'
// packets over the instances behind a PROXY protocol v2 header and passes
// answers back.
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
	maxDatagram  = 2048
	flushTime    = 5 * time.Millisecond // bounds how long a reordered packet waits
	defaultEvery = time.Second
)

// Counters counts datagrams.
type Counters struct {
	FromCallers, ToCallers, NoInstance, Malformed, Duplicated, Reordered uint64
}

// Fabric is the stand-in. The fields are set before Listen.
type Fabric struct {
	Clock func() time.Time
	Rand  *rand.Rand
	// Services are the service addresses to listen on.
	Services []netip.AddrPort
	// Inside is the address that instances send answers to.
	Inside netip.AddrPort
	// List returns the instances that are not leaving. It is called every
	// ListInterval; when it fails the last list stays.
	List         func(ctx context.Context) ([]netip.AddrPort, error)
	ListInterval time.Duration

	mu        sync.Mutex
	instances []netip.AddrPort
	fault     Fault
	faultAt   time.Time
	held      []func()
	count     Counters

	outside []*net.UDPConn
	inside  *net.UDPConn
}

// Listen opens the sockets.
func (f *Fabric) Listen() error {
	var err error
	if f.inside, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(f.Inside)); err != nil {
		return fmt.Errorf("fabric address: %w", err)
	}
	for i, a := range f.Services {
		c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
		if err != nil {
			f.close()
			return fmt.Errorf("service address: %w", err)
		}
		f.outside = append(f.outside, c)
		f.Services[i] = localAddr(c)
	}
	f.Inside = localAddr(f.inside)
	return nil
}

func localAddr(c *net.UDPConn) netip.AddrPort {
	return c.LocalAddr().(*net.UDPAddr).AddrPort()
}

func (f *Fabric) close() {
	_ = f.inside.Close()
	for _, c := range f.outside {
		_ = c.Close()
	}
}

// Counters returns the datagrams counted so far.
func (f *Fabric) Counters() Counters {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count
}

// Run passes packets until ctx ends, and closes the sockets.
func (f *Fabric) Run(ctx context.Context) error {
	f.refresh(ctx)
	var wg sync.WaitGroup
	for i, c := range f.outside {
		wg.Go(func() { receive(c, func(from netip.AddrPort, b []byte) { f.fromCaller(f.Services[i], from, b) }) })
	}
	wg.Go(func() { receive(f.inside, func(_ netip.AddrPort, b []byte) { f.fromInstance(b) }) })
	wg.Go(func() { f.flushLoop(ctx) })
	every := f.ListInterval
	if every <= 0 {
		every = defaultEvery
	}
	t := time.NewTicker(every)
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-t.C:
			f.refresh(ctx)
		}
	}
	f.close()
	wg.Wait()
	return nil
}

func (f *Fabric) refresh(ctx context.Context) {
	list, err := f.List(ctx)
	if err != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = list
}

func receive(c *net.UDPConn, handle func(netip.AddrPort, []byte)) {
	buf := make([]byte, maxDatagram)
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
	f.count.FromCallers++
	to, ok := f.pick()
	if err != nil || !ok {
		f.count.NoInstance++
		return
	}
	f.pass(f.inside, to, append(head, b...))
}

// fromInstance sends an answer to the caller that its header names, from the
// service address that the caller knows.
func (f *Fabric) fromInstance(b []byte) {
	caller, service, rest, err := wire.DecodeHeader(b)
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, a := range f.Services {
		if err == nil && a == service {
			f.count.ToCallers++
			f.pass(f.outside[i], caller, append([]byte(nil), rest...))
			return
		}
	}
	f.count.Malformed++
}
