// Package server keeps the table of backend servers as one instance sees
// them: lifecycle, confirmed identity and stage of the cold start. It is not
// safe for concurrent use.
package server

import (
	"cmp"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/logs"
	"ebonypaddle/pkg/wire"
)

// Table holds the backend servers that the settings list.
type Table struct {
	// Rand spreads the probes over time.
	Rand *rand.Rand
	// Log takes a line for each change of a server's state; it may be nil.
	Log *slog.Logger
	// Fresh says that this instance knows the settings of the last seconds.
	// Set it with SetFresh.
	Fresh bool

	// Falls counts detected falls into cold start, Mismatches frames whose
	// identity was not the expected one, Suspected servers that stopped
	// answering, StaleUpdates peers' updates that were not used.
	Falls, Mismatches, Suspected, StaleUpdates uint64

	machine machine
	rows    map[conf.ServerID]*row
	addrs   map[netip.AddrPort]*row
	order   []*row
	changed []conf.ServerID
	fallen  []conf.ServerID
	risen   time.Time // when a rise was last sent at once
	rising  bool      // a rise is to be sent at once
	next    int
	last    *conf.Snapshot
	// era changes with every pause; probes carry it and servers repeat it.
	era uint32
}

type row struct {
	id         conf.ServerID
	service    conf.ServiceID
	generation uint32
	addr       netip.AddrPort
	limits     Limits
	state      string

	boot      uint64
	stage     int
	since     time.Time // start of the stage
	confirmed time.Time
	probeAt   time.Time
	latency   time.Duration // moving average of answers
	// The counts take four bytes each, since a table may hold 140,000 rows.
	falls    uint32
	era      uint32 // of the last confirmation
	answers  int32  // successful answers in the stage
	steps    int32  // answers in a row at four times the average
	timeouts int32
	unheard  int32 // probes since the server was last heard

	queued bool // listed in Table.changed
	fell   bool // listed in Table.fallen
	marked bool // operators mark the server or its domain
	out    bool // operators took the domain out
}

// Apply takes over the server records of the settings. Servers that return
// from leaving, or come back under a new generation or address, start cold.
func (t *Table) Apply(now time.Time, s *conf.Snapshot) {
	if t.rows == nil {
		t.machine = newMachine()
		t.Log = logs.OrDiscard(t.Log)
		t.rows = map[conf.ServerID]*row{}
	}
	step, ok := conf.DiffServers(t.last, s)
	t.last = s
	if ok {
		t.applyStep(now, s, step)
		return
	}
	seen := make(map[conf.ServerID]bool, len(s.Servers))
	values := &conf.Cache{Snapshot: s}
	for _, rec := range s.Servers {
		if rec.Mark == conf.MarkRemoved {
			continue
		}
		seen[rec.ID] = true
		t.applyRecord(now, s, values, rec)
	}
	for id, r := range t.rows {
		if !seen[id] {
			t.remove(r)
		}
	}
	t.index()
}

// applyStep takes over a few records. A whole snapshot of 140,000 records at
// every change took more of a core than all other control work.
func (t *Table) applyStep(now time.Time, s *conf.Snapshot, step conf.ServerDiff) {
	values := &conf.Cache{Snapshot: s}
	before := map[conf.ServerID]*row{}
	for _, rec := range slices.Concat(step.Old, step.Set) {
		before[rec.ID] = t.rows[rec.ID]
	}
	for _, r := range before {
		if r != nil && t.addrs[r.addr] == r {
			delete(t.addrs, r.addr)
		}
	}
	keep := map[conf.ServerID]bool{}
	for _, rec := range step.Set {
		if rec.Mark != conf.MarkRemoved {
			keep[rec.ID] = true
			t.applyRecord(now, s, values, rec)
		}
	}
	for id, r := range before {
		if r != nil && !keep[id] {
			t.remove(r)
		}
		t.place(id)
	}
}

func (t *Table) remove(r *row) {
	t.fire(r, eventRemove)
	delete(t.rows, r.id)
}

// place puts the row of a server, if it has one, into the probe order and the
// index by address.
func (t *Table) place(id conf.ServerID) {
	r := t.rows[id]
	i, found := slices.BinarySearchFunc(t.order, id, func(r *row, id conf.ServerID) int { return cmp.Compare(r.id, id) })
	switch {
	case r == nil && found:
		t.order = slices.Delete(t.order, i, i+1)
	case r == nil:
	case found:
		t.order[i] = r
	default:
		t.order = slices.Insert(t.order, i, r)
	}
	if r != nil {
		t.addrs[r.addr] = r
	}
}

func (t *Table) applyRecord(now time.Time, s *conf.Snapshot, values *conf.Cache, rec conf.Server) {
	var service conf.ServiceID
	if n := s.Nodes[rec.Service]; n.Values.ServiceID != nil {
		service = *n.Values.ServiceID
	}
	r := t.rows[rec.ID]
	if r == nil || r.generation != rec.Generation || r.addr != rec.Addr || r.service != service {
		r = &row{id: rec.ID, state: StateCold, since: now, probeAt: now, service: service, generation: rec.Generation, addr: rec.Addr}
		t.rows[rec.ID] = r
	}
	r.limits = limitsOf(values.Server(&rec))
	was := r.marked
	r.out = domainOut(s, rec)
	r.marked = rec.Mark == conf.MarkLeaving || r.out
	switch {
	case r.marked:
		t.fire(r, eventLeave)
	case was && t.fire(r, eventReturn):
		t.reset(now, r)
	}
}

// domainOut reports whether the failure domain of a server is marked out. Its
// servers start cold when the domain returns.
func domainOut(s *conf.Snapshot, rec conf.Server) bool {
	d, ok := s.DomainOf(&rec)
	return ok && d.Mark == conf.MarkOut
}

// Paused tells that the process did not run for a while until now. Frames that
// waited in its socket meanwhile say nothing of the servers at now, so every
// server must answer a probe that is sent from now on.
func (t *Table) Paused(now time.Time) {
	t.era = max(1, t.Rand.Uint32())
	for _, r := range t.rows {
		r.confirmed, r.probeAt = time.Time{}, now
	}
}

// index rebuilds the probe order and the index by address.
func (t *Table) index() {
	t.addrs = make(map[netip.AddrPort]*row, len(t.rows))
	t.order = t.order[:0]
	for _, r := range t.rows {
		t.addrs[r.addr] = r
		t.order = append(t.order, r)
	}
	slices.SortFunc(t.order, func(a, b *row) int { return int(int64(a.id) - int64(b.id)) })
}

func (t *Table) reset(now time.Time, r *row) {
	r.stage, r.answers, r.steps, r.since = 0, 0, 0, now
	r.latency = 0
}

// freshFactor is by how much a confirmation lasts longer while this instance is
// fresh. An address that serves another service was removed from the settings
// at least the quarantine of 10 s before, which a fresh instance knows; the
// identity TTL alone protects an instance that may not know. With a factor of
// two, a server that dies is unconfirmed after the identity TTL all the same,
// because the second unanswered probe comes within that time. With three it
// took longer, and a server that was back after 3 s got the work of a warm one.
const freshFactor = 2

// SetFresh tells whether this instance is fresh. When it no longer is, older
// confirmations end, and every server is probed at once.
func (t *Table) SetFresh(now time.Time, fresh bool) {
	if t.Fresh && !fresh {
		for _, r := range t.order {
			r.probeAt = now
		}
	}
	t.Fresh = fresh
}

// confirmation returns how long a confirmation lasts.
func (t *Table) confirmation(r *row) time.Duration {
	if t.Fresh && r.unheard < 2 {
		return freshFactor * r.limits.IdentityTTL
	}
	return r.limits.IdentityTTL
}

// Confirmed returns the time until which a frame that is sent at now may
// arrive at a server, and whether its identity is confirmed. The time is at
// most the identity TTL ahead, since a paused instance does not notice that it
// is no longer fresh.
func (t *Table) Confirmed(now time.Time, id conf.ServerID) (time.Time, bool) {
	r := t.rows[id]
	if r == nil || r.confirmed.IsZero() {
		return time.Time{}, false
	}
	until := r.confirmed.Add(t.confirmation(r))
	if latest := now.Add(r.limits.IdentityTTL); latest.Before(until) {
		until = latest
	}
	return until, now.Before(until)
}

// Usable returns ReasonNone when the server may get new work, otherwise why
// it may not, and until when its identity is confirmed.
func (t *Table) Usable(now time.Time, id conf.ServerID) (time.Time, wire.Reason) {
	r := t.rows[id]
	if r == nil {
		return time.Time{}, wire.ReasonServerGone
	}
	switch r.state {
	case StateLeaving:
		return time.Time{}, wire.ReasonServerLeft
	case StateSuspect, StateGone:
		return time.Time{}, wire.ReasonServerGone
	}
	until, ok := t.Confirmed(now, id)
	if !ok {
		return time.Time{}, wire.ReasonUnconfirmed
	}
	return until, wire.ReasonNone
}

// Stage returns the number of requests that all instances together may have
// in progress on the server, its stage, and whether it is warm.
func (t *Table) Stage(id conf.ServerID) (total, stage int, warm bool) {
	r := t.rows[id]
	if r == nil {
		return 0, 0, false
	}
	return r.limits.total(r.stage), r.stage, r.state == StateWarm
}

// State returns the lifecycle state of a server.
func (t *Table) State(id conf.ServerID) string {
	if r := t.rows[id]; r != nil {
		return r.state
	}
	return StateGone
}
