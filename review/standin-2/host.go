package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	heartbeat   = 1200 * time.Millisecond
	hostQueue   = 8
	hostSlots   = 2
	coldFactor  = 1.6 // a cold host takes so many times longer
	resendFirst = 200 * time.Millisecond
	resendMax   = 1600 * time.Millisecond
	hostResends = 8
)

type flowKey struct{ client, service netip.AddrPort }

// host stands for one backend server.
type host struct {
	w             *world
	name, service string
	zone          string
	id            uint64
	addr          netip.AddrPort
	work          time.Duration
	conn          *net.UDPConn
	health        *http.Server

	mu        sync.Mutex
	born      int64
	sequence  int
	draining  bool
	silent    bool // writes no entry
	coldUntil time.Time
	written   string // the entry without Sequence, as it lies in the store
	flows     map[flowKey]*hostFlow
	busy      int
	queue     []*hostFlow
	taken     []time.Time // SYNs of the last second
	falling   bool
	stopped   bool
	stop      chan struct{}
}

// hostFlow is a flow at a host.
type hostFlow struct {
	h          *host
	key        flowKey
	echo       uint32 // last one received
	rcvNext    uint32
	iss, sent  uint32 // first sequence number, and the one after all that was sent
	acked      uint32
	open       bool
	closed     bool // the host's FIN was sent
	request    []byte
	unacked    []*packet
	timer      *time.Timer
	resends    int
	unackedIn  int // packets received since the last acknowledgement
	endOfInput bool
}

// startHost starts a host. Its first entry is written at once, the next ones every
// heartbeat, the first of them after phase.
func (w *world) startHost(name, service, zone string, addr netip.AddrPort, work, phase time.Duration) (*host, error) {
	var id uint64
	if _, err := fmt.Sscanf(name, "i-%x", &id); err != nil {
		return nil, err
	}
	h := &host{w: w, name: name, service: service, zone: zone, id: id, addr: addr, work: work, stop: make(chan struct{})}
	if err := h.start(phase, 0); err != nil {
		return nil, err
	}
	return h, nil
}

func (h *host) start(phase, cold time.Duration) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(h.addr))
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp4", h.addr.String())
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Instance-Id", h.name)
		w.WriteHeader(http.StatusOK)
	})
	h.mu.Lock()
	h.conn, h.health = conn, &http.Server{Handler: mux}
	h.born, h.sequence, h.draining, h.stopped, h.written = time.Now().UnixMilli(), 0, false, false, ""
	h.flows, h.busy, h.queue, h.stop = map[flowKey]*hostFlow{}, 0, nil, make(chan struct{})
	h.coldUntil = time.Now().Add(cold)
	stop := h.stop
	h.mu.Unlock()
	go func() { _ = h.health.Serve(l) }() // ends with the host
	go h.receive(conn)
	h.beat()
	go func() {
		t := time.NewTimer(phase)
		defer t.Stop()
		for {
			select {
			case <-stop:
				return
			case <-t.C:
				h.beat()
				t.Reset(heartbeat)
			}
		}
	}()
	return nil
}

// fallTime is how long a cold host bears too much.
const fallTime = 150 * time.Millisecond

// bear counts a new flow. A cold host that gets more than it can bear falls over.
func (h *host) bear() {
	now := time.Now()
	h.taken = append(h.taken, now)
	for now.Sub(h.taken[0]) >= time.Second {
		h.taken = h.taken[1:]
	}
	if h.w.coldBound <= 0 || h.falling || !now.Before(h.coldUntil) || float64(len(h.taken)) <= h.w.coldBound {
		return
	}
	h.falling = true
	time.AfterFunc(fallTime, func() {
		h.crash()
		h.w.note("cold host %s fell over", h.name)
		time.AfterFunc(3*heartbeat, func() { h.w.store.remove("servers", h.name) })
	})
}

// crash ends the host without a word.
func (h *host) crash() {
	h.mu.Lock()
	h.stopped = true
	close(h.stop)
	for _, f := range h.flows {
		f.stopTimer()
	}
	h.mu.Unlock()
	_ = h.conn.Close()
	_ = h.health.Close()
}

// beat writes the host's entry if more than Sequence changed.
func (h *host) beat() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.silent || h.w.store.isDown() {
		return
	}
	h.sequence++
	state := "ready"
	if h.draining {
		state = "draining"
	}
	left := max(time.Until(h.coldUntil), 0).Milliseconds()
	e := fmt.Sprint(state, left, h.born)
	if e == h.written {
		return
	}
	h.written = e
	h.w.store.put("servers", h.name, map[string]any{
		"Service": h.service, "Address": h.addr.String(), "Zone": h.zone, "Version": "v1", "Capacity": hostSlots,
		"State": state, "WarmupLeftMs": left, "Sequence": h.sequence, "born": h.born,
	})
	h.w.note("entry of %s %s: %s, WarmupLeftMs %d", h.zone, h.name, state, left)
}

// becomeCold makes the host cold for a time. Its next entry says so.
func (h *host) becomeCold(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.coldUntil = time.Now().Add(d)
	h.w.addCold(h.name, time.Now(), h.coldUntil)
}

// setSilent stops the host's reports to the store, or resumes them. Its next report writes
// the entry, which the store may have removed.
func (h *host) setSilent(silent bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.silent, h.written = silent, ""
}

func (h *host) receive(conn *net.UDPConn) {
	b := make([]byte, 2048)
	for {
		n, err := conn.Read(b)
		if err != nil {
			return // the host ended
		}
		if n < 8 {
			continue
		}
		if to := binary.BigEndian.Uint64(b); to != 0 && to != h.id {
			h.w.misdirected.Add(1)
			continue
		}
		p, err := decode(b[8:n])
		if err != nil || !p.sumOK {
			h.w.forged.Add(1)
			h.w.note("host %s got a packet that its sender did not write so", h.name)
			continue
		}
		h.handle(p)
	}
}

func (h *host) handle(p *packet) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return
	}
	k := flowKey{p.src, p.dst}
	f := h.flows[k]
	if p.flags&flagSyn != 0 {
		if f == nil {
			f = &hostFlow{h: h, key: k, rcvNext: p.seq + 1, iss: rand.Uint32()}
			f.acked, f.sent = f.iss, f.iss+1
			h.flows[k] = f
			h.w.arrived(h, k, p.seq)
			h.bear()
		}
		f.echo = p.echo
		if !f.open {
			f.send(&packet{flags: flagSyn | flagAck, seq: f.iss})
		}
		return
	}
	if f == nil {
		if p.flags&flagRst == 0 {
			h.reply(&packet{flags: flagRst, src: p.dst, dst: p.src, seq: p.ack, echo: p.echo})
		}
		return
	}
	f.echo = p.echo
	if p.flags&flagRst != 0 {
		f.drop()
		return
	}
	if !f.open {
		if p.ack != f.iss+1 {
			return // another host has the flow
		}
		f.open = true
		h.w.opened(h, k)
	}
	f.acknowledged(p.ack)
	f.take(p)
}

// take handles the data and the end of a packet.
func (f *hostFlow) take(p *packet) {
	if p.length() == 0 {
		return
	}
	if p.seq != f.rcvNext {
		f.acknowledge()
		return
	}
	f.rcvNext += p.length()
	f.request = append(f.request, p.data...)
	if f.unackedIn++; f.unackedIn >= 2 {
		f.acknowledge()
	}
	if p.flags&flagFin != 0 {
		f.endOfInput = true
		f.acknowledge()
		if !f.closed {
			f.closed = true
			f.sendKept(&packet{flags: flagFin | flagAck})
		}
		return
	}
	if i := bytes.Index(f.request, []byte("\r\n\r\n")); i >= 0 {
		f.request = f.request[i+4:]
		f.h.accept(f)
	}
}

// accept queues a request, or says that it was not run.
func (h *host) accept(f *hostFlow) {
	if h.busy < hostSlots {
		h.busy++
		h.run(f)
		return
	}
	if len(h.queue) < hostQueue {
		h.queue = append(h.queue, f)
		return
	}
	f.respond("503 Service Unavailable", "Not-Executed: 1\r\n", "")
}

func (h *host) run(f *hostFlow) {
	d := time.Duration(float64(h.work) * (0.5 + rand.Float64()))
	if time.Now().Before(h.coldUntil) {
		d = time.Duration(float64(d) * coldFactor)
	}
	h.w.ran(h, f.key)
	time.AfterFunc(d, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.stopped {
			return
		}
		if h.flows[f.key] == f {
			f.respond("200 OK", "", h.name+" "+f.key.client.String())
		}
		h.busy--
		if len(h.queue) > 0 {
			next := h.queue[0]
			h.queue = h.queue[1:]
			h.busy++
			h.run(next)
		}
	})
}

func (f *hostFlow) respond(status, headers, body string) {
	text := fmt.Sprintf("HTTP/1.1 %s\r\n%sServer-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", status, headers, f.h.name, len(body), body)
	f.sendKept(&packet{flags: flagAck, data: []byte(text)})
}

// sendKept sends a packet that takes sequence numbers, and sends it again until it is
// acknowledged.
func (f *hostFlow) sendKept(p *packet) {
	p.seq = f.sent
	f.sent += p.length()
	f.unacked = append(f.unacked, p)
	f.send(p)
	if len(f.unacked) == 1 {
		f.resends = 0
		f.schedule(resendFirst)
	}
}

func (f *hostFlow) schedule(d time.Duration) {
	f.stopTimer()
	f.timer = time.AfterFunc(d, func() {
		f.h.mu.Lock()
		defer f.h.mu.Unlock()
		if f.h.stopped || f.h.flows[f.key] != f || len(f.unacked) == 0 {
			return
		}
		if f.resends++; f.resends > hostResends {
			f.drop()
			return
		}
		f.send(f.unacked[0])
		f.schedule(min(2*d, resendMax))
	})
}

func (f *hostFlow) stopTimer() {
	if f.timer != nil {
		f.timer.Stop()
	}
}

func (f *hostFlow) acknowledged(ack uint32) {
	if int32(ack-f.acked) <= 0 {
		return
	}
	f.acked = ack
	for len(f.unacked) > 0 && int32(ack-(f.unacked[0].seq+f.unacked[0].length())) >= 0 {
		f.unacked = f.unacked[1:]
	}
	f.stopTimer()
	f.resends = 0
	switch {
	case len(f.unacked) > 0:
		f.schedule(resendFirst)
	case f.closed && f.endOfInput:
		f.drop()
	}
}

func (f *hostFlow) drop() {
	f.stopTimer()
	delete(f.h.flows, f.key)
	f.h.w.closed(f.h, f.key)
}

func (f *hostFlow) acknowledge() { f.send(&packet{flags: flagAck, seq: f.sent}) }

func (f *hostFlow) send(p *packet) {
	p.src, p.dst, p.ack, p.echo = f.key.service, f.key.client, f.rcvNext, f.echo
	f.unackedIn = 0
	f.h.reply(p)
}

// reply sends a packet to its client directly.
func (h *host) reply(p *packet) {
	to := netip.AddrPortFrom(p.dst.Addr(), h.w.dataPort)
	if _, err := h.conn.WriteToUDPAddrPort(p.encode(), to); err != nil {
		h.w.note("host %s did not send: %v", h.name, err)
	}
}
