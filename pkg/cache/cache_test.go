package cache

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/revs"
)

var testStart = time.UnixMilli(1_700_000_000_000)

func newObject(name string, rev revs.Rev) Object { return Object{Name: name, Rev: rev} }

func fullDelta(rev revs.Rev, objects ...Object) Delta {
	return Delta{Kind: Servers, Rev: rev, Full: true, Objects: objects}
}

// revsByName returns the revisions of the servers that exist.
func revsByName(c *Cache) map[string]revs.Rev {
	out := map[string]revs.Rev{}
	for n, e := range c.kinds[Servers].objects {
		if !e.Deleted {
			out[n] = e.Rev
		}
	}
	return out
}

// Guards against a repeated full read of the same revision that is passed on as
// a full but empty change: the consumer then removed every server and reset
// every flow.
func TestRepeatedFullReadChangesNothing(t *testing.T) {
	var c Cache
	changes, ok := c.Apply(testStart, fullDelta(7, newObject("a", 3)))
	assert.Assert(t, ok && changes.Full && len(changes.Objects) == 1)
	changes, ok = c.Apply(testStart, fullDelta(7, newObject("a", 3)))
	assert.Assert(t, ok)
	assert.Assert(t, !changes.Full && len(changes.Objects) == 0)
	assert.DeepEqual(t, revsByName(&c), map[string]revs.Rev{"a": 3})
}

// Guards against an instance that goes back to an older revision, or applies a
// delta that leaves out revisions in between.
func TestApply(t *testing.T) {
	for _, tc := range []struct {
		name string
		d    Delta
		ok   bool
		want map[string]revs.Rev
	}{
		{"older full", fullDelta(5), true, map[string]revs.Rev{"a": 3}},
		{"newer full", fullDelta(8, newObject("b", 8)), true, map[string]revs.Rev{"b": 8}},
		{"delta", Delta{Kind: Servers, Since: 7, Rev: 8, Objects: []Object{newObject("b", 8)}}, true, map[string]revs.Rev{"a": 3, "b": 8}},
		{"removal", Delta{Kind: Servers, Since: 7, Rev: 8, Objects: []Object{{Name: "a", Rev: 8, Deleted: true}}}, true, map[string]revs.Rev{}},
		{"gap", Delta{Kind: Servers, Since: 9, Rev: 10, Objects: []Object{newObject("b", 10)}}, false, map[string]revs.Rev{"a": 3}},
		{"overlap", Delta{Kind: Servers, Since: 2, Rev: 8, Objects: []Object{newObject("a", 2), newObject("b", 8)}}, true, map[string]revs.Rev{"a": 3, "b": 8}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var c Cache
			c.Apply(testStart, fullDelta(7, newObject("a", 3)))
			_, ok := c.Apply(testStart, tc.d)
			assert.Equal(t, ok, tc.ok)
			assert.DeepEqual(t, revsByName(&c), tc.want)
		})
	}
}

// Guards against an instance that gets a delta although its revision is older
// than the last full read: it would miss objects removed before that.
func TestDeltaSinceBeforeFullReadIsFull(t *testing.T) {
	var c Cache
	c.Apply(testStart, fullDelta(7, newObject("a", 3)))
	c.Apply(testStart, fullDelta(9, newObject("b", 8)))
	d, ok := c.DeltaSince(Servers, 8)
	assert.Assert(t, ok && d.Full)
	c.Apply(testStart, Delta{Kind: Servers, Since: 9, Rev: 12, Objects: []Object{{Name: "b", Rev: 12, Deleted: true}}})
	d, ok = c.DeltaSince(Servers, 9)
	assert.Assert(t, ok && !d.Full && len(d.Objects) == 1 && d.Objects[0].Deleted)
}

// Guards against an instance that takes its own read, passed back by another
// instance, for a newer confirmation by the store.
func TestOwnReadDoesNotConfirmItself(t *testing.T) {
	var reader, child Cache
	reader.Apply(testStart, fullDelta(7, newObject("a", 3)))
	for k := range Kinds {
		reader.Apply(testStart, Delta{Kind: k, Rev: 7, Full: true})
	}
	reader.SetOrigin("r")
	res := reader.Respond(testStart, child.Revs())
	child.Merge(testStart, "c", &res)
	assert.Equal(t, child.ConfirmedAt(), testStart)

	later := testStart.Add(5 * time.Second)
	echoed := child.Respond(later, reader.Revs())
	echoed.Age = 0
	reader.Merge(later, "r", &echoed)
	assert.Equal(t, reader.ConfirmedAt(), testStart)
}

// Guards against instances that hold the same objects, read at different
// revisions of the store, and count each other as stale.
func TestEqualChecksumsConfirm(t *testing.T) {
	var a, b Cache
	for k := range Kinds {
		a.Apply(testStart, Delta{Kind: k, Rev: 7, Full: true, Objects: []Object{newObject("x", 3)}})
		b.Apply(testStart, Delta{Kind: k, Rev: 9, Full: true, Objects: []Object{newObject("x", 3)}})
	}
	a.SetOrigin("a")
	later := testStart.Add(time.Second)
	for k := range Kinds {
		a.Confirm(k, later)
	}
	res := a.Respond(later, b.Revs())
	b.Merge(later, "b", &res)
	assert.Equal(t, b.ConfirmedAt(), later)
}

// Guards against settings that differ after packing and unpacking.
func TestPack(t *testing.T) {
	for _, n := range []int{0, 10, minCompressSize, 100_000} {
		spec := make([]byte, n)
		for i := range spec {
			spec[i] = byte(i / 7)
		}
		packed, err := Pack(spec)
		assert.NilError(t, err)
		got, err := Unpack(packed)
		assert.NilError(t, err)
		assert.DeepEqual(t, append([]byte{}, got...), spec)
	}
	_, err := Unpack(nil)
	assert.Assert(t, err != nil)
}

// Guards against content that is cut short without an error.
func TestUnpackTooLarge(t *testing.T) {
	for _, n := range []int{maxUnpackedSize, maxUnpackedSize + 1} {
		packed, err := Pack(make([]byte, n))
		assert.NilError(t, err)
		got, err := Unpack(packed)
		var tooLarge *SizeError
		if n > maxUnpackedSize {
			assert.Assert(t, errors.As(err, &tooLarge), "%v", err)
			continue
		}
		assert.NilError(t, err)
		assert.Equal(t, len(got), n)
	}
}

// Guards against an instance that sends its request just after a confirmation
// was passed on and gets only the next one: it then read the store itself.
func TestNeedsUpdate(t *testing.T) {
	var c Cache
	for k := range Kinds {
		c.Apply(testStart, Delta{Kind: k, Rev: 7, Full: true})
	}
	for _, tc := range []struct {
		name string
		req  Request
		want bool
	}{
		{"has all", Request{KnownRevs: c.Revs(), Age: 10}, false},
		{"missed a confirmation", Request{KnownRevs: c.Revs(), Age: 1200}, true},
		{"misses changes", Request{KnownRevs: [Kinds]revs.Rev{7, 6, 7}}, true},
		{"has nothing", Request{Age: 1 << 31}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, c.NeedsUpdate(testStart.Add(5*time.Millisecond), &tc.req), tc.want)
		})
	}
}
