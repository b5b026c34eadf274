package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// heartbeat is the interval at which hosts write their entries.
const heartbeat = 1200 * time.Millisecond

// host is a host of a service.
type host struct {
	w             *world
	id            uint64
	name, service string
	zone          string
	addr          netip.AddrPort
	conn          *net.UDPConn
	health        *http.Server
	work          time.Duration

	mu        sync.Mutex
	flows     map[key]*hostFlow
	state     string
	sequence  uint64
	born      int64
	writtenAt time.Time // last write of the entry
	stopped   bool
	cut       bool // writes no entry
	// acknowledgedAt is when the store acknowledged that the host is draining.
	acknowledgedAt time.Time
	opened, ran    int
	lateOpened     int // openings later than DrainMs after acknowledgedAt
	lateRan        int // requests that were run on these flows
}

// hostFlow is the host's end of a flow.
type hostFlow struct {
	open, late bool
	ended      bool
	clientSeq  uint32
	seq, next  uint32 // next byte to send, next byte expected
	echo       uint32
	last       []byte // last answer, for retransmissions
}

// startHost starts a host and registers it in the store.
func (w *world) startHost(name, service, zone string, work time.Duration) (*host, error) {
	var id uint64
	if _, err := fmt.Sscanf(name[strings.LastIndexByte(name, '-')+1:], "%x", &id); err != nil {
		return nil, err
	}
	w.hostCount++
	addr := netip.AddrPortFrom(w.ip(2, byte(w.hostCount)), w.port+9)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	h := &host{w: w, id: id, name: name, service: service, zone: zone, addr: addr, conn: conn, work: work, flows: map[key]*hostFlow{}, state: "ready", born: time.Now().UnixMilli()}
	l, err := net.Listen("tcp4", addr.String())
	if err != nil {
		return nil, err
	}
	h.health = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })}
	go h.health.Serve(l)
	go h.run()
	h.register()
	go func() {
		for range time.Tick(heartbeat) {
			if !h.register() {
				return
			}
		}
	}()
	w.hosts = append(w.hosts, h)
	return h, nil
}

// register writes the host's entry. It returns false once the host has left.
func (h *host) register() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return false
	}
	if h.cut {
		return true
	}
	h.sequence++
	h.writtenAt = time.Now()
	spec := map[string]any{"Service": h.service, "Address": h.addr, "Zone": h.zone, "Version": "v1", "Capacity": 2, "State": h.state, "WarmupLeftMs": 0, "born": h.born}
	same, _ := json.Marshal(spec)
	spec["Sequence"] = h.sequence
	b, _ := json.Marshal(spec)
	at := h.w.store.put("servers", h.name, b, string(same), true)
	if h.state == "draining" && h.acknowledgedAt.IsZero() {
		h.acknowledgedAt = at
		h.w.rec.say("store acknowledged that host %s is draining", h.name)
	}
	return true
}

// drain reports that the host is draining.
func (h *host) drain() {
	h.mu.Lock()
	h.state = "draining"
	h.mu.Unlock()
	h.register()
}

// leave ends the host and removes its entry.
func (h *host) leave() {
	h.mu.Lock()
	h.stopped = true
	h.mu.Unlock()
	_ = h.conn.Close()
	_ = h.health.Close()
	h.w.store.remove("servers", h.name)
	h.w.rec.say("host %s has left, its entry is removed", h.name)
}

func (h *host) run() {
	buf := make([]byte, 2048)
	for {
		n, _, err := h.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if n < 8 {
			continue
		}
		if to := binary.BigEndian.Uint64(buf); to != h.id && to != 0 {
			continue // another host is meant
		}
		if p, intact, _ := decode(buf[8:n]); intact {
			h.handle(p)
		} else {
			h.w.rec.say("UNASKED? packet to host %s was changed on its way", h.name)
		}
	}
}

func (h *host) handle(p packet) {
	h.mu.Lock()
	defer h.mu.Unlock()
	k := key{p.src, p.dst}
	f := h.flows[k]
	switch {
	case p.flags&flagSYN != 0:
		if p.flags&flagACK != 0 {
			return
		}
		if f == nil || f.clientSeq != p.seq {
			f = &hostFlow{clientSeq: p.seq, seq: rand.Uint32(), next: p.seq + 1}
			h.flows[k] = f
			h.opened++
			h.w.rec.line("host %s opening of %v to %v", h.name, p.src, p.dst)
			if !h.acknowledgedAt.IsZero() && time.Since(h.acknowledgedAt) > h.w.drainMs {
				if m, ok := h.w.takenBy.Load(k); ok && m.(*machine).inTouch() {
					f.late = true
					h.lateOpened++
					h.w.rec.line("DRAIN: opening of %v reached %s %v after the acknowledgement, through %s, which is in touch", p.src, h.name, time.Since(h.acknowledgedAt).Round(time.Millisecond), m.(*machine).name)
				}
			}
		}
		f.echo = p.echo
		h.send(packet{flags: flagSYN | flagACK, echo: f.echo, src: p.dst, dst: p.src, seq: f.seq, ack: f.next})
		return
	case f == nil:
		if p.flags&flagRST == 0 {
			h.w.rec.line("host %s resets %v to %v, it holds no such flow", h.name, p.src, p.dst)
			h.send(packet{flags: flagRST, echo: p.echo, src: p.dst, dst: p.src, seq: p.ack})
		}
		return
	}
	f.echo = p.echo
	if !f.open {
		if p.ack != f.seq+1 {
			h.send(packet{flags: flagRST, echo: p.echo, src: p.dst, dst: p.src, seq: p.ack})
			return
		}
		f.open = true
		f.seq++
	}
	switch {
	case f.ended:
		if p.flags&flagFIN != 0 {
			h.send(packet{flags: flagACK, echo: f.echo, src: p.dst, dst: p.src, seq: f.seq, ack: p.seq + 1})
		} else if len(p.data) > 0 {
			h.send(packet{flags: flagRST, echo: f.echo, src: p.dst, dst: p.src, seq: p.ack})
		}
	case p.flags&flagRST != 0:
		f.ended = true
	case len(p.data) > 0 && p.seq == f.next:
		f.next += uint32(len(p.data))
		h.ran++
		if f.late {
			h.lateRan++
		}
		h.w.rec.line("host %s runs %q of %v", h.name, attemptOf(p.data), p.src)
		time.AfterFunc(h.work, func() { h.answer(k, f, attemptOf(p.data)) })
	case len(p.data) > 0 && f.last != nil:
		h.write(f.last, p.src)
	case len(p.data) > 0: // still at work: confirms the repeated packet
		h.send(packet{flags: flagACK, echo: f.echo, src: p.dst, dst: p.src, seq: f.seq, ack: f.next})
	case p.flags&flagFIN != 0:
		f.ended = true
		h.send(packet{flags: flagACK | flagFIN, echo: f.echo, src: p.dst, dst: p.src, seq: f.seq, ack: p.seq + 1})
	}
}

// answer sends the answer to a request.
func (h *host) answer(k key, f *hostFlow, attempt string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return
	}
	body := "done " + attempt
	data := fmt.Sprintf("HTTP/1.1 200 OK\r\nServer-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", h.name, len(body), body)
	a := packet{flags: flagACK, echo: f.echo, src: k.route, dst: k.client, seq: f.seq, ack: f.next, data: []byte(data)}
	f.seq += uint32(len(data))
	if h.state == "draining" { // closes each flow after its next answer
		a.flags |= flagFIN
		f.ended = true
	}
	f.last = a.encode()
	h.write(f.last, k.client)
}

// holds says whether the host is alive and has the flow open.
func (h *host) holds(k key) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[k]
	return !h.stopped && f != nil && f.open && !f.ended
}

func (h *host) send(p packet) { h.write(p.encode(), p.dst) }

func (h *host) write(b []byte, client netip.AddrPort) {
	_, _ = h.conn.WriteToUDPAddrPort(b, netip.AddrPortFrom(client.Addr(), h.w.port))
}

// attemptOf returns the Attempt-Id of a request.
func attemptOf(data []byte) string {
	_, rest, _ := strings.Cut(string(data), "Attempt-Id: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}
