package wire

import "net/netip"

// Target tells which kind of party a send goes to.
type Target uint8

// Targets of a send.
const (
	ToCaller Target = iota + 1 // To is the fabric address the packet came through
	ToServer                   // To is the backend server's address
	ToPeer                     // To is another instance's peer address
)

// Send is one datagram that a core wants sent.
type Send struct {
	Target Target
	To     netip.AddrPort
	// Packet is sent to callers and servers.
	Packet Packet
	// Peer is sent to other instances.
	Peer PeerMsg
}

// Outbox collects sends in order. Reset keeps its memory, so that the
// established-flow path does not allocate.
type Outbox struct {
	Sends []Send
}

// Reset empties the outbox.
func (o *Outbox) Reset() { o.Sends = o.Sends[:0] }

// Caller adds a packet for a caller; p.Via is the fabric address.
func (o *Outbox) Caller(p *Packet) {
	o.Sends = append(o.Sends, Send{Target: ToCaller, To: p.Via, Packet: *p})
}

// Server adds a packet for the backend server at to.
func (o *Outbox) Server(to netip.AddrPort, p *Packet) {
	o.Sends = append(o.Sends, Send{Target: ToServer, To: to, Packet: *p})
}

// Peer adds a control message for the instance at to.
func (o *Outbox) Peer(to netip.AddrPort, kind PeerKind, body any) {
	o.Sends = append(o.Sends, Send{Target: ToPeer, To: to, Peer: PeerMsg{Kind: kind, Body: body}})
}
