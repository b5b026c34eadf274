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
	box := &token.Box{Rand: rand.NewChaCha8([32]byte{1})}
	assert.NilError(t, box.SetKeys(m))
	return box
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

// Guards against content that changes when it is sealed and opened, which would
// send a flow to another server than the one it was opened on, and against
// tickets for owners whose address does not fit into a ticket.
func TestRoundTrip(t *testing.T) {
	box, boxWithoutKeys := newBox(t, key(1, start)), newBox(t)
	rapid.Check(t, func(t *rapid.T) {
		at := time.UnixMilli(rapid.Int64().Draw(t, "time"))
		want := rapid.Make[token.Flow]().Draw(t, "flow")
		want.Issued = at
		prefix := rapid.SliceOfN(rapid.Byte(), 0, 9).Draw(t, "prefix")
		tok, err := box.SealFlow(start, prefix, &want)
		assert.NilError(t, err)
		assert.DeepEqual(t, tok[:len(prefix)], prefix)
		assert.Equal(t, len(tok), len(prefix)+token.Size)
		var got token.Flow
		assert.NilError(t, box.OpenFlow(tok[len(prefix):], &got))
		assert.Equal(t, got, want)
		ip, _ := netip.AddrFromSlice(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "ip"))
		ticket := rapid.Make[token.Ticket]().Draw(t, "ticket")
		ticket.Owner, ticket.Expires = netip.AddrPortFrom(ip, rapid.Uint16().Draw(t, "port")), at
		tok, err = box.SealTicket(start, nil, &ticket)
		assert.NilError(t, err)
		var gotTicket token.Ticket
		assert.NilError(t, box.OpenTicket(tok, &gotTicket))
		assert.Equal(t, gotTicket, ticket)
		assert.ErrorIs(t, boxWithoutKeys.OpenTicket(tok, &gotTicket), token.ErrNoKey)
		assert.Equal(t, gotTicket, ticket)
		ticket.Owner = netip.MustParseAddrPort("[::1]:1")
		_, err = box.SealTicket(start, nil, &ticket)
		assert.ErrorContains(t, err, "not an IPv4 address")
	})
}

// Guards against accepting a changed or truncated token or one of the other type,
// with which an attacker could send packets to any server.
func TestForged(t *testing.T) {
	box := newBox(t, key(1, start))
	tok, err := box.SealFlow(start, nil, &token.Flow{Service: 1, Server: 2})
	assert.NilError(t, err)
	var f token.Flow
	for i := range tok {
		bad := append([]byte(nil), tok...)
		bad[i] ^= 1
		assert.Check(t, cmp.ErrorContains(box.OpenFlow(bad, &f), "token"), "byte %d", i)
	}
	for n := range tok {
		assert.Check(t, cmp.ErrorIs(box.OpenFlow(tok[:n], &f), token.ErrMalformed))
	}
	var ticket token.Ticket
	assert.ErrorIs(t, box.OpenTicket(tok, &ticket), token.ErrMalformed)
	assert.Equal(t, f, token.Flow{})
	assert.Equal(t, ticket, token.Ticket{})
}

// Guards against sealing with a key before its SealFrom time: an instance that
// does not have the key yet would refuse the tokens of its peers.
func TestKeyRotation(t *testing.T) {
	old, next := key(1, start), key(2, start.Add(10*time.Second))
	box, boxWithOldKey := newBox(t, old, next), newBox(t, old)
	tok, err := box.SealFlow(start.Add(9*time.Second), nil, &token.Flow{Server: 1})
	assert.NilError(t, err)
	var f token.Flow
	assert.NilError(t, boxWithOldKey.OpenFlow(tok, &f))
	tok, err = box.SealFlow(start.Add(10*time.Second), nil, &token.Flow{Server: 1})
	assert.NilError(t, err)
	assert.ErrorIs(t, boxWithOldKey.OpenFlow(tok, &f), token.ErrNoKey)
	assert.NilError(t, box.OpenFlow(tok, &f))
}

// Guards against tokens that are not recognized as outdated after a key change.
// Flows would keep them until operators remove the old key.
func TestOutdated(t *testing.T) {
	box := newBox(t, key(1, start), key(2, start.Add(10*time.Second)))
	tok, err := box.SealFlow(start, nil, &token.Flow{Server: 1})
	assert.NilError(t, err)
	assert.Assert(t, !box.Outdated(start.Add(9999*time.Millisecond), tok))
	assert.Assert(t, box.Outdated(start.Add(10*time.Second), tok))
	assert.Assert(t, !box.Outdated(start.Add(10*time.Second), nil))
}

// Guards against additional allocations: a token is opened for every packet, and
// one is sealed into a new slice for every new flow.
func TestAllocations(t *testing.T) {
	box := newBox(t, key(1, start))
	f := token.Flow{Service: 1, Server: 2}
	tok, err := box.SealFlow(start, nil, &f)
	assert.NilError(t, err)
	assert.Equal(t, testing.AllocsPerRun(100, func() { _ = box.OpenFlow(tok, &f) }), 0.0)
	assert.Equal(t, testing.AllocsPerRun(100, func() { tok, _ = box.SealFlow(start, tok[:0], &f) }), 0.0)
	assert.Equal(t, testing.AllocsPerRun(100, func() { tok, _ = box.SealFlow(start, nil, &f) }), 1.0)
}

func FuzzOpen(f *testing.F) {
	box := newBox(f, key(1, start))
	tok, err := box.SealFlow(start, nil, &token.Flow{Service: 1, Server: 2})
	assert.NilError(f, err)
	f.Add(tok)
	f.Add([]byte{1, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		var flow token.Flow
		if box.OpenFlow(b, &flow) == nil {
			assert.Equal(t, flow.Server, conf.ServerID(2))
		} else {
			assert.Equal(t, flow, token.Flow{})
		}
		var ticket token.Ticket
		assert.Assert(t, box.OpenTicket(b, &ticket) != nil)
	})
}

func BenchmarkOpenFlow(b *testing.B) {
	box := newBox(b, key(1, start))
	tok, err := box.SealFlow(start, nil, &token.Flow{Service: 1, Server: 2})
	assert.NilError(b, err)
	var f token.Flow
	b.ReportAllocs()
	for b.Loop() {
		if err := box.OpenFlow(tok, &f); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSealFlow seals a token into a new slice, as for a new flow, where the
// slice should be the only allocation, and into a reused one.
func BenchmarkSealFlow(b *testing.B) {
	box := newBox(b, key(1, start))
	f := token.Flow{Service: 1, Server: 2, Issued: start}
	for name, dst := range map[string][]byte{"new": nil, "reused": make([]byte, 0, token.Size)} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := box.SealFlow(start, dst, &f); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
