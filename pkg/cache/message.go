package cache

import "time"

// Request asks another instance for facts.
type Request struct {
	_ struct{} `cbor:",toarray"`
	// Members are the asking instance, first, and some others.
	Members []Member
	// Have are the revisions of the facts that it has.
	Have [Kinds]uint64
	// Age in milliseconds is how long ago another instance confirmed them.
	Age uint32
	// Wait in milliseconds is how long the answer may wait for news.
	Wait uint32
}

// Response gives the facts that the asking instance lacks.
type Response struct {
	_       struct{} `cbor:",toarray"`
	Members []Member
	Deltas  []Delta
	// Age in milliseconds is how long ago the facts were current. Origin is
	// the instance that read them from the store, empty without facts.
	Age    uint32
	Origin string
	// Sums are checksums of all facts that the answering instance has.
	Sums [Kinds]uint64
}

// Merge takes over an answer that came at now, for the instance self. It returns
// what is new, and when the facts of both were last current; zero when they
// differ or when self read them from the store.
func (b *Cache) Merge(now time.Time, self string, a *Response) (news []Delta, current time.Time) {
	if a.Origin == "" {
		return nil, time.Time{}
	}
	var at time.Time
	if a.Origin != self {
		at = now.Add(-time.Duration(a.Age) * time.Millisecond)
	}
	for _, d := range a.Deltas {
		if n, ok := b.Apply(at, d); ok && (len(n.Objects) > 0 || n.Full) {
			news = append(news, n)
		}
	}
	if b.Sums() != a.Sums {
		return news, time.Time{}
	}
	for k := range Kinds {
		b.Confirm(k, at)
	}
	if b.Confirmed().Equal(at) {
		b.origin = a.Origin
	}
	return news, at
}

// worthTelling is by how much a confirmation must be newer than the one that the
// asking instance has to be told at once.
const worthTelling = 400 * time.Millisecond

// NeedsUpdate reports whether an instance should hear of the facts now: it
// lacks some, or its confirmation of them is older than the one here.
func (b *Cache) NeedsUpdate(now time.Time, q *Request) bool {
	for k, rev := range b.Revs() {
		if rev > q.Have[k] {
			return true
		}
	}
	theirs := now.Add(-time.Duration(q.Age) * time.Millisecond)
	return b.Confirmed().Sub(theirs) >= worthTelling
}

// Respond returns what an instance with the revisions have lacks.
func (b *Cache) Respond(now time.Time, have [Kinds]uint64) Response {
	a := Response{Origin: b.origin, Sums: b.Sums()}
	for k := range Kinds {
		if d, ok := b.Since(k, have[k]); ok && (d.Rev > have[k] || d.Full) {
			a.Deltas = append(a.Deltas, d)
		}
	}
	if c := b.Confirmed(); !c.IsZero() {
		a.Age = uint32(max(now.Sub(c), 0) / time.Millisecond)
	} else {
		a.Origin = ""
	}
	return a
}
