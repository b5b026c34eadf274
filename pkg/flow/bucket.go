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
	// Buckets is the number of buckets of a service. With 20 servers it
	// keeps the shares within a few percent of each other.
	Buckets = 4096
	// settleTime is how long owners collect the flows that existed before a
	// change. It exceeds twice the interval at which callers keep flows
	// alive, so that every live flow has been seen.
	settleTime = 2 * time.Minute
	// maxTables bounds the assignments of one service that are remembered,
	// 16 KB each. With 4 of them, the fifth change within a minute broke the
	// flows that still were on the server of the first.
	maxTables = 32
)

// Key identifies the flow of a caller that carries no token.
type Key uint64

// keyOf hashes the addresses and the caller's identifier of the flow.
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

// service is a service with the bucket tables of its recent past.
type service struct {
	id      conf.ServiceID
	members []conf.ServerID
	// tables holds assignments of buckets to servers, newest last. It stays
	// empty until the first packet without a token arrives, since a table
	// takes 16 KB.
	tables []table
	// next is when the next mark takes effect, zero when none is pending.
	next time.Time
}

// table assigns buckets to servers.
type table struct {
	// from is when the table took effect.
	from     time.Time
	eligible []conf.ServerID
	servers  [Buckets]conf.ServerID
}

// eligible returns the servers of a service that take new flows at now. A
// mark takes effect some seconds after it was set, when every instance has
// heard of it.
func (r *Router) eligible(now time.Time, svc *service) []conf.ServerID {
	var ids []conf.ServerID
	for _, id := range svc.members {
		b := r.servers[id]
		if !b.runs() {
			continue
		}
		settled := !now.Before(b.since.Add(conf.EffectAfter))
		if (b.mark == conf.MarkIn) == settled {
			ids = append(ids, id)
		}
	}
	return ids
}

// rebuild adds a table when the eligible servers of a service have changed.
func (r *Router) rebuild(now time.Time, svc *service) {
	if len(svc.tables) == 0 {
		return
	}
	svc.next = r.nextChange(now, svc)
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

// nextChange returns the earliest time after now at which a mark takes effect.
func (r *Router) nextChange(now time.Time, svc *service) time.Time {
	var next time.Time
	for _, id := range svc.members {
		at := r.servers[id].since.Add(conf.EffectAfter)
		if at.After(now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

func newTable(now time.Time, ids []conf.ServerID) table {
	t := table{from: now, eligible: ids}
	for b := range t.servers {
		t.servers[b] = highest(b, ids)
	}
	return t
}

// highest returns the server that wins the bucket by rendezvous hashing. A
// change of the set moves only the buckets that the changed server wins.
func highest(bucket int, ids []conf.ServerID) conf.ServerID {
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

// current returns the newest table and builds the first one when needed.
func (r *Router) current(now time.Time, svc *service) *table {
	if len(svc.tables) == 0 {
		svc.tables = append(svc.tables, r.firstTables(now, svc)...)
		svc.next = r.nextChange(now, svc)
	}
	// Instances switch at the same time, not at their next tick: a flow that
	// was opened by a new table must not meet an old one elsewhere.
	if !svc.next.IsZero() && !now.Before(svc.next) {
		r.rebuild(now, svc)
	}
	return &svc.tables[len(svc.tables)-1]
}

// firstTables rebuilds the recent assignments from the times of the marks, so
// that an instance that starts during a transition takes part in it.
func (r *Router) firstTables(now time.Time, svc *service) []table {
	changes := []time.Time{now}
	for _, id := range svc.members {
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

// oldest returns the oldest remembered server of a bucket that still runs,
// and whether it differs from the current one.
func (r *Router) oldest(svc *service, bucket int) (conf.ServerID, bool) {
	now := svc.tables[len(svc.tables)-1].servers[bucket]
	for i := range svc.tables {
		id := svc.tables[i].servers[bucket]
		if id != now && r.servers[id].runs() {
			return id, true
		}
	}
	return now, false
}

// settled reports whether owners have had the time to learn every flow that
// existed before the newest table.
func (svc *service) settled(now time.Time) bool {
	return now.Sub(svc.tables[len(svc.tables)-1].from) >= settleTime
}

// byBucket routes the packet of a caller that carries nothing.
func (r *Router) byBucket(now time.Time, svc *service, p *wire.Packet) Route {
	t := r.current(now, svc)
	key := keyOf(p)
	b := key.bucket()
	old, moved := r.oldest(svc, b)
	if !moved {
		return r.stateless(svc, t.servers[b])
	}
	if p.Frame.Kind == wire.KindOpen {
		r.note(now, svc, key, t.servers[b])
		return r.stateless(svc, t.servers[b])
	}
	if c, ok := r.cache[key]; ok && now.Sub(c.at) < cacheTime && r.servers[c.server].runs() {
		return r.stateless(svc, c.server)
	}
	return r.ask(now, svc, key, old, p)
}

func (r *Router) stateless(svc *service, id conf.ServerID) Route {
	if id == 0 {
		return Route{Reason: wire.ReasonNoServer, Stateless: true}
	}
	rt := r.forward(id, r.servers[id].generation, svc.id)
	rt.Stateless = true
	return rt
}
