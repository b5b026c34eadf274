package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"
)

// Waits of a client.
const (
	openingTimeout = 1400 * time.Millisecond
	firstCopy      = 200 * time.Millisecond
	secondCopy     = 600 * time.Millisecond
	maxRetransmit  = 1600 * time.Millisecond
)

// ending says how a request of a client ended.
type ending int

const (
	answered ending = iota
	reset
	silent
)

// attempts numbers the client attempts of all flows.
var attempts atomic.Int64

// flow is a client's end of a flow.
type flow struct {
	w        *world
	k        key
	in       chan received
	echo     uint32
	seq, ack uint32 // next byte to send, next byte expected
	host     string // that answered last
	closed   bool   // the host has sent FIN
	// resetBy is the machine whose reset ended the flow, empty if a host's did.
	resetBy string
}

// open opens a flow to a route.
func (w *world) open(route netip.AddrPort) (*flow, ending) {
	f := &flow{w: w, in: make(chan received, 64), seq: rand.Uint32()}
	f.k = key{w.takePort(f), route}
	w.rec.line("client %v opens a flow to %v", f.k.client, route)
	began := time.Now()
	for copies, next := uint32(0), time.Duration(0); ; {
		wait := min(next, openingTimeout) - time.Since(began)
		if wait <= 0 {
			if next >= openingTimeout {
				w.dropPort(f)
				w.rec.line("client %v: no answer to the opening", f.k.client)
				return f, silent
			}
			w.send(packet{flags: flagSYN, src: f.k.client, dst: route, seq: f.seq, ack: copies})
			copies++
			next = [...]time.Duration{0, firstCopy, secondCopy, openingTimeout}[copies]
			continue
		}
		select {
		case r := <-f.in:
			switch {
			case r.flags&flagRST != 0:
				w.dropPort(f)
				w.rec.line("client %v: opening reset by %s", f.k.client, r.by)
				f.resetBy = r.by
				return f, reset
			case r.flags == flagSYN|flagACK && r.ack == f.seq+1:
				f.seq++
				f.ack, f.echo = r.seq+1, r.echo
				w.send(packet{flags: flagACK, echo: f.echo, src: f.k.client, dst: route, seq: f.seq, ack: f.ack})
				return f, answered
			}
		case <-time.After(wait):
		}
	}
}

// request sends a request on an open flow and waits for its answer.
func (f *flow) request(method string, size int, deadline time.Duration) ending {
	id := fmt.Sprint(attempts.Add(1))
	data := []byte(fmt.Sprintf("%s /x HTTP/1.1\r\nAttempt-Id: %s\r\n\r\n", method, id))
	for len(data) < size {
		data = append(data, '.')
	}
	f.w.rec.line("client %v sends request %s", f.k.client, id)
	end := time.After(deadline)
	for wait := firstCopy; ; wait = min(2*wait, maxRetransmit) {
		f.w.send(packet{flags: flagACK, echo: f.echo, src: f.k.client, dst: f.k.route, seq: f.seq, ack: f.ack, data: data})
		again := time.After(wait)
		for waiting := true; waiting; {
			select {
			case r := <-f.in:
				switch {
				case r.flags&flagRST != 0:
					f.w.rec.line("client %v: request %s, flow reset by %s%s", f.k.client, id, r.by, r.host)
					f.resetBy = r.by
					f.w.dropPort(f)
					return reset
				case r.flags&flagSYN != 0:
				case len(r.data) > 0 && r.seq == f.ack:
					f.echo = r.echo
					f.seq += uint32(len(data))
					f.ack += uint32(len(r.data))
					f.closed = r.flags&flagFIN != 0
					f.host = r.host
					f.w.rec.line("client %v: request %s answered by %s", f.k.client, id, r.host)
					f.w.send(packet{flags: flagACK, echo: f.echo, src: f.k.client, dst: f.k.route, seq: f.seq, ack: f.ack})
					return answered
				case r.ack == f.seq+uint32(len(data)):
					f.echo = r.echo
					again = nil // confirmed, the answer follows
				}
			case <-again:
				waiting = false
			case <-end:
				f.w.rec.line("client %v: request %s, no answer until its deadline", f.k.client, id)
				f.w.dropPort(f)
				return silent
			}
		}
	}
}

// close ends the flow.
func (f *flow) close() {
	f.w.send(packet{flags: flagACK | flagFIN, echo: f.echo, src: f.k.client, dst: f.k.route, seq: f.seq, ack: f.ack})
	time.AfterFunc(300*time.Millisecond, func() { f.w.dropPort(f) })
}
