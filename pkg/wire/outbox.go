package wire

import "net/netip"

// Target is the kind of receiver of a datagram.
type Target uint8

// Targets of a Send, which determine the meaning of its address To.
const (
	ToCaller Target = iota + 1 // To is the fabric address that leads to the caller
	ToServer                   // To is the backend server's address
	ToPeer                     // To is another instance's peer address
)

// Send is one datagram to be sent.
type Send struct {
	Target Target
	To     netip.AddrPort
	// Packet is the content of a datagram to a caller or server.
	Packet Packet
	// Peer is the content of a datagram to another instance.
	Peer PeerMsg
}

// Outbox collects the datagrams to be sent, in order. Reset keeps its memory,
// so that it does not allocate for packets of established flows.
type Outbox struct {
	Sends []Send
}

// Reset removes all datagrams and keeps the allocated memory.
func (o *Outbox) Reset() { o.Sends = o.Sends[:0] }

// Caller adds a packet for a caller, which is sent to the fabric address p.Via.
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
