package dist

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ReadersPerDomain is the number of instances in each failure domain that read
// the settings from the platform. With two, settings still arrive while one is
// paused or while its failure is not yet detected.
const ReadersPerDomain = 2

// IsReader reports whether self is one of the readers of the failure domain,
// which are chosen by rendezvous hashing. members are the live members of the
// domain. If instances have different views of the membership, there may be an
// additional reader and duplicate reads, which do no harm.
func IsReader(self netip.AddrPort, domain string, members []netip.AddrPort) bool {
	own, higher := rendezvousWeight(self, domain), 0
	for _, m := range members {
		w := rendezvousWeight(m, domain)
		if m != self && (w > own || w == own && m.Compare(self) > 0) {
			higher++
		}
	}
	return higher < ReadersPerDomain
}

// rendezvousWeight returns the weight of an instance for a key in rendezvous
// hashing. The highest weights are selected.
func rendezvousWeight(a netip.AddrPort, domain string) uint64 {
	b, _ := a.MarshalBinary()
	return xxhash.Sum64(append(b, domain...))
}

// pushTargets returns up to n members other than self. The choice depends on the
// revision and the sender, so that the pushes of all instances together cover
// the fleet.
func pushTargets(self netip.AddrPort, rev uint64, members []netip.AddrPort, n int) []netip.AddrPort {
	key := string(revKey(rev)) + self.String()
	out := slices.DeleteFunc(slices.Clone(members), func(a netip.AddrPort) bool { return a == self })
	slices.SortFunc(out, func(a, b netip.AddrPort) int { return cmp.Compare(rendezvousWeight(b, key), rendezvousWeight(a, key)) })
	return out[:min(n, len(out))]
}
