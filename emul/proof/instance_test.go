package proof_test

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/core"
	"ebonypaddle/pkg/dist"
	"ebonypaddle/pkg/wire"
)

// minReaderAge and watchTimeout have the values that package daemon uses.
const (
	minReaderAge = 3 * time.Second
	watchTimeout = time.Second
)

// instance is one instance: a core, and the loops that the daemon runs around
// it, in virtual time.
type instance struct {
	sim    *simulation
	domain string
	entry  conf.Entry
	seed   uint64

	core            *core.Core
	sealer          wire.Sealer
	up              bool
	incarnation     int
	startedAt       time.Time
	statusChangedAt time.Time // when it started, stopped or began a planned stop
	lastDisturbed   time.Time // last time at which a fault impaired the instance
	clockSkew       time.Duration
	leaving         bool
	lastRev         uint64
	watchStartedAt  time.Time

	paused    bool
	holdSends bool // shortly before a pause: sends are deferred until it ends
	deferred  []func()
}

// start starts a new process of the instance.
func (inst *instance) start() {
	var seed [32]byte
	inst.incarnation++
	binary.BigEndian.PutUint64(seed[:], inst.seed<<16|uint64(inst.incarnation))
	inst.sealer.Rand = rand.NewChaCha8(seed)
	if err := inst.sealer.SetKey(make([]byte, 32)); err != nil {
		inst.sim.errorf("key: %v", err)
	}
	inst.core = &core.Core{Entry: inst.entry, Half: "h", Domain: inst.domain, Seed: inst.seed + uint64(inst.incarnation), Nonces: rand.NewChaCha8(seed)}
	inst.core.Start(inst.localTime())
	inst.up, inst.leaving, inst.lastRev, inst.watchStartedAt = true, false, 0, time.Time{}
	inst.startedAt, inst.statusChangedAt, inst.lastDisturbed = inst.sim.Now, inst.sim.Now, inst.sim.Now
}

// stop ends the process. Calls and sends that were deferred are lost.
func (inst *instance) stop() {
	inst.up, inst.statusChangedAt, inst.lastDisturbed = false, inst.sim.Now, inst.sim.Now
	inst.paused, inst.holdSends, inst.deferred = false, false, nil
}

// localTime returns the time by the instance's own clock.
func (inst *instance) localTime() time.Time { return inst.sim.Now.Add(inst.clockSkew) }

// call runs a method of the core and sends what it returns. While the process
// is paused, the call is deferred. It checks that the revision of the settings
// never decreases.
func (inst *instance) call(f func(now time.Time) []wire.Send) {
	switch incarnation := inst.incarnation; {
	case !inst.up:
	case inst.paused:
		inst.deferred = append(inst.deferred, func() {
			if inst.incarnation == incarnation {
				inst.call(f)
			}
		})
	default:
		inst.send(f(inst.localTime()))
		if rev := inst.core.Replica.Rev(); rev < inst.lastRev {
			inst.sim.errorf("settings: %s went from revision %d to %d", inst.entry.Name, inst.lastRev, rev)
		} else {
			inst.lastRev = rev
		}
	}
}

// resume ends a pause and runs the calls and sends that were deferred.
func (inst *instance) resume() {
	inst.paused = false
	calls := inst.deferred
	inst.deferred = nil
	for _, f := range calls {
		f()
	}
	inst.lastDisturbed = inst.sim.Now
}

// receiveData handles a datagram of the fabric or of a server.
func (inst *instance) receiveData(from netip.AddrPort, b []byte) {
	inst.call(func(now time.Time) []wire.Send {
		var p wire.Packet
		if wire.Decode(b, &p) != nil {
			return nil
		}
		p.Via = from
		return inst.core.Handle(now, from, &p)
	})
}

// receivePeer handles a control datagram of another instance. One that cannot be
// opened is dropped.
func (inst *instance) receivePeer(from netip.AddrPort, b []byte) {
	inst.call(func(now time.Time) []wire.Send {
		kind, body, err := inst.sealer.Open(b)
		if err != nil {
			return nil
		}
		return inst.core.HandlePeer(now, from, kind, body)
	})
}

// tick runs the core's periodic work.
func (inst *instance) tick() {
	if inst.paused || inst.sim.partitioned[inst.domain] || inst.sim.controlCut[inst.domain] || inst.clockSkew != 0 {
		inst.lastDisturbed = inst.sim.Now
	}
	if !inst.paused {
		inst.call(inst.core.Tick)
	}
}

// send encodes the sends and hands them to the network, or defers them while
// holdSends is set.
func (inst *instance) send(sends []wire.Send) {
	var transmissions []func()
	for i := range sends {
		if f := inst.encode(&sends[i]); f != nil {
			transmissions = append(transmissions, f)
		}
	}
	if inst.holdSends {
		inst.deferred = append(inst.deferred, transmissions...)
		return
	}
	for _, f := range transmissions {
		f()
	}
}

// encode encodes one send and returns the function that transmits it, or nil
// when it cannot be encoded.
func (inst *instance) encode(s *wire.Send) func() {
	sim, to := inst.sim, s.To
	if s.Target == wire.ToPeer {
		b, err := inst.sealer.Seal(s.Peer)
		if err != nil {
			sim.errorf("%s: %v", inst.entry.Name, err)
			return nil
		}
		if sim.rnd.Float64() < 0.01 && len(sim.peerSamples) < 400 {
			sim.peerSamples = append(sim.peerSamples, b)
		}
		return func() { inst.sendToPeer(to, b) }
	}
	b, err := wire.Encode(&s.Packet)
	if err != nil {
		sim.errorf("%s: %v", inst.entry.Name, err)
		return nil
	}
	if s.Target == wire.ToCaller {
		p := s.Packet
		// Callers are reached through the fabric of the instance's own domain,
		// so a partition does not affect them.
		return func() {
			sim.transmit("", "", true, func() { sim.deliverToCaller(p.Caller, b) })
		}
	}
	return func() {
		if srv := sim.serversByAddr[to]; srv != nil {
			// Not duplicated: a server runs a duplicated request twice, and
			// no instance can prevent that.
			sim.transmit(inst.domain, srv.domain, false, func() { sim.deliverToServer(inst, to, b) })
		}
	}
}

func (inst *instance) sendToPeer(to netip.AddrPort, b []byte) {
	for _, o := range inst.sim.instances {
		if o.entry.Peer == to && inst.sim.controlReachable(inst.domain, o.domain) {
			inst.sim.transmit(inst.domain, o.domain, true, func() { o.receivePeer(inst.entry.Peer, b) })
		}
	}
}

// readSettings does what the settings reader of the daemon does: it pulls
// settings from peers over TCP, and watches the platform while this instance is
// a reader.
func (inst *instance) readSettings() {
	if !inst.up || inst.paused {
		return
	}
	sim, rev := inst.sim, inst.core.Replica.Rev()
	if from, ok := inst.core.BulkPeer(); ok {
		inst.pull(func(o *instance) bool { return o.entry.Peer == from })
		return
	}
	if rev == 0 {
		inst.pull(func(*instance) bool { return true })
		if sim.Now.Sub(inst.startedAt) < time.Duration(sim.rnd.Int64N(int64(2*time.Second))) {
			return
		}
	} else if sim.Now.Sub(inst.startedAt) < minReaderAge || !inst.core.IsReader(inst.sim.Now) {
		return
	}
	if inst.watchStartedAt.IsZero() {
		inst.watchStartedAt = sim.Now
	}
	snap, ok := sim.platform.read(inst.domain)
	if ok && snap.Rev == rev && sim.Now.Sub(inst.watchStartedAt) < watchTimeout {
		return // The watch is still waiting for a change.
	}
	requestedAt := inst.watchStartedAt.Add(inst.clockSkew)
	inst.watchStartedAt = time.Time{}
	if !ok {
		return
	}
	sim.After(time.Duration(sim.rnd.Int64N(int64(20*time.Millisecond))), func() {
		inst.call(func(now time.Time) []wire.Send {
			sends, _, err := inst.core.ApplySettings(now, requestedAt, snap)
			if err != nil {
				sim.errorf("%s: %v", inst.entry.Name, err)
			}
			return sends
		})
	})
}

// pull applies the settings of every reachable peer that match accepts.
func (inst *instance) pull(match func(*instance) bool) {
	for _, o := range inst.sim.instances {
		if o == inst || !o.up || o.paused || !match(o) || !inst.sim.controlReachable(inst.domain, o.domain) {
			continue
		}
		d, ok := o.core.Replica.Delta(inst.core.Replica.Rev())
		if !ok {
			continue
		}
		b, err := d.Encode()
		if err != nil {
			inst.sim.errorf("%s: %v", o.entry.Name, err)
			continue
		}
		inst.call(func(now time.Time) []wire.Send {
			delta, err := dist.DecodeDelta(b)
			if err != nil {
				inst.sim.errorf("%s: %v", inst.entry.Name, err)
				return nil
			}
			sends, err := inst.core.ApplyDelta(now, delta)
			if err != nil {
				inst.sim.errorf("%s: %v", inst.entry.Name, err)
			}
			return sends
		})
	}
}
