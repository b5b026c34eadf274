package proof_test

import (
	"fmt"
	"slices"
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wire"
)

// fault is one kind of failure or planned change. start begins it and schedules
// its end.
type fault struct {
	name  string
	start func(sim *simulation)
}

func (sim *simulation) randomInstance() *instance {
	return sim.instances[sim.rnd.IntN(len(sim.instances))]
}

func (sim *simulation) randomDuration(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(sim.rnd.Int64N(int64(hi-lo)))
}

// randomServer returns a server that is in service according to the settings.
func (sim *simulation) randomServer() *backendServer {
	var candidates []*backendServer
	for _, srv := range sim.servers {
		if !srv.stopped && sim.platform.latest().Servers[srv.name].Mark == conf.MarkIn {
			candidates = append(candidates, srv)
		}
	}
	return candidates[sim.rnd.IntN(len(candidates))]
}

var faults = []fault{
	{"kill", func(sim *simulation) {
		inst := sim.randomInstance()
		inst.stop()
		sim.After(sim.randomDuration(100*time.Millisecond, 6*time.Second), func() {
			if !inst.up {
				inst.start()
			}
		})
	}},
	{"stop", func(sim *simulation) { sim.replace(sim.randomInstance()) }},
	{"pause", func(sim *simulation) { sim.pause(sim.randomInstance(), false) }},
	{"pauseBeforeSend", func(sim *simulation) { sim.pause(sim.randomInstance(), true) }},
	{"partition", func(sim *simulation) {
		d := domains[sim.rnd.IntN(len(domains))]
		sim.partitioned[d] = true
		sim.After(sim.randomDuration(time.Second, 10*time.Second), func() { delete(sim.partitioned, d) })
	}},
	{"controlPartition", func(sim *simulation) {
		d := domains[sim.rnd.IntN(len(domains))]
		sim.controlCut[d] = true
		sim.After(sim.randomDuration(time.Second, 10*time.Second), func() { delete(sim.controlCut, d) })
	}},
	{"platformPartition", func(sim *simulation) {
		d := domains[sim.rnd.IntN(len(domains))]
		sim.platformCut[d] = true
		sim.After(sim.randomDuration(time.Second, 10*time.Second), func() { delete(sim.platformCut, d) })
	}},
	{"outage", func(sim *simulation) {
		sim.platform.down = true
		sim.After(sim.randomDuration(4*time.Second, 15*time.Second), func() { sim.platform.down = false })
	}},
	{"laggingReplica", func(sim *simulation) {
		sim.platform.maxLag = 3 * time.Second
		sim.After(8*time.Second, func() { sim.platform.maxLag = 0 })
	}},
	{"lostAnswers", func(sim *simulation) {
		sim.platform.answerLossRate = 0.5
		sim.After(8*time.Second, func() { sim.platform.answerLossRate = 0 })
	}},
	{"loss", func(sim *simulation) {
		sim.lossRate = 0.1
		sim.After(8*time.Second, func() { sim.lossRate = 0.01 })
	}},
	{"drain", func(sim *simulation) {
		srv := sim.randomServer()
		sim.platform.markServer(srv.name, conf.MarkLeaving)
		sim.After(sim.randomDuration(time.Second, 10*time.Second), func() {
			if sim.platform.latest().Servers[srv.name].Mark == conf.MarkLeaving {
				sim.platform.markServer(srv.name, conf.MarkIn)
			}
		})
	}},
	{"serverDeath", func(sim *simulation) {
		srv := sim.randomServer()
		srv.diedAt, srv.unreportedCold = sim.Now, false
		srv.FallOver(sim.Now)
	}},
	{"silentCold", func(sim *simulation) {
		srv := sim.randomServer()
		srv.unreportedCold = true
		srv.GoCold(sim.Now, srv.ColdMargin)
	}},
	{"move", func(sim *simulation) { sim.moveAddress(sim.randomServer()) }},
	{"domainOut", func(sim *simulation) {
		d := domains[sim.rnd.IntN(len(domains))]
		if sim.platform.down || sim.platform.latest().Domains[d].Mark == conf.MarkOut {
			return
		}
		sim.platform.markDomain(d, conf.MarkOut)
		sim.After(sim.randomDuration(5*time.Second, 12*time.Second), func() { sim.returnDomain(d) })
	}},
	{"keys", func(sim *simulation) { sim.rotateKeys() }},
	{"skew", func(sim *simulation) {
		inst := sim.randomInstance()
		inst.clockSkew = time.Duration(1-2*sim.rnd.IntN(2)) * sim.randomDuration(250*time.Millisecond, 3*time.Second)
		sim.After(8*time.Second, func() { inst.clockSkew, inst.lastDisturbed = 0, sim.Now })
	}},
	{"forge", func(sim *simulation) { sim.sendForged(200) }},
}

// returnDomain puts a failure domain back in service, after an outage of the
// platform if there is one.
func (sim *simulation) returnDomain(d string) {
	if sim.platform.down {
		sim.After(time.Second, func() { sim.returnDomain(d) })
		return
	}
	sim.platform.markDomain(d, conf.MarkIn)
	for _, srv := range sim.servers { // The servers of the returned domain restart cold.
		if srv.domain == d && !srv.stopped {
			srv.diedAt = sim.Now
			srv.Start(sim.Now)
		}
	}
}

// pause suspends a process for a while. With beforeSend, the datagrams of the
// last 300 ms before the pause are sent only after it.
func (sim *simulation) pause(inst *instance, beforeSend bool) {
	if !inst.up || inst.paused || inst.holdSends {
		return
	}
	incarnation := inst.incarnation
	stop := func() {
		if inst.incarnation == incarnation && inst.up {
			inst.holdSends, inst.paused = false, true
		}
	}
	if inst.holdSends = beforeSend; beforeSend {
		sim.After(300*time.Millisecond, stop)
	} else {
		stop()
	}
	sim.After(sim.randomDuration(500*time.Millisecond, 15*time.Second), func() {
		if inst.incarnation == incarnation && inst.paused {
			inst.resume()
		}
	})
}

// replace does a planned stop of an instance and starts a new process at the
// same addresses. It waits at most 40 s for the instance to be idle.
func (sim *simulation) replace(inst *instance) {
	if !inst.up || inst.leaving {
		return
	}
	incarnation, stopRequested := inst.incarnation, sim.Now
	inst.leaving, inst.statusChangedAt = true, sim.Now
	inst.core.Leave()
	var wait func()
	wait = func() {
		if inst.incarnation != incarnation || !inst.up {
			return
		}
		idle := inst.core.Idle(inst.localTime(), 2*time.Second) && sim.Now.Sub(stopRequested) > 2*time.Second
		if inst.paused || !idle && sim.Now.Sub(stopRequested) < 40*time.Second {
			sim.After(100*time.Millisecond, wait)
			return
		}
		inst.stop()
		sim.After(time.Second, inst.start)
	}
	wait()
}

// moveAddress removes a server and gives its address to a new server of the
// other service as soon as the quarantine is over.
func (sim *simulation) moveAddress(srv *backendServer) {
	record := sim.platform.latest().Servers[srv.name]
	if !sim.platform.down {
		sim.platform.markServer(srv.name, conf.MarkRemoved)
	}
	if sim.platform.latest().Servers[srv.name].Mark != conf.MarkRemoved {
		return
	}
	sim.After(2*time.Second, func() { srv.stopped = true })
	var reuse func()
	reuse = func() {
		service := "/h/intake"
		if record.Service == service {
			service = "/h/order"
		}
		if !sim.platform.addServer(srv.domain, service, srv.Addr) {
			sim.After(time.Second, reuse)
		}
	}
	sim.After(conf.Quarantine+time.Millisecond, reuse)
}

// rotateKeys publishes a new key, and removes the older ones when flows have had
// well over 10 s to get new tokens.
func (sim *simulation) rotateKeys() {
	id := uint8(len(sim.platform.snapshots)%250 + 2)
	name := fmt.Sprint("k", id)
	secret := make([]byte, 32)
	secret[0] = id
	if !sim.platform.edit(func(s *conf.Snapshot) {
		s.Keys[name] = conf.Key{ID: id, Secret: secret, SealFrom: sim.Now.Add(conf.KeyLead + time.Second)}
	}) {
		return
	}
	sim.After(conf.KeyLead+40*time.Second, func() {
		sim.platform.edit(func(s *conf.Snapshot) {
			for n, k := range s.Keys {
				if n != name && !k.SealFrom.After(s.Keys[name].SealFrom) {
					delete(s.Keys, n)
				}
			}
		})
	})
}

// sendForged sends n altered, truncated or repeated datagrams of callers and as
// many of instances, and tokens that do not belong to their flows.
func (sim *simulation) sendForged(n int) {
	for range n {
		inst, peer := sim.randomInstance(), sim.randomInstance()
		if len(sim.callerSamples) == 0 || len(sim.peerSamples) == 0 {
			return
		}
		f, p := sim.corrupt(sim.callerSamples[sim.rnd.IntN(len(sim.callerSamples))]), sim.corrupt(sim.peerSamples[sim.rnd.IntN(len(sim.peerSamples))])
		sim.After(sim.randomDuration(0, 5*time.Second), func() {
			inst.receiveData(fabricAddr, f)
			inst.receivePeer(peer.entry.Peer, p)
		})
	}
	// Each token is sent with another flow's identifier, with the other service,
	// and truncated.
	for _, fl := range sim.flows {
		if len(fl.token) == 0 {
			continue
		}
		p := fl.packet(wire.KindData)
		p.Frame.Flow++
		sim.sendFromCaller(p)
		p.Frame.Flow, p.Service = fl.id, testAddr(8, 3-int(fl.service.Addr().As4()[3]))
		sim.sendFromCaller(p)
		p.Frame.Token = fl.token[:len(fl.token)/2]
		sim.sendFromCaller(p)
	}
}

// corrupt returns a copy of a datagram that is unchanged, truncated, or has one
// bit flipped. Requests stay unchanged, because an altered request would be a
// valid request of its own.
func (sim *simulation) corrupt(b []byte) []byte {
	b = slices.Clone(b)
	var p wire.Packet
	request := wire.Decode(b, &p) == nil && p.Frame.Kind == wire.KindRequest
	switch n := sim.rnd.IntN(3); {
	case n == 0 || request:
	case n == 1:
		b = b[:sim.rnd.IntN(len(b))]
	default:
		b[sim.rnd.IntN(len(b))] ^= 1 << sim.rnd.IntN(8)
	}
	return b
}
