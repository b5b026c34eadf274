package flow_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/flow"
	"ebonypaddle/pkg/wire"
)

// Guards against a forwarded packet whose server was replaced, removed or is in a
// domain that is out, or whose token is invalid or was issued for another flow
// or service.
func TestRefusals(t *testing.T) {
	s := newSchedule(t, withToken, 1, 1, 2)
	r := s.routers[0]
	issue := func(svc conf.ServiceID, id conf.ServerID, gen uint32, fl uint64) []byte {
		tok, err := r.IssueToken(s.Now, nil, svc, id, gen, fl)
		assert.NilError(t, err)
		return tok
	}
	out := s.snap
	out.Domains = map[string]conf.Domain{"a": {Name: "a", Half: "h", Mark: conf.MarkOut}}
	for _, tc := range []struct {
		name  string
		token []byte
		snap  *conf.Snapshot
		want  flow.Route
	}{
		{"own flow", issue(1, 1, 1, 5), &s.snap, flow.Route{Verdict: flow.Forward, Server: 1, Generation: 1}},
		{"other service", issue(2, 1, 1, 5), &s.snap, flow.Route{Reason: wire.ReasonWrongService}},
		{"other flow", issue(1, 1, 1, 6), &s.snap, flow.Route{Reason: wire.ReasonBadToken}},
		{"replaced server", issue(1, 1, 2, 5), &s.snap, flow.Route{Reason: wire.ReasonServerGone}},
		{"unknown server", issue(1, 9, 1, 5), &s.snap, flow.Route{Reason: wire.ReasonServerGone}},
		{"truncated", issue(1, 1, 1, 5)[:20], &s.snap, flow.Route{Reason: wire.ReasonBadToken}},
		{"domain out", issue(1, 1, 1, 5), &out, flow.Route{Reason: wire.ReasonDomainOut}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r.Apply(s.Now, tc.snap)
			p := &wire.Packet{Service: service}
			p.Frame = wire.Frame{Kind: wire.KindData, Flow: 5, Token: tc.token}
			assert.Equal(t, r.Route(s.Now, p), tc.want)
		})
	}
}

// benchPacket returns a router and a packet that it forwards.
func benchPacket(b testing.TB, m mode) (*flow.Router, *wire.Packet) {
	s := newSchedule(b, m, 1, 1, 14)
	p := &wire.Packet{Service: service}
	p.Frame = wire.Frame{Kind: wire.KindData, Flow: 5}
	if m == withToken {
		p.Frame.Token, _ = s.routers[0].IssueToken(s.Now, nil, 1, 1, 1, 5)
	} else {
		p.Frame.Flags = wire.FlagStateless
	}
	return s.routers[0], p
}

// Guards against allocations in Route, which runs for every packet.
func TestRouteDoesNotAllocate(t *testing.T) {
	for _, m := range []mode{withToken, withOwners} {
		t.Run(m.String(), func(t *testing.T) {
			r, p := benchPacket(t, m)
			n := testing.AllocsPerRun(100, func() {
				if rt := r.Route(start, p); rt.Verdict != flow.Forward {
					t.Fatal(rt)
				}
			})
			assert.Equal(t, n, 0.0)
		})
	}
}

func BenchmarkRoute(b *testing.B) {
	for _, m := range []mode{withToken, withOwners} {
		b.Run(m.String(), func(b *testing.B) {
			r, p := benchPacket(b, m)
			b.ReportAllocs()
			for b.Loop() {
				r.Route(start, p)
			}
		})
	}
}
