// Package dist distributes settings between instances. It holds the replica of
// the settings, which only advances to higher revisions, the deltas between
// revisions, the selection of the instances that read from the platform, and
// the rules that decide whether an instance is fresh, that is, known to have
// recent settings.
package dist

import "ebonypaddle/pkg/conf"

// maxDeltas is the number of deltas a replica keeps. With 21,000 changes a day,
// one every 4 s, a peer that missed four minutes still receives a delta instead
// of a whole snapshot.
const maxDeltas = 64

// Counters are the event counts of a replica.
type Counters struct {
	// Applied counts advances to a higher revision. Stale counts snapshots and
	// deltas that were ignored because their revision is not higher. Gaps counts
	// deltas that begin at another revision than the replica's. Regressed counts
	// snapshots of the platform with a lower revision than the replica's.
	Applied, Stale, Gaps, Regressed uint64
}

// Replica holds the whole settings at one revision. It is not safe for
// concurrent use; the snapshots it returns are shared and never changed.
type Replica struct {
	Counters Counters

	current *conf.Snapshot
	deltas  []Delta
}

// Current returns the settings, or nil if none have been received yet.
func (r *Replica) Current() *conf.Snapshot { return r.current }

// Rev returns the revision of the settings, or 0 if none have been received yet.
func (r *Replica) Rev() uint64 {
	if r.current == nil {
		return 0
	}
	return r.current.Rev
}

// ApplySnapshot applies a snapshot from the platform and returns whether the
// replica advanced. It ignores a snapshot whose revision is not higher. A lower
// revision comes from a lagging replica or a restored backup of the platform.
func (r *Replica) ApplySnapshot(s *conf.Snapshot) bool {
	if s.Rev <= r.Rev() {
		r.Counters.Stale++
		if s.Rev < r.Rev() {
			r.Counters.Regressed++
		}
		return false
	}
	r.advance(s, nil)
	return true
}

// Apply applies a delta from a peer.
func (r *Replica) Apply(d Delta) Result {
	switch {
	case d.To <= r.Rev():
		r.Counters.Stale++
		return Ignored
	case d.Full:
		r.advance(d.applyTo(&conf.Snapshot{}), nil)
	case r.current == nil || d.From != r.Rev():
		// A delta lists only the records that differ between its two revisions.
		// Applied to another revision, it would leave records wrong that changed
		// outside this range, or that changed within it and changed back.
		r.Counters.Gaps++
		return Gap
	default:
		r.advance(d.applyTo(r.current), &d)
	}
	return Advanced
}

// Result is the outcome of Apply.
type Result uint8

// Results of Apply. After Gap the caller must pull from the peer.
const (
	Ignored Result = iota
	Advanced
	Gap
)

// applyTo returns a new snapshot with the delta applied to s.
func (d Delta) applyTo(s *conf.Snapshot) *conf.Snapshot {
	return &conf.Snapshot{
		Rev:   d.To,
		Nodes: d.Nodes.apply(s.Nodes), Domains: d.Domains.apply(s.Domains),
		Servers: d.Servers.apply(s.Servers), Keys: d.Keys.apply(s.Keys),
	}
}

// advance replaces the current settings by s and stores the delta. If delta is
// nil, advance computes it.
func (r *Replica) advance(s *conf.Snapshot, delta *Delta) {
	r.Counters.Applied++
	if r.current != nil {
		if len(r.deltas) == maxDeltas {
			r.deltas = append(r.deltas[:0], r.deltas[1:]...)
		}
		if delta == nil {
			d := diffSnapshots(r.current, s)
			delta = &d
		}
		r.deltas = append(r.deltas, *delta)
	}
	r.current = s
}

// Delta returns the delta from revision since to the current one. It is a full
// delta if the replica has no stored deltas from that revision on. Delta returns
// false if the revision since is not lower than the current one.
func (r *Replica) Delta(since uint64) (Delta, bool) {
	if r.current == nil || since >= r.current.Rev {
		return Delta{}, false
	}
	for i := len(r.deltas) - 1; i >= 0; i-- {
		if r.deltas[i].From != since {
			continue
		}
		d := r.deltas[i]
		for _, next := range r.deltas[i+1:] {
			d = d.compose(next)
		}
		return d, true
	}
	return fullDelta(r.current), true
}
