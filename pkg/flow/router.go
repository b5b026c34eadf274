// Package flow decides which backend server the packets of a flow go to. A packet
// with a flow token is routed by the token alone. A packet without one is routed
// by a hash of its flow: a table assigns each hash bucket to a server. While a
// bucket is in transition, that is, moves from one server to another, the flows
// of the bucket are recorded by two instances, its owners.
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

// Verdict is what the caller of Route must do with a packet.
type Verdict uint8

// Verdicts of Route.
const (
	Refuse  Verdict = iota // send the caller Route.Reason
	Forward                // send the packet to Route.Server
	Place                  // new flow: choose a server, then call IssueToken
	Hold                   // nothing: the router keeps or drops the packet
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

// Counters are the router's counters.
type Counters struct {
	// Moved counts bucket assignments that changed, Noted flows registered
	// with owners, Asked lookups sent to owners, Assumed routing decisions
	// without a registered binding, and Dropped packets that could not be
	// held because of maxHeldPackets or maxHeldFlows.
	Moved, Noted, Asked, Assumed, Dropped uint64
}

// Router routes packets of flows for one instance. It is not safe for
// concurrent use.
type Router struct {
	// Self is the Member.Name of this instance.
	Self string
	// Box opens and seals flow tokens.
	Box *token.Box
	// Rand is unused.
	Rand     *rand.Rand
	Counters Counters

	services map[netip.AddrPort]*service
	byPath   map[string]*service // by path of the node
	servers  map[conf.ServerID]backend
	members  []Member
	// cache holds the bindings that this instance uses to route packets,
	// owned those that it records as an owner.
	cache map[Key]binding
	owned map[Key]binding
	held  map[Key]*pendingLookup
	// registrations and lookups are queued by the owner's address for Flush.
	registrations map[netip.AddrPort]*Registration
	lookups       map[netip.AddrPort]*Lookup
	tok           token.Flow // reused by byToken to avoid an allocation
	lastSnapshot  *conf.Snapshot
}

// Member is an instance that can own buckets.
type Member struct {
	Name string
	Peer netip.AddrPort
}

// backend is the part of a backend server's settings that routing uses.
type backend struct {
	generation uint32
	service    conf.ServiceID
	mark       conf.Mark
	domainOut  bool
	since      time.Time
}

// servesFlows reports whether the server may still serve existing flows.
func (b backend) servesFlows() bool {
	return !b.domainOut && (b.mark == conf.MarkIn || b.mark == conf.MarkLeaving)
}

// Apply applies a settings snapshot.
func (r *Router) Apply(now time.Time, snap *conf.Snapshot) {
	r.init()
	diff, ok := conf.DiffServers(r.lastSnapshot, snap)
	r.lastSnapshot = snap
	if ok {
		r.applyDiff(snap, diff)
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
	r.held = map[Key]*pendingLookup{}
	r.registrations = map[netip.AddrPort]*Registration{}
	r.lookups = map[netip.AddrPort]*Lookup{}
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
		svc.servers = nil
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
		slices.Sort(svc.servers)
	}
}

// applyServer adds a server and returns its service, or nil if the service has no
// identifier or address.
func (r *Router) applyServer(snap *conf.Snapshot, s *conf.Server) *service {
	svc := r.byPath[s.Service]
	if svc == nil {
		return nil
	}
	d, ok := snap.DomainOf(s)
	out := ok && d.Mark == conf.MarkOut
	r.servers[s.ID] = backend{s.Generation, svc.id, s.Mark, out, snap.MarkedSince(s)}
	svc.servers = append(svc.servers, s.ID)
	return svc
}

// applyDiff applies only the records that changed. Applying all of them at every
// change took too much time.
func (r *Router) applyDiff(snap *conf.Snapshot, diff conf.ServerDiff) {
	for _, s := range diff.Old {
		if svc := r.byPath[s.Service]; svc != nil {
			svc.servers = slices.DeleteFunc(svc.servers, func(id conf.ServerID) bool { return id == s.ID })
			delete(r.servers, s.ID)
		}
	}
	for _, s := range diff.New {
		if svc := r.applyServer(snap, &s); svc != nil {
			slices.Sort(svc.servers)
		}
	}
}

// SetMembers sets the live instances, among which the owners of buckets are
// chosen.
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

// Route decides what to do with a caller's open, data or close frame.
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

// forward returns the route to the server of a flow. It refuses the packet if the
// server is no longer the one that the flow was opened on, or if its failure
// domain is out.
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

// IssueToken appends the token of a new flow on a server to dst.
func (r *Router) IssueToken(now time.Time, dst []byte, svc conf.ServiceID, id conf.ServerID, generation uint32, flow uint64) ([]byte, error) {
	return r.Box.SealFlow(now, dst, &token.Flow{
		Service: svc, Server: id, Generation: generation, Flow: flow, Issued: now,
	})
}
