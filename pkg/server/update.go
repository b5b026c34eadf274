package server

import (
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wire"
)

// maxUpdates bounds the updates in one heartbeat, in entries.
const maxUpdates = 16

// Update tells peers the stage of one server. Bodies of wire.PeerStages are
// slices of it.
type Update struct {
	_          struct{} `cbor:",toarray"`
	Server     conf.ServerID
	Generation uint32
	// Boot is the server process that was seen, and Falls the number of
	// falls into cold start of that process.
	Boot  uint64
	Falls uint32
	Stage uint8
	// Heard is the Unix time in milliseconds at which the sender last heard
	// that process itself.
	Heard int64
}

// riseEvery is the shortest time between two rises that are sent at once. Each
// of them takes up to 11 KB with 32 peers.
const riseEvery = 4 * time.Second

// reportRise lists a row for the next call of Updates.
func (t *Table) reportRise(now time.Time, r *row) {
	if !r.queued {
		r.queued = true
		t.changed = append(t.changed, r.id)
	}
	if age := now.Sub(t.risen); age >= riseEvery || age < 0 {
		t.risen, t.rising = now, true
	}
}

// reportFall lists a row ahead of all that did not fall.
func (t *Table) reportFall(r *row) {
	if !r.fell {
		r.fell = true
		t.fallen = append(t.fallen, r.id)
	}
}

// Urgent reports whether a change waits that peers must hear at once; the
// caller then sends Updates to many of them. Falls always must. A higher stage
// can wait for the next round, since a peer that has not heard assumes the
// lower one: sent at once, the stages of 320 servers that warmed up took 68 KB
// a second. A single one may not, because a slow server that fell took longer
// than 20 s to be warm for all.
func (t *Table) Urgent() bool { return len(t.fallen) > 0 || t.rising }

// Updates appends falls that wait, alone. Without any it appends the other
// changes since the last call, filled up with other servers in turn so that
// new instances learn all stages.
func (t *Table) Updates(dst []Update) []Update {
	if len(t.fallen) > 0 {
		return t.take(dst, &t.fallen, func(r *row) { r.fell = false })
	}
	n := len(dst)
	t.rising = false
	dst = t.take(dst, &t.changed, func(r *row) { r.queued = false })
	for range t.order {
		if len(dst)-n >= maxUpdates {
			break
		}
		t.next = (t.next + 1) % len(t.order)
		if r := t.order[t.next]; r.boot != 0 {
			dst = append(dst, r.update())
		}
	}
	return dst
}

// take appends updates of up to maxUpdates servers of a list and takes them
// off it.
func (t *Table) take(dst []Update, list *[]conf.ServerID, taken func(*row)) []Update {
	n := min(len(*list), maxUpdates)
	for _, id := range (*list)[:n] {
		if r := t.rows[id]; r != nil {
			taken(r)
			dst = append(dst, r.update())
		}
	}
	*list = append((*list)[:0], (*list)[n:]...)
	return dst
}

func (r *row) update() Update {
	return Update{Server: r.id, Generation: r.generation, Boot: r.boot, Falls: r.falls, Stage: uint8(min(r.stage, 255)), Heard: r.confirmed.UnixMilli()}
}

// Merge takes updates from a peer. Of one process, more falls outweigh any
// stage and a higher stage outweighs a lower one. A different process counts
// only when the peer heard it later than this instance heard its own; an
// update older than the identity TTL never raises a stage.
func (t *Table) Merge(now time.Time, updates []Update) {
	for i := range updates {
		u := &updates[i]
		r := t.rows[u.Server]
		if r == nil || r.generation != u.Generation || u.Boot == 0 || r.state == StateLeaving {
			t.StaleUpdates++
			continue
		}
		t.merge(now, r, u)
	}
}

func (t *Table) merge(now time.Time, r *row, u *Update) {
	heard := time.UnixMilli(u.Heard)
	recent := now.Sub(heard) < r.limits.IdentityTTL
	stage := min(int(u.Stage), 16)
	switch {
	case u.Boot == r.boot && u.Falls < r.falls, u.Boot != r.boot && !heard.After(r.confirmed), !recent:
		t.StaleUpdates++
		return
	case u.Boot != r.boot || u.Falls > r.falls:
		fell := r.boot != 0
		r.boot, r.falls = u.Boot, u.Falls
		t.reset(now, r)
		if fell {
			t.Falls++
			t.fire(r, eventFall)
			t.reportFall(r)
		}
	}
	if stage > r.stage && r.state != StateSuspect {
		t.rise(now, r, stage)
	}
}

// DecodeUpdates decodes the body of a wire.PeerStages message.
func DecodeUpdates(body []byte) ([]Update, error) { return wire.DecodePeer[[]Update](body) }
