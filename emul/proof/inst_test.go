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

// readerAfter and watchWait are those of the daemon.
const (
	readerAfter = 3 * time.Second
	watchWait   = time.Second
)

// inst is one instance: a core with the shell's loops under virtual time.
type inst struct {
	w      *world
	domain string
	entry  conf.Entry
	seed   uint64

	core    *core.Core
	sealer  wire.Sealer
	up      bool
	process int
	began   time.Time
	changed time.Time // started, stopped or told to leave
	rough   time.Time // last moment of a fault that keeps it from others
	skew    time.Duration
	leaving bool
	rev     uint64
	asked   time.Time

	paused bool
	freeze bool // about to be paused; what it sends now leaves after the pause
	inbox  []func()
}

func (in *inst) start() {
	var seed [32]byte
	in.process++
	binary.BigEndian.PutUint64(seed[:], in.seed<<16|uint64(in.process))
	in.sealer.Rand = rand.NewChaCha8(seed)
	if err := in.sealer.SetKey(make([]byte, 32)); err != nil {
		in.w.fault("key: %v", err)
	}
	in.core = &core.Core{Entry: in.entry, Half: "h", Domain: in.domain, Seed: in.seed + uint64(in.process), Nonces: rand.NewChaCha8(seed)}
	in.core.Start(in.clock())
	in.up, in.leaving, in.rev, in.asked = true, false, 0, time.Time{}
	in.began, in.changed, in.rough = in.w.Now, in.w.Now, in.w.Now
}

func (in *inst) stop() {
	in.up, in.changed, in.rough = false, in.w.Now, in.w.Now
	in.paused, in.freeze, in.inbox = false, false, nil
}

func (in *inst) clock() time.Time { return in.w.Now.Add(in.skew) }

// do runs one entry point of the core, later if the process is paused.
func (in *inst) do(f func(now time.Time) []wire.Send) {
	switch process := in.process; {
	case !in.up:
	case in.paused:
		in.inbox = append(in.inbox, func() {
			if in.process == process {
				in.do(f)
			}
		})
	default:
		in.emit(f(in.clock()))
		if rev := in.core.Replica.Rev(); rev < in.rev {
			in.w.fault("settings: %s went from revision %d to %d", in.entry.Name, in.rev, rev)
		} else {
			in.rev = rev
		}
	}
}

func (in *inst) resume() {
	in.paused = false
	inbox := in.inbox
	in.inbox = nil
	for _, f := range inbox {
		f()
	}
	in.rough = in.w.Now
}

func (in *inst) data(from netip.AddrPort, b []byte) {
	in.do(func(now time.Time) []wire.Send {
		var p wire.Packet
		if wire.Decode(b, &p) != nil {
			return nil
		}
		p.Via = from
		return in.core.Handle(now, from, &p)
	})
}

func (in *inst) peer(from netip.AddrPort, b []byte) {
	in.do(func(now time.Time) []wire.Send {
		kind, body, err := in.sealer.Open(b)
		if err != nil {
			return nil
		}
		return in.core.HandlePeer(now, from, kind, body)
	})
}

func (in *inst) tick() {
	if in.paused || in.w.cut[in.domain] || in.w.mute[in.domain] || in.skew != 0 {
		in.rough = in.w.Now
	}
	if !in.paused {
		in.do(in.core.Tick)
	}
}

// emit encodes the sends and hands them to the network, or keeps them when the
// process is stopped just before it sends.
func (in *inst) emit(sends []wire.Send) {
	var out []func()
	for i := range sends {
		if f := in.datagram(&sends[i]); f != nil {
			out = append(out, f)
		}
	}
	if in.freeze {
		in.inbox = append(in.inbox, out...)
		return
	}
	for _, f := range out {
		f()
	}
}

func (in *inst) datagram(s *wire.Send) func() {
	w, to := in.w, s.To
	if s.Target == wire.ToPeer {
		b, err := in.sealer.Seal(s.Peer)
		if err != nil {
			w.fault("%s: %v", in.entry.Name, err)
			return nil
		}
		if w.rnd.Float64() < 0.01 && len(w.peers) < 400 {
			w.peers = append(w.peers, b)
		}
		return func() { in.toPeer(to, b) }
	}
	b, err := wire.Encode(&s.Packet)
	if err != nil {
		w.fault("%s: %v", in.entry.Name, err)
		return nil
	}
	if s.Target == wire.ToCaller {
		p := s.Packet
		// Callers are reached through the fabric of the own domain.
		return func() {
			w.transmit("", "", true, func() { w.toCaller(p.Caller, b) })
		}
	}
	return func() {
		if h := w.hosts[to]; h != nil {
			// A network that doubles a request makes the server run it
			// twice, which no instance can prevent.
			w.transmit(in.domain, h.domain, false, func() { w.toServer(in, to, b) })
		}
	}
}

func (in *inst) toPeer(to netip.AddrPort, b []byte) {
	for _, o := range in.w.insts {
		if o.entry.Peer == to && in.w.talks(in.domain, o.domain) {
			in.w.transmit(in.domain, o.domain, true, func() { o.peer(in.entry.Peer, b) })
		}
	}
}

// readSettings does what the daemon's reader does: pulls from peers over TCP,
// and watches the platform while this instance is a reader.
func (in *inst) readSettings() {
	if !in.up || in.paused {
		return
	}
	w, rev := in.w, in.core.Replica.Rev()
	if from, ok := in.core.BulkPeer(); ok {
		in.pull(func(o *inst) bool { return o.entry.Peer == from })
		return
	}
	if rev == 0 {
		in.pull(func(*inst) bool { return true })
		if w.Now.Sub(in.began) < time.Duration(w.rnd.Int64N(int64(2*time.Second))) {
			return
		}
	} else if w.Now.Sub(in.began) < readerAfter || !in.core.IsReader(in.w.Now) {
		return
	}
	if in.asked.IsZero() {
		in.asked = w.Now
	}
	snap, ok := w.plat.read(in.domain)
	if ok && snap.Rev == rev && w.Now.Sub(in.asked) < watchWait {
		return // The watch waits for a change.
	}
	asked := in.asked.Add(in.skew)
	in.asked = time.Time{}
	if !ok {
		return
	}
	w.After(time.Duration(w.rnd.Int64N(int64(20*time.Millisecond))), func() {
		in.do(func(now time.Time) []wire.Send {
			sends, _, err := in.core.ApplySettings(now, asked, snap)
			if err != nil {
				w.fault("%s: %v", in.entry.Name, err)
			}
			return sends
		})
	})
}

func (in *inst) pull(which func(*inst) bool) {
	for _, o := range in.w.insts {
		if o == in || !o.up || o.paused || !which(o) || !in.w.talks(in.domain, o.domain) {
			continue
		}
		d, ok := o.core.Replica.Delta(in.core.Replica.Rev())
		if !ok {
			continue
		}
		b, err := d.Encode()
		if err != nil {
			in.w.fault("%s: %v", o.entry.Name, err)
			continue
		}
		in.do(func(now time.Time) []wire.Send {
			got, err := dist.DecodeDelta(b)
			if err != nil {
				in.w.fault("%s: %v", in.entry.Name, err)
				return nil
			}
			sends, err := in.core.ApplyDelta(now, got)
			if err != nil {
				in.w.fault("%s: %v", in.entry.Name, err)
			}
			return sends
		})
	}
}
