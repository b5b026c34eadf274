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

// report lists a row for the next call of Updates.
func (t *Table) report(r *row) {
	if !r.queued {
		r.queued = true
		t.changed = append(t.changed, r.id)
	}
}

// Urgent reports whether a change waits to be sent. Falls must reach peers at
// once, so the caller sends Updates to all peers when it is true.
func (t *Table) Urgent() bool { return len(t.changed) > 0 }

// Updates appends the changes since the last call, filled up with other
// servers in turn so that new instances learn all stages.
func (t *Table) Updates(dst []Update) []Update {
	n := len(dst)
	take := min(len(t.changed), maxUpdates)
	for _, id := range t.changed[:take] {
		if r := t.rows[id]; r != nil {
			r.queued = false
			dst = append(dst, r.update())
		}
	}
	t.changed = append(t.changed[:0], t.changed[take:]...)
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
			t.machine.fire(r, eventFall)
			t.report(r)
		}
	}
	if stage > r.stage && r.state != StateSuspect {
		t.rise(now, r, stage)
	}
}

// DecodeUpdates decodes the body of a wire.PeerStages message.
func DecodeUpdates(body []byte) ([]Update, error) { return wire.DecodePeer[[]Update](body) }
