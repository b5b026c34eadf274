package flow

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wire"
)

const (
	// owners is the number of instances that record the flows of a bucket in
	// transition. Two survive the death of one.
	owners = 2
	// cacheTime is how long an instance uses an owner's answer. A question
	// per flow and cacheTime keeps the owner's record alive; after that the
	// answer only serves as a hint to owners that have lost it.
	cacheTime = 2 * time.Minute
	// ownTime is how long an owner keeps a record that nobody asks for.
	ownTime = 3 * cacheTime
	// askTime is how long a packet waits for an owner's answer. It covers a
	// round trip between failure domains many times.
	askTime = 100 * time.Millisecond
	// maxHeld bounds the packets held per flow, maxAsked the flows held.
	maxHeld  = 8
	maxAsked = 4096
	// maxBatch bounds the entries of one control message, which then stays
	// below wire.MaxPeer.
	maxBatch = 60
)

// binding is the server of a flow and when it was last confirmed.
type binding struct {
	server conf.ServerID
	// noted says that the flow's open frame was seen. It outweighs an
	// assumption, which only says that nobody reported an open frame.
	noted bool
	at    time.Time
}

// pending holds the packets of a flow that wait for the answers of owners.
type pending struct {
	svc     *service
	packets []wire.Packet
	old     conf.ServerID
	since   time.Time
	// waiting is the number of owners that have not answered, best the
	// server that one of them assumes.
	waiting int
	best    conf.ServerID
}

// Entry names the server of a flow; a zero server says that it is unknown.
type Entry struct {
	_          struct{} `cbor:",toarray"`
	Key        Key
	Server     conf.ServerID
	Registered bool
}

// Registration tells the owner of a bucket of new flows.
type Registration struct {
	_       struct{} `cbor:",toarray"`
	Entries []Entry
}

// Lookup asks an owner for the servers of flows. The server of an entry is
// the one that the owner records when it knows no better.
type Lookup struct {
	_       struct{} `cbor:",toarray"`
	Entries []Entry
}

// LookupReply answers a Lookup.
type LookupReply struct {
	_       struct{} `cbor:",toarray"`
	Entries []Entry
}

// note records a new flow of a bucket in transition here and at the owners.
func (r *Router) note(now time.Time, svc *service, key Key, id conf.ServerID) {
	bound := binding{id, true, now}
	r.cache[key] = bound
	r.Counters.Noted++
	for _, m := range r.ownersOf(svc, key.bucket()) {
		if m.Name == r.Self {
			r.owned[key] = bound
			continue
		}
		n := r.notes[m.Peer]
		if n == nil {
			n = &Registration{}
			r.notes[m.Peer] = n
		}
		n.Entries = append(n.Entries, Entry{Key: key, Server: id, Registered: true})
	}
}

// ask looks a flow up among the flows this instance owns, then holds the
// packet and asks the other owners.
func (r *Router) ask(now time.Time, svc *service, key Key, old conf.ServerID, p *wire.Packet) Route {
	if w := r.held[key]; w != nil {
		return r.hold(w, p)
	}
	best := conf.ServerID(0)
	if o, ok := r.owned[key]; ok && r.servers[o.server].runs() {
		if o.noted {
			r.learn(now, key, o)
			return r.stateless(svc, o.server)
		}
		best = o.server
	}
	waiting := r.askOwners(svc, key, r.assumed(now, svc, key, old))
	w := &pending{svc: svc, old: old, since: now, waiting: waiting, best: best}
	if waiting == 0 {
		return r.assume(now, key, w)
	}
	if len(r.held) >= maxAsked {
		r.Counters.Dropped++
		return Route{Verdict: Hold, Stateless: true}
	}
	r.held[key] = w
	return r.hold(w, p)
}

// learn stores the server of a flow, also as an owner when it is one.
func (r *Router) learn(now time.Time, key Key, b binding) {
	b.at = now
	r.cache[key] = b
	if o, ok := r.owned[key]; ok && (b.noted || !o.noted) {
		r.owned[key] = b
	}
}

// assumed is the server to record for a flow that nobody has noted: the one
// this instance used before, else the old one as long as flows from before
// the change are still being learned.
func (r *Router) assumed(now time.Time, svc *service, key Key, old conf.ServerID) conf.ServerID {
	if c, ok := r.cache[key]; ok && r.servers[c.server].runs() {
		return c.server
	}
	if svc.settled(now) {
		return svc.tables[len(svc.tables)-1].servers[key.bucket()]
	}
	return old
}

// assume decides without a noted binding.
func (r *Router) assume(now time.Time, key Key, w *pending) Route {
	id := w.best
	if id == 0 || !r.servers[id].runs() {
		id = r.assumed(now, w.svc, key, w.old)
	}
	r.Counters.Assumed++
	for _, m := range r.ownersOf(w.svc, key.bucket()) {
		if m.Name == r.Self && r.owned[key].server == 0 {
			r.owned[key] = binding{id, false, now}
		}
	}
	r.learn(now, key, binding{id, false, now})
	return r.stateless(w.svc, id)
}

// askOwners queues questions and returns how many instances are asked.
func (r *Router) askOwners(svc *service, key Key, assume conf.ServerID) int {
	asked := 0
	for _, m := range r.ownersOf(svc, key.bucket()) {
		if m.Name == r.Self {
			continue
		}
		q := r.asks[m.Peer]
		if q == nil {
			q = &Lookup{}
			r.asks[m.Peer] = q
		}
		q.Entries = append(q.Entries, Entry{Key: key, Server: assume})
		r.Counters.Asked++
		asked++
	}
	return asked
}

func (r *Router) hold(w *pending, p *wire.Packet) Route {
	if len(w.packets) >= maxHeld {
		r.Counters.Dropped++
	} else {
		w.packets = append(w.packets, *p)
	}
	return Route{Verdict: Hold, Stateless: true}
}

// Flush writes queued notes and questions to the outbox. Notes and questions
// of one call of the core share datagrams.
func (r *Router) Flush(out *wire.Outbox) {
	for to, n := range r.notes {
		for i := 0; i < len(n.Entries); i += maxBatch {
			out.Peer(to, wire.PeerRegistration, Registration{Entries: n.Entries[i:min(i+maxBatch, len(n.Entries))]})
		}
		delete(r.notes, to)
	}
	for to, q := range r.asks {
		for i := 0; i < len(q.Entries); i += maxBatch {
			out.Peer(to, wire.PeerLookup, Lookup{Entries: q.Entries[i:min(i+maxBatch, len(q.Entries))]})
		}
		delete(r.asks, to)
	}
}

// HandleRegistration records flows that another instance opened.
func (r *Router) HandleRegistration(now time.Time, n Registration) {
	r.init()
	for _, e := range n.Entries {
		r.owned[e.Key] = binding{e.Server, true, now}
	}
}

// HandleLookup answers another instance from this instance's records.
func (r *Router) HandleLookup(now time.Time, q Lookup) LookupReply {
	r.init()
	reply := LookupReply{}
	for _, e := range q.Entries {
		o, ok := r.owned[e.Key]
		if c, cached := r.cache[e.Key]; cached && (!ok || c.noted) {
			o, ok = c, true
		}
		if ok {
			reply.Entries = append(reply.Entries, Entry{Key: e.Key, Server: o.server, Registered: o.noted})
		} else {
			reply.Entries = append(reply.Entries, Entry{Key: e.Key})
			o = binding{server: e.Server}
		}
		o.at = now
		r.owned[e.Key] = o
	}
	return reply
}

// Released is a held packet whose server is now known.
type Released struct {
	Packet wire.Packet
	Route  Route
}

// HandleLookupReply releases the packets whose servers are now known: at once
// when an owner noted the flow, else when the last owner has answered.
func (r *Router) HandleLookupReply(now time.Time, reply LookupReply) []Released {
	r.init()
	var out []Released
	for _, e := range reply.Entries {
		w := r.held[e.Key]
		if w == nil {
			continue
		}
		w.waiting--
		if e.Server != 0 && (w.best == 0 || e.Registered) {
			w.best = e.Server
		}
		switch {
		case e.Registered && r.servers[e.Server].runs():
			r.learn(now, e.Key, binding{e.Server, true, now})
			out = r.release(out, e.Key, w, r.stateless(w.svc, e.Server))
		case w.waiting <= 0:
			out = r.release(out, e.Key, w, r.assume(now, e.Key, w))
		}
	}
	return out
}

func (r *Router) release(out []Released, key Key, w *pending, rt Route) []Released {
	delete(r.held, key)
	for _, p := range w.packets {
		out = append(out, Released{p, rt})
	}
	return out
}

// Tick applies changes that are due, releases packets whose question was not
// answered, and forgets flows that have ended.
func (r *Router) Tick(now time.Time) []Released {
	for _, svc := range r.services {
		r.rebuild(now, svc)
	}
	expire(r.cache, now, ownTime)
	expire(r.owned, now, ownTime)
	var out []Released
	for key, w := range r.held {
		if now.Sub(w.since) >= askTime {
			out = r.release(out, key, w, r.assume(now, key, w))
		}
	}
	return out
}

func expire(m map[Key]binding, now time.Time, after time.Duration) {
	for k, b := range m {
		if now.Sub(b.at) >= after {
			delete(m, k)
		}
	}
}

// ownersOf returns the instances that record the flows of a bucket, by
// rendezvous hashing over the live members.
func (r *Router) ownersOf(svc *service, bucket int) []Member {
	var top [owners]Member
	var score [owners]uint64
	for _, m := range r.members {
		h := ownerScore(svc.id, bucket, m.Name)
		if h > score[0] {
			top[1], score[1] = top[0], score[0]
			top[0], score[0] = m, h
		} else if h > score[1] {
			top[1], score[1] = m, h
		}
	}
	n := min(owners, len(r.members))
	return top[:n:n]
}

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
