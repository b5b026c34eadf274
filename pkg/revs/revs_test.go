package revs_test

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/revs"
)

func newRev(t testing.TB, era, counter uint64) revs.Rev {
	t.Helper()
	r, err := revs.New(era, counter)
	assert.NilError(t, err)
	return r
}

// Guards against an older era of the store that counts as newer or as equal.
func TestOrder(t *testing.T) {
	const highest = 1<<48 - 1
	for i, pair := range [][2]revs.Rev{
		{newRev(t, 0, 0), newRev(t, 0, 1)},
		{newRev(t, 0, highest), newRev(t, 1, 0)},
		{newRev(t, 1, 23), newRev(t, 2, 22)},
		{newRev(t, 1, 23), newRev(t, 2, 23)},
	} {
		t.Run(fmt.Sprint(i), func(t *testing.T) { assert.Assert(t, pair[0] < pair[1]) })
	}
}

// Guards against a counter that runs into the bits of the era.
func TestRange(t *testing.T) {
	for _, tc := range [][2]uint64{{1 << 16, 0}, {0, 1 << 48}} {
		_, err := revs.New(tc[0], tc[1])
		var rangeErr *revs.RangeError
		assert.Assert(t, errors.As(err, &rangeErr), "%v", err)
	}
}

// Guards against a printed revision that cannot be entered again.
func TestParse(t *testing.T) {
	for _, r := range []revs.Rev{0, 23, newRev(t, 2, 23), newRev(t, 1<<16-1, 1<<48-1)} {
		got, err := revs.Parse(r.String())
		assert.NilError(t, err)
		assert.Equal(t, got, r)
	}
	for _, s := range []string{"", "2.", ".3", "1.2.3", "-1", "x", "65536.1", fmt.Sprint(uint64(1) << 48)} {
		_, err := revs.Parse(s)
		assert.Assert(t, err != nil, "%q", s)
	}
}

func ExampleRev_String() {
	r, err := revs.New(2, 23)
	fmt.Println(r, r.Era(), r.Counter(), err)
	fmt.Println(revs.Rev(23))
	// Output:
	// 2.23 2 23 <nil>
	// 23
}
