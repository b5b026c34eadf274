package core

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wire"
)

var (
	startTime  = time.UnixMilli(1_700_000_000_000)
	serverAddr = netip.MustParseAddrPort("127.0.1.1:9000")
)

// newTestCore returns an instance in domain a that is fresh and has confirmed a
// server in domain b.
func newTestCore(t *testing.T) *Core {
	t.Helper()
	id, addr := conf.ServiceID(7), netip.MustParseAddrPort("127.0.2.1:7000")
	entry := conf.Entry{Name: "a0", Peer: netip.MustParseAddrPort("127.0.0.1:7001")}
	c := &Core{Entry: entry, Half: "k", Domain: "a", Seed: 1, Nonces: rand.NewChaCha8([32]byte{})}
	c.Start(startTime)
	_, _, err := c.ApplySettings(startTime, startTime, &conf.Snapshot{
		Rev: 1,
		Nodes: map[string]conf.Node{
			"/": {}, "/k": {}, "/k/order": {Values: conf.Values{ServiceID: &id, Address: &addr}},
		},
		Domains: map[string]conf.Domain{
			"a": {Name: "a", Half: "k", Mark: conf.MarkIn, Entries: []conf.Entry{entry}},
			"b": {Name: "b", Half: "k", Mark: conf.MarkIn},
		},
		Servers: map[string]conf.Server{
			"s1": {ID: 1, Service: "/k/order", Domain: "b", Addr: serverAddr, Generation: 1, Mark: conf.MarkIn},
		},
		Keys: map[string]conf.Key{"k1": {ID: 1, Secret: make([]byte, 32)}},
	})
	assert.NilError(t, err)
	confirmServer(t, c, startTime)
	return c
}

// confirmServer passes the server's answer to a probe to the instance.
func confirmServer(t *testing.T, c *Core, now time.Time) {
	t.Helper()
	c.HandleServer(now, serverAddr, &wire.Packet{Frame: wire.Frame{Kind: wire.KindProbed, Service: 7, Server: 1, Generation: 1, Boot: 1}})
}

// Guards against frames to a server that must not get them, because of its mark,
// identity or the freshness of the instance. The tables do not check these when
// they send a frame later, such as the cancellation of a request.
func TestForbiddenSends(t *testing.T) {
	for _, tc := range []struct {
		name   string
		after  time.Duration
		change func(c *Core)
		frame  wire.Frame
		want   wire.Reason
	}{
		{"allowed", 0, nil, wire.Frame{Kind: wire.KindCancel, Server: 1, Generation: 1}, wire.ReasonNone},
		{"domain out", 0, func(c *Core) { c.domainOut["b"] = true }, wire.Frame{Kind: wire.KindCancel, Server: 1, Generation: 1}, wire.ReasonDomainOut},
		{"probe to domain out", 0, func(c *Core) { c.domainOut["b"] = true }, wire.Frame{Kind: wire.KindProbe, Server: 1, Generation: 1}, wire.ReasonDomainOut},
		{"replaced", 0, nil, wire.Frame{Kind: wire.KindCancel, Server: 1, Generation: 2}, wire.ReasonServerGone},
		{"removed", 0, nil, wire.Frame{Kind: wire.KindCancel, Server: 2, Generation: 1}, wire.ReasonServerGone},
		{"unconfirmed", 2 * time.Second, nil, wire.Frame{Kind: wire.KindCancel, Server: 1, Generation: 1}, wire.ReasonUnconfirmed},
		{"not fresh", 3 * time.Second, nil, wire.Frame{Kind: wire.KindCancel, Server: 1, Generation: 1}, wire.ReasonNotFresh},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newTestCore(t)
			if tc.change != nil {
				tc.change(c)
			}
			c.out.Reset()
			c.out.Server(serverAddr, &wire.Packet{Frame: tc.frame})
			sent := len(c.allowedSends(startTime.Add(tc.after))) == 1
			assert.Equal(t, sent, tc.want == wire.ReasonNone)
			if !sent && tc.frame.Kind != wire.KindProbe {
				assert.Equal(t, c.Stats.Dropped.Get(tc.want), uint64(1))
			}
		})
	}
}

// Guards against a frame that a paused instance delivers after the settings may
// have changed. The frame must expire when the instance is no longer fresh, even
// if the caller still waits.
func TestFramesExpireWithFreshness(t *testing.T) {
	c := newTestCore(t)
	now := startTime
	for now.Before(startTime.Add(2 * time.Second)) {
		now = now.Add(100 * time.Millisecond)
		c.Tick(now)
		confirmServer(t, c, now)
	}
	c.out.Reset()
	c.out.Server(serverAddr, &wire.Packet{Frame: wire.Frame{Kind: wire.KindData, Server: 1, Generation: 1}})
	s := c.allowedSends(now)
	assert.Equal(t, len(s), 1)
	f := s[0].Packet.Frame
	assert.Assert(t, !f.Expired(now))
	assert.Assert(t, f.Expired(startTime.Add(defaultFreshFor)), "expires %d", f.Expires)
}
