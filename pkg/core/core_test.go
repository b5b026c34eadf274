package core

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/wire"
)

// Guards against handling a packet as a caller's if it comes from a server whose
// address is not in the settings yet, or no longer. Frames to callers were then
// sent to that server.
func TestUnknownServerIsNotTheFabric(t *testing.T) {
	c := newTestCore(t)
	unknown, service := netip.MustParseAddrPort("127.0.1.2:9000"), netip.MustParseAddrPort("127.0.2.1:7000")
	push := wire.Packet{Service: service, Via: unknown, Frame: wire.Frame{
		Kind: wire.KindData, Flow: 3, Service: 7, Server: 2, Generation: 1, Boot: 5,
	}}
	assert.Equal(t, len(c.Handle(startTime, unknown, &push)), 0)
	assert.Equal(t, c.Stats.Dropped.Get(wire.ReasonUnconfirmed), uint64(1))

	push.Via, push.Frame.Server, push.Frame.Boot = serverAddr, 1, 1
	for _, s := range c.Handle(startTime, serverAddr, &push) {
		assert.Assert(t, s.To != unknown)
	}
}
