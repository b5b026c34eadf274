package token_test

import (
	"crypto/rand"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/token"
)

var start = time.UnixMilli(1_700_000_000_000)

func newBox(t testing.TB, keys ...conf.Key) *token.Box {
	t.Helper()
	m := map[string]conf.Key{}
	for _, k := range keys {
		m[string(rune('a'+k.ID))] = k
	}
	x := &token.Box{Rand: rand.Reader}
	assert.NilError(t, x.SetKeys(m))
	return x
}

func key(id uint8, from time.Time) conf.Key {
	secret := make([]byte, 32)
	secret[0] = id
	return conf.Key{ID: id, Secret: secret, SealFrom: from}
}

func TestFlowRoundTrip(t *testing.T) {
	x := newBox(t, key(1, start))
	want := token.Flow{Service: 7, Server: 9, Generation: 3, Flow: 1 << 60, Issued: start}
	tok, err := x.SealFlow(start, nil, &want)
	assert.NilError(t, err)
	assert.Equal(t, len(tok), token.Size)
	var got token.Flow
	assert.NilError(t, x.OpenFlow(tok, &got))
	assert.DeepEqual(t, got, want)
}

func TestTicketRoundTrip(t *testing.T) {
	x := newBox(t, key(1, start))
	want := token.Ticket{
		Service: 7, Owner: netip.MustParseAddrPort("127.0.0.1:4000"),
		Incarnation: 11, Nonce: 12, Expires: start.Add(time.Minute),
	}
	tok, err := x.SealTicket(start, nil, &want)
	assert.NilError(t, err)
	var got token.Ticket
	assert.NilError(t, x.OpenTicket(tok, &got))
	assert.Equal(t, got, want)
}

// A changed or foreign token must not open: it would route a packet to a
// server of the forger's choice.
func TestForged(t *testing.T) {
	x := newBox(t, key(1, start))
	tok, err := x.SealFlow(start, nil, &token.Flow{Service: 1, Server: 2})
	assert.NilError(t, err)
	var f token.Flow
	for i := range tok {
		bad := append([]byte(nil), tok...)
		bad[i] ^= 1
		assert.Check(t, cmp.ErrorContains(x.OpenFlow(bad, &f), "token"), "byte %d", i)
	}
	for n := range tok {
		assert.Check(t, cmp.ErrorIs(x.OpenFlow(tok[:n], &f), token.ErrMalformed))
	}
	var tk token.Ticket
	assert.ErrorIs(t, x.OpenTicket(tok, &tk), token.ErrMalformed)
}

// A key that is not due must open but not seal, or an instance that has not
// heard of it would refuse the tokens of its peers.
func TestKeyRotation(t *testing.T) {
	old, next := key(1, start), key(2, start.Add(10*time.Second))
	x, late := newBox(t, old, next), newBox(t, old)
	tok, err := x.SealFlow(start.Add(9*time.Second), nil, &token.Flow{Server: 1})
	assert.NilError(t, err)
	var f token.Flow
	assert.NilError(t, late.OpenFlow(tok, &f))
	tok, err = x.SealFlow(start.Add(10*time.Second), nil, &token.Flow{Server: 1})
	assert.NilError(t, err)
	assert.ErrorIs(t, late.OpenFlow(tok, &f), token.ErrNoKey)
	assert.NilError(t, x.OpenFlow(tok, &f))
}

// Flows must move to the new key before operators remove the old one.
func TestOutdated(t *testing.T) {
	x := newBox(t, key(1, start), key(2, start.Add(10*time.Second)))
	tok, err := x.SealFlow(start, nil, &token.Flow{Server: 1})
	assert.NilError(t, err)
	assert.Assert(t, !x.Outdated(start.Add(9999*time.Millisecond), tok))
	assert.Assert(t, x.Outdated(start.Add(10*time.Second), tok))
	assert.Assert(t, !x.Outdated(start.Add(10*time.Second), nil))
}

// Every packet opens a token, every new flow seals one into a new slice.
func TestAllocations(t *testing.T) {
	x := newBox(t, key(1, start))
	f := token.Flow{Service: 1, Server: 2}
	tok, err := x.SealFlow(start, nil, &f)
	assert.NilError(t, err)
	assert.Equal(t, testing.AllocsPerRun(100, func() { _ = x.OpenFlow(tok, &f) }), 0.0)
	assert.Equal(t, testing.AllocsPerRun(100, func() { tok, _ = x.SealFlow(start, tok[:0], &f) }), 0.0)
	assert.Equal(t, testing.AllocsPerRun(100, func() { tok, _ = x.SealFlow(start, nil, &f) }), 1.0)
}

func FuzzOpen(f *testing.F) {
	x := newBox(f, key(1, start))
	tok, err := x.SealFlow(start, nil, &token.Flow{Service: 1, Server: 2})
	assert.NilError(f, err)
	f.Add(tok)
	f.Add([]byte{1, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		var fl token.Flow
		if x.OpenFlow(b, &fl) == nil {
			assert.Equal(t, fl.Server, conf.ServerID(2))
		}
		var tk token.Ticket
		assert.Assert(t, x.OpenTicket(b, &tk) != nil)
	})
}

func BenchmarkOpenFlow(b *testing.B) {
	x := newBox(b, key(1, start))
	tok, err := x.SealFlow(start, nil, &token.Flow{Service: 1, Server: 2})
	assert.NilError(b, err)
	var f token.Flow
	b.ReportAllocs()
	for b.Loop() {
		if err := x.OpenFlow(tok, &f); err != nil {
			b.Fatal(err)
		}
	}
}

// A new flow gets its token in a new slice, which should be the only one.
func BenchmarkSealFlow(b *testing.B) {
	x := newBox(b, key(1, start))
	f := token.Flow{Service: 1, Server: 2, Issued: start}
	for name, dst := range map[string][]byte{"new": nil, "reused": make([]byte, 0, token.Size)} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := x.SealFlow(start, dst, &f); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
