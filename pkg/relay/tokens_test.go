package relay

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/admin"
	"ebonypaddle/pkg/router"
)

// sharingToken are the IDs of two servers with the same first token.
var sharingToken = [2]router.ServerID{0xf4935071de, 0x4f93507165}

const sharedToken = 0x935071de ^ 0xf4

// addServer adds a server to the balancer of an instance.
func (i *instance) addServer(now time.Time, id router.ServerID, name string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	s := router.Server{ID: id, Service: "s", Domain: "a", Slots: 1, Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), 80)}
	i.Balancer.ApplyServers(now, []router.Change[router.Server]{{Name: name, Rev: 1, Value: s}}, false)
}

func (i *instance) settled() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.Balancer.TokensSettled(time.Now())
}

// holder returns the server that gets packets with sharedToken, 0 for none.
func (i *instance) holder() router.ServerID {
	i.mu.Lock()
	defer i.mu.Unlock()
	return serverOf(i.Balancer, time.Now(), sharedToken)
}

func serverOf(lb *router.Balancer, now time.Time, token uint32) router.ServerID {
	p := router.Packet{Ack: true, Caller: netip.MustParseAddrPort("127.0.0.1:9"), Service: netip.MustParseAddrPort("127.0.0.1:8"), Token: token, Seq: 1}
	return lb.Handle(now, &p).To.Server
}

// settle lets an instance pass for one that others told.
func (i *instance) settle() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.Balancer.SettleTokens()
}

// Guards against an instance that starts and does not learn, or learns wrongly, which of two
// servers holds a token.
func TestTokenHoldersFromOthers(t *testing.T) {
	s := newFakeStore()
	s.change()
	first := startInstance(t, s, "first", 9)
	now := time.Now()
	first.addServer(now.Add(-2*time.Second), sharingToken[0], "one")
	first.addServer(now, sharingToken[1], "two")
	assert.Equal(t, first.holder(), sharingToken[0])
	first.settle()
	second := startInstance(t, s, "second", 5, first.Control)
	second.addServer(now, sharingToken[1], "two")
	second.addServer(now, sharingToken[0], "one")
	waitUntil(t, "the second instance is settled", second.settled)
	assert.Equal(t, second.holder(), sharingToken[0])
}

// Guards against an instance that was told nothing, and after its last request tells others
// that nobody else holds a token.
func TestInstanceThatGaveUpIsNotSettled(t *testing.T) {
	s := newFakeStore()
	v := s.change()
	first := startInstance(t, s, "first", 9)
	second := startInstance(t, s, "second", 5, first.Control)
	for _, i := range []*instance{first, second} {
		waitUntil(t, "the instances have the settings", func() bool { return i.version() == v })
	}
	client, err := newPeerClient()
	assert.NilError(t, err)
	told, complete := second.requestHolders(t.Context(), client)
	assert.Assert(t, !told && !complete)
	assert.Assert(t, !first.settled() && !second.settled())
	first.settle()
	told, complete = second.requestHolders(t.Context(), client)
	assert.Assert(t, told && complete)
}

// third is the ID of a server that shares no token.
const third router.ServerID = 9

// Guards against messages that stop an instance, take its memory, or make it send packets
// of a token to a server that does not have it. A message can at most end in dropped
// packets of tokens that it names.
func FuzzTokens(f *testing.F) {
	codec, err := admin.NewCodec()
	assert.NilError(f, err)
	seed := func(v any) {
		b, err := codec.Marshal(v)
		assert.NilError(f, err)
		f.Add(b)
	}
	seed(&router.TokensRequest{Tokens: []uint32{sharedToken, 7}, Rev: 9})
	seed(&router.TokensResponse{Settled: true, Holders: []router.TokenHolder{{Token: sharedToken, Known: true, Server: sharingToken[1], Age: 3}, {Token: sharedToken}}})
	seed(&router.TokensResponse{Settled: true, Holders: []router.TokenHolder{{Token: uint32(third), Known: true, Server: sharingToken[1]}, {Token: uint32(third) + 1, Known: true, Server: 8}}})
	f.Fuzz(func(t *testing.T, b []byte) {
		now := time.UnixMilli(1_700_000_000_000)
		lb := &router.Balancer{Domain: "a"}
		lb.Start(now)
		i := &instance{Relay: &Relay{Balancer: lb}}
		i.addServer(now, sharingToken[0], "one")
		i.addServer(now, sharingToken[1], "two")
		i.addServer(now, third, "three")
		var req router.TokensRequest
		if codec.Unmarshal(b, &req) == nil {
			res := lb.TokensResponse(now, 1, &req)
			assert.Assert(t, len(res.Holders) <= min(len(req.Tokens), 1024)+1)
		}
		var res router.TokensResponse
		if codec.Unmarshal(b, &res) == nil {
			ignored, _ := lb.ApplyHolders(now, res.Holders)
			assert.Assert(t, ignored <= len(res.Holders))
			lb.Tick(now.Add(time.Second))
			to := serverOf(lb, now.Add(time.Second), sharedToken)
			assert.Assert(t, to == 0 || to == sharingToken[0] || to == sharingToken[1])
			named := slices.ContainsFunc(res.Holders, func(h router.TokenHolder) bool {
				return h.Token == uint32(third) && (!h.Known || h.Server != third && uint32(h.Server)^uint32(h.Server>>32) == uint32(third))
			})
			to = serverOf(lb, now.Add(time.Second), uint32(third))
			assert.Assert(t, to == third || named && to == 0)
			tables := lb.TokensResponse(now, 0, &router.TokensRequest{})
			b, err := codec.Marshal(&tables)
			assert.NilError(t, err)
			assert.Assert(t, len(b) <= maxTokensSize)
			assert.Assert(t, len(tables.Holders) <= len(res.Holders)+1)
			assert.Assert(t, len(lb.TokensRequest(0).Tokens) <= 9)
		}
	})
}
