// Package caller is the reference caller and load tool: flows with keepalives,
// requests that may or may not be repeated, tickets, reassembly of answers,
// and the check of what the servers recorded.
package caller

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"ebonypaddle/pkg/wire"
)

const maxDatagram = 2048

// ErrRefused reports a flow that was not opened.
var ErrRefused = errors.New("flow was not opened")

// Caller talks to one service address from one socket. The fields are set
// before Dial. It is safe for concurrent use.
type Caller struct {
	Clock   func() time.Time
	Rand    *rand.Rand
	Service netip.AddrPort
	// Resend is the time after which a frame without an answer is repeated.
	Resend time.Duration

	mu      sync.Mutex
	conn    *net.UDPConn
	waiting map[wire.RequestID]chan wire.Frame
	flows   map[uint64]*Flow
	opened  map[uint64]chan struct{}
	nextID  uint64
	late    uint64 // answers to requests that are over
}

// Dial opens the socket.
func (c *Caller) Dial() error {
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(c.Service))
	if err != nil {
		return fmt.Errorf("dial service: %w", err)
	}
	c.conn = conn
	c.waiting, c.flows, c.opened = map[wire.RequestID]chan wire.Frame{}, map[uint64]*Flow{}, map[uint64]chan struct{}{}
	return nil
}

// Run receives frames until ctx ends, and closes the socket.
func (c *Caller) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = c.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagram)
	for {
		n, err := c.conn.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		var f wire.Frame
		if err == nil && wire.DecodeFrame(buf[:n], &f) == nil {
			c.receive(&f)
		}
	}
}

func (c *Caller) receive(f *wire.Frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f.ID != (wire.RequestID{}) {
		ch, ok := c.waiting[f.ID]
		if !ok {
			c.late++
			return
		}
		select {
		case ch <- *f:
		default: // the frame is lost, as in a full socket buffer
		}
		return
	}
	fl := c.flows[f.Flow]
	if fl == nil {
		return
	}
	fl.receive(c.Clock(), f)
	if done := c.opened[f.Flow]; done != nil && (fl.Open || fl.Broken != "") {
		delete(c.opened, f.Flow)
		close(done)
	}
}

// send writes a frame. One that the network refuses is lost.
func (c *Caller) send(f *wire.Frame) {
	if b, err := wire.EncodeFrame(f); err == nil {
		_, _ = c.conn.Write(b)
	}
}

// Request sends a request and returns what became of it within timeout. When
// ctx ends first it cancels the request.
func (c *Caller) Request(ctx context.Context, body []byte, once bool, timeout time.Duration) Result {
	start := c.Clock()
	r := &request{once: once, body: body, deadline: start.Add(timeout)}
	ch := make(chan wire.Frame, wire.MaxParts)
	c.mu.Lock()
	binary.BigEndian.PutUint64(r.id[:8], c.Rand.Uint64())
	binary.BigEndian.PutUint64(r.id[8:], c.Rand.Uint64())
	c.waiting[r.id] = ch
	c.mu.Unlock()
	res := c.exchange(ctx, r, ch)
	c.mu.Lock()
	delete(c.waiting, r.id)
	c.mu.Unlock()
	res.Sent = start
	res.Latency = c.Clock().Sub(start)
	return *res
}

func (c *Caller) exchange(ctx context.Context, r *request, ch chan wire.Frame) *Result {
	end := time.NewTimer(r.deadline.Sub(c.Clock()))
	defer end.Stop()
	resend := time.NewTicker(c.Resend)
	defer resend.Stop()
	f := r.frame(c.Clock())
	c.send(&f)
	for {
		again := false
		select {
		case in := <-ch:
			var res *Result
			if res, again = r.receive(&in); res != nil {
				return res
			}
		case <-resend.C:
			again = true
		case <-end.C:
			return r.expired()
		case <-ctx.Done():
			c.send(&wire.Frame{Kind: wire.KindCancel, ID: r.id, Token: r.ticket})
			return r.expired()
		}
		if again {
			f = r.frame(c.Clock())
			c.send(&f)
		}
	}
}

// Open opens a flow within timeout.
func (c *Caller) Open(ctx context.Context, timeout time.Duration) (*Flow, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	done := make(chan struct{})
	c.mu.Lock()
	c.nextID++
	fl := &Flow{ID: c.nextID}
	c.flows[fl.ID], c.opened[fl.ID] = fl, done
	f := fl.frame(timeout)
	c.mu.Unlock()
	t := time.NewTicker(c.Resend)
	defer t.Stop()
	for {
		c.send(&f)
		select {
		case <-t.C:
		case <-done:
			return c.openedFlow(fl)
		case <-ctx.Done():
			c.forget(fl.ID)
			return nil, fmt.Errorf("flow %d: %w: %w", fl.ID, ErrRefused, ctx.Err())
		}
	}
}

func (c *Caller) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.flows, id)
	delete(c.opened, id)
}

func (c *Caller) openedFlow(fl *Flow) (*Flow, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !fl.Open {
		return nil, fmt.Errorf("flow %d: %w: %s", fl.ID, ErrRefused, fl.Broken)
	}
	return fl, nil
}

// Keepalive sends a data frame on every open flow and marks flows that have
// been silent for the stall time.
func (c *Caller) Keepalive(stall time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock()
	for _, fl := range c.flows {
		fl.check(now, stall)
		if fl.live() {
			f := fl.frame(0)
			c.send(&f)
		}
	}
}

// Close ends every open flow.
func (c *Caller) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, fl := range c.flows {
		c.close(fl)
	}
}

// CloseFlow ends one flow.
func (c *Caller) CloseFlow(fl *Flow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.close(fl)
}

func (c *Caller) close(fl *Flow) {
	if fl.live() {
		fl.closing = true
		c.send(&wire.Frame{Kind: wire.KindClose, Flow: fl.ID, Token: fl.Token})
	}
}
