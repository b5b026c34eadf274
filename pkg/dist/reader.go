package dist

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Readers is how many instances of a failure domain watch the platform. Two
// keep settings coming when one is paused or dead but not yet found so.
const Readers = 2

// IsReader reports whether self is among the readers of the domain by
// rendezvous hash. members are the live members of the domain. Differing
// views give a reader too many or a duplicate read, which is harmless.
func IsReader(self netip.AddrPort, domain string, members []netip.AddrPort) bool {
	mine, above := weight(self, domain), 0
	for _, m := range members {
		w := weight(m, domain)
		if m != self && (w > mine || w == mine && m.Compare(self) > 0) {
			above++
		}
	}
	return above < Readers
}

func weight(a netip.AddrPort, domain string) uint64 {
	b, _ := a.MarshalBinary()
	return xxhash.Sum64(append(b, domain...))
}

// targets returns up to n members in an order that differs by revision and
// sender, so that the pushes of all instances cover the fleet.
func targets(self netip.AddrPort, rev uint64, members []netip.AddrPort, n int) []netip.AddrPort {
	key := string(revKey(rev)) + self.String()
	out := slices.DeleteFunc(slices.Clone(members), func(a netip.AddrPort) bool { return a == self })
	slices.SortFunc(out, func(a, b netip.AddrPort) int { return cmp.Compare(weight(b, key), weight(a, key)) })
	return out[:min(n, len(out))]
}
