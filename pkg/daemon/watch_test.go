package daemon

import (
	"context"
	"fmt"
	"net/netip"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/admin"
	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/member"
	"ebonypaddle/pkg/wire"
)

// watched returns a daemon whose settings have 13,000 places in its half, of
// which only its own has an instance.
func watched(t *testing.T) *Daemon {
	d := newDaemon(t, &platform{})
	d.Process.Half, d.Process.Peer = "k", netip.MustParseAddrPort("127.0.0.0:7000")
	dom := conf.Domain{Name: "a", Half: "k", Mark: conf.MarkIn}
	for i := range 13_000 {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 7000)
		e := conf.Entry{
			Name: fmt.Sprintf("fi-south-a-%d", i), Peer: a,
			Data: netip.AddrPortFrom(a.Addr(), 7001), Admin: netip.AddrPortFrom(a.Addr(), 7002),
		}
		dom.Entries = append(dom.Entries, e)
	}
	snap := *d.settings()
	snap.Rev = 6
	snap.Domains = map[string]conf.Domain{"a": dom}
	_, _, err := d.core.ApplySettings(begin, begin, &snap)
	assert.NilError(t, err)
	return d
}

// Guards against progress of a size that grows with the number of places: the
// target for control is 5 KB a second.
func TestProgressSize(t *testing.T) {
	p := watched(t).progress(6)
	assert.Equal(t, p.InForce, 1)
	assert.Equal(t, p.Lacking, 12_999)
	assert.Equal(t, len(p.Missing), admin.MaxMissing)
	assert.Equal(t, p.Highest, uint64(6))
	b, err := cbor.Marshal(p)
	assert.NilError(t, err)
	t.Logf("%d bytes", len(b))
	assert.Assert(t, len(b) < 1000, len(b))
}

// Guards against an edit below the revision of another instance that is called
// in force, and against one that waits for a dead instance.
func TestProgressHighest(t *testing.T) {
	for state, want := range map[member.State]uint64{member.Alive: 90, member.Suspect: 90, member.Dead: 6} {
		d := watched(t)
		peer := d.settings().Domains["a"].Entries[1].Peer
		u := member.Update{Addr: peer, Domain: "a", Incarnation: 1, State: member.Alive, Revision: 90}
		d.core.Members.Receive(begin, peer, member.Message{Self: u}, &wire.Outbox{})
		u.State = state
		other := member.Update{Addr: d.settings().Domains["a"].Entries[2].Peer, Domain: "a", Incarnation: 1, State: member.Alive}
		d.core.Members.Receive(begin, other.Addr, member.Message{Self: other, Updates: []member.Update{u}}, &wire.Outbox{})
		assert.Equal(t, d.progress(6).Highest, want, state.String())
	}
}

// Guards against a watch that repeats what it said.
func TestWatchSendsChanges(t *testing.T) {
	d := watched(t)
	ctx, cancel := context.WithTimeout(t.Context(), 5*watchEvery/2)
	defer cancel()
	var got []int
	err := d.Watch(ctx, 7, func(p admin.Progress) error {
		got = append(got, p.InForce)
		if len(got) == 1 {
			snap := *d.settings()
			snap.Rev = 7
			d.core.Replica.ApplySnapshot(&snap)
		}
		return nil
	})
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.DeepEqual(t, got, []int{0, 1})
}
