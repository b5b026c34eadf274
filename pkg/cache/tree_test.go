package cache

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func memberAt(domain, i int) Member {
	return Member{
		Addr:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(domain), byte(i >> 8), byte(i)}), 7000),
		Domain: fmt.Sprint("d", domain), Weight: uint32(i % 3),
	}
}

// fleet returns n members over some domains, each with what it knows of the
// others: everything that knows lets through.
func fleet(domains, n int, knows func(i, j int) bool) []*Members {
	out := make([]*Members, n)
	for i := range out {
		out[i] = &Members{Self: memberAt(i%domains, i), Rand: rand.New(rand.NewPCG(1, uint64(i)))}
		var list []Member
		for j := range n {
			if i != j && knows(i, j) {
				list = append(list, memberAt(j%domains, j))
			}
		}
		out[i].Merge(begin, list)
	}
	return out
}

// Guards against two readers where all know each other, an instance that many
// ask, and chains that are too long for a change to be in force in time.
func TestTree(t *testing.T) {
	for _, n := range []int{1, 6, 88, 1000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			children := map[netip.AddrPort]int{}
			roots, deepest := 0, 0
			for _, m := range fleet(4, n, func(int, int) bool { return true }) {
				p, level := m.Parent(begin)
				deepest = max(deepest, level)
				if level == 0 {
					roots++
					continue
				}
				children[p]++
			}
			assert.Equal(t, roots, 1)
			assert.Assert(t, deepest <= 6, "%d levels", deepest)
			for a, c := range children {
				// A first of its domain has children there and in others.
				assert.Assert(t, c <= 2*fan, "%v has %d", a, c)
			}
		})
	}
}

// Guards against instances that ask each other in a circle and so confirm old
// facts to each other, whatever each of them knows.
func TestParentHasHigherRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "n")
		domains := rapid.IntRange(1, 4).Draw(t, "domains")
		known := rapid.SliceOfN(rapid.Bool(), n*n, n*n).Draw(t, "known")
		for i, m := range fleet(domains, n, func(i, j int) bool { return known[i*n+j] }) {
			p, level := m.Parent(begin)
			if level == 0 {
				continue
			}
			var parent Member
			for j := range n {
				if e := memberAt(j%domains, j); e.Addr == p {
					parent = e
				}
			}
			if byRank(&parent, &m.Self) >= 0 {
				t.Fatalf("%d asks %v of lower rank", i, p)
			}
		}
	})
}

// Guards against a dead member that stays the parent, and one that comes back
// only because others still tell of it.
func TestFailedMemberIsPassedOver(t *testing.T) {
	m := fleet(1, 3, func(int, int) bool { return true })
	var low *Members
	for _, x := range m {
		if _, level := x.Parent(begin); level > 0 {
			low = x
		}
	}
	p, _ := low.Parent(begin)
	low.Failed(begin, p)
	q, _ := low.Parent(begin)
	assert.Assert(t, q != p)
	later := begin.Add(failedFor)
	q, _ = low.Parent(later)
	assert.Equal(t, q, p)
	low.Answered(later, p)
	forgotten := later.Add(memberFor + time.Second)
	_, level := low.Parent(forgotten)
	assert.Equal(t, level, 0)
}

// Guards against a table of members that grows with all instances of all
// failure domains.
func TestMembersOfOtherDomainsAreFew(t *testing.T) {
	for _, m := range fleet(10, 400, func(i, _ int) bool { return i == 0 })[:1] {
		assert.Assert(t, len(m.rows) <= 39+9*foreign, "%d members", len(m.rows))
		assert.Equal(t, len(m.DomainMembers(begin)), 40)
	}
}
