package cache

import (
	"time"

	"ebonypaddle/pkg/revs"
)

// Request asks another instance for updates.
type Request struct {
	_ struct{} `cbor:",toarray"`
	// Members are the requesting instance, which comes first, and a sample of
	// others.
	Members []Member
	// KnownRevs are the revisions that the requesting instance has of each kind.
	KnownRevs [Kinds]revs.Rev
	// Age is how long ago another instance confirmed them, in milliseconds.
	Age uint32
	// MaxWait is how long the response may wait for changes, in milliseconds.
	MaxWait uint32
}

// Response carries the updates that the requesting instance is missing.
type Response struct {
	_       struct{} `cbor:",toarray"`
	Members []Member
	Deltas  []Delta
	// Age is how long ago the objects were current, in milliseconds. Origin is
	// the instance that read them from the store, empty if not all kinds have
	// been read.
	Age    uint32
	Origin string
	// Checksums cover all objects that the responding instance has.
	Checksums [Kinds]uint64
}

// Merge applies a response that arrived at now on the instance self. It returns
// the updates that are new here, and when the objects of both instances were
// last current. That time is zero if the response has no origin, if their objects
// differ, or if self read them from the store, since an instance must not confirm
// its own read.
func (c *Cache) Merge(now time.Time, self string, res *Response) (updates []Delta, confirmedAt time.Time) {
	if res.Origin == "" {
		return nil, time.Time{}
	}
	var at time.Time
	if res.Origin != self {
		at = now.Add(-time.Duration(res.Age) * time.Millisecond)
	}
	for _, d := range res.Deltas {
		if update, ok := c.Apply(at, d); ok && (len(update.Objects) > 0 || update.Full) {
			updates = append(updates, update)
		}
	}
	if c.Checksums() != res.Checksums {
		return updates, time.Time{}
	}
	for k := range Kinds {
		c.Confirm(k, at)
	}
	if c.ConfirmedAt().Equal(at) {
		c.origin = res.Origin
	}
	return updates, at
}

// minConfirmationGain is how much newer a confirmation must be than the one the
// requesting instance has for the response to be sent at once.
const minConfirmationGain = 400 * time.Millisecond

// NeedsUpdate reports whether the requesting instance should get a response at
// once: changes are missing there, or its confirmation is at least
// minConfirmationGain older than the one here. now is the time at which the
// request arrived.
func (c *Cache) NeedsUpdate(now time.Time, req *Request) bool {
	for k, rev := range c.Revs() {
		if rev > req.KnownRevs[k] {
			return true
		}
	}
	theirConfirmedAt := now.Add(-time.Duration(req.Age) * time.Millisecond)
	return c.ConfirmedAt().Sub(theirConfirmedAt) >= minConfirmationGain
}

// Respond returns the changes that an instance at the revisions known is missing.
func (c *Cache) Respond(now time.Time, known [Kinds]revs.Rev) Response {
	res := Response{Origin: c.origin, Checksums: c.Checksums()}
	for k := range Kinds {
		if d, ok := c.DeltaSince(k, known[k]); ok && (d.Rev > known[k] || d.Full) {
			res.Deltas = append(res.Deltas, d)
		}
	}
	if confirmedAt := c.ConfirmedAt(); !confirmedAt.IsZero() {
		res.Age = uint32(max(now.Sub(confirmedAt), 0) / time.Millisecond)
	} else {
		res.Origin = ""
	}
	return res
}
