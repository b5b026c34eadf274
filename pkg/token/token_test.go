package token_test

import (
	"flag"
	"math/rand/v2"
	"net/netip"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"pgregory.net/rapid"

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
	x := &token.Box{Rand: rand.NewChaCha8([32]byte{1})}
	assert.NilError(t, x.SetKeys(m))
	return x
}

func key(id uint8, from time.Time) conf.Key {
	secret := make([]byte, 32)
	secret[0] = id
	return conf.Key{ID: id, Secret: secret, SealFrom: from}
}

func TestMain(m *testing.M) {
	for k, v := range map[string]string{"rapid.seed": "13", "rapid.checks": "500", "rapid.nofailfile": "true"} {
		if err := flag.Set(k, v); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Any content must come back as it was sealed, or a flow ends on another server
// than it was opened on. An owner that a ticket cannot name is refused.
func TestRoundTrip(t *testing.T) {
	x, none := newBox(t, key(1, start)), newBox(t)
	rapid.Check(t, func(t *rapid.T) {
		at := time.UnixMilli(rapid.Int64().Draw(t, "time"))
		want := rapid.Make[token.Flow]().Draw(t, "flow")
		want.Issued = at
		prefix := rapid.SliceOfN(rapid.Byte(), 0, 9).Draw(t, "prefix")
		tok, err := x.SealFlow(start, prefix, &want)
		assert.NilError(t, err)
		assert.DeepEqual(t, tok[:len(prefix)], prefix)
		assert.Equal(t, len(tok), len(prefix)+token.Size)
		var got token.Flow
		assert.NilError(t, x.OpenFlow(tok[len(prefix):], &got))
		assert.Equal(t, got, want)
		ip, _ := netip.AddrFromSlice(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "ip"))
		ticket := rapid.Make[token.Ticket]().Draw(t, "ticket")
		ticket.Owner, ticket.Expires = netip.AddrPortFrom(ip, rapid.Uint16().Draw(t, "port")), at
		tok, err = x.SealTicket(start, nil, &ticket)
		assert.NilError(t, err)
		var back token.Ticket
		assert.NilError(t, x.OpenTicket(tok, &back))
		assert.Equal(t, back, ticket)
		assert.ErrorIs(t, none.OpenTicket(tok, &back), token.ErrNoKey)
		assert.Equal(t, back, ticket)
		ticket.Owner = netip.MustParseAddrPort("[::1]:1")
		_, err = x.SealTicket(start, nil, &ticket)
		assert.ErrorContains(t, err, "not an IPv4 address")
	})
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
	assert.Equal(t, f, token.Flow{})
	assert.Equal(t, tk, token.Ticket{})
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
		} else {
			assert.Equal(t, fl, token.Flow{})
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
