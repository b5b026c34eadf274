package main

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
	"net/netip"
)

// Layout and flags of a packet, as the page on the protocol gives them.
const (
	headSize = 32
	maxData  = 1200

	flagSyn = 128
	flagFin = 32
	flagAck = 16
	flagRst = 2
)

var errPacket = errors.New("not a packet")

// packet is one packet between a client and a host.
type packet struct {
	flags    byte
	echo     uint32
	src, dst netip.AddrPort
	seq, ack uint32
	data     []byte
	sumOK    bool // the sum is that of the other end
}

// sumKey stands for the key of the sum, which only the two ends know.
const sumKey = 0x5eed

// sum covers all fields but echo, pad and BOUNCED.
func sum(b []byte) uint32 {
	h := fnv.New32a()
	var key [2]byte
	binary.BigEndian.PutUint16(key[:], sumKey)
	_, _ = h.Write(key[:]) // a hash takes all bytes
	_, _ = h.Write([]byte{b[4] &^ 1})
	_, _ = h.Write(b[10:])
	return h.Sum32()
}

func (p *packet) encode() []byte {
	b := make([]byte, headSize, headSize+len(p.data))
	b[4] = p.flags
	binary.BigEndian.PutUint32(b[6:], p.echo)
	binary.BigEndian.PutUint16(b[10:], p.src.Port())
	binary.BigEndian.PutUint16(b[12:], p.dst.Port())
	dst, src := p.dst.Addr().As4(), p.src.Addr().As4()
	copy(b[14:], dst[:])
	copy(b[18:], src[:])
	binary.BigEndian.PutUint16(b[22:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(b[24:], p.seq)
	binary.BigEndian.PutUint32(b[28:], p.ack)
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b, sum(b))
	return b
}

func decode(b []byte) (*packet, error) {
	if len(b) < headSize || len(b) > headSize+maxData || int(binary.BigEndian.Uint16(b[22:])) != len(b)-headSize {
		return nil, errPacket
	}
	addr := func(ip, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[ip:ip+4])), binary.BigEndian.Uint16(b[port:]))
	}
	return &packet{
		flags: b[4], echo: binary.BigEndian.Uint32(b[6:]), src: addr(18, 10), dst: addr(14, 12),
		seq: binary.BigEndian.Uint32(b[24:]), ack: binary.BigEndian.Uint32(b[28:]),
		data: append([]byte(nil), b[headSize:]...), sumOK: binary.BigEndian.Uint32(b) == sum(b),
	}, nil
}

// length is the number of sequence numbers that a packet takes.
func (p *packet) length() uint32 {
	n := uint32(len(p.data))
	if p.flags&(flagSyn|flagFin) != 0 {
		n++
	}
	return n
}
