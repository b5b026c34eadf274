package wire_test

import (
	"bytes"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/wire"
)

// samplePacket returns a data packet of an established flow, with a token of
// the size that package token seals and a body of 256 bytes.
func samplePacket() wire.Packet {
	return wire.Packet{
		Caller: netip.MustParseAddrPort("127.0.0.3:4000"), Service: netip.MustParseAddrPort("127.0.0.9:80"),
		Frame: wire.Frame{
			Kind: wire.KindData, Flow: 1 << 60, Token: bytes.Repeat([]byte{7}, 70), Timeout: 1000,
			Deadline: 1_700_000_000_000, Expires: 1_700_000_000_000, Body: bytes.Repeat([]byte{8}, 256),
			Service: 7, Server: 9, Generation: 3, Boot: 1 << 50, Load: wire.Load{InFlight: 1, Flows: 300, Slots: 2},
		},
	}
}

// Guards against additional allocations per packet, which would cost time in
// the garbage collector. Encode allocates the result and its buffer, Decode the
// token and the body.
func TestAllocations(t *testing.T) {
	p := samplePacket()
	b := encode(t, p)
	assert.Equal(t, testing.AllocsPerRun(1000, func() { _, _ = wire.Encode(&p) }), 2.0)
	assert.Equal(t, testing.AllocsPerRun(1000, func() { _ = wire.Decode(b, &p) }), 2.0)
}

func BenchmarkEncode(b *testing.B) {
	p := samplePacket()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := wire.Encode(&p); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecode(b *testing.B) {
	p := samplePacket()
	dgram, err := wire.Encode(&p)
	assert.NilError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		if err := wire.Decode(dgram, &p); err != nil {
			b.Fatal(err)
		}
	}
}
