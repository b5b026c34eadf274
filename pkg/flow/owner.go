package flow

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wire"
)

const (
	// ownersPerBucket is the number of instances that record the flows of a
	// bucket in transition. With two, the records survive the loss of one.
	ownersPerBucket = 2
	// cacheTTL is how long an instance uses an owner's answer. Each flow thus
	// causes a lookup per cacheTTL, which renews the owner's record. The
	// lookup carries the expired answer for an owner that has lost its record.
	cacheTTL = 2 * time.Minute
	// ownedTTL is how long an owner keeps a record without a lookup for it.
	// Cached answers are kept as long: after cacheTTL they no longer route
	// packets by themselves, but still name the server to assume.
	ownedTTL = 3 * cacheTTL
	// lookupTimeout is how long a packet waits for an owner's answer. It is
	// many times the round trip between failure domains.
	lookupTimeout = 100 * time.Millisecond
	// maxHeldPackets bounds the packets held for one flow, maxHeldFlows the
	// flows with held packets.
	maxHeldPackets = 8
	maxHeldFlows   = 4096
	// maxBatchEntries bounds the entries of one control message, so that it
	// stays below wire.MaxPeerBytes.
	maxBatchEntries = 60
)

// binding is the server of a flow and when it was last confirmed.
type binding struct {
	server conf.ServerID
	// registered says that an instance saw the flow's open frame. A binding
	// that is not registered is assumed, because no instance reported an open
	// frame; a registered one replaces it.
	registered  bool
	confirmedAt time.Time
}

// pendingLookup holds the packets of a flow until its owners have answered.
type pendingLookup struct {
	svc       *service
	packets   []wire.Packet
	oldServer conf.ServerID
	since     time.Time
	// unanswered is the number of owners that have not answered, candidate the
	// server that the answers so far name, 0 for none.
	unanswered int
	candidate  conf.ServerID
}

// Entry is the server of a flow. Server is 0 if it is unknown.
type Entry struct {
	_          struct{} `cbor:",toarray"`
	Key        Key
	Server     conf.ServerID
	Registered bool
}

// Registration reports new flows to an owner of their buckets.
type Registration struct {
	_       struct{} `cbor:",toarray"`
	Entries []Entry
}

// Lookup requests the servers of flows from an owner. The owner records the
// server of an entry if it has no record of the flow.
type Lookup struct {
	_       struct{} `cbor:",toarray"`
	Entries []Entry
}

// LookupReply is the answer to a Lookup.
type LookupReply struct {
	_       struct{} `cbor:",toarray"`
	Entries []Entry
}

// register records a new flow of a bucket in transition in this instance, and
// queues registrations for the other owners of the bucket.
func (r *Router) register(now time.Time, svc *service, key Key, id conf.ServerID) {
	b := binding{id, true, now}
	r.cache[key] = b
	r.Counters.Noted++
	for _, m := range r.ownersOf(svc, key.bucket()) {
		if m.Name == r.Self {
			r.owned[key] = b
			continue
		}
		reg := r.registrations[m.Peer]
		if reg == nil {
			reg = &Registration{}
			r.registrations[m.Peer] = reg
		}
		reg.Entries = append(reg.Entries, Entry{Key: key, Server: id, Registered: true})
	}
}

// lookUp routes a packet whose flow has no current cache entry. Unless this
// instance itself has a registered record of the flow, it queues lookups for the
// other owners and holds the packet. If there are no other owners, it routes the
// packet to the assumed server at once.
func (r *Router) lookUp(now time.Time, svc *service, key Key, oldServer conf.ServerID, p *wire.Packet) Route {
	if pending := r.held[key]; pending != nil {
		return r.hold(pending, p)
	}
	candidate := conf.ServerID(0)
	if rec, ok := r.owned[key]; ok && r.servers[rec.server].servesFlows() {
		if rec.registered {
			r.storeBinding(now, key, rec)
			return r.forwardStateless(svc, rec.server)
		}
		candidate = rec.server
	}
	unanswered := r.queueLookups(svc, key, r.assumedServer(now, svc, key, oldServer))
	pending := &pendingLookup{svc: svc, oldServer: oldServer, since: now, unanswered: unanswered, candidate: candidate}
	if unanswered == 0 {
		return r.routeAssumed(now, key, pending)
	}
	if len(r.held) >= maxHeldFlows {
		r.Counters.Dropped++
		return Route{Verdict: Hold, Stateless: true}
	}
	r.held[key] = pending
	return r.hold(pending, p)
}

// storeBinding caches the server of a flow and updates the record of the flow if
// this instance has one. An assumed server does not replace a registered record.
func (r *Router) storeBinding(now time.Time, key Key, b binding) {
	b.confirmedAt = now
	r.cache[key] = b
	if rec, ok := r.owned[key]; ok && (b.registered || !rec.registered) {
		r.owned[key] = b
	}
}

// assumedServer returns the server to record for a flow that no instance has
// registered: the one that this instance used before, otherwise the bucket's old
// server until settleTime has passed since the change, then its current one.
func (r *Router) assumedServer(now time.Time, svc *service, key Key, oldServer conf.ServerID) conf.ServerID {
	if c, ok := r.cache[key]; ok && r.servers[c.server].servesFlows() {
		return c.server
	}
	if svc.settled(now) {
		return svc.tables[len(svc.tables)-1].servers[key.bucket()]
	}
	return oldServer
}

// routeAssumed routes a flow for which no owner has reported a registered
// binding.
func (r *Router) routeAssumed(now time.Time, key Key, pending *pendingLookup) Route {
	id := pending.candidate
	if id == 0 || !r.servers[id].servesFlows() {
		id = r.assumedServer(now, pending.svc, key, pending.oldServer)
	}
	r.Counters.Assumed++
	for _, m := range r.ownersOf(pending.svc, key.bucket()) {
		if m.Name == r.Self && r.owned[key].server == 0 {
			r.owned[key] = binding{id, false, now}
		}
	}
	r.storeBinding(now, key, binding{id, false, now})
	return r.forwardStateless(pending.svc, id)
}

// queueLookups queues lookups for the other owners of a flow's bucket and returns
// their number. The owners record the given server if they have no record.
func (r *Router) queueLookups(svc *service, key Key, assumed conf.ServerID) int {
	queued := 0
	for _, m := range r.ownersOf(svc, key.bucket()) {
		if m.Name == r.Self {
			continue
		}
		lookup := r.lookups[m.Peer]
		if lookup == nil {
			lookup = &Lookup{}
			r.lookups[m.Peer] = lookup
		}
		lookup.Entries = append(lookup.Entries, Entry{Key: key, Server: assumed})
		r.Counters.Asked++
		queued++
	}
	return queued
}

// hold adds a packet to a pending lookup, or drops it if too many are held.
func (r *Router) hold(pending *pendingLookup, p *wire.Packet) Route {
	if len(pending.packets) >= maxHeldPackets {
		r.Counters.Dropped++
	} else {
		pending.packets = append(pending.packets, *p)
	}
	return Route{Verdict: Hold, Stateless: true}
}

// Flush writes the queued registrations and lookups to the outbox. Those queued
// in one call of the core share datagrams.
func (r *Router) Flush(out *wire.Outbox) {
	for to, reg := range r.registrations {
		for i := 0; i < len(reg.Entries); i += maxBatchEntries {
			out.Peer(to, wire.PeerRegistration, Registration{Entries: reg.Entries[i:min(i+maxBatchEntries, len(reg.Entries))]})
		}
		delete(r.registrations, to)
	}
	for to, lookup := range r.lookups {
		for i := 0; i < len(lookup.Entries); i += maxBatchEntries {
			out.Peer(to, wire.PeerLookup, Lookup{Entries: lookup.Entries[i:min(i+maxBatchEntries, len(lookup.Entries))]})
		}
		delete(r.lookups, to)
	}
}

// HandleRegistration records flows that another instance has opened.
func (r *Router) HandleRegistration(now time.Time, reg Registration) {
	r.init()
	for _, e := range reg.Entries {
		r.owned[e.Key] = binding{e.Server, true, now}
	}
}

// HandleLookup answers a lookup of another instance from this instance's records
// and cache. For a flow in neither, it records the server that the lookup names.
func (r *Router) HandleLookup(now time.Time, lookup Lookup) LookupReply {
	r.init()
	reply := LookupReply{}
	for _, e := range lookup.Entries {
		rec, ok := r.owned[e.Key]
		if c, cached := r.cache[e.Key]; cached && (!ok || c.registered) {
			rec, ok = c, true
		}
		if ok {
			reply.Entries = append(reply.Entries, Entry{Key: e.Key, Server: rec.server, Registered: rec.registered})
		} else {
			reply.Entries = append(reply.Entries, Entry{Key: e.Key})
			rec = binding{server: e.Server}
		}
		rec.confirmedAt = now
		r.owned[e.Key] = rec
	}
	return reply
}

// Released is a packet that is no longer held, with its route.
type Released struct {
	Packet wire.Packet
	Route  Route
}

// HandleLookupReply releases the packets whose routes are now decided: at once if
// an owner has a registered binding, otherwise when the last owner has answered.
func (r *Router) HandleLookupReply(now time.Time, reply LookupReply) []Released {
	r.init()
	var out []Released
	for _, e := range reply.Entries {
		pending := r.held[e.Key]
		if pending == nil {
			continue
		}
		pending.unanswered--
		if e.Server != 0 && (pending.candidate == 0 || e.Registered) {
			pending.candidate = e.Server
		}
		switch {
		case e.Registered && r.servers[e.Server].servesFlows():
			r.storeBinding(now, e.Key, binding{e.Server, true, now})
			out = r.release(out, e.Key, pending, r.forwardStateless(pending.svc, e.Server))
		case pending.unanswered <= 0:
			out = r.release(out, e.Key, pending, r.routeAssumed(now, e.Key, pending))
		}
	}
	return out
}

// release ends a pending lookup and appends its packets to out.
func (r *Router) release(out []Released, key Key, pending *pendingLookup, rt Route) []Released {
	delete(r.held, key)
	for _, p := range pending.packets {
		out = append(out, Released{p, rt})
	}
	return out
}

// Tick applies marks that take effect, releases packets whose lookup timed out,
// and deletes bindings that were not confirmed for ownedTTL.
func (r *Router) Tick(now time.Time) []Released {
	for _, svc := range r.services {
		r.rebuild(now, svc)
	}
	expire(r.cache, now, ownedTTL)
	expire(r.owned, now, ownedTTL)
	var out []Released
	for key, pending := range r.held {
		if now.Sub(pending.since) >= lookupTimeout {
			out = r.release(out, key, pending, r.routeAssumed(now, key, pending))
		}
	}
	return out
}

// expire deletes the bindings that were last confirmed at least the given time
// ago.
func expire(m map[Key]binding, now time.Time, ttl time.Duration) {
	for k, b := range m {
		if now.Sub(b.confirmedAt) >= ttl {
			delete(m, k)
		}
	}
}

// ownersOf returns the instances that record the flows of a bucket, by
// rendezvous hashing over the live members.
func (r *Router) ownersOf(svc *service, bucket int) []Member {
	var top [ownersPerBucket]Member
	var score [ownersPerBucket]uint64
	for _, m := range r.members {
		h := ownerScore(svc.id, bucket, m.Name)
		if h > score[0] {
			top[1], score[1] = top[0], score[0]
			top[0], score[0] = m, h
		} else if h > score[1] {
			top[1], score[1] = m, h
		}
	}
	n := min(ownersPerBucket, len(r.members))
	return top[:n:n]
}

// ownerScore returns the rendezvous hash of an instance for a bucket.
func ownerScore(svc conf.ServiceID, bucket int, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	var b [8]byte
	b[0], b[1], b[2], b[3] = byte(svc>>24), byte(svc>>16), byte(svc>>8), byte(svc)
	b[4], b[5], b[6], b[7] = byte(bucket>>24), byte(bucket>>16), byte(bucket>>8), byte(bucket)
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(name)
	return d.Sum64()
}
