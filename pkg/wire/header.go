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
	lengthAt     = 14
	commandProxy = 0x21
)

var (
	errNoHeader  = errors.New("no PROXY protocol v2 header")
	errCommand   = errors.New("PROXY header with a command other than PROXY")
	errShort     = errors.New("PROXY header is longer than the datagram")
	errAddresses = errors.New("PROXY header without UDP addresses")
)

// EncodeHeader returns the PROXY header that precedes a frame. It carries IPv6
// addresses unless both addresses are IPv4.
func EncodeHeader(caller, service netip.AddrPort) ([]byte, error) {
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
	return b, nil
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
