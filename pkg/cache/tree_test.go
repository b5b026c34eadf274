package cache

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
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

// newMembers returns the member tables of n instances in some domains. Instance
// i knows instance j if knows(i, j).
func newMembers(domains, n int, knows func(i, j int) bool) []*Members {
	out := make([]*Members, n)
	for i := range out {
		out[i] = &Members{Self: memberAt(i%domains, i), Rand: rand.New(rand.NewPCG(1, uint64(i)))}
		var list []Member
		for j := range n {
			if i != j && knows(i, j) {
				list = append(list, memberAt(j%domains, j))
			}
		}
		out[i].Merge(testStart, list)
	}
	return out
}

// Guards against several readers of the store although all instances know each
// other, an instance with too many children, and a tree too deep for a change
// to be in force in time.
func TestTree(t *testing.T) {
	for _, n := range []int{1, 6, 88, 1000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			children := map[netip.AddrPort]int{}
			roots, deepest := 0, 0
			for _, m := range newMembers(4, n, func(int, int) bool { return true }) {
				parent, level := m.Parent(testStart)
				deepest = max(deepest, level)
				if level == 0 {
					roots++
					continue
				}
				children[parent]++
			}
			assert.Equal(t, roots, 1)
			assert.Assert(t, deepest <= 6, "%d levels", deepest)
			for addr, count := range children {
				// The root of a domain has children in its domain and in
				// others.
				assert.Assert(t, count <= 2*fanout, "%v has %d children", addr, count)
			}
		})
	}
}

// Guards against a cycle of parents among instances that know different
// members: they would confirm outdated objects to each other.
func TestParentHasHigherRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "n")
		domains := rapid.IntRange(1, 4).Draw(t, "domains")
		known := rapid.SliceOfN(rapid.Bool(), n*n, n*n).Draw(t, "known")
		for i, m := range newMembers(domains, n, func(i, j int) bool { return known[i*n+j] }) {
			parentAddr, level := m.Parent(testStart)
			if level == 0 {
				continue
			}
			var parent Member
			for j := range n {
				if candidate := memberAt(j%domains, j); candidate.Addr == parentAddr {
					parent = candidate
				}
			}
			if compareRank(&parent, &m.Self) >= 0 {
				t.Fatalf("the parent of %d, %v, has a lower rank", i, parentAddr)
			}
		}
	})
}

// Guards against a failed member that stays the parent, and a dead one that
// stays known because other members still report it.
func TestFailedMemberIsSkipped(t *testing.T) {
	all := newMembers(1, 3, func(int, int) bool { return true })
	var child *Members
	for _, m := range all {
		if _, level := m.Parent(testStart); level > 0 {
			child = m
		}
	}
	parent, _ := child.Parent(testStart)
	child.MarkFailed(testStart, parent)
	other, _ := child.Parent(testStart)
	assert.Assert(t, other != parent)
	later := testStart.Add(failedBackoff)
	other, _ = child.Parent(later)
	assert.Equal(t, other, parent)
	child.MarkAnswered(later, parent)
	timedOut := later.Add(memberTimeout + time.Second)
	_, level := child.Parent(timedOut)
	assert.Equal(t, level, 0)
}

// Guards against a member table that grows with the number of instances in all
// failure domains.
func TestForeignMembersAreBounded(t *testing.T) {
	for _, m := range newMembers(10, 400, func(i, _ int) bool { return i == 0 })[:1] {
		assert.Assert(t, len(m.byAddr) <= 39+9*maxPerForeignDomain, "%d members", len(m.byAddr))
		assert.Equal(t, len(m.DomainMembers(testStart)), 40)
	}
}

// Guards against instances of one failure domain that choose different aggregators, one
// that failed and stays the first, and one of another domain.
func TestInstancesAgreeOnTheAggregator(t *testing.T) {
	all := newMembers(4, 40, func(int, int) bool { return true })
	first := aggregatorsOf(all[0], testStart)
	assert.Equal(t, len(first), maxAggregators)
	self := map[netip.AddrPort]*Members{}
	for _, m := range all {
		self[m.Self.Addr] = m
		if m.Self.Domain == all[0].Self.Domain {
			assert.Assert(t, slices.Equal(aggregatorsOf(m, testStart), first))
		}
	}
	for i, a := range first {
		assert.Equal(t, self[a].Self.Domain, all[0].Self.Domain)
		if i > 0 {
			assert.Assert(t, compareRank(&self[first[i-1]].Self, &self[a].Self) < 0)
		}
	}
	last := self[first[2]]
	last.MarkFailed(testStart, first[0])
	assert.Equal(t, aggregatorsOf(last, testStart)[0], first[1])
	assert.Equal(t, aggregatorsOf(last, testStart.Add(failedBackoff))[0], first[0])
	alone := aggregatorsOf(last, testStart.Add(memberTimeout+time.Second))
	assert.Assert(t, len(alone) == 1 && alone[0] == last.Self.Addr)
}

func aggregatorsOf(m *Members, now time.Time) (out []netip.AddrPort) {
	for _, a := range m.Aggregators(now) {
		out = append(out, a.Addr)
	}
	return out
}

// Guards against totals that are sent to an instance that is gone or does not add up its
// domain, and against reports of strangers.
func TestForeignRoots(t *testing.T) {
	all := newMembers(4, 40, func(int, int) bool { return true })
	m := all[0]
	roots := m.ForeignRoots(testStart)
	assert.Equal(t, len(roots), 3)
	for _, root := range roots {
		for _, other := range all {
			if other.Self.Domain == root.Domain {
				assert.Equal(t, aggregatorsOf(other, testStart)[0], root.Addr)
			}
		}
	}
	m.MarkFailed(testStart, roots[1].Addr)
	next := m.ForeignRoots(testStart)
	assert.Assert(t, next[1].Domain == roots[1].Domain && next[1].Addr != roots[1].Addr)
	domain, ok := m.DomainOf(testStart, roots[1].Addr)
	assert.Assert(t, ok && domain == roots[1].Domain)
	_, ok = m.DomainOf(testStart, netip.MustParseAddrPort("192.0.2.1:7000"))
	assert.Assert(t, !ok)
	late := testStart.Add(memberTimeout + time.Second)
	_, ok = m.DomainOf(late, roots[1].Addr)
	assert.Assert(t, !ok)
	assert.Equal(t, len(m.ForeignRoots(late)), 0)
}

// Guards against requests that leave the failure domain while it has other members, and
// against none if it has no other.
func TestRandomDomainMember(t *testing.T) {
	m := newMembers(4, 12, func(int, int) bool { return true })[0]
	last := netip.AddrPort{}
	for range 50 {
		a, ok := m.RandomDomainMember(testStart, last)
		assert.Assert(t, ok && a != last && a != m.Self.Addr)
		assert.Equal(t, m.byAddr[a].Domain, m.Self.Domain)
		last = a
	}
	for _, a := range m.DomainMembers(testStart) {
		delete(m.byAddr, netip.MustParseAddrPort(a))
	}
	a, ok := m.RandomDomainMember(testStart, last)
	assert.Assert(t, ok && m.byAddr[a].Domain != m.Self.Domain)
	m.byAddr = nil
	_, ok = m.RandomDomainMember(testStart, last)
	assert.Assert(t, !ok)
}
