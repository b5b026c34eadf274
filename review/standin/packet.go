package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Flags of a packet.
const (
	flagSYN = 128
	flagACK = 16
	flagFIN = 32
	flagRST = 2

	headSize = 32
)

// packet is a packet of the platform, as clients and hosts send and receive it.
type packet struct {
	flags    byte
	echo     uint32
	src, dst netip.AddrPort
	seq, ack uint32
	data     []byte
}

// key identifies a flow at a host and at a client: the client's end and the route.
type key struct{ client, route netip.AddrPort }

func (p *packet) encode() []byte {
	b := make([]byte, headSize, headSize+len(p.data))
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
	binary.BigEndian.PutUint32(b[6:], p.echo)
	return b
}

// sum covers all fields except echo, pad and BOUNCED. It is never 0, which marks a
// reset of the system's own.
func sum(b []byte) uint32 {
	c := append([]byte{}, b...)
	copy(c[0:4], []byte{0, 0, 0, 0})
	c[4] &^= 1
	copy(c[5:10], []byte{0, 0, 0, 0, 0})
	return crc32.ChecksumIEEE(c) | 1
}

// decode parses a packet. intact says that its sum is right, own that it is a reset
// of the system's own.
func decode(b []byte) (p packet, intact, own bool) {
	if len(b) < headSize {
		return p, false, false
	}
	at := func(ip, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[ip:ip+4])), binary.BigEndian.Uint16(b[port:]))
	}
	p = packet{
		flags: b[4], echo: binary.BigEndian.Uint32(b[6:]), src: at(18, 10), dst: at(14, 12),
		seq: binary.BigEndian.Uint32(b[24:]), ack: binary.BigEndian.Uint32(b[28:]),
		data: append([]byte{}, b[headSize:]...),
	}
	s := binary.BigEndian.Uint32(b)
	return p, s == sum(b), s == 0 && p.flags == flagRST
}
