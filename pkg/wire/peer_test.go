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

// drawHint draws a report that fits into a datagram.
func drawHint(t *rapid.T) wire.FreshnessReport {
	h := rapid.Make[wire.FreshnessReport]().Draw(t, "hint")
	h.Domains = h.Domains[:min(len(h.Domains), 22)]
	for i := range h.Domains {
		d := &h.Domains[i].Domain
		*d = strings.ToValidUTF8((*d)[:min(len(*d), 20)], "")
	}
	return h
}

// sealed returns a datagram of n bytes that authenticates under key 1.
func sealed(t assert.TestingT, n int) []byte {
	block, err := aes.NewCipher(append([]byte{1}, make([]byte, 31)...))
	assert.NilError(t, err)
	g, err := cipher.NewGCM(block)
	assert.NilError(t, err)
	b := append([]byte{byte(wire.PeerRegistration)}, make([]byte, g.NonceSize())...)
	return g.Seal(b, b[1:], make([]byte, n-len(b)-g.Overhead()), b[:1])
}

func newSealer(t assert.TestingT, key byte) *wire.Sealer {
	s := &wire.Sealer{Rand: rand.NewChaCha8([32]byte{key})}
	secret := make([]byte, 32)
	secret[0] = key
	assert.NilError(t, s.SetKey(secret))
	return s
}

// Only a datagram that a key holder sealed, as it was sealed, may be acted on.
func TestPeerRoundTrip(t *testing.T) {
	x, foreign := newSealer(t, 1), newSealer(t, 2)
	rapid.Check(t, func(t *rapid.T) {
		want := drawHint(t)
		kind := wire.PeerKind(rapid.IntRange(int(wire.PeerHeartbeat), int(wire.PeerMark)).Draw(t, "kind"))
		b, err := x.Seal(wire.PeerMsg{Kind: kind, Body: want})
		assert.NilError(t, err)
		k, body, err := x.Open(b)
		assert.NilError(t, err)
		assert.Equal(t, k, kind)
		got, err := wire.DecodePeer[wire.FreshnessReport](body)
		assert.NilError(t, err)
		assert.Equal(t, fmt.Sprint(got), fmt.Sprint(want))
		checkForged(t, foreign, b)
		checkForged(t, x, b[:rapid.IntRange(0, len(b)-1).Draw(t, "cut")])
		checkForged(t, x, append(b, 0))
		b[rapid.IntRange(0, len(b)-1).Draw(t, "byte")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		checkForged(t, x, b)
	})
}

func checkForged(t assert.TestingT, x *wire.Sealer, b []byte) {
	k, body, err := x.Open(b)
	assert.Check(t, cmp.ErrorIs(err, wire.ErrForged))
	assert.Check(t, k == 0 && body == nil)
}

// An instance of another version may send kinds and bodies that this one does
// not know; none of them may take effect in part.
func TestPeerRefused(t *testing.T) {
	x := newSealer(t, 1)
	for _, kind := range []wire.PeerKind{0, wire.PeerMark + 1, 255} {
		b, err := x.Seal(wire.PeerMsg{Kind: kind, Body: 1})
		assert.NilError(t, err)
		_, _, err = x.Open(b)
		assert.ErrorContains(t, err, "does not exist")
	}
	_, err := x.Seal(wire.PeerMsg{Kind: wire.PeerRegistration, Body: make([]byte, wire.MaxPeer)})
	assert.ErrorContains(t, err, "exceed the limit of 1400")
	checkForged(t, x, sealed(t, wire.MaxPeer+1))
	_, _, err = x.Open(sealed(t, wire.MaxPeer))
	assert.NilError(t, err)
	good, err := cbor.Marshal(wire.FreshnessReport{Known: 1, Domains: []wire.DomainAge{{Domain: "a", Age: 2}}})
	assert.NilError(t, err)
	for name, body := range map[string][]byte{
		"empty": nil, "cut": good[:len(good)-1], "trailing byte": append(good[:len(good):len(good)], 0),
		"field missing": {0x83, 1, 2, 3}, "later field of another type": {0x84, 1, 2, 0x61, 'a', 0x80},
		"age over 32 bits": {0x84, 1, 2, 0x1b, 1, 0, 0, 0, 0, 0, 0, 0, 0x80},
	} {
		h, err := wire.DecodePeer[wire.FreshnessReport](body)
		assert.Check(t, cmp.ErrorContains(err, "decode control message"), name)
		assert.Check(t, cmp.DeepEqual(h, wire.FreshnessReport{}), name)
	}
}

// FuzzOpen opens the input as a datagram, which only the sealed one passes, and
// decodes it as the body of a key holder that runs another version.
func FuzzOpen(f *testing.F) {
	x := newSealer(f, 1)
	hint := wire.FreshnessReport{Known: 1, Domains: []wire.DomainAge{{Domain: "a", Age: 2}}}
	good, err := x.Seal(wire.PeerMsg{Kind: wire.PeerRegistration, Body: hint})
	assert.NilError(f, err)
	body, err := cbor.Marshal(hint)
	assert.NilError(f, err)
	f.Add(good)
	f.Add(body)
	f.Fuzz(func(t *testing.T, b []byte) {
		if string(b) != string(good) {
			checkForged(t, x, b)
		}
		h, err := wire.DecodePeer[wire.FreshnessReport](b)
		if err != nil {
			assert.DeepEqual(t, h, wire.FreshnessReport{})
			return
		}
		again, err := cbor.Marshal(h)
		assert.NilError(t, err)
		h2, err := wire.DecodePeer[wire.FreshnessReport](again)
		assert.NilError(t, err)
		assert.DeepEqual(t, h2, h)
	})
}
