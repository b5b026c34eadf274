package member

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"ebonypaddle/pkg/wire"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// The faults run with 8 instances and 5% loss over several seeds.
func TestFaults(t *testing.T) {
	for name, fault := range map[string]func(t *testing.T, l *lossy){
		// Guards against slow detection.
		"dead": func(_ *testing.T, l *lossy) {
			l.off[3] = true
			l.agreeWithin(5 * time.Second)
		},
		// Guards against lost updates that leave a live member dead.
		"live stay": func(t *testing.T, l *lossy) {
			bad := 0
			l.run(5*time.Minute, func() {
				if bad++; l.agreed() {
					bad = 0
				}
				assert.Assert(t, bad < int(5*time.Second/step), "a live member is dead for 5 s")
			})
		},
		// Guards against an instance that blames its peers for its own pause.
		"paused": func(t *testing.T, l *lossy) {
			l.off[0] = true
			l.run(time.Minute)
			l.off[0] = false
			suspected := l.nodes[0].Counters.Suspected
			l.run(step)
			assert.Equal(t, l.nodes[0].Counters.Suspected, suspected)
			l.agreeWithin(5 * time.Second)
		},
		// Guards against sides that stop probing each other for good.
		"partition": func(t *testing.T, l *lossy) {
			l.cut = func(from, to int) bool { return from%2 != to%2 }
			l.run(10 * time.Minute)
			assert.Equal(t, len(l.nodes[0].Alive("")), 4)
			l.cut = nil
			l.agreeWithin(20 * time.Second)
		},
		// Guards against a table that never fills after everyone restarted.
		"restart of all": func(_ *testing.T, l *lossy) {
			for i := range l.nodes {
				l.start(i)
			}
			l.agreeWithin(10 * time.Second)
		},
		// Guards against a clock that was set back before a restart.
		"lower incarnation": func(t *testing.T, l *lossy) {
			old := l.nodes[2].SelfUpdate().Incarnation
			l.start(2)
			l.nodes[2].me.Incarnation = 1
			l.run(5 * time.Second)
			assert.Assert(t, l.nodes[2].SelfUpdate().Incarnation > old)
			l.agreeWithin(5 * time.Second)
		},
		// Guards against a planned stop that peers do not learn.
		"leaving": func(t *testing.T, l *lossy) {
			l.nodes[1].Leave()
			l.run(4 * time.Second)
			for _, n := range l.nodes {
				assert.Equal(t, len(n.Alive("")), 7)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				l := newLossy(t, 8, seed, 0.05)
				l.agreeWithin(10 * time.Second)
				fault(t, l)
			}
		})
	}
}

// Guards against suspects that are not asked again before they are dead:
// the probes of one member alone come seconds apart.
func TestFalseDeaths(t *testing.T) {
	l, died := newLossy(t, 64, 1, 0.05), uint64(0)
	l.run(5 * time.Minute)
	for _, n := range l.nodes {
		died += n.Counters.Died
	}
	assert.Assert(t, died < 64, "%d false deaths: more than one a member in 5 minutes", died)
}

// Guards against an entry that a late or repeated update turns back.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLossy(&testing.B{}, 2, 1, 0)
		n := l.nodes[0]
		t.Repeat(map[string]func(*rapid.T){
			"update": func(t *rapid.T) {
				u := Update{Addr: addr(1), Incarnation: rapid.Uint64Range(1, 4).Draw(t, "inc"),
					State: State(rapid.IntRange(1, 3).Draw(t, "state"))}
				old, _ := n.Get(addr(1))
				n.merge(l.Now, u, false)
				m, _ := n.Get(addr(1))
				same := m.Incarnation == old.Incarnation
				assert.Assert(t, m.Incarnation > old.Incarnation || same && m.State >= old.State)
			},
			"self": func(t *rapid.T) {
				u := n.SelfUpdate()
				u.State = State(rapid.IntRange(2, 3).Draw(t, "state"))
				n.merge(l.Now, u, false)
				assert.Equal(t, n.SelfUpdate().Incarnation, u.Incarnation+1)
			},
		})
	})
}

// Guards against replayed answers, which would make a member look alive.
func TestReplay(t *testing.T) {
	l := newLossy(t, 2, 1, 0)
	l.run(3 * time.Second)
	n, out := l.nodes[0], wire.Outbox{}
	n.probe(l.Now, addr(1), maxBody, &out)
	m := out.Sends[0].Peer.Body.(Message)
	ack := Message{Nonce: m.Nonce, Ack: true, Self: l.nodes[1].SelfUpdate()}
	acks := n.Counters.Acks
	n.Receive(l.Now, addr(1), ack, &out)
	n.Receive(l.Now, addr(1), ack, &out)
	assert.Equal(t, n.Counters.Acks, acks+1)
	assert.Equal(t, n.Counters.UnknownNonce, uint64(1))
}

// Guards against heartbeats that no datagram holds, and against updates that
// wait although a heartbeat has room for them.
func TestHeartbeatSize(t *testing.T) {
	for name, h := range map[string]FreshnessTracker{"no hint": nil, "hint": &allDomains{}} {
		for _, wide := range []int{0, 12} {
			t.Run(fmt.Sprint(name, wide), func(t *testing.T) {
				l, out := newLossy(t, 1, 1, 0), wire.Outbox{}
				n := l.nodes[0]
				n.Freshness = h
				for i := range 100 {
					ip := netip.AddrFrom16([16]byte{0xfd, 15: byte(i)})
					u := Update{Addr: netip.AddrPortFrom(ip, 7000), Domain: strings.Repeat("d", 10+wide), Incarnation: uint64(epoch.UnixMilli()), State: Alive, Revision: 1 << (i % 40)}
					n.merge(epoch, u, false)
				}
				n.Receive(epoch, addr(1), Message{Self: Update{Addr: addr(1), Incarnation: 1, State: Alive}}, &out)
				us := out.Sends[0].Peer.Body.(Message).Updates
				for i := range us {
					b, err := cbor.Marshal(us[i])
					assert.NilError(t, err)
					assert.Equal(t, len(b), size(&us[i]))
				}
				b, err := l.sealer.Seal(out.Sends[0].Peer)
				assert.NilError(t, err)
				const seal = 29
				assert.Assert(t, len(b) <= maxBody+seal && len(us) <= maxReceived, "%d bytes, %d updates", len(b), len(us))
				if h == nil {
					assert.Assert(t, len(b) > maxBody*4/5, "%d bytes while news wait", len(b))
				}
			})
		}
	}
}

// Guards against an offset that one wrong peer or the delay moves.
func TestClockSkew(t *testing.T) {
	n := newLossy(t, 1, 1, 0).nodes[0]
	for i, off := range []time.Duration{0, 200 * time.Millisecond, 200 * time.Millisecond, time.Hour, 210 * time.Millisecond} {
		sent := epoch.Add(time.Duration(i) * time.Second)
		n.skews.add(sent.Add(20*time.Millisecond), sent, sent.Add(off+10*time.Millisecond).UnixMilli())
	}
	d, ok := n.ClockSkew()
	assert.Assert(t, ok && d == 200*time.Millisecond, "skew %v", d)
}

// Guards against a kept order of live members that misses a change.
func TestAliveIsCurrent(t *testing.T) {
	l := newLossy(t, 12, 3, 0.1)
	changes := 0
	for i := range 60 {
		switch i % 12 {
		case 3:
			l.off[i/12] = true
		case 5:
			l.nodes[5+i/12].Leave()
		case 9:
			l.start(i / 12)
		}
		l.run(time.Second)
		for _, n := range l.nodes {
			kept := n.Alive("")
			n.sorted = nil
			assert.DeepEqual(t, fmt.Sprint(n.Alive("")), fmt.Sprint(kept))
			changes += 11 - len(kept)
		}
	}
	assert.Assert(t, changes != 0, "nothing changed")
}
