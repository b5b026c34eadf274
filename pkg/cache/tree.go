package cache

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// fan is the number of instances that ask one other. It bounds what a
	// change costs an instance and its link; the tree over 600 instances of a
	// domain is then 4 levels deep.
	fan = 5
	// shared is the number of members told in one message.
	shared = 8
	// foreign is the number of members of each other failure domain that are
	// remembered, so that the first can fail.
	foreign = 4
	// memberFor is how long a member counts without a sign of life. News of
	// members pass from one to another about once a second.
	memberFor = 15 * time.Second
	// failedFor is how long a member that did not answer is passed over.
	failedFor = 5 * time.Second
)

// Member is one instance.
type Member struct {
	_      struct{} `cbor:",toarray"`
	Addr   netip.AddrPort
	Domain string
	// Weight orders members: those that bear more pass facts on to others.
	Weight uint32
	// Age in milliseconds is how long ago the sender knew that it lives.
	Age uint32
}

type member struct {
	Member
	heard  time.Time
	failed time.Time // passed over until then
}

// Members is what an instance knows of the others.
type Members struct {
	Self Member
	Rand *rand.Rand

	rows map[netip.AddrPort]*member
}

// Merge notes members that another instance told.
func (m *Members) Merge(now time.Time, list []Member) {
	if m.rows == nil {
		m.rows = map[netip.AddrPort]*member{}
	}
	for _, e := range list {
		at := now.Add(-time.Duration(e.Age) * time.Millisecond)
		if e.Addr == m.Self.Addr || !e.Addr.IsValid() || now.Sub(at) > memberFor {
			continue
		}
		r := m.rows[e.Addr]
		if r == nil {
			r = &member{}
			m.rows[e.Addr] = r
		}
		if at.After(r.heard) {
			r.Member, r.heard = e, at
		}
	}
	m.trim(now)
}

// Answered notes that a member answered, and Failed that it did not.
func (m *Members) Answered(now time.Time, a netip.AddrPort) {
	if r := m.rows[a]; r != nil {
		r.heard, r.failed = now, time.Time{}
	}
}

// Failed passes a member over for a while.
func (m *Members) Failed(now time.Time, a netip.AddrPort) {
	if r := m.rows[a]; r != nil {
		r.failed = now.Add(failedFor)
	}
}

// Sample returns this instance and some other live members.
func (m *Members) Sample(now time.Time) []Member {
	out := []Member{m.Self}
	rows := m.live(now)
	m.Rand.Shuffle(len(rows), func(i, j int) { rows[i], rows[j] = rows[j], rows[i] })
	for _, r := range rows[:min(len(rows), shared)] {
		e := r.Member
		e.Age = uint32(max(now.Sub(r.heard), 0) / time.Millisecond)
		out = append(out, e)
	}
	return out
}

// DomainMembers returns the addresses of the live members of the own failure
// domain, this instance among them, as text.
func (m *Members) DomainMembers(now time.Time) []string {
	out := []string{m.Self.Addr.String()}
	for _, r := range m.live(now) {
		if r.Domain == m.Self.Domain {
			out = append(out, r.Addr.String())
		}
	}
	return out
}

// trim keeps the first few members of each other failure domain: their first is
// all that the tree needs, and with 13,000 instances the rest would cost more
// than all other control work.
func (m *Members) trim(now time.Time) {
	kept := map[string]int{}
	for _, r := range m.live(now) {
		if r.Domain == m.Self.Domain {
			continue
		}
		if kept[r.Domain]++; kept[r.Domain] > foreign {
			delete(m.rows, r.Addr)
		}
	}
}

// Any returns some live member.
func (m *Members) Any(now time.Time) (netip.AddrPort, bool) {
	rows := m.live(now)
	if len(rows) == 0 {
		return netip.AddrPort{}, false
	}
	return rows[m.Rand.IntN(len(rows))].Addr, true
}

// live returns the members that count, and forgets the others.
func (m *Members) live(now time.Time) []*member {
	out := make([]*member, 0, len(m.rows))
	for a, r := range m.rows {
		if now.Sub(r.heard) > memberFor {
			delete(m.rows, a)
			continue
		}
		if !now.Before(r.failed) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *member) int { return byRank(&a.Member, &b.Member) })
	return out
}

// byRank orders members: the stronger first, equal ones by a hash that all
// instances compute alike.
func byRank(a, b *Member) int {
	if a.Weight != b.Weight {
		return cmp.Compare(b.Weight, a.Weight)
	}
	if c := cmp.Compare(rank(a.Addr), rank(b.Addr)); c != 0 {
		return c
	}
	return a.Addr.Compare(b.Addr)
}

func rank(a netip.AddrPort) uint64 {
	b, err := a.MarshalBinary()
	if err != nil {
		return 0 // MarshalBinary of an address never fails
	}
	return xxhash.Sum64(b)
}

// Parent returns the member from which this instance gets its facts, and its
// own level. The first of each failure domain asks the first of another, the
// first of all reads the store: its level is 0 and it has no parent. Instances
// that know different members never ask in a circle, since a parent always
// has a higher rank.
func (m *Members) Parent(now time.Time) (parent netip.AddrPort, level int) {
	var own []*Member
	firsts := map[string]*Member{m.Self.Domain: &m.Self}
	for _, r := range m.live(now) {
		if r.Domain == m.Self.Domain {
			own = append(own, &r.Member)
		}
		if f := firsts[r.Domain]; f == nil || byRank(&r.Member, f) < 0 {
			firsts[r.Domain] = &r.Member
		}
	}
	if p, i := above(own, &m.Self); p != nil {
		return p.Addr, 1 + depth(i)
	}
	var heads []*Member
	for d, f := range firsts {
		if d != m.Self.Domain {
			heads = append(heads, f)
		}
	}
	slices.SortFunc(heads, byRank)
	if p, _ := above(heads, &m.Self); p != nil {
		return p.Addr, 1
	}
	return netip.AddrPort{}, 0
}

// above returns the parent of self in the heap over self and the others, which
// are in the order of rank, and the position of self.
func above(others []*Member, self *Member) (*Member, int) {
	i, _ := slices.BinarySearchFunc(others, self, byRank)
	if i == 0 {
		return nil, 0
	}
	return others[(i-1)/fan], i
}

// depth is the level of a position in the heap.
func depth(i int) int {
	n := 0
	for ; i > 0; i = (i - 1) / fan {
		n++
	}
	return n
}
