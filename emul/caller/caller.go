// Package caller implements the reference caller and a load generator. The caller
// opens flows and sends keepalives on them, sends requests that may run once or be
// repeated, handles tickets and reassembles answers. The load generator compares
// the results with the records of the servers.
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

// maxDatagramBytes is the size of the receive buffer.
const maxDatagramBytes = 2048

// ErrNotOpened reports a flow that was refused or not opened in time.
var ErrNotOpened = errors.New("flow was not opened")

// Caller sends requests and opens flows to one service address from one socket. The
// exported fields are set before Dial. It is safe for concurrent use.
type Caller struct {
	Clock   func() time.Time
	Rand    *rand.Rand
	Service netip.AddrPort
	// Resend is the time after which a frame is retransmitted if no response came.
	Resend time.Duration

	mu          sync.Mutex
	conn        *net.UDPConn
	pending     map[wire.RequestID]chan wire.Frame
	flows       map[uint64]*Flow
	opening     map[uint64]chan struct{}
	nextID      uint64
	lateAnswers uint64 // number of frames received for finished requests
}

// Dial opens the socket. It must be called before Run.
func (c *Caller) Dial() error {
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(c.Service))
	if err != nil {
		return fmt.Errorf("dial service: %w", err)
	}
	c.conn = conn
	c.pending, c.flows, c.opening = map[wire.RequestID]chan wire.Frame{}, map[uint64]*Flow{}, map[uint64]chan struct{}{}
	return nil
}

// Run receives frames until ctx ends, then closes the socket and returns nil.
func (c *Caller) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = c.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagramBytes)
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
		ch, ok := c.pending[f.ID]
		if !ok {
			c.lateAnswers++
			return
		}
		select {
		case ch <- *f:
		default: // The frame is dropped, as with a full socket buffer.
		}
		return
	}
	fl := c.flows[f.Flow]
	if fl == nil {
		return
	}
	fl.receive(c.Clock(), f)
	if opened := c.opening[f.Flow]; opened != nil && (fl.Open || fl.Broken != "") {
		delete(c.opening, f.Flow)
		close(opened)
	}
}

// send writes a frame. Errors are ignored: the frame counts as lost.
func (c *Caller) send(f *wire.Frame) {
	if b, err := wire.EncodeFrame(f); err == nil {
		_, _ = c.conn.Write(b)
	}
}

// Request sends a request and returns its result within timeout. once marks a
// request that must not run more than once. If ctx ends first, Request cancels the
// request.
func (c *Caller) Request(ctx context.Context, body []byte, once bool, timeout time.Duration) Result {
	start := c.Clock()
	r := &request{once: once, body: body, deadline: start.Add(timeout)}
	ch := make(chan wire.Frame, wire.MaxParts)
	c.mu.Lock()
	binary.BigEndian.PutUint64(r.id[:8], c.Rand.Uint64())
	binary.BigEndian.PutUint64(r.id[8:], c.Rand.Uint64())
	c.pending[r.id] = ch
	c.mu.Unlock()
	res := c.sendRequest(ctx, r, ch)
	c.mu.Lock()
	delete(c.pending, r.id)
	c.mu.Unlock()
	res.Sent = start
	res.Latency = c.Clock().Sub(start)
	return *res
}

// sendRequest sends r, retransmits it until it has a result, the deadline passes or
// ctx ends, and returns the result. ch delivers the received frames of r.
func (c *Caller) sendRequest(ctx context.Context, r *request, ch chan wire.Frame) *Result {
	timer := time.NewTimer(r.deadline.Sub(c.Clock()))
	defer timer.Stop()
	resendTicker := time.NewTicker(c.Resend)
	defer resendTicker.Stop()
	f := r.frame(c.Clock())
	c.send(&f)
	for {
		sendNow := false
		select {
		case in := <-ch:
			var res *Result
			if res, sendNow = r.receive(&in); res != nil {
				return res
			}
		case <-resendTicker.C:
			sendNow = true
		case <-timer.C:
			return r.timeoutResult()
		case <-ctx.Done():
			c.send(&wire.Frame{Kind: wire.KindCancel, ID: r.id, Token: r.ticket})
			return r.timeoutResult()
		}
		if sendNow {
			f = r.frame(c.Clock())
			c.send(&f)
		}
	}
}

// Open opens a flow. It returns ErrNotOpened if the flow is refused or not opened
// within timeout.
func (c *Caller) Open(ctx context.Context, timeout time.Duration) (*Flow, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	opened := make(chan struct{})
	c.mu.Lock()
	c.nextID++
	fl := &Flow{ID: c.nextID}
	c.flows[fl.ID], c.opening[fl.ID] = fl, opened
	f := fl.frame(timeout)
	c.mu.Unlock()
	ticker := time.NewTicker(c.Resend)
	defer ticker.Stop()
	for {
		c.send(&f)
		select {
		case <-ticker.C:
		case <-opened:
			return c.openResult(fl)
		case <-ctx.Done():
			c.removeFlow(fl.ID)
			return nil, fmt.Errorf("flow %d: %w: %w", fl.ID, ErrNotOpened, ctx.Err())
		}
	}
}

func (c *Caller) removeFlow(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.flows, id)
	delete(c.opening, id)
}

// openResult returns the flow if it was opened, else an error with the reason.
func (c *Caller) openResult(fl *Flow) (*Flow, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !fl.Open {
		return nil, fmt.Errorf("flow %d: %w: %s", fl.ID, ErrNotOpened, fl.Broken)
	}
	return fl, nil
}

// Keepalive sends a keepalive on every active flow. It marks flows that have received
// nothing for the stall time as stalled.
func (c *Caller) Keepalive(stall time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock()
	for _, fl := range c.flows {
		fl.detectStall(now, stall)
		if fl.active() {
			f := fl.frame(0)
			c.send(&f)
		}
	}
}

// Close closes every active flow.
func (c *Caller) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, fl := range c.flows {
		c.close(fl)
	}
}

// CloseFlow closes one flow.
func (c *Caller) CloseFlow(fl *Flow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.close(fl)
}

func (c *Caller) close(fl *Flow) {
	if fl.active() {
		fl.closedByCaller = true
		c.send(&wire.Frame{Kind: wire.KindClose, Flow: fl.ID, Token: fl.Token})
	}
}
