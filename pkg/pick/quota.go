package pick

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ebonypaddle/pkg/conf"
)

// coldSettleTime is how long an instance sends nothing to cold servers after it
// starts and after the entries in the settings change. An accepted setting is in
// force everywhere within 4 s, and a process that another one has replaced at
// its entry stops receiving peer messages and is no longer fresh within that
// time.
const coldSettleTime = 4 * time.Second

// position is the place of this instance's entry in the rotation of quota units
// for the servers of one failure domain. An entry is a configured place for one
// instance.
type position struct {
	// index counts the earlier entries of the same group: those in the
	// server's failure domain or those in other domains. It is -1 when the
	// settings do not list the entry.
	index int
	// sameDomain says that the entry is in the server's failure domain.
	sameDomain bool
	// sameCount and otherCount are the numbers of entries in the server's
	// failure domain and in other domains.
	sameCount, otherCount int
}

// units returns how many of a server's total quota units belong to this entry in
// an epoch. A unit allows one request in progress on a cold server. Each unit
// belongs to exactly one entry, whatever the total is, so instances that see
// different cold start stages together never exceed the higher total.
//
// Every second unit and epoch belongs to the server's own failure domain, so a
// server whose domain is cut off waits at most two epochs for each of the
// domain's entries. The units of an entry recur at a fixed distance, so they are
// counted without a loop.
func (pos *position) units(offset uint64, epoch int64, total int) int {
	count, distance, turn := pos.otherCount, uint64(1), uint64(pos.index)
	if pos.sameDomain {
		count = pos.sameCount
	}
	if pos.sameCount > 0 && pos.otherCount > 0 {
		distance, turn = 2, 2*turn
		if !pos.sameDomain {
			turn++
		}
	}
	distance *= uint64(max(count, 1))
	base := (uint64(epoch) + offset) % distance
	first := int((turn + distance - base) % distance)
	if pos.index < 0 || first >= total {
		return 0
	}
	return 1 + (total-1-first)/int(distance)
}

// offsetOf returns a hash of the server that shifts its rotation of units, so
// that an entry does not get its units on all servers in the same epoch.
func offsetOf(id conf.ServerID) uint64 {
	var b [4]byte
	binary.LittleEndian.PutUint32(b[:], uint32(id))
	return xxhash.Sum64(b[:]) >> 1
}

// rankedEntry is an entry with its rank by name within its failure domain.
type rankedEntry struct {
	rank         int
	domain, name string
}

// rankEntries lists the entries of a half by rank, so that neighbours are in
// different failure domains. When all instances of one domain are dead, the
// turns of the live ones then stay evenly spread.
func rankEntries(snap *conf.Snapshot, half string) []rankedEntry {
	var entries []rankedEntry
	for _, d := range snap.Domains {
		if d.Half != half {
			continue
		}
		names := make([]string, 0, len(d.Entries))
		for _, e := range d.Entries {
			names = append(names, e.Name)
		}
		slices.Sort(names)
		for i, n := range names {
			entries = append(entries, rankedEntry{i, d.Name, n})
		}
	}
	slices.SortFunc(entries, func(a, b rankedEntry) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.domain, b.domain), cmp.Compare(a.name, b.name))
	})
	return entries
}

// positionIn returns the position of the named entry for servers of a failure
// domain. Its index is -1 when the settings do not list the entry.
func positionIn(entries []rankedEntry, name, domain string) position {
	pos := position{index: -1}
	for _, e := range entries {
		n := &pos.otherCount
		if e.domain == domain {
			n = &pos.sameCount
		}
		if e.name == name {
			pos.index, pos.sameDomain = *n, e.domain == domain
		}
		*n++
	}
	return pos
}

// window returns the epoch at now and the deadline of all work sent in it, which
// is the end of the epoch less the maximum clock skew. ok is false within the
// skew of either end of the epoch: two clocks that are each within the bound of
// the true time differ by up to twice the bound, so both ends need the margin.
func (l *limits) window(now time.Time) (epoch int64, deadline time.Time, ok bool) {
	ns := now.UnixNano()
	epoch = ns / int64(l.epoch)
	start := time.Unix(0, epoch*int64(l.epoch))
	deadline = start.Add(l.epoch - l.skew)
	return epoch, deadline, !now.Before(start.Add(l.skew)) && now.Before(deadline)
}
