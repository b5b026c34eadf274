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
	// It leaves room for the envelope within wire.MaxPeer.
	maxInlineDeltaBytes = wire.MaxPeer - 64
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

// Announce forwards the current revision to peers, as a delta from the previous
// revision from.
func (s *Distributor) Announce(from uint64, out *wire.Outbox) {
	m := s.newMessage(from)
	for _, to := range pushTargets(s.Self, s.Replica.Rev(), s.Members(), MaxPush) {
		out.Peer(to, wire.PeerSettings, m)
	}
}

// newMessage returns a message with the delta from revision since, if it fits.
func (s *Distributor) newMessage(since uint64) Message {
	m := Message{Rev: s.Replica.Rev()}
	if d, ok := s.Replica.Delta(since); ok {
		if b, err := d.Encode(); err == nil && len(b) <= maxInlineDeltaBytes {
			m.Delta = b
		}
	}
	return m
}

// ObserveRevision pulls from a peer at revision rev if that is higher than the
// revision of the replica. It waits pullRetryInterval before it pulls the same
// revision again.
func (s *Distributor) ObserveRevision(now time.Time, from netip.AddrPort, rev uint64, out *wire.Outbox) {
	if rev <= s.Replica.Rev() {
		return
	}
	wait := now.Sub(s.lastPull)
	if rev <= s.pulledRev && wait >= 0 && wait < pullRetryInterval {
		return
	}
	s.pulledRev, s.lastPull = rev, now
	out.Peer(from, wire.PeerSettings, Message{Rev: s.Replica.Rev(), Pull: true})
}

// Receive handles a message and returns whether the replica advanced.
func (s *Distributor) Receive(now time.Time, from netip.AddrPort, m Message, out *wire.Outbox) bool {
	if m.Pull {
		if s.Replica.Rev() > m.Rev {
			out.Peer(from, wire.PeerSettings, s.newMessage(m.Rev))
		}
		return false
	}
	if m.Rev <= s.Replica.Rev() {
		return false
	}
	if len(m.Delta) == 0 {
		s.bulkPeer = from
		return false
	}
	old := s.Replica.Rev()
	d, err := DecodeDelta(m.Delta)
	if err != nil {
		s.bulkPeer = from
		return false
	}
	if s.Replica.Apply(d) != Advanced {
		s.ObserveRevision(now, from, m.Rev, out)
		return false
	}
	s.Announce(old, out)
	return true
}

// BulkPeer returns the peer from which to pull over TCP, if any, and clears it.
func (s *Distributor) BulkPeer() (netip.AddrPort, bool) {
	a := s.bulkPeer
	s.bulkPeer = netip.AddrPort{}
	return a, a.IsValid()
}

func revKey(rev uint64) []byte { return binary.BigEndian.AppendUint64(nil, rev) }
