package pick

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ebonypaddle/pkg/conf"
)

// settleTime is how long an instance sends nothing to cold servers after its
// start and after a change of the entry places. An accepted setting is in
// force everywhere within 4 s, and a process that another one replaced at its
// place stops hearing its peers and loses its freshness within that time.
const settleTime = 4 * time.Second

// place is the position of this instance's entry place among the places of
// the half, as one failure domain sees it.
type place struct {
	index int
	own   bool
	// ownCount and otherCount are the numbers of places in the server's
	// failure domain and in the others.
	ownCount, otherCount int
}

// units returns how many of a server's total units belong to this place in an
// epoch. Every unit belongs to one place, whatever the total is, so instances
// whose views of the stage differ never exceed the higher one together. Every
// second unit and epoch belongs to the server's own failure domain, so a server
// whose domain is cut off waits two epochs for each of its places at most. The
// units of a place recur at a fixed distance and are counted without a loop.
func (q *place) units(offset uint64, epoch int64, total int) int {
	count, distance, turn := q.otherCount, uint64(1), uint64(q.index)
	if q.own {
		count = q.ownCount
	}
	if q.ownCount > 0 && q.otherCount > 0 {
		distance, turn = 2, 2*turn
		if !q.own {
			turn++
		}
	}
	distance *= uint64(max(count, 1))
	base := (uint64(epoch) + offset) % distance
	first := int((turn + distance - base) % distance)
	if q.index < 0 || first >= total {
		return 0
	}
	return 1 + (total-1-first)/int(distance)
}

// offsetOf spreads the turns of different servers over the places.
func offsetOf(id conf.ServerID) uint64 {
	var b [4]byte
	binary.LittleEndian.PutUint32(b[:], uint32(id))
	return xxhash.Sum64(b[:]) >> 1
}

// seat is one entry place with the rank it has within its domain.
type seat struct {
	rank         int
	domain, name string
}

// seatsOf lists the places of a half so that neighbours are in different
// domains: with one domain dead, turns of live places stay evenly spread.
func seatsOf(s *conf.Snapshot, half string) []seat {
	var seats []seat
	for _, d := range s.Domains {
		if d.Half != half {
			continue
		}
		names := make([]string, 0, len(d.Entries))
		for _, e := range d.Entries {
			names = append(names, e.Name)
		}
		slices.Sort(names)
		for i, n := range names {
			seats = append(seats, seat{i, d.Name, n})
		}
	}
	slices.SortFunc(seats, func(a, b seat) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.domain, b.domain), cmp.Compare(a.name, b.name))
	})
	return seats
}

// placeIn returns this instance's position for servers of a domain. The
// position is -1 when the settings do not list the place.
func placeIn(seats []seat, name, domain string) place {
	q := place{index: -1}
	for _, s := range seats {
		n := &q.otherCount
		if s.domain == domain {
			n = &q.ownCount
		}
		if s.name == name {
			q.index, q.own = *n, s.domain == domain
		}
		*n++
	}
	return q
}

// window returns the epoch of now and its end less the clock skew, which is
// the deadline of everything sent in it. ok is false near the edges of the
// epoch: two clocks within the bound of the true time differ by twice the
// bound, so the bound is kept on both sides.
func (l *limits) window(now time.Time) (epoch int64, deadline time.Time, ok bool) {
	ns := now.UnixNano()
	epoch = ns / int64(l.epoch)
	start := time.Unix(0, epoch*int64(l.epoch))
	deadline = start.Add(l.epoch - l.skew)
	return epoch, deadline, !now.Before(start.Add(l.skew)) && now.Before(deadline)
}
