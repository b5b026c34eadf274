package dist

import (
	"encoding/binary"
	"net/netip"
	"time"

	"ebonypaddle/pkg/wire"
)

const (
	// MaxPush is how many peers an instance forwards a new revision to.
	MaxPush = 8
	// maxInline leaves room for the envelope within wire.MaxPeer.
	maxInline = wire.MaxPeer - 64
	// pullAgain is when a pull without an answer is repeated.
	pullAgain = 300 * time.Millisecond
)

// Message is the body of a wire.PeerSettings.
type Message struct {
	_ struct{} `cbor:",toarray"`
	// Rev is the sender's revision.
	Rev uint64
	// Pull asks for what the sender lacks.
	Pull bool
	// Delta is an encoded Delta. It is empty when it does not fit; the
	// receiver then pulls over TCP.
	Delta []byte
}

// Distributor pushes new settings to peers and pulls from those that lead.
type Distributor struct {
	Self    netip.AddrPort
	Replica *Replica

	// Members returns the live instances.
	Members func() []netip.AddrPort

	bulk   netip.AddrPort
	asked  time.Time
	leader uint64
}

// Announce forwards the current revision to peers. from is the revision before.
func (s *Distributor) Announce(from uint64, out *wire.Outbox) {
	m := s.message(from)
	for _, to := range targets(s.Self, s.Replica.Rev(), s.Members(), MaxPush) {
		out.Peer(to, wire.PeerSettings, m)
	}
}

func (s *Distributor) message(since uint64) Message {
	m := Message{Rev: s.Replica.Rev()}
	if d, ok := s.Replica.Delta(since); ok {
		if b, err := d.Encode(); err == nil && len(b) <= maxInline {
			m.Delta = b
		}
	}
	return m
}

// ObserveRevision takes note that a peer is at revision rev and pulls if this
// one lags.
func (s *Distributor) ObserveRevision(now time.Time, from netip.AddrPort, rev uint64, out *wire.Outbox) {
	if rev <= s.Replica.Rev() {
		return
	}
	wait := now.Sub(s.asked)
	if rev <= s.leader && wait >= 0 && wait < pullAgain {
		return
	}
	s.leader, s.asked = rev, now
	out.Peer(from, wire.PeerSettings, Message{Rev: s.Replica.Rev(), Pull: true})
}

// Receive handles a message. It reports whether the replica moved.
func (s *Distributor) Receive(now time.Time, from netip.AddrPort, m Message, out *wire.Outbox) bool {
	if m.Pull {
		if s.Replica.Rev() > m.Rev {
			out.Peer(from, wire.PeerSettings, s.message(m.Rev))
		}
		return false
	}
	if m.Rev <= s.Replica.Rev() {
		return false
	}
	if len(m.Delta) == 0 {
		s.bulk = from
		return false
	}
	old := s.Replica.Rev()
	d, err := DecodeDelta(m.Delta)
	if err != nil {
		s.bulk = from
		return false
	}
	if s.Replica.Apply(d) != Advanced {
		s.ObserveRevision(now, from, m.Rev, out)
		return false
	}
	s.Announce(old, out)
	return true
}

// BulkPeer returns once the peer from which to pull over TCP, if any.
func (s *Distributor) BulkPeer() (netip.AddrPort, bool) {
	a := s.bulk
	s.bulk = netip.AddrPort{}
	return a, a.IsValid()
}

func revKey(rev uint64) []byte { return binary.BigEndian.AppendUint64(nil, rev) }
