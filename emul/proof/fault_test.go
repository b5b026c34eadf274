package proof_test

import (
	"fmt"
	"slices"
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wire"
)

// fault is one kind of failure or planned change; start begins it and plans
// its end.
type fault struct {
	name  string
	start func(w *world)
}

func (w *world) some() *inst { return w.insts[w.rnd.IntN(len(w.insts))] }

func (w *world) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(w.rnd.Int64N(int64(hi-lo)))
}

// someHost returns a server that the settings have in service.
func (w *world) someHost() *host {
	var hs []*host
	for _, h := range w.all {
		if !h.gone && w.plat.last().Servers[h.name].Mark == conf.MarkIn {
			hs = append(hs, h)
		}
	}
	return hs[w.rnd.IntN(len(hs))]
}

var faults = []fault{
	{"kill", func(w *world) {
		in := w.some()
		in.stop()
		w.After(w.between(100*time.Millisecond, 6*time.Second), func() {
			if !in.up {
				in.start()
			}
		})
	}},
	{"stop", func(w *world) { w.replace(w.some()) }},
	{"pause", func(w *world) { w.pause(w.some(), false) }},
	{"pauseBeforeSend", func(w *world) { w.pause(w.some(), true) }},
	{"partition", func(w *world) {
		d := domains[w.rnd.IntN(len(domains))]
		w.cut[d] = true
		w.After(w.between(time.Second, 10*time.Second), func() { delete(w.cut, d) })
	}},
	{"controlPartition", func(w *world) {
		d := domains[w.rnd.IntN(len(domains))]
		w.mute[d] = true
		w.After(w.between(time.Second, 10*time.Second), func() { delete(w.mute, d) })
	}},
	{"platformPartition", func(w *world) {
		d := domains[w.rnd.IntN(len(domains))]
		w.away[d] = true
		w.After(w.between(time.Second, 10*time.Second), func() { delete(w.away, d) })
	}},
	{"outage", func(w *world) {
		w.plat.down = true
		w.After(w.between(4*time.Second, 15*time.Second), func() { w.plat.down = false })
	}},
	{"laggingReplica", func(w *world) {
		w.plat.lag = 3 * time.Second
		w.After(8*time.Second, func() { w.plat.lag = 0 })
	}},
	{"lostAnswers", func(w *world) {
		w.plat.lost = 0.5
		w.After(8*time.Second, func() { w.plat.lost = 0 })
	}},
	{"loss", func(w *world) {
		w.loss = 0.1
		w.After(8*time.Second, func() { w.loss = 0.01 })
	}},
	{"drain", func(w *world) {
		h := w.someHost()
		w.plat.markServer(h.name, conf.MarkLeaving)
		w.After(w.between(time.Second, 10*time.Second), func() {
			if w.plat.last().Servers[h.name].Mark == conf.MarkLeaving {
				w.plat.markServer(h.name, conf.MarkIn)
			}
		})
	}},
	{"serverDeath", func(w *world) {
		h := w.someHost()
		h.died, h.blind = w.Now, false
		h.FallOver(w.Now)
	}},
	{"silentCold", func(w *world) {
		h := w.someHost()
		h.blind = true
		h.GoCold(w.Now, h.ColdMargin)
	}},
	{"move", func(w *world) { w.move(w.someHost()) }},
	{"domainOut", func(w *world) {
		d := domains[w.rnd.IntN(len(domains))]
		if w.plat.down || w.plat.last().Domains[d].Mark == conf.MarkOut {
			return
		}
		w.plat.markDomain(d, conf.MarkOut)
		w.After(w.between(5*time.Second, 12*time.Second), func() { w.domainIn(d) })
	}},
	{"keys", func(w *world) { w.rotate() }},
	{"skew", func(w *world) {
		in := w.some()
		in.skew = time.Duration(1-2*w.rnd.IntN(2)) * w.between(250*time.Millisecond, 3*time.Second)
		w.After(8*time.Second, func() { in.skew, in.rough = 0, w.Now })
	}},
	{"forge", func(w *world) { w.forge(200) }},
}

func (w *world) domainIn(d string) {
	if w.plat.down {
		w.After(time.Second, func() { w.domainIn(d) })
		return
	}
	w.plat.markDomain(d, conf.MarkIn)
	for _, h := range w.all { // The servers of a returning domain start cold.
		if h.domain == d && !h.gone {
			h.died = w.Now
			h.Start(w.Now)
		}
	}
}

// pause stops a process for a while. With beforeSend, what it decided in the
// last 300 ms leaves only after the pause.
func (w *world) pause(in *inst, beforeSend bool) {
	if !in.up || in.paused || in.freeze {
		return
	}
	process := in.process
	stop := func() {
		if in.process == process && in.up {
			in.freeze, in.paused = false, true
		}
	}
	if in.freeze = beforeSend; beforeSend {
		w.After(300*time.Millisecond, stop)
	} else {
		stop()
	}
	w.After(w.between(500*time.Millisecond, 15*time.Second), func() {
		if in.process == process && in.paused {
			in.resume()
		}
	})
}

// replace stops an instance as planned and starts a new process at its place.
func (w *world) replace(in *inst) {
	if !in.up || in.leaving {
		return
	}
	process, told := in.process, w.Now
	in.leaving, in.changed = true, w.Now
	in.core.Leave()
	var wait func()
	wait = func() {
		if in.process != process || !in.up {
			return
		}
		idle := in.core.Idle(in.clock(), 2*time.Second) && w.Now.Sub(told) > 2*time.Second
		if in.paused || !idle && w.Now.Sub(told) < 40*time.Second {
			w.After(100*time.Millisecond, wait)
			return
		}
		in.stop()
		w.After(time.Second, in.start)
	}
	wait()
}

// move removes a server and gives its address to a new server of the other
// service as soon as the quarantine is over.
func (w *world) move(h *host) {
	rec := w.plat.last().Servers[h.name]
	if !w.plat.down {
		w.plat.markServer(h.name, conf.MarkRemoved)
	}
	if w.plat.last().Servers[h.name].Mark != conf.MarkRemoved {
		return
	}
	w.After(2*time.Second, func() { h.gone = true })
	var reuse func()
	reuse = func() {
		service := "/h/intake"
		if rec.Service == service {
			service = "/h/order"
		}
		if !w.plat.addServer(h.domain, service, h.Addr) {
			w.After(time.Second, reuse)
		}
	}
	w.After(conf.Quarantine+time.Millisecond, reuse)
}

// rotate publishes a key and removes the older ones once flows had 10 s to
// get new tokens.
func (w *world) rotate() {
	id := uint8(len(w.plat.snaps)%250 + 2)
	name := fmt.Sprint("k", id)
	secret := make([]byte, 32)
	secret[0] = id
	if !w.plat.edit(func(s *conf.Snapshot) {
		s.Keys[name] = conf.Key{ID: id, Secret: secret, SealFrom: w.Now.Add(conf.KeyLead + time.Second)}
	}) {
		return
	}
	w.After(conf.KeyLead+40*time.Second, func() {
		w.plat.edit(func(s *conf.Snapshot) {
			for n, k := range s.Keys {
				if n != name && !k.SealFrom.After(s.Keys[name].SealFrom) {
					delete(s.Keys, n)
				}
			}
		})
	})
}

// forge sends changed, cut and repeated datagrams of callers and instances.
func (w *world) forge(n int) {
	for range n {
		in, peer := w.some(), w.some()
		if len(w.frames) == 0 || len(w.peers) == 0 {
			return
		}
		f, p := w.damage(w.frames[w.rnd.IntN(len(w.frames))]), w.damage(w.peers[w.rnd.IntN(len(w.peers))])
		w.After(w.between(0, 5*time.Second), func() {
			in.data(fabric, f)
			in.peer(peer.entry.Peer, p)
		})
	}
	for _, fl := range w.flows { // Another flow's token, and a token cut short.
		if len(fl.token) == 0 {
			continue
		}
		p := fl.packet(wire.KindData)
		p.Frame.Flow++
		w.spray(p)
		p.Frame.Flow, p.Service = fl.id, addr(8, 3-int(fl.service.Addr().As4()[3]))
		w.spray(p)
		p.Frame.Token = fl.token[:len(fl.token)/2]
		w.spray(p)
	}
}

// damage returns a datagram as it is, cut short, or with one bit changed. A
// changed request is a request of its own, so requests are only repeated.
func (w *world) damage(b []byte) []byte {
	b = slices.Clone(b)
	var p wire.Packet
	request := wire.Decode(b, &p) == nil && p.Frame.Kind == wire.KindRequest
	switch n := w.rnd.IntN(3); {
	case n == 0 || request:
	case n == 1:
		b = b[:w.rnd.IntN(len(b))]
	default:
		b[w.rnd.IntN(len(b))] ^= 1 << w.rnd.IntN(8)
	}
	return b
}
