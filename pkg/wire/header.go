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

// MaxHeader is the largest PROXY header in bytes. A header with IPv4 addresses
// takes 28 bytes, one with IPv6 addresses 52; a fabric may use the rest for
// TLVs.
const MaxHeader = 256

// Layout of a PROXY protocol v2 header: signature, version and command, family
// and protocol, length of the rest. Sizes and offsets are in bytes.
const (
	headerFixedSize  = 16
	commandOffset    = 12
	familyOffset     = 13
	lengthOffset     = 14
	commandProxy     = 0x21
	familyUDPv4      = 0x12
	addressSizeUDPv4 = 12
)

// headerSizeUDPv4 is the size of a header with IPv4 addresses and no TLVs.
const headerSizeUDPv4 = headerFixedSize + addressSizeUDPv4

// headerPrefixUDPv4 is the constant part of a header with IPv4 addresses and no
// TLVs.
var headerPrefixUDPv4 = append(bytes.Clone(proxyproto.SIGV2), commandProxy, familyUDPv4, 0, addressSizeUDPv4)

var (
	errNotPROXYv2      = errors.New("no PROXY protocol v2 header")
	errHeaderCommand   = errors.New("PROXY header with a command other than PROXY")
	errHeaderTruncated = errors.New("PROXY header is longer than the datagram")
	errHeaderAddresses = errors.New("PROXY header without UDP addresses")
)

// EncodeHeader returns the PROXY header that precedes a frame. It carries IPv6
// addresses unless both addresses are IPv4.
func EncodeHeader(caller, service netip.AddrPort) ([]byte, error) {
	return appendHeader(nil, caller, service)
}

// appendHeader encodes the common IPv4 header directly, because the library
// allocates memory for each address. It uses the library for all others.
func appendHeader(dst []byte, caller, service netip.AddrPort) ([]byte, error) {
	if caller.Addr().Is4() && service.Addr().Is4() {
		src, dest := caller.Addr().As4(), service.Addr().As4()
		dst = append(dst, headerPrefixUDPv4...)
		dst = append(dst, src[:]...)
		dst = append(dst, dest[:]...)
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
// and the bytes after it. TLVs are ignored. It returns a *DecodeError for
// protocol version 1, for the command LOCAL, which has no caller address, for a
// transport other than UDP over IP, and for headers of more than MaxHeader
// bytes.
func DecodeHeader(b []byte) (caller, service netip.AddrPort, rest []byte, err error) {
	n, err := headerSize(b)
	if err != nil {
		return caller, service, nil, err
	}
	if n == headerSizeUDPv4 && b[familyOffset] == familyUDPv4 {
		a := b[headerFixedSize:n]
		return addrPort(a[0:4], a[8:]), addrPort(a[4:8], a[10:]), b[n:], nil
	}
	h, err := proxyproto.Read(bufio.NewReaderSize(bytes.NewReader(b[:n]), n))
	if err != nil {
		return caller, service, nil, &DecodeError{ReasonMalformed, err}
	}
	src, dst, ok := h.UDPAddrs()
	if !ok {
		return caller, service, nil, &DecodeError{ReasonMalformed, errHeaderAddresses}
	}
	return unmapAddrPort(src), unmapAddrPort(dst), b[n:], nil
}

func addrPort(ip, port []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(ip)), binary.BigEndian.Uint16(port))
}

// headerSize returns the size in bytes of the PROXY header at the start of b.
func headerSize(b []byte) (int, error) {
	if len(b) < headerFixedSize || !bytes.HasPrefix(b, proxyproto.SIGV2) {
		return 0, &DecodeError{ReasonMalformed, errNotPROXYv2}
	}
	n := headerFixedSize + int(binary.BigEndian.Uint16(b[lengthOffset:]))
	switch {
	case b[commandOffset] != commandProxy:
		return 0, &DecodeError{ReasonMalformed, errHeaderCommand}
	case n > MaxHeader:
		return 0, &DecodeError{ReasonTooLarge, fmt.Errorf("PROXY header of %d bytes exceeds the limit of %d", n, MaxHeader)}
	case n > len(b):
		return 0, &DecodeError{ReasonMalformed, errHeaderTruncated}
	}
	return n, nil
}

func unmapAddrPort(a *net.UDPAddr) netip.AddrPort {
	ap := a.AddrPort()
	return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
}
