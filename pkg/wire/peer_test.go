package wire_test

import (
	"crypto/aes"
	"crypto/cipher"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"pgregory.net/rapid"

	"ebonypaddle/pkg/wire"
)

// drawFreshnessReport draws a report that fits into a control datagram.
func drawFreshnessReport(t *rapid.T) wire.FreshnessReport {
	report := rapid.Make[wire.FreshnessReport]().Draw(t, "report")
	report.Domains = report.Domains[:min(len(report.Domains), 22)]
	for i := range report.Domains {
		d := &report.Domains[i].Domain
		*d = strings.ToValidUTF8((*d)[:min(len(*d), 20)], "")
	}
	return report
}

// sealedDatagram returns a datagram of n bytes that is sealed with key 1.
func sealedDatagram(t assert.TestingT, n int) []byte {
	block, err := aes.NewCipher(append([]byte{1}, make([]byte, 31)...))
	assert.NilError(t, err)
	aead, err := cipher.NewGCM(block)
	assert.NilError(t, err)
	b := append([]byte{byte(wire.PeerRegistration)}, make([]byte, aead.NonceSize())...)
	return aead.Seal(b, b[1:], make([]byte, n-len(b)-aead.Overhead()), b[:1])
}

func newSealer(t assert.TestingT, key byte) *wire.Sealer {
	s := &wire.Sealer{Rand: rand.NewChaCha8([32]byte{key})}
	secret := make([]byte, 32)
	secret[0] = key
	assert.NilError(t, s.SetKey(secret))
	return s
}

// Guards against accepting a datagram that was sealed with another key,
// truncated, extended or changed in any bit.
func TestPeerRoundTrip(t *testing.T) {
	sealer, foreign := newSealer(t, 1), newSealer(t, 2)
	rapid.Check(t, func(t *rapid.T) {
		want := drawFreshnessReport(t)
		kind := wire.PeerKind(rapid.IntRange(int(wire.PeerHeartbeat), int(wire.PeerMark)).Draw(t, "kind"))
		b, err := sealer.Seal(wire.PeerMsg{Kind: kind, Body: want})
		assert.NilError(t, err)
		k, body, err := sealer.Open(b)
		assert.NilError(t, err)
		assert.Equal(t, k, kind)
		got, err := wire.DecodePeer[wire.FreshnessReport](body)
		assert.NilError(t, err)
		assert.Equal(t, fmt.Sprint(got), fmt.Sprint(want))
		checkForged(t, foreign, b)
		checkForged(t, sealer, b[:rapid.IntRange(0, len(b)-1).Draw(t, "cut")])
		checkForged(t, sealer, append(b, 0))
		b[rapid.IntRange(0, len(b)-1).Draw(t, "byte")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		checkForged(t, sealer, b)
	})
}

func checkForged(t assert.TestingT, sealer *wire.Sealer, b []byte) {
	k, body, err := sealer.Open(b)
	assert.Check(t, cmp.ErrorIs(err, wire.ErrForged))
	assert.Check(t, k == 0 && body == nil)
}

// Guards against unknown kinds and malformed bodies, as instances of another
// version may send them: they must be refused as a whole, not decoded in part.
func TestPeerRefused(t *testing.T) {
	sealer := newSealer(t, 1)
	for _, kind := range []wire.PeerKind{0, wire.PeerMark + 1, 255} {
		b, err := sealer.Seal(wire.PeerMsg{Kind: kind, Body: 1})
		assert.NilError(t, err)
		_, _, err = sealer.Open(b)
		assert.ErrorContains(t, err, "does not exist")
	}
	_, err := sealer.Seal(wire.PeerMsg{Kind: wire.PeerRegistration, Body: make([]byte, wire.MaxPeerBytes)})
	assert.ErrorContains(t, err, "exceed the limit of 1400")
	checkForged(t, sealer, sealedDatagram(t, wire.MaxPeerBytes+1))
	_, _, err = sealer.Open(sealedDatagram(t, wire.MaxPeerBytes))
	assert.NilError(t, err)
	good, err := cbor.Marshal(wire.FreshnessReport{Known: 1, Domains: []wire.DomainAge{{Domain: "a", Age: 2}}})
	assert.NilError(t, err)
	for name, body := range map[string][]byte{
		"empty": nil, "cut": good[:len(good)-1], "trailing byte": append(good[:len(good):len(good)], 0),
		"field missing": {0x83, 1, 2, 3}, "later field of another type": {0x84, 1, 2, 0x61, 'a', 0x80},
		"age over 32 bits": {0x84, 1, 2, 0x1b, 1, 0, 0, 0, 0, 0, 0, 0, 0x80},
	} {
		got, err := wire.DecodePeer[wire.FreshnessReport](body)
		assert.Check(t, cmp.ErrorContains(err, "decode control message"), name)
		assert.Check(t, cmp.DeepEqual(got, wire.FreshnessReport{}), name)
	}
}

// FuzzOpen opens the input as a datagram, which must fail for all but the one
// that was sealed here, and decodes it as a message body, because an instance of
// another version can send any body.
func FuzzOpen(f *testing.F) {
	sealer := newSealer(f, 1)
	report := wire.FreshnessReport{Known: 1, Domains: []wire.DomainAge{{Domain: "a", Age: 2}}}
	good, err := sealer.Seal(wire.PeerMsg{Kind: wire.PeerRegistration, Body: report})
	assert.NilError(f, err)
	body, err := cbor.Marshal(report)
	assert.NilError(f, err)
	f.Add(good)
	f.Add(body)
	f.Fuzz(func(t *testing.T, b []byte) {
		if string(b) != string(good) {
			checkForged(t, sealer, b)
		}
		got, err := wire.DecodePeer[wire.FreshnessReport](b)
		if err != nil {
			assert.DeepEqual(t, got, wire.FreshnessReport{})
			return
		}
		encodedAgain, err := cbor.Marshal(got)
		assert.NilError(t, err)
		decodedAgain, err := wire.DecodePeer[wire.FreshnessReport](encodedAgain)
		assert.NilError(t, err)
		assert.DeepEqual(t, decodedAgain, got)
	})
}
