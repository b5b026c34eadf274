package cache

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var begin = time.UnixMilli(1_700_000_000_000)

func fact(name string, rev uint64) Object { return Object{Name: name, Rev: rev} }

func full(rev uint64, facts ...Object) Delta {
	return Delta{Kind: Servers, Rev: rev, Full: true, Objects: facts}
}

// names returns the names of the facts of a kind that exist.
func names(b *Cache) map[string]uint64 {
	out := map[string]uint64{}
	for n, e := range b.kinds[Servers].facts {
		if !e.Deleted {
			out[n] = e.Rev
		}
	}
	return out
}

// Guards against a second full reading of the same revision that tells the
// consumer of an empty world: every server was removed and every flow reset.
func TestSecondFullReadingIsNoNews(t *testing.T) {
	var b Cache
	news, ok := b.Apply(begin, full(7, fact("a", 3)))
	assert.Assert(t, ok && news.Full && len(news.Objects) == 1)
	news, ok = b.Apply(begin, full(7, fact("a", 3)))
	assert.Assert(t, ok)
	assert.Assert(t, !news.Full && len(news.Objects) == 0)
	assert.DeepEqual(t, names(&b), map[string]uint64{"a": 3})
}

// Guards against instances whose facts go back to an older revision, or miss
// what lies between two revisions.
func TestTake(t *testing.T) {
	for _, tc := range []struct {
		name string
		d    Delta
		ok   bool
		want map[string]uint64
	}{
		{"older full", full(5), true, map[string]uint64{"a": 3}},
		{"newer full", full(8, fact("b", 8)), true, map[string]uint64{"b": 8}},
		{"delta", Delta{Kind: Servers, Since: 7, Rev: 8, Objects: []Object{fact("b", 8)}}, true, map[string]uint64{"a": 3, "b": 8}},
		{"removal", Delta{Kind: Servers, Since: 7, Rev: 8, Objects: []Object{{Name: "a", Rev: 8, Deleted: true}}}, true, map[string]uint64{}},
		{"gap", Delta{Kind: Servers, Since: 9, Rev: 10, Objects: []Object{fact("b", 10)}}, false, map[string]uint64{"a": 3}},
		{"overlap", Delta{Kind: Servers, Since: 2, Rev: 8, Objects: []Object{fact("a", 2), fact("b", 8)}}, true, map[string]uint64{"a": 3, "b": 8}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var b Cache
			b.Apply(begin, full(7, fact("a", 3)))
			_, ok := b.Apply(begin, tc.d)
			assert.Equal(t, ok, tc.ok)
			assert.DeepEqual(t, names(&b), tc.want)
		})
	}
}

// Guards against an instance that gets a delta although it cannot know of
// removals before it.
func TestSinceBeforeFullReadingIsFull(t *testing.T) {
	var b Cache
	b.Apply(begin, full(7, fact("a", 3)))
	b.Apply(begin, full(9, fact("b", 8)))
	d, ok := b.Since(Servers, 8)
	assert.Assert(t, ok && d.Full)
	b.Apply(begin, Delta{Kind: Servers, Since: 9, Rev: 12, Objects: []Object{{Name: "b", Rev: 12, Deleted: true}}})
	d, ok = b.Since(Servers, 9)
	assert.Assert(t, ok && !d.Full && len(d.Objects) == 1 && d.Objects[0].Deleted)
}

// Guards against an instance that takes its own reading, told by another, for
// a confirmation by the store.
func TestOwnReadingDoesNotConfirmItself(t *testing.T) {
	var reader, child Cache
	reader.Apply(begin, full(7, fact("a", 3)))
	for k := range Kinds {
		reader.Apply(begin, Delta{Kind: k, Rev: 7, Full: true})
	}
	reader.SetOrigin("r")
	a := reader.Respond(begin, child.Revs())
	child.Merge(begin, "c", &a)
	assert.Equal(t, child.Confirmed(), begin)

	later := begin.Add(5 * time.Second)
	back := child.Respond(later, reader.Revs())
	back.Age = 0
	reader.Merge(later, "r", &back)
	assert.Equal(t, reader.Confirmed(), begin)
}

// Guards against instances that read the same facts at different revisions and
// then count each other as stale.
func TestSameFactsAtOtherRevisionsConfirm(t *testing.T) {
	var a, b Cache
	for k := range Kinds {
		a.Apply(begin, Delta{Kind: k, Rev: 7, Full: true, Objects: []Object{fact("x", 3)}})
		b.Apply(begin, Delta{Kind: k, Rev: 9, Full: true, Objects: []Object{fact("x", 3)}})
	}
	a.SetOrigin("a")
	later := begin.Add(time.Second)
	for k := range Kinds {
		a.Confirm(k, later)
	}
	ans := a.Respond(later, b.Revs())
	b.Merge(later, "b", &ans)
	assert.Equal(t, b.Confirmed(), later)
}

// Guards against packed settings that do not come out as they went in.
func TestPack(t *testing.T) {
	for _, n := range []int{0, 10, packAbove, 100_000} {
		spec := make([]byte, n)
		for i := range spec {
			spec[i] = byte(i / 7)
		}
		p, err := Pack(spec)
		assert.NilError(t, err)
		got, err := Unpack(p)
		assert.NilError(t, err)
		assert.DeepEqual(t, append([]byte{}, got...), spec)
	}
	_, err := Unpack(nil)
	assert.Assert(t, err != nil)
}

// Guards against an instance that asks just after a confirmation was passed on
// and hears of it only with the next one: it then read the store itself.
func TestNews(t *testing.T) {
	var b Cache
	for k := range Kinds {
		b.Apply(begin, Delta{Kind: k, Rev: 7, Full: true})
	}
	for _, tc := range []struct {
		name string
		q    Request
		want bool
	}{
		{"has all", Request{Have: b.Revs(), Age: 10}, false},
		{"missed a confirmation", Request{Have: b.Revs(), Age: 1200}, true},
		{"lacks facts", Request{Have: [Kinds]uint64{7, 6, 7}}, true},
		{"has nothing", Request{Age: 1 << 31}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, b.NeedsUpdate(begin.Add(5*time.Millisecond), &tc.q), tc.want)
		})
	}
}
