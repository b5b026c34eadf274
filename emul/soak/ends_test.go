package soak

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// host is one backend server.
type host struct {
	w       *world
	id      uint64
	name    string
	service string
	domain  string
	conn    *net.UDPConn
	addr    netip.AddrPort

	mu    sync.Mutex
	flows map[netip.AddrPort]*state // by caller
	// notAfter is when openings must have ended, zero for no such time.
	notAfter time.Time
	dead     bool
	state    string // as its record says
}

// state is a server's end of a flow.
type state struct {
	own   uint32 // next byte to send
	their uint32 // next byte expected
	last  []byte // the latest answer
}

// run answers packets until the socket is closed.
func (h *host) run() {
	buf := make([]byte, 2048)
	for {
		n, _, err := h.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if n < 8 || binary.BigEndian.Uint64(buf) != h.id && binary.BigEndian.Uint64(buf) != 0 {
			continue
		}
		p, whole, _ := decode(append([]byte{}, buf[8:n]...))
		if !whole {
			h.w.broken("packet changed on its way to %s", h.name)
			continue
		}
		h.handle(p)
	}
}

func (h *host) handle(p packet) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[p.src]
	if p.flags&fOpen != 0 {
		h.opening(p)
		return
	}
	switch {
	case p.flags&fReset != 0:
		delete(h.flows, p.src)
	case f == nil:
		h.send(packet{flags: fReset, token: p.token, src: p.dst, dst: p.src, seq: p.ack})
	case p.flags&fEnd != 0:
		delete(h.flows, p.src)
		h.send(packet{flags: fAck, token: p.token, src: p.dst, dst: p.src, seq: f.own, ack: p.seq + 1})
	case len(p.data) > 0 && p.seq == f.their:
		f.their += uint32(len(p.data))
		a := packet{flags: fAck, token: p.token, src: p.dst, dst: p.src, seq: f.own, ack: f.their, data: p.data}
		f.own += uint32(len(p.data))
		f.last = a.encode()
		h.write(f.last, p.src)
	case len(p.data) > 0 && f.last != nil:
		h.write(f.last, p.src) // the answer was lost
	}
}

// opening takes a new flow. The caller holds mu.
func (h *host) opening(p packet) {
	if !h.w.allowed(p.dst, h.service) {
		h.w.broken("opening for %v at %s of service %s", p.dst, h.name, h.service)
	}
	if !h.notAfter.IsZero() && time.Now().After(h.notAfter) {
		h.w.broken("opening at %s, %v after it had to end", h.name, time.Since(h.notAfter))
	}
	f := h.flows[p.src]
	if f == nil {
		f = &state{own: rand.Uint32(), their: p.seq + 1}
		h.flows[p.src] = f
	}
	h.send(packet{flags: fOpen | fAck, token: p.token, src: p.dst, dst: p.src, seq: f.own - 1, ack: p.seq + 1})
}

func (h *host) send(p packet) { h.write(p.encode(), p.dst) }

func (h *host) write(b []byte, caller netip.AddrPort) {
	// A caller that is gone refuses datagrams.
	_, _ = h.conn.WriteToUDPAddrPort(b, netip.AddrPortFrom(caller.Addr(), h.w.port))
}

// caller opens flows and makes requests on them.
type caller struct {
	w    *world
	rnd  *rand.Rand
	in   chan packet
	addr netip.AddrPort
}

// outcomes count requests by whether they were served.
type outcomes struct{ asked, served atomic.Int64 }

// run makes requests until stop is closed.
func (c *caller) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(20+c.rnd.IntN(200)) * time.Millisecond):
		}
		c.flow(1 + c.rnd.IntN(12))
	}
}

// flow opens a flow and makes n requests on it.
func (c *caller) flow(n int) {
	c.addr = netip.AddrPortFrom(c.w.callers, c.w.register(c))
	defer c.w.release(c.addr.Port())
	to := c.w.route(c.rnd)
	seq := c.rnd.Uint32()
	w := c.w.window()
	w.asked.Add(1)
	p, ok := c.ask(packet{flags: fOpen, src: c.addr, dst: to, seq: seq}, 1400*time.Millisecond, func(p packet) bool { return p.flags&fOpen != 0 })
	if !ok {
		return
	}
	w.served.Add(1)
	seq++
	token, next := p.token, p.seq+1
	for range n {
		data := binary.BigEndian.AppendUint64(nil, c.rnd.Uint64())
		w := c.w.window()
		w.asked.Add(1)
		q := packet{flags: fAck, token: token, src: c.addr, dst: to, seq: seq, ack: next, data: data}
		p, ok := c.ask(q, 1500*time.Millisecond, func(p packet) bool { return p.ack == seq+uint32(len(data)) && len(p.data) > 0 })
		if !ok {
			return
		}
		if string(p.data) != string(data) {
			c.w.broken("answer to another request at %v", c.addr)
		}
		w.served.Add(1)
		seq += uint32(len(data))
		next = p.seq + uint32(len(p.data))
		token = p.token
		time.Sleep(time.Duration(c.rnd.IntN(150)) * time.Millisecond)
	}
	c.w.send(packet{flags: fAck | fEnd, token: token, src: c.addr, dst: to, seq: seq, ack: next})
}

// ask sends a packet and copies of it until an answer comes that fits.
func (c *caller) ask(p packet, limit time.Duration, fits func(packet) bool) (packet, bool) {
	end := time.After(limit)
	wait := 200 * time.Millisecond
	for copies := uint32(0); ; copies++ {
		if p.flags == fOpen {
			p.ack = copies
		}
		c.w.send(p)
		again := time.After(wait)
		wait *= 2
	read:
		for {
			select {
			case a := <-c.in:
				if a.flags&fReset != 0 {
					return a, false
				}
				if fits(a) {
					return a, true
				}
			case <-again:
				break read
			case <-end:
				return packet{}, false
			}
		}
	}
}
