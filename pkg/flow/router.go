// Package flow decides which backend server the packet of a flow goes to. A
// caller that carries its flow token is routed by the token alone; a caller
// that carries nothing is routed by a table of buckets, and through an owner
// instance while its bucket moves from one server to another.
package flow

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/token"
	"ebonypaddle/pkg/wire"
)

// Verdict is what is to be done with a packet of a flow.
type Verdict uint8

// Verdicts of Route.
const (
	Refuse  Verdict = iota // tell the caller the reason
	Forward                // send to Route.Server
	Place                  // a new flow: choose a server, then call IssueToken
	Hold                   // kept until an owner answers
)

// Route is the decision for one packet.
type Route struct {
	Verdict    Verdict
	Reason     wire.Reason
	Server     conf.ServerID
	Generation uint32
	// Stateless says that the flow carries no token.
	Stateless bool
}

// Counters count the work of the router.
type Counters struct {
	// Moved counts bucket assignments that changed, Noted flows reported to
	// owners, Asked questions to owners, Assumed packets forwarded without
	// an answer, and Dropped held packets that found no room.
	Moved, Noted, Asked, Assumed, Dropped uint64
}

// Router routes packets of flows for one instance. It is not safe for
// concurrent use.
type Router struct {
	// Self is the name of this instance's entry place.
	Self string
	// Box opens and seals flow tokens.
	Box *token.Box
	// Rand is the source of tie breaks.
	Rand *rand.Rand
	// Counters count what the router does.
	Counters Counters

	services map[netip.AddrPort]*service
	byPath   map[string]*service
	servers  map[conf.ServerID]backend
	members  []Member
	cache    map[Key]binding
	owned    map[Key]binding
	held     map[Key]*pending
	notes    map[netip.AddrPort]*Registration
	asks     map[netip.AddrPort]*Lookup
	tok      token.Flow
	last     *conf.Snapshot
}

// Member is an instance that can own buckets.
type Member struct {
	Name string
	Peer netip.AddrPort
}

// backend is what routing needs of a backend server.
type backend struct {
	generation uint32
	service    conf.ServiceID
	mark       conf.Mark
	domainOut  bool
	since      time.Time
}

// runs reports whether flows on the server may still be served.
func (b backend) runs() bool {
	return !b.domainOut && (b.mark == conf.MarkIn || b.mark == conf.MarkLeaving)
}

// Apply takes over a settings snapshot.
func (r *Router) Apply(now time.Time, snap *conf.Snapshot) {
	r.init()
	step, ok := conf.DiffServers(r.last, snap)
	r.last = snap
	if ok {
		r.applyStep(snap, step)
	} else {
		r.applyServices(snap)
		r.applyServers(snap)
	}
	for _, svc := range r.services {
		r.rebuild(now, svc)
	}
}

func (r *Router) init() {
	if r.cache != nil {
		return
	}
	r.services = map[netip.AddrPort]*service{}
	r.cache = map[Key]binding{}
	r.owned = map[Key]binding{}
	r.held = map[Key]*pending{}
	r.notes = map[netip.AddrPort]*Registration{}
	r.asks = map[netip.AddrPort]*Lookup{}
}

// applyServices replaces the address table and keeps the bucket tables of
// services that remain.
func (r *Router) applyServices(snap *conf.Snapshot) {
	old := map[conf.ServiceID]*service{}
	for _, svc := range r.services {
		old[svc.id] = svc
	}
	r.services = map[netip.AddrPort]*service{}
	r.byPath = map[string]*service{}
	for path, n := range snap.Nodes {
		if n.Values.ServiceID == nil || n.Values.Address == nil {
			continue
		}
		svc := old[*n.Values.ServiceID]
		if svc == nil {
			svc = &service{id: *n.Values.ServiceID}
		}
		svc.members = nil
		r.services[*n.Values.Address] = svc
		r.byPath[path] = svc
	}
}

func (r *Router) applyServers(snap *conf.Snapshot) {
	r.servers = make(map[conf.ServerID]backend, len(snap.Servers))
	for _, s := range snap.Servers {
		r.applyServer(snap, &s)
	}
	for _, svc := range r.services {
		slices.Sort(svc.members)
	}
}

// applyServer returns the service of a server, nil when it has none.
func (r *Router) applyServer(snap *conf.Snapshot, s *conf.Server) *service {
	svc := r.byPath[s.Service]
	if svc == nil {
		return nil
	}
	d, ok := snap.DomainOf(s)
	out := ok && d.Mark == conf.MarkOut
	r.servers[s.ID] = backend{s.Generation, svc.id, s.Mark, out, snap.MarkedSince(s)}
	svc.members = append(svc.members, s.ID)
	return svc
}

// applyStep takes over a few records, because all of them at every change
// took too much time.
func (r *Router) applyStep(snap *conf.Snapshot, step conf.ServerDiff) {
	for _, s := range step.Old {
		if svc := r.byPath[s.Service]; svc != nil {
			svc.members = slices.DeleteFunc(svc.members, func(id conf.ServerID) bool { return id == s.ID })
			delete(r.servers, s.ID)
		}
	}
	for _, s := range step.Set {
		if svc := r.applyServer(snap, &s); svc != nil {
			slices.Sort(svc.members)
		}
	}
}

// SetMembers replaces the live instances, which own the buckets in transition.
func (r *Router) SetMembers(members []Member) {
	r.members = append(r.members[:0], members...)
}

// Service returns the identifier of the service at an address.
func (r *Router) Service(addr netip.AddrPort) (conf.ServiceID, bool) {
	svc := r.services[addr]
	if svc == nil {
		return 0, false
	}
	return svc.id, true
}

// Route decides where a caller's open, data or close frame goes.
func (r *Router) Route(now time.Time, p *wire.Packet) Route {
	if r.services == nil {
		return Route{Reason: wire.ReasonNoSettings}
	}
	svc := r.services[p.Service]
	if svc == nil {
		return Route{Reason: wire.ReasonUnknownService}
	}
	if len(p.Frame.Token) > 0 {
		return r.byToken(svc, &p.Frame)
	}
	if p.Frame.Has(wire.FlagStateless) {
		return r.byBucket(now, svc, p)
	}
	if p.Frame.Kind == wire.KindOpen {
		return Route{Verdict: Place}
	}
	return Route{Reason: wire.ReasonBadToken}
}

// byToken routes a frame by the token it carries. It does not allocate.
func (r *Router) byToken(svc *service, f *wire.Frame) Route {
	if err := r.Box.OpenFlow(f.Token, &r.tok); err != nil {
		return Route{Reason: wire.ReasonBadToken}
	}
	if r.tok.Service != svc.id {
		return Route{Reason: wire.ReasonWrongService}
	}
	if r.tok.Flow != f.Flow {
		return Route{Reason: wire.ReasonBadToken}
	}
	return r.forward(r.tok.Server, r.tok.Generation, svc.id)
}

// forward checks that the flow's server still is the one it was opened on.
func (r *Router) forward(id conf.ServerID, generation uint32, svc conf.ServiceID) Route {
	b, ok := r.servers[id]
	switch {
	case !ok || b.generation != generation || b.mark == conf.MarkRemoved:
		return Route{Reason: wire.ReasonServerGone}
	case b.service != svc:
		return Route{Reason: wire.ReasonServerGone}
	case b.domainOut:
		return Route{Reason: wire.ReasonDomainOut}
	}
	return Route{Verdict: Forward, Server: id, Generation: generation}
}

// IssueToken returns the token of a new flow that was placed on a server.
func (r *Router) IssueToken(now time.Time, dst []byte, svc conf.ServiceID, id conf.ServerID, generation uint32, flow uint64) ([]byte, error) {
	return r.Box.SealFlow(now, dst, &token.Flow{
		Service: svc, Server: id, Generation: generation, Flow: flow, Issued: now,
	})
}
