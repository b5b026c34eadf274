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

// Guards against faults after which the tables stay wrong. Each fault runs with
// 8 instances and 5% loss for several seeds.
func TestFaults(t *testing.T) {
	for name, fault := range map[string]func(t *testing.T, l *lossyNetwork){
		// Guards against slow detection of a dead instance.
		"dead": func(_ *testing.T, l *lossyNetwork) {
			l.stopped[3] = true
			l.requireConvergence(5 * time.Second)
		},
		// Guards against lost updates that leave a live member dead.
		"no false death": func(t *testing.T, l *lossyNetwork) {
			disagreedSteps := 0
			l.run(5*time.Minute, func() {
				if disagreedSteps++; l.converged() {
					disagreedSteps = 0
				}
				assert.Assert(t, disagreedSteps < int(5*time.Second/step), "tables disagree for 5 s while all instances run")
			})
		},
		// Guards against an instance that suspects its peers after its own pause.
		"paused": func(t *testing.T, l *lossyNetwork) {
			l.stopped[0] = true
			l.run(time.Minute)
			l.stopped[0] = false
			suspected := l.nodes[0].Counters.Suspected
			l.run(step)
			assert.Equal(t, l.nodes[0].Counters.Suspected, suspected)
			l.requireConvergence(5 * time.Second)
		},
		// Guards against the two sides of a partition no longer probing each
		// other, so that they never merge again.
		"partition": func(t *testing.T, l *lossyNetwork) {
			l.isCut = func(from, to int) bool { return from%2 != to%2 }
			l.run(10 * time.Minute)
			assert.Equal(t, len(l.nodes[0].Alive("")), 4)
			l.isCut = nil
			l.requireConvergence(20 * time.Second)
		},
		// Guards against tables that stay incomplete after all instances
		// restart.
		"restart of all": func(_ *testing.T, l *lossyNetwork) {
			for i := range l.nodes {
				l.start(i)
			}
			l.requireConvergence(10 * time.Second)
		},
		// Guards against an instance that stays dead for its peers because its
		// clock was set back before a restart.
		"lower incarnation": func(t *testing.T, l *lossyNetwork) {
			old := l.nodes[2].SelfUpdate().Incarnation
			l.start(2)
			l.nodes[2].selfUpdate.Incarnation = 1
			l.run(5 * time.Second)
			assert.Assert(t, l.nodes[2].SelfUpdate().Incarnation > old)
			l.requireConvergence(5 * time.Second)
		},
		// Guards against a planned stop that peers do not learn of.
		"leaving": func(t *testing.T, l *lossyNetwork) {
			l.nodes[1].Leave()
			l.run(4 * time.Second)
			for _, n := range l.nodes {
				assert.Equal(t, len(n.Alive("")), 7)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				l := newLossyNetwork(t, 8, seed, 0.05)
				l.requireConvergence(10 * time.Second)
				fault(t, l)
			}
		})
	}
}

// Guards against suspect members that are declared dead without another probe.
// The regular probes to one member are seconds apart, too late to refute.
func TestFalseDeaths(t *testing.T) {
	l, died := newLossyNetwork(t, 64, 1, 0.05), uint64(0)
	l.run(5 * time.Minute)
	for _, n := range l.nodes {
		died += n.Counters.Died
	}
	assert.Assert(t, died < 64, "%d false deaths: more than one per member in 5 minutes", died)
}

// Guards against late or repeated updates that overwrite a newer entry.
func TestUpdatePrecedence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLossyNetwork(&testing.B{}, 2, 1, 0)
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

// Guards against replayed acknowledgements that make a dead member look alive.
func TestReplayedAck(t *testing.T) {
	l := newLossyNetwork(t, 2, 1, 0)
	l.run(3 * time.Second)
	n, out := l.nodes[0], wire.Outbox{}
	n.sendProbe(l.Now, addr(1), maxBodyBytes, &out)
	m := out.Sends[0].Peer.Body.(Message)
	ack := Message{Nonce: m.Nonce, Ack: true, Self: l.nodes[1].SelfUpdate()}
	acks := n.Counters.Acks
	n.Receive(l.Now, addr(1), ack, &out)
	n.Receive(l.Now, addr(1), ack, &out)
	assert.Equal(t, n.Counters.Acks, acks+1)
	assert.Equal(t, n.Counters.UnknownNonce, uint64(1))
}

// Guards against heartbeats that exceed a datagram, and against queued updates
// that are not sent although a heartbeat has room for them.
func TestHeartbeatSize(t *testing.T) {
	for name, tracker := range map[string]FreshnessTracker{"no report": nil, "report": &fullReportTracker{}} {
		for _, wide := range []int{0, 12} {
			t.Run(fmt.Sprint(name, wide), func(t *testing.T) {
				l, out := newLossyNetwork(t, 1, 1, 0), wire.Outbox{}
				n := l.nodes[0]
				n.Freshness = tracker
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
				assert.Assert(t, len(b) <= maxBodyBytes+seal && len(us) <= maxUpdatesPerMessage, "%d bytes, %d updates", len(b), len(us))
				if tracker == nil {
					assert.Assert(t, len(b) > maxBodyBytes*4/5, "%d bytes although updates are queued", len(b))
				}
			})
		}
	}
}

// Guards against a clock skew that a single wrong peer or the network delay
// distorts.
func TestClockSkew(t *testing.T) {
	n := newLossyNetwork(t, 1, 1, 0).nodes[0]
	for i, off := range []time.Duration{0, 200 * time.Millisecond, 200 * time.Millisecond, time.Hour, 210 * time.Millisecond} {
		sent := epoch.Add(time.Duration(i) * time.Second)
		n.clockOffsets.add(sent.Add(20*time.Millisecond), sent, sent.Add(off+10*time.Millisecond).UnixMilli())
	}
	d, ok := n.ClockSkew()
	assert.Assert(t, ok && d == 200*time.Millisecond, "skew %v", d)
}

// Guards against an outdated cache of live members after a change.
func TestAliveCacheInvalidation(t *testing.T) {
	l := newLossyNetwork(t, 12, 3, 0.1)
	changes := 0
	for i := range 60 {
		switch i % 12 {
		case 3:
			l.stopped[i/12] = true
		case 5:
			l.nodes[5+i/12].Leave()
		case 9:
			l.start(i / 12)
		}
		l.run(time.Second)
		for _, n := range l.nodes {
			cached := n.Alive("")
			n.sortedAlive = nil
			assert.DeepEqual(t, fmt.Sprint(n.Alive("")), fmt.Sprint(cached))
			changes += 11 - len(cached)
		}
	}
	assert.Assert(t, changes != 0, "nothing changed")
}
