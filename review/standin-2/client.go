package main

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// The times at which copies of a SYN are sent, and the end of the attempt.
var synCopies = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}

const (
	clientDeadline = 2 * time.Second
	readyInterval  = 500 * time.Millisecond
	readyMisses    = 2
)

// fabric stands for the platform's routers of one zone. It chooses the instance of a
// packet by a hash of its addresses over the instances in rotation.
type fabric struct {
	w    *world
	zone string

	mu     sync.Mutex
	misses map[*instance]int
	in     []*instance // of the zone, in rotation
}

// check asks all instances of the zone whether they are ready, until the program ends.
func (f *fabric) check() {
	client := &http.Client{Timeout: 400 * time.Millisecond}
	for ; ; time.Sleep(readyInterval) {
		var wg sync.WaitGroup
		instances := f.w.instancesOf(f.zone)
		ok := make([]bool, len(instances))
		for i, inst := range instances {
			wg.Go(func() {
				res, err := client.Get("http://" + inst.ready.String() + "/v1/ready")
				if err == nil {
					ok[i] = res.StatusCode == http.StatusOK
					_ = res.Body.Close()
				}
			})
		}
		wg.Wait()
		f.mu.Lock()
		var in []*instance
		for i, inst := range instances {
			if ok[i] {
				f.misses[inst] = 0
			} else if _, seen := f.misses[inst]; !seen {
				f.misses[inst] = readyMisses // not yet ready
			} else {
				f.misses[inst]++
			}
			if f.misses[inst] < readyMisses {
				in = append(in, inst)
			}
		}
		if len(in) > 0 && 2*len(in) < len(instances) {
			in = instances
		}
		f.in = in
		f.mu.Unlock()
	}
}

func (f *fabric) choose(k flowKey) *instance {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, k.client, k.service)
	in := f.rotation()
	for _, zone := range f.w.zones {
		if len(in) == 0 {
			in = f.w.fabrics[zone].rotation()
		}
	}
	if len(in) == 0 {
		return nil
	}
	return in[h.Sum64()%uint64(len(in))]
}

func (f *fabric) rotation() []*instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.in
}

// client is an address from which many flows are opened, one after the other or at once.
type client struct {
	w    *world
	zone string
	addr netip.Addr
	conn *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[flowKey]*clientFlow
}

// clientFlow is a flow that carries one request, or several one after the other.
type clientFlow struct {
	c        *client
	key      flowKey
	rec      *request
	echo     uint32
	iss      uint32
	sent     uint32
	acked    uint32
	rcvNext  uint32
	open     bool
	answer   []byte
	answered bool
	unacked  []*packet
	timer    *time.Timer
	// pause is that between two requests on the flow, until a time. It is 0 for a flow
	// that carries one request.
	pause time.Duration
	until time.Time
}

func (w *world) startClient(zone string, addr netip.Addr) (*client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, w.dataPort)))
	if err != nil {
		return nil, err
	}
	c := &client{w: w, zone: zone, addr: addr, conn: conn, port: 20000, flows: map[flowKey]*clientFlow{}}
	go c.receive()
	return c, nil
}

// request opens a flow and sends one request on it.
func (c *client) request(service netip.AddrPort) { c.open(service, 0, time.Time{}) }

// open opens a flow on which requests follow each other after a pause until a time. With
// no pause it carries one.
func (c *client) open(service netip.AddrPort, pause time.Duration, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	k := flowKey{netip.AddrPortFrom(c.addr, c.port), service}
	f := &clientFlow{c: c, key: k, iss: rand.Uint32(), pause: pause, until: until}
	f.sent, f.acked = f.iss+1, f.iss
	f.rec = c.w.newRequest(c.zone, k)
	c.flows[k] = f
	f.sendSyn(0)
	f.awaitAnswer()
}

// awaitAnswer gives the flow up if the next request is not answered before its deadline.
func (f *clientFlow) awaitAnswer() {
	n := f.rec.answers
	time.AfterFunc(clientDeadline, func() {
		f.c.mu.Lock()
		defer f.c.mu.Unlock()
		if f.rec.answers == n {
			f.finish("no answer before the deadline")
		}
	})
}

// send sends a request on the open flow.
func (f *clientFlow) send() {
	text := fmt.Sprintf("GET /%s HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s-%d\r\n\r\n", f.rec.id, f.rec.id, f.rec.answers)
	f.sendKept(&packet{flags: flagAck, data: []byte(text)})
}

func (f *clientFlow) sendSyn(n int) {
	f.rec.synSent(time.Now())
	f.rec.instance = f.transmit(&packet{flags: flagSyn, seq: f.iss, ack: uint32(n)})
	wait := synCopies[n]
	if n > 0 {
		wait -= synCopies[n-1]
	}
	f.timer = time.AfterFunc(wait, func() {
		f.c.mu.Lock()
		defer f.c.mu.Unlock()
		if f.open || f.c.flows[f.key] != f {
			return
		}
		if n == len(synCopies)-1 {
			f.finish("flow not opened")
			return
		}
		f.sendSyn(n + 1)
	})
}

// transmit sends a packet through the fabric and returns the instance that it went to.
func (f *clientFlow) transmit(p *packet) string {
	p.src, p.dst, p.echo = f.key.client, f.key.service, f.echo
	if p.flags&flagSyn == 0 {
		p.ack = f.rcvNext
	}
	inst := f.c.w.fabrics[f.c.zone].choose(f.key)
	if inst == nil {
		return "none"
	}
	f.rec.sentThrough(inst.name)
	_, _ = f.c.conn.WriteToUDPAddrPort(p.encode(), inst.data) // it may be down
	return inst.name
}

func (f *clientFlow) sendKept(p *packet) {
	p.seq = f.sent
	f.sent += p.length()
	f.unacked = append(f.unacked, p)
	f.transmit(p)
	if len(f.unacked) == 1 {
		f.schedule(resendFirst)
	}
}

func (f *clientFlow) schedule(d time.Duration) {
	f.timer.Stop()
	f.timer = time.AfterFunc(d, func() {
		f.c.mu.Lock()
		defer f.c.mu.Unlock()
		if f.c.flows[f.key] == f && len(f.unacked) > 0 {
			f.transmit(f.unacked[0])
			f.schedule(min(2*d, resendMax))
		}
	})
}

func (c *client) receive() {
	b := make([]byte, 2048)
	for {
		n, err := c.conn.Read(b)
		if err != nil {
			continue // a report of an earlier datagram to an instance that is down
		}
		p, err := decode(b[:n])
		if err != nil {
			c.w.note("client %v got %d bytes that are no packet", c.addr, n)
			continue
		}
		c.mu.Lock()
		c.handle(p)
		c.mu.Unlock()
	}
}

func (c *client) handle(p *packet) {
	f := c.flows[flowKey{p.dst, p.src}]
	if f == nil {
		return
	}
	if p.flags&flagRst != 0 {
		own := !p.sumOK
		if f.open && own && p.seq-f.rcvNext+76800 > 2*76800 {
			return // outside the window
		}
		f.rec.reset(own, f.open)
		f.finish(fmt.Sprintf("reset, by the system %v, open %v", own, f.open))
		return
	}
	if !p.sumOK {
		c.w.forged.Add(1)
		return
	}
	if !f.open {
		if p.flags&(flagSyn|flagAck) != flagSyn|flagAck || p.ack != f.iss+1 {
			return
		}
		f.open, f.acked, f.rcvNext, f.echo = true, p.ack, p.seq+1, p.echo
		f.timer.Stop()
		f.rec.handshake()
		f.send()
		return
	}
	if p.flags&flagSyn != 0 {
		return // of another host that got a copy of the SYN
	}
	f.echo = p.echo
	if int32(p.ack-f.acked) > 0 {
		f.acked = p.ack
		for len(f.unacked) > 0 && int32(p.ack-(f.unacked[0].seq+f.unacked[0].length())) >= 0 {
			f.unacked = f.unacked[1:]
		}
		f.timer.Stop()
		if len(f.unacked) > 0 {
			f.schedule(resendFirst)
		}
	}
	if p.length() == 0 {
		return
	}
	if p.seq == f.rcvNext {
		f.rcvNext += p.length()
		f.answer = append(f.answer, p.data...)
	}
	f.takeAnswer(p)
}

// takeAnswer goes on after a whole answer, and acknowledges what the host sent.
func (f *clientFlow) takeAnswer(p *packet) {
	if !f.answered && bytes.HasPrefix(f.answer, []byte("HTTP/1.1 ")) && bytes.Contains(f.answer, []byte("\r\n\r\n")) {
		f.rec.answered(string(f.answer[9:12]))
		f.answer = nil
		if f.pause > 0 && time.Now().Before(f.until) {
			f.transmit(&packet{flags: flagAck, seq: f.sent})
			time.AfterFunc(time.Duration(float64(f.pause)*(0.5+rand.Float64())), func() {
				f.c.mu.Lock()
				defer f.c.mu.Unlock()
				if f.c.flows[f.key] == f {
					f.send()
					f.awaitAnswer()
				}
			})
			return
		}
		f.answered = true
		f.sendKept(&packet{flags: flagFin | flagAck})
		return
	}
	f.transmit(&packet{flags: flagAck, seq: f.sent})
	if p.flags&flagFin != 0 && f.answered {
		f.finish("")
	}
}

// finish forgets the flow. A reason is given for one without an answer.
func (f *clientFlow) finish(reason string) {
	if f.c.flows[f.key] != f {
		return
	}
	f.timer.Stop()
	delete(f.c.flows, f.key)
	if !f.answered {
		f.rec.failed(reason)
	}
}
