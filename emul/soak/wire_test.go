package soak

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Flags of a packet.
const (
	fOpen  = 128
	fAck   = 16
	fEnd   = 32
	fReset = 2

	head = 32
)

// packet is a packet as callers and servers of the platform see it.
type packet struct {
	flags    byte
	token    uint32
	src, dst netip.AddrPort
	seq, ack uint32
	data     []byte
}

// encode writes a packet. The sum covers all but the token, so that a change on
// the way shows.
func (p *packet) encode() []byte {
	b := make([]byte, head, head+len(p.data))
	b[4] = p.flags
	binary.BigEndian.PutUint16(b[10:], p.src.Port())
	binary.BigEndian.PutUint16(b[12:], p.dst.Port())
	d, s := p.dst.Addr().As4(), p.src.Addr().As4()
	copy(b[14:], d[:])
	copy(b[18:], s[:])
	binary.BigEndian.PutUint16(b[22:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(b[24:], p.seq)
	binary.BigEndian.PutUint32(b[28:], p.ack)
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b, sum(b))
	binary.BigEndian.PutUint32(b[6:], p.token)
	return b
}

// sum is never 0, which marks a reset by an instance.
func sum(b []byte) uint32 {
	c := append([]byte{}, b...)
	copy(c[0:4], []byte{0, 0, 0, 0})
	copy(c[6:10], []byte{0, 0, 0, 0})
	return crc32.ChecksumIEEE(c) | 1
}

// decode reads a packet. whole tells that it is as its sender wrote it, and
// foreign that an instance wrote it.
func decode(b []byte) (p packet, whole, foreign bool) {
	if len(b) < head {
		return p, false, false
	}
	at := func(ip, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[ip:ip+4])), binary.BigEndian.Uint16(b[port:]))
	}
	p = packet{
		flags: b[4], token: binary.BigEndian.Uint32(b[6:]), src: at(18, 10), dst: at(14, 12),
		seq: binary.BigEndian.Uint32(b[24:]), ack: binary.BigEndian.Uint32(b[28:]), data: b[head:],
	}
	got := binary.BigEndian.Uint32(b)
	return p, got == sum(b), got == 0
}
