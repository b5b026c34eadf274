package member

import (
	"net/netip"

	"ebonypaddle/pkg/wire"
)

// State is what the table holds of a member.
type State uint8

// States in the order in which they override each other within one
// incarnation.
const (
	Alive State = iota + 1
	Suspect
	Dead
	stateEnd
)

// String returns the state as used in logs and reports.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	}
	return "invalid"
}

// Update is what one instance says of a member.
type Update struct {
	_           struct{} `cbor:",toarray"`
	Addr        netip.AddrPort
	Domain      string
	Incarnation uint64
	State       State
	// Revision is the settings revision the member applied.
	Revision uint64
	// Leaving tells that the member announced a planned stop. It stays set
	// while the member is suspect or dead.
	Leaving bool
}

// Message is the body of a wire.PeerHeartbeat.
type Message struct {
	_ struct{} `cbor:",toarray"`
	// Nonce pairs an acknowledgement with its probe. Ack tells them apart.
	Nonce uint64
	Ack   bool
	// Self describes the sender.
	Self Update
	// Clock is the sender's wall clock as Unix time in milliseconds. Only
	// acknowledgements carry a clock and a report: measured from the time of
	// the probe, a late or repeated datagram cannot look recent.
	Clock     int64
	Freshness wire.FreshnessReport
	Updates   []Update
}
