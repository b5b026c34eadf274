package relay

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/admin"
	"ebonypaddle/pkg/router"
)

// sharing are the IDs of two servers with the same first token.
var sharing = [2]router.ServerID{0xf4935071de, 0x4f93507165}

const sharedToken = 0x935071de ^ 0xf4

// addServer adds a server to the balancer of an instance.
func (i *instance) addServer(id router.ServerID, name string, full bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	s := router.Server{ID: id, Service: "s", Domain: "a", Slots: 1, Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), 80)}
	i.Balancer.ApplyServers(time.Now(), []router.Change[router.Server]{{Name: name, Rev: 1, Value: s}}, full)
}

func (i *instance) settled() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.Balancer.TokensSettled()
}

// holder returns the server that gets packets with sharedToken, 0 for none.
func (i *instance) holder() router.ServerID {
	i.mu.Lock()
	defer i.mu.Unlock()
	p := router.Packet{Ack: true, Caller: netip.MustParseAddrPort("127.0.0.1:9"), Service: netip.MustParseAddrPort("127.0.0.1:8"), Token: sharedToken, Seq: 1}
	return i.Balancer.Handle(time.Now(), &p).To.Server
}

// Guards against an instance that starts and does not learn, or learns wrongly, which of two
// servers holds a token, and against one that never answers others.
func TestTokenHoldersFromOthers(t *testing.T) {
	s := newFakeStore()
	s.change()
	first := startInstance(t, s, "first", 9)
	waitUntil(t, "the first instance is settled", first.settled)
	first.addServer(sharing[0], "one", false)
	time.Sleep(1100 * time.Millisecond) // the other one comes later
	first.addServer(sharing[1], "two", false)
	assert.Equal(t, first.holder(), sharing[0])
	second := startInstance(t, s, "second", 5, first.Control)
	second.addServer(sharing[1], "two", false)
	second.addServer(sharing[0], "one", false)
	assert.Equal(t, second.holder(), router.ServerID(0))
	waitUntil(t, "the second instance is settled", second.settled)
	assert.Equal(t, second.holder(), sharing[0])
}

// Guards against messages that stop an instance, take its memory, or make it send packets
// of a token to a server that does not have it.
func FuzzTokens(f *testing.F) {
	codec, err := admin.NewCodec()
	assert.NilError(f, err)
	seed := func(v any) {
		b, err := codec.Marshal(v)
		assert.NilError(f, err)
		f.Add(b)
	}
	seed(&router.TokensRequest{Tokens: []uint32{sharedToken, 7}, Rev: 9})
	seed(&router.TokensResponse{Settled: true, Holders: []router.TokenHolder{{Token: sharedToken, Known: true, Server: sharing[1], Age: 3}, {Token: sharedToken}}})
	f.Fuzz(func(t *testing.T, b []byte) {
		now := time.UnixMilli(1_700_000_000_000)
		lb := &router.Balancer{Domain: "a"}
		lb.Start(now)
		i := &instance{Relay: &Relay{Balancer: lb}}
		i.addServer(sharing[0], "one", true)
		i.addServer(sharing[1], "two", false)
		var req router.TokensRequest
		if codec.Unmarshal(b, &req) == nil {
			res := lb.TokensResponse(now, 1, &req)
			assert.Assert(t, len(res.Holders) <= len(req.Tokens)+1)
		}
		var res router.TokensResponse
		if codec.Unmarshal(b, &res) == nil {
			ignored := lb.ApplyHolders(now, res.Holders)
			assert.Assert(t, ignored <= len(res.Holders))
			lb.Tick(now.Add(time.Second))
			p := router.Packet{Ack: true, Caller: netip.MustParseAddrPort("127.0.0.1:9"), Service: netip.MustParseAddrPort("127.0.0.1:8"), Token: sharedToken, Seq: 1}
			to := lb.Handle(now.Add(time.Second), &p).To.Server
			assert.Assert(t, to == 0 || to == sharing[0] || to == sharing[1])
		}
	})
}
