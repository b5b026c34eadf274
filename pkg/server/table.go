// Package server keeps the table of backend servers as one instance sees
// them: lifecycle state, confirmed identity and stage of the cold start. It
// detects new cold starts and unresponsive servers from answers and probes,
// and exchanges stages with peers. It is not safe for concurrent use.
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
	// Rand adds jitter to the probe interval.
	Rand *rand.Rand
	// Log receives a line for each change of a server's state. It may be nil.
	Log *slog.Logger
	// Fresh is whether this instance is known to have recent settings.
	// Set it with SetFresh.
	Fresh bool

	// Falls counts detected cold starts of servers that had been heard from
	// before, Mismatches counts frames from a server with another identity than
	// expected, Suspected counts changes to StateSuspect, and StaleUpdates
	// counts updates from peers that were ignored.
	Falls, Mismatches, Suspected, StaleUpdates uint64

	machine        machine
	entries        map[conf.ServerID]*entry
	byAddr         map[netip.AddrPort]*entry
	probeOrder     []*entry
	pendingRises   []conf.ServerID
	pendingFalls   []conf.ServerID
	lastUrgentRise time.Time // when a rise was last marked urgent
	urgentRise     bool      // a pending rise must be sent at once
	lastRepeated   int       // index in probeOrder of the server that Updates repeated last
	lastSnapshot   *conf.Snapshot
	// pauseEpoch is a random number that changes with every pause of this
	// process. Probes carry it and servers echo it, so that answers to probes
	// from before a pause are recognized.
	pauseEpoch uint32
}

// entry is the state of one server.
type entry struct {
	id         conf.ServerID
	service    conf.ServiceID
	generation uint32
	addr       netip.AddrPort
	limits     Limits
	state      string

	boot        uint64 // identifier of the server process, 0 until it is known
	stage       int
	stageStart  time.Time
	confirmedAt time.Time
	nextProbe   time.Time
	avgLatency  time.Duration // moving average of the latency of answers
	// The counts are 32 bits wide because a table may hold 140,000 entries.
	falls            uint32 // times that the server process returned to a cold start
	confirmedEpoch   uint32 // Table.pauseEpoch at the last confirmation
	answers          int32  // successful answers in this stage
	slowAnswers      int32  // consecutive answers that took more than latencyStepFactor times the average
	timeouts         int32
	unansweredProbes int32 // probes sent since the server was last heard from

	risePending   bool // listed in Table.pendingRises
	fallPending   bool // listed in Table.pendingFalls
	markedLeaving bool // marked leaving, or its failure domain is marked out
	domainOut     bool // its failure domain is marked out
}

// Apply updates the table to the server records of a snapshot. Servers that are
// no longer leaving, or that have a new generation, address or service, start
// cold.
func (t *Table) Apply(now time.Time, s *conf.Snapshot) {
	if t.entries == nil {
		t.machine = newMachine()
		t.Log = logs.OrDiscard(t.Log)
		t.entries = map[conf.ServerID]*entry{}
	}
	diff, ok := conf.DiffServers(t.lastSnapshot, s)
	t.lastSnapshot = s
	if ok {
		t.applyDiff(now, s, diff)
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
	for id, e := range t.entries {
		if !seen[id] {
			t.remove(e)
		}
	}
	t.rebuildIndex()
}

// applyDiff updates the entries of the servers that changed. Applying a whole
// snapshot of 140,000 records at each change took more CPU time than all other
// control work.
func (t *Table) applyDiff(now time.Time, s *conf.Snapshot, diff conf.ServerDiff) {
	values := &conf.Cache{Snapshot: s}
	before := map[conf.ServerID]*entry{}
	for _, rec := range slices.Concat(diff.Old, diff.New) {
		before[rec.ID] = t.entries[rec.ID]
	}
	for _, e := range before {
		if e != nil && t.byAddr[e.addr] == e {
			delete(t.byAddr, e.addr)
		}
	}
	keep := map[conf.ServerID]bool{}
	for _, rec := range diff.New {
		if rec.Mark != conf.MarkRemoved {
			keep[rec.ID] = true
			t.applyRecord(now, s, values, rec)
		}
	}
	for id, e := range before {
		if e != nil && !keep[id] {
			t.remove(e)
		}
		t.updateIndex(id)
	}
}

func (t *Table) remove(e *entry) {
	t.fire(e, eventRemove)
	delete(t.entries, e.id)
}

// updateIndex adds the entry of a server to the probe order and the address
// index, or removes the server from the probe order if it has no entry.
func (t *Table) updateIndex(id conf.ServerID) {
	e := t.entries[id]
	i, found := slices.BinarySearchFunc(t.probeOrder, id, func(e *entry, id conf.ServerID) int { return cmp.Compare(e.id, id) })
	switch {
	case e == nil && found:
		t.probeOrder = slices.Delete(t.probeOrder, i, i+1)
	case e == nil:
	case found:
		t.probeOrder[i] = e
	default:
		t.probeOrder = slices.Insert(t.probeOrder, i, e)
	}
	if e != nil {
		t.byAddr[e.addr] = e
	}
}

func (t *Table) applyRecord(now time.Time, s *conf.Snapshot, values *conf.Cache, rec conf.Server) {
	var service conf.ServiceID
	if n := s.Nodes[rec.Service]; n.Values.ServiceID != nil {
		service = *n.Values.ServiceID
	}
	e := t.entries[rec.ID]
	if e == nil || e.generation != rec.Generation || e.addr != rec.Addr || e.service != service {
		e = &entry{id: rec.ID, state: StateCold, stageStart: now, nextProbe: now, service: service, generation: rec.Generation, addr: rec.Addr}
		t.entries[rec.ID] = e
	}
	e.limits = limitsOf(values.Server(&rec))
	wasLeaving := e.markedLeaving
	e.domainOut = domainOut(s, rec)
	e.markedLeaving = rec.Mark == conf.MarkLeaving || e.domainOut
	switch {
	case e.markedLeaving:
		t.fire(e, eventLeave)
	case wasLeaving && t.fire(e, eventReturn):
		t.resetStage(now, e)
	}
}

// domainOut reports whether the failure domain of a server is marked out. The
// servers of a domain start cold when it is no longer marked out.
func domainOut(s *conf.Snapshot, rec conf.Server) bool {
	d, ok := s.DomainOf(&rec)
	return ok && d.Mark == conf.MarkOut
}

// Paused handles a pause of this process that ended at now. Frames that waited
// in its socket do not show the current state of the servers. Therefore it
// ends all confirmations, and each server must answer a new probe.
func (t *Table) Paused(now time.Time) {
	t.pauseEpoch = max(1, t.Rand.Uint32())
	for _, e := range t.entries {
		e.confirmedAt, e.nextProbe = time.Time{}, now
	}
}

// rebuildIndex rebuilds the probe order and the address index.
func (t *Table) rebuildIndex() {
	t.byAddr = make(map[netip.AddrPort]*entry, len(t.entries))
	t.probeOrder = t.probeOrder[:0]
	for _, e := range t.entries {
		t.byAddr[e.addr] = e
		t.probeOrder = append(t.probeOrder, e)
	}
	slices.SortFunc(t.probeOrder, func(a, b *entry) int { return int(int64(a.id) - int64(b.id)) })
}

// resetStage starts the first stage of a cold start.
func (t *Table) resetStage(now time.Time, e *entry) {
	e.stage, e.answers, e.slowAnswers, e.stageStart = 0, 0, 0, now
	e.avgLatency = 0
}

// freshConfirmationFactor multiplies the lifetime of a confirmation while this
// instance is fresh. An address is reused for another service only after a
// quarantine of at least 10 s following its removal from the settings, and a
// fresh instance has learned of the removal by then. An instance that is not
// fresh is protected by the identity TTL alone. With a factor of 2, the
// confirmation of a dead server still ends after the identity TTL, because the
// second unanswered probe is sent within that time. With a factor of 3 it lasted
// longer, and a server that was back after 3 s received the load of a warm one.
const freshConfirmationFactor = 2

// SetFresh sets whether this instance is fresh, that is, known to have recent
// settings. When it stops being fresh, confirmations older than the identity
// TTL end and all servers are probed at once.
func (t *Table) SetFresh(now time.Time, fresh bool) {
	if t.Fresh && !fresh {
		for _, e := range t.probeOrder {
			e.nextProbe = now
		}
	}
	t.Fresh = fresh
}

// confirmationTTL returns how long a confirmation of the server's identity
// lasts. A fresh instance uses the longer time until two probes are unanswered.
func (t *Table) confirmationTTL(e *entry) time.Duration {
	if t.Fresh && e.unansweredProbes < 2 {
		return freshConfirmationFactor * e.limits.IdentityTTL
	}
	return e.limits.IdentityTTL
}

// Confirmed returns whether the identity of a server is confirmed, and the
// time until which a frame that is sent at now may arrive there. The time is
// at most the identity TTL after now, because a paused instance does not
// notice that it is no longer fresh.
func (t *Table) Confirmed(now time.Time, id conf.ServerID) (time.Time, bool) {
	e := t.entries[id]
	if e == nil || e.confirmedAt.IsZero() {
		return time.Time{}, false
	}
	until := e.confirmedAt.Add(t.confirmationTTL(e))
	if latest := now.Add(e.limits.IdentityTTL); latest.Before(until) {
		until = latest
	}
	return until, now.Before(until)
}

// Usable returns the time until which the identity of a server is confirmed
// and wire.ReasonNone if the server may get new work. Otherwise it returns the
// reason why it may not.
func (t *Table) Usable(now time.Time, id conf.ServerID) (time.Time, wire.Reason) {
	e := t.entries[id]
	if e == nil {
		return time.Time{}, wire.ReasonServerGone
	}
	switch e.state {
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

// Stage returns the number of requests that may be in progress on the server
// from all instances together, the stage of its cold start, and whether it is
// warm.
func (t *Table) Stage(id conf.ServerID) (total, stage int, warm bool) {
	e := t.entries[id]
	if e == nil {
		return 0, 0, false
	}
	return e.limits.requestsAtStage(e.stage), e.stage, e.state == StateWarm
}

// State returns the lifecycle state of a server, StateGone if it is not in the
// table.
func (t *Table) State(id conf.ServerID) string {
	if e := t.entries[id]; e != nil {
		return e.state
	}
	return StateGone
}
