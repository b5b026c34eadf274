package member

import (
	"net/netip"

	"ebonypaddle/pkg/wire"
)

// State is the state of a member.
type State uint8

// States in ascending order of precedence. Within one incarnation a later one
// overrides an earlier one.
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

// Update describes a member, as one instance sees it.
type Update struct {
	_           struct{} `cbor:",toarray"`
	Addr        netip.AddrPort
	Domain      string
	Incarnation uint64
	State       State
	// Revision is the revision of the settings that the member applied.
	Revision uint64
	// Leaving is set if the member announced a planned stop. It stays set while
	// the member is suspect or dead.
	Leaving bool
}

// Message is the body of a wire.PeerHeartbeat.
type Message struct {
	_ struct{} `cbor:",toarray"`
	// Nonce matches an acknowledgement to its probe. Ack is set in
	// acknowledgements.
	Nonce uint64
	Ack   bool
	// Self describes the sender.
	Self Update
	// Clock is the sender's wall clock as Unix time in milliseconds. Only
	// acknowledgements carry a clock and a freshness report. The receiver dates
	// them from the time of the probe, so a late or repeated datagram cannot
	// look recent.
	Clock     int64
	Freshness wire.FreshnessReport
	Updates   []Update
}
