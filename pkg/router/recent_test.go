package router

import (
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a key that is forgotten although it was added again lately, and against
// other keys than the oldest one being forgotten.
func TestRecentKeepsTheLatest(t *testing.T) {
	const n = 5
	r := newRecent[int, int](n)
	rnd := rand.New(rand.NewPCG(1, 2))
	var want []int
	for i := range 3000 {
		k := rnd.IntN(2 * n)
		r.add(k, i)
		want = append(slices.DeleteFunc(want, func(o int) bool { return o == k }), k)
		want = want[max(len(want)-n, 0):]
		assert.Equal(t, len(r.values), len(want))
		for _, k := range want {
			_, ok := r.get(k)
			assert.Assert(t, ok)
		}
		v, _ := r.get(k)
		assert.Equal(t, v, i)
	}
}
