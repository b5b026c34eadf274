package dist

import (
	"net/netip"
	"testing"
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wire"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func always(int) bool { return true }

// Guards against settings that are not in force after a fault. Each fault runs
// with 8 instances and 5% loss for several seeds. Every step checks that no
// instance counts as fresh with settings that were replaced too long ago.
func TestFaults(t *testing.T) {
	for name, fault := range map[string]func(f *testFleet){
		"edits": func(f *testFleet) {
			for range 10 {
				f.requireInForce(always)
			}
		},
		// Guards against an instance that still counts as fresh after a pause.
		"paused": func(f *testFleet) {
			paused := f.nodes[0]
			paused.stopped = true
			f.run(freshFor)
			assert.Assert(f.t, paused.CrossUntil(f.Now).IsZero())
			f.requireInForce(func(i int) bool { return i > 0 })
			paused.stopped = false
			f.requireInForce(always)
		},
		// Guards against a partitioned failure domain that sends to other
		// domains while settings change there.
		"domain partitioned": func(f *testFleet) {
			f.isCut = func(a, b int) bool { return (a%domains == 0) != (b%domains == 0) }
			f.reachesPlatform = func(i int) bool { return i%domains != 0 }
			f.requireInForce(f.reachesPlatform)
			f.run(4 * time.Second)
			assert.Equal(f.t, f.countFresh(), 6)
			f.isCut, f.reachesPlatform = func(int, int) bool { return false }, always
			f.run(20 * time.Second)
			f.requireInForce(always)
		},
		// Guards against a platform outage that stops traffic between failure
		// domains, and against an instance that restarts during the outage and
		// does not get the settings from its peers.
		"platform outage": func(f *testFleet) {
			f.platformDown = true
			for range 60 {
				f.run(time.Minute)
				assert.Assert(f.t, f.countFresh() >= 6, "%d instances are fresh", f.countFresh())
			}
			f.start(3)
			f.run(10 * time.Second)
			assert.Equal(f.t, f.nodes[3].Rev(), uint64(len(f.history)-1))
		},
		"restart of all": func(f *testFleet) {
			for i := range f.nodes {
				f.start(i)
			}
			f.run(6 * time.Second)
			f.requireInForce(always)
		},
		// Guards against a restored backup of the platform that reverts accepted
		// settings.
		"restored backup": func(f *testFleet) {
			rev := f.nodes[0].Rev()
			f.history, f.editedAt = f.history[:rev], f.editedAt[:rev]
			f.run(10 * time.Second)
			assert.Equal(f.t, f.nodes[0].Rev(), rev)
			assert.Assert(f.t, f.nodes[0].Replica.Counters.Regressed > 0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				f := newTestFleet(t, 8, seed)
				f.run(10 * time.Second)
				f.requireInForce(always)
				fault(f)
			}
		})
	}
}

// Guards against replicas that differ from the platform's settings at the same
// revision, and against replicas that return to a lower revision.
func TestReplica(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &testFleet{history: []*conf.Snapshot{{}}}
		var a, b Replica
		check := func() {
			for _, r := range []*Replica{&a, &b} {
				if s := r.Current(); s != nil {
					assert.DeepEqual(t, s.Nodes, f.history[s.Rev].Nodes)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"edit": func(*rapid.T) { f.edit() },
			"snapshot": func(t *rapid.T) {
				rev := a.Rev()
				a.ApplySnapshot(f.history[rapid.IntRange(0, len(f.history)-1).Draw(t, "rev")])
				assert.Assert(t, a.Rev() >= rev)
			},
			"delta": func(t *rapid.T) {
				since := []uint64{0, a.Rev()}
				for _, d := range a.deltas {
					since = append(since, d.From)
				}
				d, ok := a.Delta(rapid.SampledFrom(since).Draw(t, "since"))
				if !ok {
					return
				}
				enc, err := d.Encode()
				assert.NilError(t, err)
				d, err = DecodeDelta(enc)
				assert.NilError(t, err)
				rev := b.Rev()
				b.Apply(d)
				assert.Assert(t, b.Rev() >= rev)
			},
			"restart": func(*rapid.T) { b = Replica{} },
			"":        func(*rapid.T) { check() },
		})
	})
}

// Guards against applying a delta to the wrong revision: revision 4 changes the
// node "/", which the delta from 4 to 5 does not mention. A replica at revision 2
// would keep the old node.
func TestDeltaGap(t *testing.T) {
	f := &testFleet{history: []*conf.Snapshot{{}}}
	var a, b Replica
	for range 5 {
		a.ApplySnapshot(f.history[f.edit()])
	}
	b.ApplySnapshot(f.history[2])
	d, _ := a.Delta(4)
	assert.Equal(t, b.Apply(d), Gap)
	assert.Equal(t, b.Rev(), uint64(2))
}

// Guards against freshness that lasts too long because it is dated later than
// the event it is based on.
func TestFreshness(t *testing.T) {
	sec := func(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }
	for name, setup := range map[string]func(f *Freshness) (now, until time.Time){
		"confirmation counts from the probe": func(f *Freshness) (now, until time.Time) {
			f.SetApplied(5, []string{"a", "b", "c"}) // domain c was not heard from
			f.ReceiveReport(sec(2), sec(0), "b", wire.FreshnessReport{Confirmed: 5, Known: 5, Age: 500})
			return sec(2), sec(2.4)
		},
		"higher revision waits": func(f *Freshness) (now, until time.Time) {
			f.ReceiveReport(sec(1), sec(1), "b", wire.FreshnessReport{Confirmed: 6, Known: 6, Age: 0})
			return sec(1), time.Time{}
		},
		"higher revision applied": func(f *Freshness) (now, until time.Time) {
			f.ReceiveReport(sec(1), sec(1), "b", wire.FreshnessReport{Confirmed: 6, Known: 6, Age: 0})
			f.SetApplied(6, []string{"a", "b"})
			return sec(1), sec(3.9)
		},
		"all domains heard": func(f *Freshness) (now, until time.Time) {
			f.ReceiveReport(sec(1), sec(1), "b", wire.FreshnessReport{Known: 5, Age: wire.NoAge})
			return sec(2), sec(3.9)
		},
		"all domains heard counts from the probe": func(f *Freshness) (now, until time.Time) {
			f.ReceiveReport(sec(2), sec(1), "b", wire.FreshnessReport{Known: 5, Age: wire.NoAge})
			return sec(2), sec(3.9)
		},
		"domain heard through a peer": func(f *Freshness) (now, until time.Time) {
			f.ReceiveReport(sec(2), sec(1), "a", wire.FreshnessReport{Known: 5, Age: wire.NoAge, Domains: []wire.DomainAge{{Domain: "b", Age: 500}}})
			return sec(2), sec(3.4)
		},
		"all domains heard but higher revision known": func(f *Freshness) (now, until time.Time) {
			f.ReceiveReport(sec(1), sec(1), "b", wire.FreshnessReport{Known: 5, Age: wire.NoAge})
			f.ReceiveReport(sec(1), sec(1), "a", wire.FreshnessReport{Known: 6, Age: wire.NoAge})
			return sec(2), time.Time{}
		},
		"clock set back": func(f *Freshness) (now, until time.Time) {
			f.Confirm(sec(100), sec(100), 5)
			return sec(99), time.Time{}
		},
		"lagging replica": func(f *Freshness) (now, until time.Time) {
			f.Confirm(sec(1), sec(1), 4)
			return sec(1), time.Time{}
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := &Freshness{Domain: "a", FreshFor: freshFor}
			f.SetApplied(5, []string{"a", "b"})
			now, until := setup(f)
			assert.Assert(t, f.CrossUntil(now).Equal(until), "fresh until %v", f.CrossUntil(now))
		})
	}
}

// Guards against settings that are distributed by pulls alone, and against a
// number of pushes that grows with the fleet.
func TestPushTargets(t *testing.T) {
	for n, want := range map[int]int{4: 3, 9: 8, 64: 8} {
		d, out := Distributor{Self: addr(0), Replica: &Replica{}}, wire.Outbox{}
		d.Members = func() (all []netip.AddrPort) {
			for i := range n {
				all = append(all, addr(i))
			}
			return all
		}
		d.Replica.ApplySnapshot(&conf.Snapshot{Rev: 1})
		d.Announce(0, &out)
		to := map[netip.AddrPort]bool{addr(0): true}
		for _, m := range out.Sends {
			to[m.To] = true
		}
		assert.Equal(t, len(out.Sends), want)
		assert.Equal(t, len(to), want+1, "a target is the sender or appears twice")
	}
}

// Guards against a delta that is truncated or lost because it exceeds a
// datagram. The receiver must pull it over TCP.
func TestOversizedDelta(t *testing.T) {
	big := &conf.Snapshot{Rev: 9, Servers: map[string]conf.Server{"s": {Name: string(make([]byte, wire.MaxPeerBytes))}}}
	from, to := Distributor{Replica: &Replica{}}, Distributor{Replica: &Replica{}}
	from.Replica.ApplySnapshot(big)
	var out wire.Outbox
	to.Receive(epoch, addr(1), from.newMessage(0), &out)
	peer, ok := to.BulkPeer()
	assert.Assert(t, ok && peer == addr(1))
}
