// Package router decides where the packets of opaque flows go. An instance
// sees only what callers send, since servers answer callers directly; it
// learns from the callers' packets whether servers answer. Each packet of an
// open flow carries a 32-bit token that names its server, so any instance can
// forward packets of a flow that another instance opened.
//
// The code that uses the package passes in records, packets and the current
// time and gets decisions back. The package uses no sockets, goroutines, clocks
// or global state.
package router

import (
	"net/netip"

	"ebonypaddle/pkg/wire"
)

// Packet holds the fields of a caller's packet that matter to forwarding.
type Packet struct {
	Caller, Service netip.AddrPort
	// Open starts a flow, Ack acknowledges received data, End closes the
	// caller's side of the flow, Reset aborts the flow.
	Open, Ack, End, Reset bool
	// Retransmissions is how many times the caller sent this opening before.
	Retransmissions int
	// Token is the token that the caller got from the server, 0 in an opening.
	Token uint32
	// Seq is the sequence number of the first byte of data, Acked that of the
	// next byte that the caller expects.
	Seq, Acked uint32
	// Size is the length of the data in bytes.
	Size int
}

// Target is the server to which a packet is forwarded.
type Target struct {
	Server ServerID
	Addr   netip.AddrPort
	// Token is the token of the server. A forwarded opening carries it to
	// the server, which returns it to the caller.
	Token uint32
}

// Action says what happens to a packet.
type Action uint8

// The actions.
const (
	Drop Action = iota
	Forward
	// Refuse sends a reset to the caller.
	Refuse
)

// Verdict is the decision on one packet. To is set for Forward, Reason for
// Drop and Refuse.
type Verdict struct {
	Action Action
	Reason wire.Reason
	To     Target
}

func drop(reason wire.Reason) Verdict   { return Verdict{Action: Drop, Reason: reason} }
func refuse(reason wire.Reason) Verdict { return Verdict{Action: Refuse, Reason: reason} }
func forward(srv *server) Verdict       { return Verdict{Action: Forward, To: srv.target()} }
