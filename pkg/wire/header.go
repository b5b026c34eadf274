package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"

	"github.com/pires/go-proxyproto"
)

// MaxHeader is the largest PROXY header in bytes. Addresses take 28 bytes for
// IPv4 and 52 for IPv6; the rest is left to a fabric that adds TLVs.
const MaxHeader = 256

// Layout of a PROXY protocol v2 header: signature, version and command, family
// and protocol, length of the rest.
const (
	headerFixed  = 16
	commandAt    = 12
	familyAt     = 13
	lengthAt     = 14
	commandProxy = 0x21
	familyUDPv4  = 0x12
	lengthUDPv4  = 12
)

// headerUDPv4 is the length of a header with IPv4 addresses and no TLVs.
const headerUDPv4 = headerFixed + lengthUDPv4

// fixedUDPv4 starts every such header.
var fixedUDPv4 = append(bytes.Clone(proxyproto.SIGV2), commandProxy, familyUDPv4, 0, lengthUDPv4)

var (
	errNoHeader  = errors.New("no PROXY protocol v2 header")
	errCommand   = errors.New("PROXY header with a command other than PROXY")
	errShort     = errors.New("PROXY header is longer than the datagram")
	errAddresses = errors.New("PROXY header without UDP addresses")
)

// EncodeHeader returns the PROXY header that precedes a frame. It carries IPv6
// addresses unless both addresses are IPv4.
func EncodeHeader(caller, service netip.AddrPort) ([]byte, error) {
	return appendHeader(nil, caller, service)
}

// appendHeader writes the common header directly, since the library allocates
// for each address, and leaves every other one to the library.
func appendHeader(dst []byte, caller, service netip.AddrPort) ([]byte, error) {
	if caller.Addr().Is4() && service.Addr().Is4() {
		src, to := caller.Addr().As4(), service.Addr().As4()
		dst = append(dst, fixedUDPv4...)
		dst = append(dst, src[:]...)
		dst = append(dst, to[:]...)
		dst = binary.BigEndian.AppendUint16(dst, caller.Port())
		return binary.BigEndian.AppendUint16(dst, service.Port()), nil
	}
	h := proxyproto.Header{
		Version:           2,
		Command:           proxyproto.PROXY,
		TransportProtocol: proxyproto.UDPv4,
		SourceAddr:        net.UDPAddrFromAddrPort(caller),
		DestinationAddr:   net.UDPAddrFromAddrPort(service),
	}
	if caller.Addr().Is6() || service.Addr().Is6() {
		h.TransportProtocol = proxyproto.UDPv6
	}
	b, err := h.Format()
	if err != nil {
		return nil, fmt.Errorf("encode PROXY header: %w", err)
	}
	return append(dst, b...), nil
}

// DecodeHeader parses the PROXY header of a datagram and returns its addresses
// and the bytes after it. TLVs are skipped unread. A refused header yields a
// *DecodeError: version 1, the command LOCAL, which names no caller, a
// transport other than UDP over IP, and more than MaxHeader bytes.
func DecodeHeader(b []byte) (caller, service netip.AddrPort, rest []byte, err error) {
	n, err := headerSize(b)
	if err != nil {
		return caller, service, nil, err
	}
	if n == headerUDPv4 && b[familyAt] == familyUDPv4 {
		a := b[headerFixed:n]
		return addrPort(a[0:4], a[8:]), addrPort(a[4:8], a[10:]), b[n:], nil
	}
	h, err := proxyproto.Read(bufio.NewReaderSize(bytes.NewReader(b[:n]), n))
	if err != nil {
		return caller, service, nil, &DecodeError{ReasonMalformed, err}
	}
	src, dst, ok := h.UDPAddrs()
	if !ok {
		return caller, service, nil, &DecodeError{ReasonMalformed, errAddresses}
	}
	return unmapped(src), unmapped(dst), b[n:], nil
}

func addrPort(ip, port []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(ip)), binary.BigEndian.Uint16(port))
}

// headerSize returns the length of the PROXY header that b starts with.
func headerSize(b []byte) (int, error) {
	if len(b) < headerFixed || !bytes.HasPrefix(b, proxyproto.SIGV2) {
		return 0, &DecodeError{ReasonMalformed, errNoHeader}
	}
	n := headerFixed + int(binary.BigEndian.Uint16(b[lengthAt:]))
	switch {
	case b[commandAt] != commandProxy:
		return 0, &DecodeError{ReasonMalformed, errCommand}
	case n > MaxHeader:
		return 0, &DecodeError{ReasonTooLarge, fmt.Errorf("PROXY header of %d bytes exceeds the limit of %d", n, MaxHeader)}
	case n > len(b):
		return 0, &DecodeError{ReasonMalformed, errShort}
	}
	return n, nil
}

func unmapped(a *net.UDPAddr) netip.AddrPort {
	ap := a.AddrPort()
	return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
}
