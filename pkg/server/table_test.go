package server

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wire"
)

var epoch0 = time.Unix(1_000_000, 0)

func snapshot(n int) *conf.Snapshot {
	coldTime := conf.Duration(time.Second)
	service := conf.ServiceID(7)
	s := &conf.Snapshot{
		Nodes:   map[string]conf.Node{"/k/order": {Values: conf.Values{ServiceID: &service, ColdTime: &coldTime}}},
		Domains: map[string]conf.Domain{"a": {Name: "a", Half: "k", Mark: conf.MarkIn}},
		Servers: map[string]conf.Server{},
	}
	for i := range n {
		id := conf.ServerID(i + 1)
		s.Servers[fmt.Sprint(id)] = conf.Server{ID: id, Service: "/k/order", Domain: "a", Generation: 1, Mark: conf.MarkIn, Addr: addr(id)}
	}
	return s
}

func addr(id conf.ServerID) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(id >> 8), byte(id)}), 9000)
}

func newTable(n int) *Table {
	t := &Table{Rand: rand.New(rand.NewPCG(1, 2))}
	t.Apply(epoch0, snapshot(n))
	return t
}

func frame(kind wire.Kind, boot uint64, flags uint8) *wire.Frame {
	return &wire.Frame{Kind: kind, Service: 7, Server: 1, Generation: 1, Boot: boot, Flags: flags}
}

// warm delivers an answer of server 1 every 200 ms until the server is warm, and
// returns the time of the last one.
func warm(t *testing.T, tab *Table) time.Time {
	now := epoch0
	for range 100 {
		now = now.Add(200 * time.Millisecond)
		assert.Assert(t, tab.Receive(now, addr(1), frame(wire.KindAnswer, 5, 0), 10*time.Millisecond))
	}
	assert.Equal(t, tab.State(1), StateWarm)
	return now
}

// Guards against a new cold start that is not detected because the server does
// not announce it.
func TestColdStartDetection(t *testing.T) {
	for name, c := range map[string]struct {
		boot    uint64
		flags   uint8
		latency time.Duration
		frames  int
		state   string
	}{
		"new boot":         {6, 0, 10 * time.Millisecond, 1, StateCold},
		"cold shed":        {5, wire.FlagShed | wire.FlagCold, 0, 1, StateCold},
		"latency step":     {5, 0, 50 * time.Millisecond, 3, StateCold},
		"two slow answers": {5, 0, 50 * time.Millisecond, 2, StateWarm},
		"plain shed":       {5, wire.FlagShed, 0, 5, StateWarm},
	} {
		t.Run(name, func(t *testing.T) {
			tab := newTable(1)
			now := warm(t, tab)
			for range c.frames {
				tab.Receive(now, addr(1), frame(wire.KindAnswer, c.boot, c.flags), c.latency)
			}
			assert.Equal(t, tab.State(1), c.state)
		})
	}
}

// Guards against new work for leaving, suspect, unknown and unconfirmed servers.
func TestUsableReasons(t *testing.T) {
	tab := newTable(1)
	usable := func(now time.Time, want wire.Reason) {
		t.Helper()
		_, got := tab.Usable(now, 1)
		assert.Equal(t, got, want)
	}
	usable(epoch0, wire.ReasonUnconfirmed)
	now := warm(t, tab)
	usable(now, wire.ReasonNone)
	usable(now.Add(2*time.Second), wire.ReasonUnconfirmed)
	for range maxConsecutiveTimeouts {
		tab.TimedOut(now, 1)
	}
	usable(now, wire.ReasonServerGone)
	assert.Equal(t, len(tab.Probes(now, nil)), 1)
	tab.Receive(now, addr(1), frame(wire.KindProbed, 5, 0), 0)
	usable(now, wire.ReasonNone)
	assert.Equal(t, tab.State(1), StateWarm)
	s := snapshot(1)
	rec := s.Servers["1"]
	rec.Mark = conf.MarkLeaving
	s.Servers["1"] = rec
	tab.Apply(now, s)
	tab.Receive(now, addr(1), frame(wire.KindAnswer, 5, 0), time.Millisecond)
	usable(now, wire.ReasonServerLeft)
	tab.Apply(now, snapshot(1))
	assert.Equal(t, tab.State(1), StateCold)
	tab.Apply(now, snapshot(0))
	usable(now, wire.ReasonServerGone)
}

// Guards against packets to an address that now belongs to another server,
// while this instance still has the old settings.
func TestReusedAddress(t *testing.T) {
	for name, change := range map[string]func(*wire.Frame){
		"service":    func(f *wire.Frame) { f.Service = 8 },
		"server":     func(f *wire.Frame) { f.Server = 2 },
		"generation": func(f *wire.Frame) { f.Generation = 2 },
	} {
		t.Run(name, func(t *testing.T) {
			tab := newTable(1)
			now := warm(t, tab)
			f := frame(wire.KindProbed, 9, 0)
			change(f)
			assert.Assert(t, !tab.Receive(now, addr(1), f, 0))
			_, ok := tab.Confirmed(now, 1)
			assert.Assert(t, !ok)
		})
	}
}

// Guards against missing probes and bursts of probes.
func TestProbeJitter(t *testing.T) {
	tab := newTable(500)
	counts := []int{}
	for i := range 60 {
		counts = append(counts, len(tab.Probes(epoch0.Add(time.Duration(i)*50*time.Millisecond), nil)))
	}
	for i, n := range counts[30:] {
		assert.Assert(t, n > 10 && n < 150, "tick %d: %d probes", i, n)
	}
}

// Guards against peers that raise the stage of a server with updates about an
// earlier process or from before it returned to a cold start.
func TestMergeUpdates(t *testing.T) {
	now := epoch0.Add(10 * time.Second)
	base := Update{Server: 1, Generation: 1, Boot: 5, Stage: 3, HeardAt: now.UnixMilli()}
	for name, c := range map[string]struct {
		falls  uint32
		change func(*Update)
		stage  int
	}{
		"higher stage":     {0, func(*Update) {}, 3},
		"before a fall":    {1, func(*Update) {}, 0},
		"earlier process":  {0, func(u *Update) { u.Boot, u.HeardAt = 4, now.Add(-time.Second).UnixMilli() }, 0},
		"outdated":         {0, func(u *Update) { u.HeardAt = now.Add(-time.Minute).UnixMilli() }, 0},
		"other generation": {0, func(u *Update) { u.Generation = 2 }, 0},
		"later process":    {0, func(u *Update) { u.Boot, u.Stage, u.HeardAt = 6, 0, now.Add(time.Second).UnixMilli() }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			tab := newTable(1)
			tab.Receive(now.Add(-time.Millisecond), addr(1), frame(wire.KindProbed, 5, 0), 0)
			tab.entries[1].falls = c.falls
			u := base
			c.change(&u)
			b, err := cbor.Marshal([]Update{u})
			assert.NilError(t, err)
			updates, err := DecodeUpdates(b)
			assert.NilError(t, err)
			tab.Merge(now, updates)
			_, stage, _ := tab.Stage(1)
			assert.Equal(t, stage, c.stage)
		})
	}
}

// Guards against probes that take most of the control traffic while the
// instance is fresh, and against long confirmations that stay valid when it is
// no longer fresh.
func TestConfirmationLifetime(t *testing.T) {
	heard := func(tb *Table, now time.Time) {
		tb.Receive(now, addr(1), &wire.Frame{Kind: wire.KindProbed, Service: 7, Server: 1, Generation: 1, Boot: 1}, 0)
	}
	probes := func(fresh bool) (n int) {
		tb := newTable(1)
		tb.SetFresh(epoch0, fresh)
		for at := time.Duration(0); at < time.Minute; at += 20 * time.Millisecond {
			if due := tb.Probes(epoch0.Add(at), nil); len(due) > 0 {
				heard(tb, epoch0.Add(at))
				n++
			}
		}
		return n
	}
	t.Run("rate", func(t *testing.T) {
		fresh, stale := probes(true), probes(false)
		assert.Assert(t, fresh*5 < stale*3, "%d probes in a minute while fresh, %d otherwise", fresh, stale)
	})
	t.Run("no longer fresh", func(t *testing.T) {
		tb := newTable(1)
		tb.SetFresh(epoch0, true)
		heard(tb, epoch0)
		now := epoch0.Add(1500 * time.Millisecond)
		until, ok := tb.Confirmed(now, 1)
		assert.Assert(t, ok)
		assert.Equal(t, until, now.Add(2*time.Second))
		now = epoch0.Add(3 * time.Second)
		_, ok = tb.Confirmed(now, 1)
		assert.Assert(t, ok)
		tb.Probes(now, nil)
		heard(tb, epoch0)
		tb.SetFresh(now, false)
		_, ok = tb.Confirmed(now, 1)
		assert.Assert(t, !ok)
		assert.Equal(t, len(tb.Probes(now, nil)), 1)
	})
	t.Run("dead server", func(t *testing.T) {
		tb := newTable(1)
		tb.SetFresh(epoch0, true)
		heard(tb, epoch0)
		for at := time.Duration(0); at < 5*time.Second; at += 20 * time.Millisecond {
			tb.Probes(epoch0.Add(at), nil)
			if _, ok := tb.Confirmed(epoch0.Add(at), 1); ok {
				assert.Assert(t, at < 2*time.Second, "confirmed after %v", at)
			}
		}
		assert.Equal(t, tb.State(1), StateSuspect)
	})
}

// Guards against servers that return to a cold start but wait behind rises, and
// against the rises of a whole failure domain each being sent at once.
func TestUrgentUpdates(t *testing.T) {
	tab, now := newTable(40), epoch0
	for _, e := range tab.probeOrder[1:] {
		tab.queueRise(now, e)
	}
	assert.Assert(t, tab.Urgent())
	assert.Equal(t, len(tab.Updates(nil)), maxUpdatesPerMessage)
	tab.queueRise(now.Add(urgentRiseInterval-1), tab.probeOrder[1])
	assert.Assert(t, !tab.Urgent())
	tab.recordFall(now, tab.probeOrder[0])
	assert.Assert(t, tab.Urgent())
	updates := tab.Updates(nil)
	assert.Equal(t, len(updates), 1)
	assert.Equal(t, updates[0].Server, tab.probeOrder[0].id)
	assert.Assert(t, !tab.Urgent())
	tab.queueRise(now.Add(urgentRiseInterval), tab.probeOrder[1])
	assert.Assert(t, tab.Urgent())
}
