package server

import (
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wire"
)

// maxUpdatesPerMessage is the maximum number of updates in one message.
const maxUpdatesPerMessage = 16

// Update informs peers of the stage of one server. The body of a
// wire.PeerStages message is a slice of updates.
type Update struct {
	_          struct{} `cbor:",toarray"`
	Server     conf.ServerID
	Generation uint32
	// Boot identifies the server process. Falls is the number of times that
	// process returned to a cold start.
	Boot  uint64
	Falls uint32
	Stage uint8
	// HeardAt is when the sender last received a frame from that process itself,
	// as Unix time in milliseconds.
	HeardAt int64
}

// urgentRiseInterval is the minimum time between two rises that are sent at
// once. Sending one to 32 peers takes up to 11 KB.
const urgentRiseInterval = 4 * time.Second

// queueRise queues a server that reached a higher stage, so that Updates returns
// it. It marks the rise urgent unless an earlier one was within
// urgentRiseInterval.
func (t *Table) queueRise(now time.Time, e *entry) {
	if !e.risePending {
		e.risePending = true
		t.pendingRises = append(t.pendingRises, e.id)
	}
	if age := now.Sub(t.lastUrgentRise); age >= urgentRiseInterval || age < 0 {
		t.lastUrgentRise, t.urgentRise = now, true
	}
}

// queueFall queues a server that returned to a cold start. Updates returns
// these servers before all others.
func (t *Table) queueFall(e *entry) {
	if !e.fallPending {
		e.fallPending = true
		t.pendingFalls = append(t.pendingFalls, e.id)
	}
}

// Urgent reports whether a change is pending that must be sent to peers at
// once. The caller then sends Updates to many peers. A return to a cold start
// is always urgent. A higher stage can usually wait for the next round, because
// peers that have not learned of it assume the lower stage: when each was sent
// at once, the stages of 320 servers that warmed up took 68 KB/s. One rise in
// each urgentRiseInterval is still urgent, because otherwise a slow server that
// had returned to a cold start took longer than 20 s to be warm on all
// instances.
func (t *Table) Urgent() bool { return len(t.pendingFalls) > 0 || t.urgentRise }

// Updates appends pending updates to dst. If servers returned to a cold start,
// it appends only those. Otherwise it appends pending rises and fills the rest
// with other servers in turn, so that new instances learn all stages.
func (t *Table) Updates(dst []Update) []Update {
	if len(t.pendingFalls) > 0 {
		return t.takePending(dst, &t.pendingFalls, func(e *entry) { e.fallPending = false })
	}
	n := len(dst)
	t.urgentRise = false
	dst = t.takePending(dst, &t.pendingRises, func(e *entry) { e.risePending = false })
	for range t.probeOrder {
		if len(dst)-n >= maxUpdatesPerMessage {
			break
		}
		t.lastRepeated = (t.lastRepeated + 1) % len(t.probeOrder)
		if e := t.probeOrder[t.lastRepeated]; e.boot != 0 {
			dst = append(dst, e.newUpdate())
		}
	}
	return dst
}

// takePending removes up to maxUpdatesPerMessage servers from a list and
// appends their updates to dst. It calls taken for each of their entries.
func (t *Table) takePending(dst []Update, list *[]conf.ServerID, taken func(*entry)) []Update {
	n := min(len(*list), maxUpdatesPerMessage)
	for _, id := range (*list)[:n] {
		if e := t.entries[id]; e != nil {
			taken(e)
			dst = append(dst, e.newUpdate())
		}
	}
	*list = append((*list)[:0], (*list)[n:]...)
	return dst
}

func (e *entry) newUpdate() Update {
	return Update{Server: e.id, Generation: e.generation, Boot: e.boot, Falls: e.falls, Stage: uint8(min(e.stage, 255)), HeardAt: e.confirmedAt.UnixMilli()}
}

// Merge applies updates from a peer. For the same server process, an update
// with more falls replaces the known stage, and with equal falls the higher
// stage applies. An update about a different process applies only if the peer
// heard from it later than this instance heard from the process it knows. An
// update older than the identity TTL is ignored.
func (t *Table) Merge(now time.Time, updates []Update) {
	for i := range updates {
		u := &updates[i]
		e := t.entries[u.Server]
		if e == nil || e.generation != u.Generation || u.Boot == 0 || e.state == StateLeaving {
			t.StaleUpdates++
			continue
		}
		t.merge(now, e, u)
	}
}

func (t *Table) merge(now time.Time, e *entry, u *Update) {
	heard := time.UnixMilli(u.HeardAt)
	recent := now.Sub(heard) < e.limits.IdentityTTL
	stage := min(int(u.Stage), 16)
	switch {
	case u.Boot == e.boot && u.Falls < e.falls, u.Boot != e.boot && !heard.After(e.confirmedAt), !recent:
		t.StaleUpdates++
		return
	case u.Boot != e.boot || u.Falls > e.falls:
		fell := e.boot != 0
		e.boot, e.falls = u.Boot, u.Falls
		t.resetStage(now, e)
		if fell {
			t.Falls++
			t.fire(e, eventFall)
			t.queueFall(e)
		}
	}
	if stage > e.stage && e.state != StateSuspect {
		t.raiseStage(now, e, stage)
	}
}

// DecodeUpdates decodes the body of a wire.PeerStages message.
func DecodeUpdates(body []byte) ([]Update, error) { return wire.DecodePeer[[]Update](body) }
