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

func all(int) bool { return true }

// The faults run with 8 instances and 5% loss over several seeds. Every step
// checks that no instance claims freshness with replaced settings.
func TestFaults(t *testing.T) {
	for name, fault := range map[string]func(f *fleet){
		"edits": func(f *fleet) {
			for range 10 {
				f.inForce(all)
			}
		},
		// Guards against a resumed instance that trusts what it knew.
		"paused": func(f *fleet) {
			n := f.nodes[0]
			n.off = true
			f.run(freshFor)
			assert.Assert(f.t, n.CrossUntil(f.Now).IsZero())
			f.inForce(func(i int) bool { return i > 0 })
			n.off = false
			f.inForce(all)
		},
		// Guards against crossing from a domain that is cut off with edits
		// going on elsewhere.
		"domain cut off": func(f *fleet) {
			f.cut = func(a, b int) bool { return (a%domains == 0) != (b%domains == 0) }
			f.reaches = func(i int) bool { return i%domains != 0 }
			f.inForce(f.reaches)
			f.run(4 * time.Second)
			assert.Equal(f.t, f.crossing(), 6)
			f.cut, f.reaches = func(int, int) bool { return false }, all
			f.run(20 * time.Second)
			f.inForce(all)
		},
		// Guards against an outage that stops traffic, and against settings
		// lost by an instance that restarts while nobody reaches the platform.
		"platform away": func(f *fleet) {
			f.away = true
			for range 60 {
				f.run(time.Minute)
				assert.Assert(f.t, f.crossing() >= 6, "%d cross", f.crossing())
			}
			f.start(3)
			f.run(10 * time.Second)
			assert.Equal(f.t, f.nodes[3].Rev(), uint64(len(f.history)-1))
		},
		"restart of all": func(f *fleet) {
			for i := range f.nodes {
				f.start(i)
			}
			f.run(6 * time.Second)
			f.inForce(all)
		},
		// Guards against a restored backup that takes back accepted settings.
		"restored backup": func(f *fleet) {
			rev := f.nodes[0].Rev()
			f.history, f.edited = f.history[:rev], f.edited[:rev]
			f.run(10 * time.Second)
			assert.Equal(f.t, f.nodes[0].Rev(), rev)
			assert.Assert(f.t, f.nodes[0].Replica.Counters.Regressed > 0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				f := newFleet(t, 8, seed)
				f.run(10 * time.Second)
				f.inForce(all)
				fault(f)
			}
		})
	}
}

// Guards against content that differs from the platform's at the revision,
// and against any way back.
func TestReplica(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{history: []*conf.Snapshot{{}}}
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
			"offer": func(t *rapid.T) {
				rev := a.Rev()
				a.ApplySnapshot(f.history[rapid.IntRange(0, len(f.history)-1).Draw(t, "rev")])
				assert.Assert(t, a.Rev() >= rev)
			},
			"delta": func(t *rapid.T) {
				since := []uint64{0, a.Rev()}
				for _, d := range a.log {
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

// Guards against a delta that skips a change: at revision 3 a node is gone
// that the delta from 4 to 5 does not name.
func TestGap(t *testing.T) {
	f := &fleet{history: []*conf.Snapshot{{}}}
	var a, b Replica
	for range 5 {
		a.ApplySnapshot(f.history[f.edit()])
	}
	b.ApplySnapshot(f.history[2])
	d, _ := a.Delta(4)
	assert.Equal(t, b.Apply(d), Gap)
	assert.Equal(t, b.Rev(), uint64(2))
}

// Guards against freshness that is dated later than its event.
func TestFreshness(t *testing.T) {
	sec := func(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }
	for name, do := range map[string]func(f *Freshness) (now, until time.Time){
		"answer counts from the question": func(f *Freshness) (now, until time.Time) {
			f.SetApplied(5, []string{"a", "b", "c"}) // c is not heard
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
		"fleet": func(f *Freshness) (now, until time.Time) {
			f.ReceiveReport(sec(1), sec(1), "b", wire.FreshnessReport{Known: 5, Age: wire.NoAge})
			return sec(2), sec(3.9)
		},
		"fleet counts from the question": func(f *Freshness) (now, until time.Time) {
			f.ReceiveReport(sec(2), sec(1), "b", wire.FreshnessReport{Known: 5, Age: wire.NoAge})
			return sec(2), sec(3.9)
		},
		"fleet passed on": func(f *Freshness) (now, until time.Time) {
			f.ReceiveReport(sec(2), sec(1), "a", wire.FreshnessReport{Known: 5, Age: wire.NoAge, Domains: []wire.DomainAge{{Domain: "b", Age: 500}}})
			return sec(2), sec(3.4)
		},
		"fleet knows more": func(f *Freshness) (now, until time.Time) {
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
			now, until := do(f)
			assert.Assert(t, f.CrossUntil(now).Equal(until), "fresh until %v", f.CrossUntil(now))
		})
	}
}

// Guards against settings that spread by pulls alone, and against pushes that
// grow with the fleet.
func TestPush(t *testing.T) {
	for n, want := range map[int]int{4: 3, 9: 8, 64: 8} {
		s, out := Distributor{Self: addr(0), Replica: &Replica{}}, wire.Outbox{}
		s.Members = func() (all []netip.AddrPort) {
			for i := range n {
				all = append(all, addr(i))
			}
			return all
		}
		s.Replica.ApplySnapshot(&conf.Snapshot{Rev: 1})
		s.Announce(0, &out)
		to := map[netip.AddrPort]bool{addr(0): true}
		for _, m := range out.Sends {
			to[m.To] = true
		}
		assert.Equal(t, len(out.Sends), want)
		assert.Equal(t, len(to), want+1, "a target is doubled or the sender")
	}
}

// Guards against a delta that is cut or dropped when it exceeds a datagram.
func TestBulk(t *testing.T) {
	big := &conf.Snapshot{Rev: 9, Servers: map[string]conf.Server{"s": {Name: string(make([]byte, wire.MaxPeer))}}}
	from, to := Distributor{Replica: &Replica{}}, Distributor{Replica: &Replica{}}
	from.Replica.ApplySnapshot(big)
	var out wire.Outbox
	to.Receive(epoch, addr(1), from.message(0), &out)
	a, ok := to.BulkPeer()
	assert.Assert(t, ok && a == addr(1))
}
