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

// newDaemonWithEntries returns a daemon whose settings have 13,000 entries in
// its half. Only its own entry has an instance.
func newDaemonWithEntries(t *testing.T) *Daemon {
	d := newDaemon(t, &fakePlatform{})
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
	_, _, err := d.core.ApplySettings(testStart, testStart, &snap)
	assert.NilError(t, err)
	return d
}

// Guards against progress messages whose size grows with the number of entries:
// the target for control traffic is 5 KB a second.
func TestProgressSize(t *testing.T) {
	p := newDaemonWithEntries(t).progress(6)
	assert.Equal(t, p.InForce, 1)
	assert.Equal(t, p.Lacking, 12_999)
	assert.Equal(t, len(p.Missing), admin.MaxMissing)
	assert.Equal(t, p.Highest, uint64(6))
	b, err := cbor.Marshal(p)
	assert.NilError(t, err)
	t.Logf("%d bytes", len(b))
	assert.Assert(t, len(b) < 1000, len(b))
}

// Guards against an edit that is reported as in force although another instance
// has a higher revision, and against an edit that waits for a dead instance.
func TestProgressHighestRevision(t *testing.T) {
	for state, want := range map[member.State]uint64{member.Alive: 90, member.Suspect: 90, member.Dead: 6} {
		d := newDaemonWithEntries(t)
		peer := d.settings().Domains["a"].Entries[1].Peer
		u := member.Update{Addr: peer, Domain: "a", Incarnation: 1, State: member.Alive, Revision: 90}
		d.core.Members.Receive(testStart, peer, member.Message{Self: u}, &wire.Outbox{})
		u.State = state
		other := member.Update{Addr: d.settings().Domains["a"].Entries[2].Peer, Domain: "a", Incarnation: 1, State: member.Alive}
		d.core.Members.Receive(testStart, other.Addr, member.Message{Self: other, Updates: []member.Update{u}}, &wire.Outbox{})
		assert.Equal(t, d.progress(6).Highest, want, state.String())
	}
}

// Guards against a watch that sends the same progress again.
func TestWatchSendsOnlyChanges(t *testing.T) {
	d := newDaemonWithEntries(t)
	ctx, cancel := context.WithTimeout(t.Context(), 5*watchInterval/2)
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
