package flow

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wire"
)

const (
	// Buckets is the number of buckets of a service. With 20 servers, their
	// shares of the buckets are within a few percent of each other.
	Buckets = 4096
	// settleTime is how long owners learn the flows that existed before a
	// change. It exceeds twice the interval at which callers keep flows
	// alive, so that after it every live flow has sent a packet.
	settleTime = 2 * time.Minute
	// maxTables bounds the bucket tables kept for one service, 16 KB each.
	// With 4 tables, the fifth change within a minute broke the flows that
	// were still on the servers of the first.
	maxTables = 32
)

// Key identifies a flow whose packets carry no token.
type Key uint64

// keyOf returns a hash of the caller and service addresses and of the caller's
// flow identifier.
func keyOf(p *wire.Packet) Key {
	var b [44]byte
	caller, svc := p.Caller.Addr().As16(), p.Service.Addr().As16()
	copy(b[0:], caller[:])
	copy(b[16:], svc[:])
	binary.BigEndian.PutUint16(b[32:], p.Caller.Port())
	binary.BigEndian.PutUint16(b[34:], p.Service.Port())
	binary.BigEndian.PutUint64(b[36:], p.Frame.Flow)
	return Key(xxhash.Sum64(b[:]))
}

func (k Key) bucket() int { return int(uint64(k) % Buckets) }

// service is a service with its recent bucket tables.
type service struct {
	id      conf.ServiceID
	servers []conf.ServerID
	// tables holds the recent bucket tables, newest last. It is empty until
	// the first packet without a token arrives, since a table takes 16 KB.
	tables []table
	// nextChangeAt is when the next mark takes effect, zero if none is pending.
	nextChangeAt time.Time
}

// table assigns the buckets of a service to its eligible servers.
type table struct {
	// from is when the table took effect.
	from     time.Time
	eligible []conf.ServerID
	servers  [Buckets]conf.ServerID
}

// eligible returns the servers of a service that take new flows at now. A mark
// takes effect conf.EffectAfter after it was set, when every instance has
// received it.
func (r *Router) eligible(now time.Time, svc *service) []conf.ServerID {
	var ids []conf.ServerID
	for _, id := range svc.servers {
		b := r.servers[id]
		if !b.servesFlows() {
			continue
		}
		inEffect := !now.Before(b.since.Add(conf.EffectAfter))
		if (b.mark == conf.MarkIn) == inEffect {
			ids = append(ids, id)
		}
	}
	return ids
}

// rebuild adds a bucket table if the eligible servers of a service have changed.
func (r *Router) rebuild(now time.Time, svc *service) {
	if len(svc.tables) == 0 {
		return
	}
	svc.nextChangeAt = r.nextChange(now, svc)
	ids := r.eligible(now, svc)
	last := &svc.tables[len(svc.tables)-1]
	if slices.Equal(ids, last.eligible) {
		return
	}
	t := newTable(now, ids)
	for b := range t.servers {
		if t.servers[b] != last.servers[b] {
			r.Counters.Moved++
		}
	}
	svc.tables = append(svc.tables, t)
	if n := len(svc.tables) - maxTables; n > 0 {
		svc.tables = slices.Delete(svc.tables, 0, n)
	}
}

// nextChange returns the earliest time after now at which a mark of a server of
// the service takes effect, or the zero time if there is none.
func (r *Router) nextChange(now time.Time, svc *service) time.Time {
	var next time.Time
	for _, id := range svc.servers {
		at := r.servers[id].since.Add(conf.EffectAfter)
		if at.After(now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// newTable returns the table that assigns the buckets to the given servers.
func newTable(now time.Time, ids []conf.ServerID) table {
	t := table{from: now, eligible: ids}
	for b := range t.servers {
		t.servers[b] = rendezvousServer(b, ids)
	}
	return t
}

// rendezvousServer returns the server of a bucket by rendezvous hashing, or 0 if
// there are no servers. Adding or removing a server moves only the buckets that
// are assigned to it.
func rendezvousServer(bucket int, ids []conf.ServerID) conf.ServerID {
	var best conf.ServerID
	var top uint64
	for _, id := range ids {
		var b [8]byte
		binary.BigEndian.PutUint32(b[0:], uint32(bucket))
		binary.BigEndian.PutUint32(b[4:], uint32(id))
		if h := xxhash.Sum64(b[:]); best == 0 || h > top {
			best, top = id, h
		}
	}
	return best
}

// currentTable returns the newest table of a service. It builds the first tables
// if there are none.
func (r *Router) currentTable(now time.Time, svc *service) *table {
	if len(svc.tables) == 0 {
		svc.tables = append(svc.tables, r.firstTables(now, svc)...)
		svc.nextChangeAt = r.nextChange(now, svc)
	}
	// All instances switch to a new table at the same time, not at their next
	// tick. Otherwise a flow opened by the new table could be routed by the
	// old one at another instance.
	if !svc.nextChangeAt.IsZero() && !now.Before(svc.nextChangeAt) {
		r.rebuild(now, svc)
	}
	return &svc.tables[len(svc.tables)-1]
}

// firstTables builds the recent tables from the times at which the marks took
// effect, so that an instance that starts during a transition routes flows like
// the others.
func (r *Router) firstTables(now time.Time, svc *service) []table {
	changes := []time.Time{now}
	for _, id := range svc.servers {
		if at := r.servers[id].since.Add(conf.EffectAfter); !r.servers[id].since.IsZero() && at.Before(now) {
			changes = append(changes, at, at.Add(-time.Millisecond))
		}
	}
	slices.SortFunc(changes, time.Time.Compare)
	var tables []table
	for _, at := range changes {
		ids := r.eligible(at, svc)
		if n := len(tables); n > 0 && slices.Equal(tables[n-1].eligible, ids) {
			continue
		}
		tables = append(tables, newTable(at, ids))
	}
	return tables[max(0, len(tables)-maxTables):]
}

// oldestServer returns the earliest server of a bucket that still serves flows
// and differs from the current one. If there is none, it returns the current
// server and false.
func (r *Router) oldestServer(svc *service, bucket int) (conf.ServerID, bool) {
	current := svc.tables[len(svc.tables)-1].servers[bucket]
	for i := range svc.tables {
		id := svc.tables[i].servers[bucket]
		if id != current && r.servers[id].servesFlows() {
			return id, true
		}
	}
	return current, false
}

// settled reports whether settleTime has passed since the newest table took
// effect, so that owners know every older flow.
func (svc *service) settled(now time.Time) bool {
	return now.Sub(svc.tables[len(svc.tables)-1].from) >= settleTime
}

// byBucket routes a packet without a token by the bucket of its flow. While the
// bucket is in transition, it uses the record of the flow's server.
func (r *Router) byBucket(now time.Time, svc *service, p *wire.Packet) Route {
	t := r.currentTable(now, svc)
	key := keyOf(p)
	b := key.bucket()
	oldServer, moved := r.oldestServer(svc, b)
	if !moved {
		return r.forwardStateless(svc, t.servers[b])
	}
	if p.Frame.Kind == wire.KindOpen {
		r.register(now, svc, key, t.servers[b])
		return r.forwardStateless(svc, t.servers[b])
	}
	if c, ok := r.cache[key]; ok && now.Sub(c.confirmedAt) < cacheTTL && r.servers[c.server].servesFlows() {
		return r.forwardStateless(svc, c.server)
	}
	return r.lookUp(now, svc, key, oldServer, p)
}

// forwardStateless returns the route of a flow without a token to a server. If
// the server is 0, it refuses the packet.
func (r *Router) forwardStateless(svc *service, id conf.ServerID) Route {
	if id == 0 {
		return Route{Reason: wire.ReasonNoServer, Stateless: true}
	}
	rt := r.forward(id, r.servers[id].generation, svc.id)
	rt.Stateless = true
	return rt
}
