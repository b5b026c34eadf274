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

// backendServer is one backend server.
type backendServer struct {
	dep     *deployment
	id      uint64
	name    string
	service string
	domain  string
	conn    *net.UDPConn
	addr    netip.AddrPort

	mu            sync.Mutex
	flowsByCaller map[netip.AddrPort]*serverFlow
	// noOpenAfter is the time after which no open packet may arrive, or zero if
	// the server is not draining.
	noOpenAfter time.Time
	dead        bool
	state       string // state in its record
	sequence    uint64 // of its latest record
}

// serverFlow is the server's end of a flow.
type serverFlow struct {
	nextSend   uint32 // sequence number of the next byte to send
	nextRecv   uint32 // sequence number of the next byte expected
	lastAnswer []byte // encoded, for retransmission
}

// run handles packets until the socket is closed. Packets for another server's
// identity are dropped.
func (srv *backendServer) run() {
	buf := make([]byte, 2048)
	for {
		n, _, err := srv.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if n < 8 || binary.BigEndian.Uint64(buf) != srv.id && binary.BigEndian.Uint64(buf) != 0 {
			continue
		}
		p, intact, _ := decode(append([]byte{}, buf[8:n]...))
		if !intact {
			srv.dep.errorf("packet to %s was altered in transit", srv.name)
			continue
		}
		srv.handle(p)
	}
}

// handle answers one packet.
func (srv *backendServer) handle(p packet) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	f := srv.flowsByCaller[p.src]
	if p.flags&flagOpen != 0 {
		srv.handleOpen(p)
		return
	}
	switch {
	case p.flags&flagReset != 0:
		delete(srv.flowsByCaller, p.src)
	case f == nil:
		srv.send(packet{flags: flagReset, token: p.token, src: p.dst, dst: p.src, seq: p.ack})
	case p.flags&flagEnd != 0:
		delete(srv.flowsByCaller, p.src)
		srv.send(packet{flags: flagAck, token: p.token, src: p.dst, dst: p.src, seq: f.nextSend, ack: p.seq + 1})
	case len(p.data) > 0 && p.seq == f.nextRecv:
		f.nextRecv += uint32(len(p.data))
		a := packet{flags: flagAck, token: p.token, src: p.dst, dst: p.src, seq: f.nextSend, ack: f.nextRecv, data: p.data}
		f.nextSend += uint32(len(p.data))
		f.lastAnswer = a.encode()
		srv.write(f.lastAnswer, p.src)
	case len(p.data) > 0 && f.lastAnswer != nil:
		srv.write(f.lastAnswer, p.src) // a retransmission: the answer was lost
	}
}

// handleOpen adds a flow, unless the open packet is a copy, and answers it. It
// checks that the server may get new flows of this route now. srv.mu must be
// held.
func (srv *backendServer) handleOpen(p packet) {
	if !srv.dep.everRouted(p.dst, srv.service) {
		srv.dep.errorf("open packet for %v reached %s of service %s", p.dst, srv.name, srv.service)
	}
	if !srv.noOpenAfter.IsZero() && time.Now().After(srv.noOpenAfter) {
		srv.dep.errorf("open packet reached draining %s, %v too late", srv.name, time.Since(srv.noOpenAfter))
	}
	f := srv.flowsByCaller[p.src]
	if f == nil {
		f = &serverFlow{nextSend: rand.Uint32(), nextRecv: p.seq + 1}
		srv.flowsByCaller[p.src] = f
	}
	srv.send(packet{flags: flagOpen | flagAck, token: p.token, src: p.dst, dst: p.src, seq: f.nextSend - 1, ack: p.seq + 1})
}

func (srv *backendServer) send(p packet) { srv.write(p.encode(), p.dst) }

func (srv *backendServer) write(b []byte, caller netip.AddrPort) {
	// The write fails when the caller's socket is closed.
	_, _ = srv.conn.WriteToUDPAddrPort(b, netip.AddrPortFrom(caller.Addr(), srv.dep.port))
}

// caller opens flows and makes requests on them.
type caller struct {
	dep     *deployment
	rnd     *rand.Rand
	packets chan packet
	addr    netip.AddrPort
}

// requestCounts counts the requests of callers and those of them that were
// served. Opening a flow counts as a request.
type requestCounts struct{ sent, served atomic.Int64 }

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
	c.addr = netip.AddrPortFrom(c.dep.callerAddr, c.dep.allocatePort(c))
	defer c.dep.releasePort(c.addr.Port())
	to := c.dep.randomRoute(c.rnd)
	seq := c.rnd.Uint32()
	phase := c.dep.currentPhase()
	phase.sent.Add(1)
	p, ok := c.request(packet{flags: flagOpen, src: c.addr, dst: to, seq: seq}, 1400*time.Millisecond, func(p packet) bool { return p.flags&flagOpen != 0 })
	if !ok {
		return
	}
	phase.served.Add(1)
	seq++
	token, next := p.token, p.seq+1
	for range n {
		data := binary.BigEndian.AppendUint64(nil, c.rnd.Uint64())
		phase := c.dep.currentPhase()
		phase.sent.Add(1)
		q := packet{flags: flagAck, token: token, src: c.addr, dst: to, seq: seq, ack: next, data: data}
		p, ok := c.request(q, 1500*time.Millisecond, func(p packet) bool { return p.ack == seq+uint32(len(data)) && len(p.data) > 0 })
		if !ok {
			return
		}
		if string(p.data) != string(data) {
			c.dep.errorf("caller %v got the answer to another request", c.addr)
		}
		phase.served.Add(1)
		seq += uint32(len(data))
		next = p.seq + uint32(len(p.data))
		token = p.token
		time.Sleep(time.Duration(c.rnd.IntN(150)) * time.Millisecond)
	}
	c.dep.send(packet{flags: flagAck | flagEnd, token: token, src: c.addr, dst: to, seq: seq, ack: next})
}

// request sends a packet and retransmits it, with a wait that doubles from
// 200 ms, until accept takes an answer. It returns false on a reset or timeout.
func (c *caller) request(p packet, timeout time.Duration, accept func(packet) bool) (packet, bool) {
	timedOut := time.After(timeout)
	wait := 200 * time.Millisecond
	for copies := uint32(0); ; copies++ {
		if p.flags == flagOpen {
			p.ack = copies // counts earlier transmissions of an open packet
		}
		c.dep.send(p)
		retransmit := time.After(wait)
		wait *= 2
	read:
		for {
			select {
			case a := <-c.packets:
				if a.flags&flagReset != 0 {
					return a, false
				}
				if accept(a) {
					return a, true
				}
			case <-retransmit:
				break read
			case <-timedOut:
				return packet{}, false
			}
		}
	}
}
