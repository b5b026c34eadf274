// Package dist spreads settings between instances: a replica that only moves
// to higher revisions, deltas between revisions, the choice of readers, and
// the rules by which an instance counts as fresh.
package dist

import "ebonypaddle/pkg/conf"

// logLen is how many deltas a replica keeps. 21,000 changes a day are one in
// 4 s, so a peer that missed four minutes still gets a delta.
const logLen = 64

// Counters of a replica.
type Counters struct {
	// Applied counts moves to a higher revision, Stale what was ignored
	// because its revision is not higher, Gaps deltas from a revision this
	// replica does not hold, Regressed answers of the platform below it.
	Applied, Stale, Gaps, Regressed uint64
}

// Replica holds the whole settings at one revision. It is not safe for
// concurrent use; the snapshots it returns are shared and never changed.
type Replica struct {
	Counters Counters

	cur *conf.Snapshot
	log []Delta
}

// Current returns the settings, nil before any came.
func (r *Replica) Current() *conf.Snapshot { return r.cur }

// Rev returns the revision, 0 before any settings came.
func (r *Replica) Rev() uint64 {
	if r.cur == nil {
		return 0
	}
	return r.cur.Rev
}

// ApplySnapshot takes a snapshot that the platform gave. It reports whether the
// replica moved. A lower revision comes from a lagging replica or a restored
// backup of the platform; the replica keeps its own.
func (r *Replica) ApplySnapshot(s *conf.Snapshot) bool {
	if s.Rev <= r.Rev() {
		r.Counters.Stale++
		if s.Rev < r.Rev() {
			r.Counters.Regressed++
		}
		return false
	}
	r.move(s, nil)
	return true
}

// Apply takes a delta of a peer.
func (r *Replica) Apply(d Delta) Result {
	switch {
	case d.To <= r.Rev():
		r.Counters.Stale++
		return Ignored
	case d.Full:
		r.move(d.over(&conf.Snapshot{}), nil)
	case r.cur == nil || d.From != r.Rev():
		// A delta lists what differs between its two ends only. What changed
		// and changed back in between would stay wrong.
		r.Counters.Gaps++
		return Gap
	default:
		r.move(d.over(r.cur), &d)
	}
	return Advanced
}

// Result is the outcome of Apply.
type Result uint8

// Results of Apply. After a gap the caller pulls.
const (
	Ignored Result = iota
	Advanced
	Gap
)

func (d Delta) over(s *conf.Snapshot) *conf.Snapshot {
	return &conf.Snapshot{
		Rev:   d.To,
		Nodes: d.Nodes.apply(s.Nodes), Domains: d.Domains.apply(s.Domains),
		Servers: d.Servers.apply(s.Servers), Keys: d.Keys.apply(s.Keys),
	}
}

// move logs the change by, or finds it if it is nil.
func (r *Replica) move(s *conf.Snapshot, by *Delta) {
	r.Counters.Applied++
	if r.cur != nil {
		if len(r.log) == logLen {
			r.log = append(r.log[:0], r.log[1:]...)
		}
		if by == nil {
			d := between(r.cur, s)
			by = &d
		}
		r.log = append(r.log, *by)
	}
	r.cur = s
}

// Delta returns what a peer at revision since lacks: the logged changes, or
// the whole snapshot when the log does not hold that revision. It reports
// false when the peer lacks nothing.
func (r *Replica) Delta(since uint64) (Delta, bool) {
	if r.cur == nil || since >= r.cur.Rev {
		return Delta{}, false
	}
	for i := len(r.log) - 1; i >= 0; i-- {
		if r.log[i].From != since {
			continue
		}
		d := r.log[i]
		for _, next := range r.log[i+1:] {
			d = d.then(next)
		}
		return d, true
	}
	return full(r.cur), true
}
