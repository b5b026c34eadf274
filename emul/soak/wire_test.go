package soak

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Flags of a packet.
const (
	flagOpen  = 128
	flagAck   = 16
	flagEnd   = 32
	flagReset = 2

	headerSize = 32
)

// packet is a packet of the platform as callers and servers send and receive it.
type packet struct {
	flags    byte
	token    uint32
	src, dst netip.AddrPort
	seq, ack uint32
	data     []byte
}

// encode returns the bytes of the packet. The checksum covers everything but the
// token, which instances set, so that any other change in transit is detected.
func (p *packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
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
	binary.BigEndian.PutUint32(b, checksum(b))
	binary.BigEndian.PutUint32(b[6:], p.token)
	return b
}

// checksum returns the checksum of an encoded packet. It is never 0, the value
// that marks a reset sent by an instance.
func checksum(b []byte) uint32 {
	c := append([]byte{}, b...)
	copy(c[0:4], []byte{0, 0, 0, 0})
	copy(c[6:10], []byte{0, 0, 0, 0})
	return crc32.ChecksumIEEE(c) | 1
}

// decode parses a packet. intact reports whether its checksum is right, and
// fromInstance whether an instance sent it.
func decode(b []byte) (p packet, intact, fromInstance bool) {
	if len(b) < headerSize {
		return p, false, false
	}
	at := func(ip, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[ip:ip+4])), binary.BigEndian.Uint16(b[port:]))
	}
	p = packet{
		flags: b[4], token: binary.BigEndian.Uint32(b[6:]), src: at(18, 10), dst: at(14, 12),
		seq: binary.BigEndian.Uint32(b[24:]), ack: binary.BigEndian.Uint32(b[28:]), data: b[headerSize:],
	}
	got := binary.BigEndian.Uint32(b)
	return p, got == checksum(b), got == 0
}
