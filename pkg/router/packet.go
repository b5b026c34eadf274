// Package router decides where the packets of opaque flows go. An instance sees
// only what callers send; servers answer callers directly. The one mark of a
// flow is a token of 32 bits that both ends repeat, so any instance can continue
// a flow that another one opened. Facts and the time come in, verdicts go out:
// there are no sockets, goroutines, clocks or global state.
package router

import (
	"net/netip"

	"ebonypaddle/pkg/wire"
)

// Packet is what an instance reads of a caller's packet.
type Packet struct {
	Caller, Service netip.AddrPort
	// Open starts a flow, Ack confirms received data, End closes the caller's
	// side, Reset gives the flow up.
	Open, Ack, End, Reset bool
	// Retransmissions is how many times the caller sent this opening before.
	Retransmissions int
	// Token is the value that the server gave back, 0 in an opening.
	Token uint32
	// Seq numbers the first byte of data, Acked the next byte that the caller
	// expects.
	Seq, Acked uint32
	// Size is the length of the data in bytes.
	Size int
}

// Target is a server that gets a packet.
type Target struct {
	Server ServerID
	Addr   netip.AddrPort
	// Token is what an opening carries to the server.
	Token uint32
}

// Action is what happens to a packet.
type Action uint8

// Actions.
const (
	Drop Action = iota
	Forward
	// Refuse answers the caller with a reset.
	Refuse
)

// Verdict is the decision for one packet. Reason says why it was dropped or
// refused.
type Verdict struct {
	Action Action
	Reason wire.Reason
	To     Target
}

func drop(why wire.Reason) Verdict   { return Verdict{Action: Drop, Reason: why} }
func refuse(why wire.Reason) Verdict { return Verdict{Action: Refuse, Reason: why} }
func forward(r *server) Verdict      { return Verdict{Action: Forward, To: r.target()} }
