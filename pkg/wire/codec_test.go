package wire_test

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"flag"
	"math"
	"net/netip"
	"os"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/pires/go-proxyproto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"pgregory.net/rapid"

	"ebonypaddle/pkg/wire"
)

func TestMain(m *testing.M) {
	for k, v := range map[string]string{"rapid.seed": "12", "rapid.checks": "500", "rapid.nofailfile": "true"} {
		if err := flag.Set(k, v); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func encode(t assert.TestingT, p wire.Packet) []byte {
	b, err := wire.Encode(&p)
	assert.NilError(t, err)
	return b
}

// checkRefused decodes b into a packet with other content, and checks the
// reason of the error and that the packet is unchanged.
func checkRefused(t assert.TestingT, b []byte, reason wire.Reason, context ...any) {
	want := samplePacket()
	want.Caller, want.Service, want.Frame.Boot = want.Service, want.Caller, 99
	got := want
	err := wire.Decode(b, &got)
	var de *wire.DecodeError
	assert.Assert(t, errors.As(err, &de), "%v %v", err, context)
	assert.Check(t, cmp.Equal(de.Reason, reason), "%v %v", err, context)
	checkEqual(t, got, want)
}

func checkEqual(t assert.TestingT, got, want wire.Packet) {
	assert.Equal(t, got.Caller, want.Caller)
	assert.Equal(t, got.Service, want.Service)
	assert.Equal(t, got.Via, want.Via)
	assert.DeepEqual(t, got.Frame, want.Frame)
}

// proxyHeader returns a PROXY v2 header with the given command and family bytes
// and n zero bytes of addresses and TLVs.
func proxyHeader(command, family byte, n int) []byte {
	b := append([]byte("\r\n\r\n\x00\r\nQUIT\n"), command, family)
	return append(binary.BigEndian.AppendUint16(b, uint16(n)), make([]byte, n)...)
}

// Guards against headers that are accepted although they carry no caller
// address or can be read in different ways: the packet would be handled under a
// wrong address.
func TestRefusedHeader(t *testing.T) {
	frame := encode(t, samplePacket())[28:]
	for name, tc := range map[string]struct {
		head       []byte
		wantReason wire.Reason
	}{
		"no header":               {nil, wire.ReasonMalformed},
		"signature":               {append([]byte{'\n'}, proxyHeader(0x21, 0x12, 12)[1:]...), wire.ReasonMalformed},
		"v1":                      {[]byte("PROXY TCP4 127.0.0.3 127.0.0.9 4000 80\r\n"), wire.ReasonMalformed},
		"version 1":               {proxyHeader(0x11, 0x12, 12), wire.ReasonMalformed},
		"local":                   {proxyHeader(0x20, 0x12, 12), wire.ReasonMalformed},
		"local without addresses": {proxyHeader(0x20, 0, 0), wire.ReasonMalformed},
		"command 2":               {proxyHeader(0x22, 0x12, 12), wire.ReasonMalformed},
		"tcp":                     {proxyHeader(0x21, 0x11, 12), wire.ReasonMalformed},
		"unix":                    {proxyHeader(0x21, 0x32, 216), wire.ReasonMalformed},
		"family 4":                {proxyHeader(0x21, 0x42, 12), wire.ReasonMalformed},
		"short v4":                {proxyHeader(0x21, 0x12, 11), wire.ReasonMalformed},
		"short v6":                {proxyHeader(0x21, 0x22, 35), wire.ReasonMalformed},
		"oversized":               {proxyHeader(0x21, 0x12, wire.MaxHeader-15), wire.ReasonTooLarge},
	} {
		t.Run(name, func(t *testing.T) { checkRefused(t, append(tc.head, frame...), tc.wantReason) })
	}
	t.Run("largest with TLVs", func(t *testing.T) {
		got, want := wire.Packet{}, samplePacket()
		assert.NilError(t, wire.Decode(append(proxyHeader(0x21, 0x12, wire.MaxHeader-16), frame...), &got))
		assert.DeepEqual(t, got.Frame, want.Frame)
		assert.Equal(t, got.Caller.String(), "0.0.0.0:0")
	})
}

// datagramWithField returns the encoded sample packet with one frame field
// replaced by v.
func datagramWithField(t assert.TestingT, field int, v any) []byte {
	b := encode(t, samplePacket())
	var fields []any
	assert.NilError(t, cbor.Unmarshal(b[28:], &fields))
	fields[field] = v
	body, err := cbor.Marshal(fields)
	assert.NilError(t, err)
	return append(b[:28], body...)
}

// Guards against frames with fields out of range. An invalid reason would index
// a counter table out of bounds and panic, and a truncated request identifier
// would identify another request.
func TestRefusedFrame(t *testing.T) {
	const kind, tok, id, part, parts, outcome, reason, generation = 0, 2, 3, 5, 6, 10, 11, 15
	mal, big := wire.ReasonMalformed, wire.ReasonTooLarge
	for name, tc := range map[string]struct {
		field      int
		value      any
		wantReason wire.Reason
	}{
		"kind 0":             {kind, 0, mal},
		"kind undefined":     {kind, wire.KindProbed + 1, mal},
		"kind 256":           {kind, 256, mal},
		"kind text":          {kind, "data", mal},
		"outcome undefined":  {outcome, wire.OutcomeUnknown + 1, mal},
		"reason undefined":   {reason, wire.ReasonCount, mal},
		"generation 2^32":    {generation, uint64(math.MaxUint32) + 1, mal},
		"generation -1":      {generation, -1, mal},
		"token too large":    {tok, make([]byte, wire.MaxToken+1), big},
		"identifier short":   {id, make([]byte, 15), mal},
		"identifier long":    {id, make([]byte, 17), mal},
		"identifier null":    {id, nil, mal},
		"identifier array":   {id, make([]uint16, 16), mal},
		"part without parts": {part, 1, mal},
		"too many parts":     {parts, wire.MaxParts + 1, big},
		"tag":                {tok, cbor.Tag{Number: 2, Content: []byte{1}}, mal},
		"body too large":     {12, make([]byte, wire.MaxFrame), big},
	} {
		t.Run(name, func(t *testing.T) { checkRefused(t, datagramWithField(t, tc.field, tc.value), tc.wantReason) })
	}
	good := encode(t, samplePacket())
	for n := range good {
		checkRefused(t, good[:n], mal, "first bytes:", n)
	}
	checkRefused(t, append(good, 0), mal, "trailing byte")
	checkRefused(t, append(good[:28:28], 0xf6), mal, "null frame")
	checkRefused(t, append(good[:28:28], append([]byte{0x92}, good[29:len(good)-1]...)...), mal, "field missing")
}

func drawAddr(t *rapid.T, name string) netip.AddrPort {
	n := rapid.SampledFrom([]int{4, 16}).Draw(t, name+"Len")
	a, _ := netip.AddrFromSlice(rapid.SliceOfN(rapid.Byte(), n, n).Draw(t, name))
	return netip.AddrPortFrom(a.Unmap(), rapid.Uint16().Draw(t, name+"Port"))
}

// drawFrame draws a frame and limits each field to its valid range. Token and
// Body are nil rather than empty, because an empty slice is decoded as nil.
func drawFrame(t *rapid.T) wire.Frame {
	f := rapid.Make[wire.Frame]().Draw(t, "frame")
	f.Kind = 1 + f.Kind%wire.KindProbed
	f.Outcome %= wire.OutcomeUnknown + 1
	f.Reason %= wire.Reason(wire.ReasonCount)
	f.Parts %= wire.MaxParts + 1
	f.Part %= max(f.Parts, 1)
	f.Token, f.Body = nil, nil
	if n := rapid.IntRange(0, wire.MaxToken).Draw(t, "token"); n > 0 {
		f.Token = bytes.Repeat([]byte{byte(n)}, n)
	}
	if n := rapid.IntRange(0, wire.MaxBody).Draw(t, "body"); n > 0 {
		f.Body = bytes.Repeat([]byte{byte(n)}, n)
	}
	return f
}

// Guards against a nonstandard header. IPv4 headers are encoded and decoded by
// code of this package, so a round trip alone would not find a wrong layout; the
// test parses them with an independent implementation.
func TestHeaderIsStandard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		caller, service := drawAddr(t, "caller"), drawAddr(t, "service")
		b, err := wire.EncodeHeader(caller, service)
		assert.NilError(t, err)
		h, err := proxyproto.Read(bufio.NewReader(bytes.NewReader(b)))
		assert.NilError(t, err)
		src, dst, ok := h.UDPAddrs()
		assert.Assert(t, ok && h.Version == 2 && h.Command == proxyproto.PROXY)
		assert.Equal(t, src.AddrPort().Addr().Unmap(), caller.Addr())
		assert.Equal(t, dst.AddrPort().Addr().Unmap(), service.Addr())
		assert.Equal(t, src.AddrPort().Port(), caller.Port())
		assert.Equal(t, dst.AddrPort().Port(), service.Port())
	})
}

// Guards against packets that change when they are encoded and decoded, for all
// mixes of IPv4 and IPv6 addresses, and against truncated datagrams that are
// accepted.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := wire.Packet{Caller: drawAddr(t, "caller"), Service: drawAddr(t, "service"), Frame: drawFrame(t)}
		b := encode(t, want)
		var got wire.Packet
		assert.NilError(t, wire.Decode(b, &got))
		checkEqual(t, got, want)
		// The receiver reuses its buffer while tables hold the decoded slices.
		clear(b)
		assert.Assert(t, bytes.Equal(got.Frame.Body, want.Frame.Body) && bytes.Equal(got.Frame.Token, want.Frame.Token))
		b = encode(t, want)
		checkRefused(t, b[:rapid.IntRange(0, len(b)-1).Draw(t, "cut")], wire.ReasonMalformed)
	})
}

// checkDecode checks what must hold for any input: either decoding fails and
// leaves the packet unchanged, or the decoded packet is the same after another
// round trip.
func checkDecode(t *testing.T, b []byte) {
	p := samplePacket()
	var de *wire.DecodeError
	if err := wire.Decode(b, &p); errors.As(err, &de) {
		assert.Assert(t, de.Reason == wire.ReasonMalformed || de.Reason == wire.ReasonTooLarge)
		checkRefused(t, b, de.Reason)
		return
	}
	assert.Assert(t, p.Frame.Reason.String() != "invalid" && p.Frame.Outcome.String() != "invalid")
	again, err := wire.Encode(&p)
	if err != nil { // A field encoded as null takes less space than its zero value.
		assert.Assert(t, len(b) > wire.MaxFrame-16, "%v", err)
		return
	}
	var q wire.Packet
	assert.NilError(t, wire.Decode(again, &q))
	checkEqual(t, q, p)
}

func FuzzDecode(f *testing.F) {
	good := encode(f, samplePacket())
	f.Add(good)
	f.Add(append(proxyHeader(0x21, 0x22, 36), good[28:]...))
	f.Add(proxyHeader(0x20, 0, 0))
	f.Add([]byte("PROXY UNKNOWN\r\n"))
	f.Fuzz(checkDecode)
}

func FuzzDecodeFrame(f *testing.F) {
	head := encode(f, samplePacket())[:28]
	f.Add(encode(f, samplePacket())[28:])
	f.Add([]byte{0xf6})
	f.Add(bytes.Repeat([]byte{0x81}, 64))
	f.Fuzz(func(t *testing.T, b []byte) { checkDecode(t, slices.Concat(head, b)) })
}
