package cache

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// fanout is the maximum number of children of an instance in a tree. It
	// bounds what a change costs an instance and its link. With 600 instances in a
	// domain the tree has 4 levels below its root.
	fanout = 5
	// sampleSize is the number of other members sent in one message.
	sampleSize = 8
	// maxPerForeignDomain is the number of members kept of each other
	// failure domain, so that another one can replace the first if it fails.
	maxPerForeignDomain = 4
	// memberTimeout is how long a member counts as live after it was last seen.
	// Members are exchanged about once a second.
	memberTimeout = 15 * time.Second
	// failedBackoff is how long a member that did not respond is skipped.
	failedBackoff = 5 * time.Second
	// maxAggregators is the number of members of a failure domain of which one adds
	// up the load.
	maxAggregators = 3
)

// Member describes one instance.
type Member struct {
	_      struct{} `cbor:",toarray"`
	Addr   netip.AddrPort
	Domain string
	// Weight ranks members: those with a higher weight pass updates on to
	// others.
	Weight uint32
	// Age is how long ago the sender last knew the member to be live, in
	// milliseconds.
	Age uint32
}

// member is a Member and what this instance knows about its health.
type member struct {
	Member
	lastSeen    time.Time
	failedUntil time.Time // skipped until then
}

// Members holds what an instance knows of the others.
type Members struct {
	Self Member
	Rand *rand.Rand

	byAddr map[netip.AddrPort]*member
}

// Merge adds the members that another instance sent, without this instance and
// those that timed out.
func (m *Members) Merge(now time.Time, list []Member) {
	if m.byAddr == nil {
		m.byAddr = map[netip.AddrPort]*member{}
	}
	for _, received := range list {
		seen := now.Add(-time.Duration(received.Age) * time.Millisecond)
		if received.Addr == m.Self.Addr || !received.Addr.IsValid() || now.Sub(seen) > memberTimeout {
			continue
		}
		known := m.byAddr[received.Addr]
		if known == nil {
			known = &member{}
			m.byAddr[received.Addr] = known
		}
		if seen.After(known.lastSeen) {
			known.Member, known.lastSeen = received, seen
		}
	}
	m.trim(now)
}

// MarkAnswered records that a member responded.
func (m *Members) MarkAnswered(now time.Time, a netip.AddrPort) {
	if mb := m.byAddr[a]; mb != nil {
		mb.lastSeen, mb.failedUntil = now, time.Time{}
	}
}

// MarkFailed records that a member did not respond, and skips it for a while.
func (m *Members) MarkFailed(now time.Time, a netip.AddrPort) {
	if mb := m.byAddr[a]; mb != nil {
		mb.failedUntil = now.Add(failedBackoff)
	}
}

// Sample returns this instance, then some other live members at random.
func (m *Members) Sample(now time.Time) []Member {
	out := []Member{m.Self}
	members := m.live(now)
	m.Rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for _, mb := range members[:min(len(members), sampleSize)] {
		out = append(out, mb.sent(now))
	}
	return out
}

// DomainMembers returns the addresses of the live members of this instance's
// failure domain, including this instance, as text.
func (m *Members) DomainMembers(now time.Time) []string {
	out := []string{m.Self.Addr.String()}
	for _, mb := range m.live(now) {
		if mb.Domain == m.Self.Domain {
			out = append(out, mb.Addr.String())
		}
	}
	return out
}

// Aggregators returns the highest-ranked live members of this instance's failure
// domain, with this instance, in order of rank, at most maxAggregators. The first one
// adds up what the instances of the domain report; the next one does if it does not
// answer.
func (m *Members) Aggregators(now time.Time) []Member {
	best := append(make([]*member, 0, maxAggregators+1), &member{Member: m.Self, lastSeen: now})
	for _, mb := range m.byAddr {
		if mb.Domain != m.Self.Domain || !mb.usable(now) {
			continue
		}
		i, _ := slices.BinarySearchFunc(best, mb, func(a, b *member) int { return compareRank(&a.Member, &b.Member) })
		if i < maxAggregators {
			best = slices.Insert(best, i, mb)
			best = best[:min(len(best), maxAggregators)]
		}
	}
	out := make([]Member, len(best))
	for i, mb := range best {
		out[i] = mb.sent(now)
	}
	return out
}

// ForeignRoots returns the highest-ranked live member of each other failure domain, in
// order of the domains' names.
func (m *Members) ForeignRoots(now time.Time) []Member {
	roots := map[string]*Member{}
	for _, mb := range m.byAddr {
		if mb.Domain == m.Self.Domain || !mb.usable(now) {
			continue
		}
		if root := roots[mb.Domain]; root == nil || compareRank(&mb.Member, root) < 0 {
			roots[mb.Domain] = &mb.Member
		}
	}
	out := make([]Member, 0, len(roots))
	for _, domain := range slices.Sorted(maps.Keys(roots)) {
		out = append(out, *roots[domain])
	}
	return out
}

// DomainOf returns the failure domain of a live member, and false if the address is
// not that of one. A member that did not answer this instance lately is live too.
func (m *Members) DomainOf(now time.Time, a netip.AddrPort) (string, bool) {
	mb := m.byAddr[a]
	if mb == nil || now.Sub(mb.lastSeen) > memberTimeout {
		return "", false
	}
	return mb.Domain, true
}

// sent returns the member as it is sent to others.
func (mb *member) sent(now time.Time) Member {
	out := mb.Member
	out.Age = uint32(max(now.Sub(mb.lastSeen), 0) / time.Millisecond)
	return out
}

// usable reports whether a member is live and not skipped.
func (mb *member) usable(now time.Time) bool {
	return now.Sub(mb.lastSeen) <= memberTimeout && !now.Before(mb.failedUntil)
}

// trim keeps only the highest-ranked members of each other failure domain. The
// tree needs only the first of them, and with 13,000 instances the rest would
// cost more than all other control work.
func (m *Members) trim(now time.Time) {
	kept := map[string]int{}
	for _, mb := range m.live(now) {
		if mb.Domain == m.Self.Domain {
			continue
		}
		if kept[mb.Domain]++; kept[mb.Domain] > maxPerForeignDomain {
			delete(m.byAddr, mb.Addr)
		}
	}
}

// RandomMember returns a random live member other than the one that was asked
// last, unless that is the only one, and false if there is none.
func (m *Members) RandomMember(now time.Time, last netip.AddrPort) (netip.AddrPort, bool) {
	members := m.live(now)
	if len(members) > 1 {
		members = slices.DeleteFunc(members, func(mb *member) bool { return mb.Addr == last })
	}
	if len(members) == 0 {
		return netip.AddrPort{}, false
	}
	return members[m.Rand.IntN(len(members))].Addr, true
}

// RandomDomainMember returns a random live member of this instance's failure domain other
// than the one that was asked last, or any other member if there is none.
func (m *Members) RandomDomainMember(now time.Time, last netip.AddrPort) (netip.AddrPort, bool) {
	members := slices.DeleteFunc(m.live(now), func(mb *member) bool { return mb.Domain != m.Self.Domain || mb.Addr == last })
	if len(members) == 0 {
		return m.RandomMember(now, last)
	}
	return members[m.Rand.IntN(len(members))].Addr, true
}

// live returns the live members that are not skipped, in order of rank, and
// removes those that timed out.
func (m *Members) live(now time.Time) []*member {
	out := make([]*member, 0, len(m.byAddr))
	for a, mb := range m.byAddr {
		if now.Sub(mb.lastSeen) > memberTimeout {
			delete(m.byAddr, a)
			continue
		}
		if !now.Before(mb.failedUntil) {
			out = append(out, mb)
		}
	}
	slices.SortFunc(out, func(a, b *member) int { return compareRank(&a.Member, &b.Member) })
	return out
}

// compareRank orders members by descending weight, and members of equal weight
// by a hash that is the same on all instances. The result is negative if a
// has the higher rank.
func compareRank(a, b *Member) int {
	if a.Weight != b.Weight {
		return cmp.Compare(b.Weight, a.Weight)
	}
	if c := cmp.Compare(rankHash(a.Addr), rankHash(b.Addr)); c != 0 {
		return c
	}
	return a.Addr.Compare(b.Addr)
}

// rankHash returns the hash that orders members of equal weight.
func rankHash(addr netip.AddrPort) uint64 {
	b, err := addr.MarshalBinary()
	if err != nil {
		return 0 // MarshalBinary of an address never fails
	}
	return xxhash.Sum64(b)
}

// Parent returns the member from which this instance gets its updates, and its
// own level. Each failure domain has a tree whose root is its highest-ranked
// member, and these roots form a tree as well. The root of that tree reads the
// store: its level is 0 and it has no parent. All other roots have level 1, other
// instances their depth in the domain's tree plus 1. A parent always has a higher
// rank than its child, so there is no cycle even among instances that know
// different members.
func (m *Members) Parent(now time.Time) (parent netip.AddrPort, level int) {
	var own []*Member
	domainRoots := map[string]*Member{m.Self.Domain: &m.Self}
	for _, mb := range m.live(now) {
		if mb.Domain == m.Self.Domain {
			own = append(own, &mb.Member)
		}
		if root := domainRoots[mb.Domain]; root == nil || compareRank(&mb.Member, root) < 0 {
			domainRoots[mb.Domain] = &mb.Member
		}
	}
	if p, i := heapParent(own, &m.Self); p != nil {
		return p.Addr, 1 + heapDepth(i)
	}
	var otherRoots []*Member
	for d, root := range domainRoots {
		if d != m.Self.Domain {
			otherRoots = append(otherRoots, root)
		}
	}
	slices.SortFunc(otherRoots, compareRank)
	if p, _ := heapParent(otherRoots, &m.Self); p != nil {
		return p.Addr, 1
	}
	return netip.AddrPort{}, 0
}

// heapParent returns the parent of self in the heap over self and others, which
// are in order of rank, and the position of self. The parent is nil for the
// root.
func heapParent(others []*Member, self *Member) (*Member, int) {
	i, _ := slices.BinarySearchFunc(others, self, compareRank)
	if i == 0 {
		return nil, 0
	}
	return others[(i-1)/fanout], i
}

// heapDepth returns the level of a position in the heap.
func heapDepth(i int) int {
	n := 0
	for ; i > 0; i = (i - 1) / fanout {
		n++
	}
	return n
}
