package dist

import (
	"encoding/binary"
	"net/netip"
	"time"

	"ebonypaddle/pkg/wire"
)

const (
	// MaxPush is the maximum number of peers to which an instance forwards a new
	// revision.
	MaxPush = 8
	// maxInlineDeltaBytes is the size up to which a delta is sent in a message.
	// It leaves room for the envelope within wire.MaxPeerBytes.
	maxInlineDeltaBytes = wire.MaxPeerBytes - 64
	// pullRetryInterval is the time after which an unanswered pull is repeated.
	pullRetryInterval = 300 * time.Millisecond
)

// Message is the body of a wire.PeerSettings.
type Message struct {
	_ struct{} `cbor:",toarray"`
	// Rev is the revision of the sender's settings.
	Rev uint64
	// Pull requests the changes since Rev.
	Pull bool
	// Delta is an encoded Delta. It is empty if it does not fit into the
	// message. The receiver then pulls over TCP.
	Delta []byte
}

// Distributor pushes new settings to peers and pulls from peers that have a
// higher revision.
type Distributor struct {
	Self    netip.AddrPort
	Replica *Replica

	// Members returns the addresses of the live instances.
	Members func() []netip.AddrPort

	bulkPeer  netip.AddrPort // peer from which to pull over TCP
	lastPull  time.Time
	pulledRev uint64 // revision of the peer at the last pull
}

// Announce forwards the current revision to peers, as a delta from revision from,
// which the replica had before.
func (d *Distributor) Announce(from uint64, out *wire.Outbox) {
	m := d.newMessage(from)
	for _, to := range pushTargets(d.Self, d.Replica.Rev(), d.Members(), MaxPush) {
		out.Peer(to, wire.PeerSettings, m)
	}
}

// newMessage returns a message with the delta from revision since, if it fits.
func (d *Distributor) newMessage(since uint64) Message {
	m := Message{Rev: d.Replica.Rev()}
	if delta, ok := d.Replica.Delta(since); ok {
		if b, err := delta.Encode(); err == nil && len(b) <= maxInlineDeltaBytes {
			m.Delta = b
		}
	}
	return m
}

// ObserveRevision pulls from a peer at revision rev if that is higher than the
// revision of the replica. It waits pullRetryInterval before it pulls the same
// revision again.
func (d *Distributor) ObserveRevision(now time.Time, from netip.AddrPort, rev uint64, out *wire.Outbox) {
	if rev <= d.Replica.Rev() {
		return
	}
	wait := now.Sub(d.lastPull)
	if rev <= d.pulledRev && wait >= 0 && wait < pullRetryInterval {
		return
	}
	d.pulledRev, d.lastPull = rev, now
	out.Peer(from, wire.PeerSettings, Message{Rev: d.Replica.Rev(), Pull: true})
}

// Receive handles a message and returns whether the replica advanced.
func (d *Distributor) Receive(now time.Time, from netip.AddrPort, m Message, out *wire.Outbox) bool {
	if m.Pull {
		if d.Replica.Rev() > m.Rev {
			out.Peer(from, wire.PeerSettings, d.newMessage(m.Rev))
		}
		return false
	}
	if m.Rev <= d.Replica.Rev() {
		return false
	}
	if len(m.Delta) == 0 {
		d.bulkPeer = from
		return false
	}
	old := d.Replica.Rev()
	delta, err := DecodeDelta(m.Delta)
	if err != nil {
		d.bulkPeer = from
		return false
	}
	if d.Replica.Apply(delta) != Advanced {
		d.ObserveRevision(now, from, m.Rev, out)
		return false
	}
	d.Announce(old, out)
	return true
}

// BulkPeer returns the peer from which to pull over TCP, if any, and clears it.
func (d *Distributor) BulkPeer() (netip.AddrPort, bool) {
	a := d.bulkPeer
	d.bulkPeer = netip.AddrPort{}
	return a, a.IsValid()
}

func revKey(rev uint64) []byte { return binary.BigEndian.AppendUint64(nil, rev) }
