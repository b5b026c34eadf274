// Package pick selects backend servers for new flows and requests. It is not
// safe for concurrent use.
package pick

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wire"
)

// Servers is what the picker needs to know of the table of servers.
type Servers interface {
	// Usable returns ReasonNone and the time until which the identity is
	// confirmed when the server may get new work, otherwise why it may not.
	Usable(now time.Time, id conf.ServerID) (time.Time, wire.Reason)
	// Stage returns how many requests all instances together may have in
	// progress, the stage of the cold start, and whether it is over.
	Stage(id conf.ServerID) (total, stage int, warm bool)
}

// Picker places new flows and requests.
type Picker struct {
	// Entry is the name of this instance's entry place, Domain its failure
	// domain.
	Entry, Domain string
	Servers       Servers
	Rand          *rand.Rand

	// Placed counts choices, Local those in the own failure domain, Cold
	// those of servers below warm.
	Placed, Local, Cold uint64

	services map[conf.ServiceID]*service
	rows     map[conf.ServerID]*row
	seats    map[string][]seat
	quiet    time.Time // nothing to cold servers before
	last     *conf.Snapshot
}

// service holds the servers of one service by distance.
type service struct{ own, other []*row }

// row is what this instance knows of the load of one server.
type row struct {
	id         conf.ServerID
	generation uint32
	addr       netip.AddrPort
	limits     limits
	place      place
	offset     uint64
	out, local bool
	// from is when every instance knows the server; before that, others
	// refuse the tokens of flows opened on it.
	from time.Time

	LoadEstimator
	load   wire.Load
	loadAt time.Time

	epoch    int64     // epoch of coldUsed and opened
	coldUsed int       // units in use until the epoch ends
	opened   int       // flows opened in the epoch
	flowAt   time.Time // earliest time of the next flow while cold
}

// Apply takes over the servers and entry places of the settings.
func (p *Picker) Apply(now time.Time, s *conf.Snapshot) {
	step, ok := conf.DiffServers(p.last, s)
	p.last = s
	b := builder{p: p, s: s, values: conf.Cache{Snapshot: s}, places: map[string]place{}, old: p.rows}
	if ok {
		b.applyStep(step)
		return
	}
	p.applySeats(now, s)
	p.rows = make(map[conf.ServerID]*row, len(s.Servers))
	p.services = map[conf.ServiceID]*service{}
	for _, rec := range s.Servers {
		b.applyRecord(rec)
	}
	for _, svc := range p.services {
		svc.sort()
	}
}

func (p *Picker) applySeats(now time.Time, s *conf.Snapshot) {
	seats := map[string][]seat{}
	for _, d := range s.Domains {
		if seats[d.Half] == nil {
			seats[d.Half] = seatsOf(s, d.Half)
		}
	}
	same := len(seats) == len(p.seats)
	for half, list := range seats {
		same = same && slices.Equal(list, p.seats[half])
	}
	if !same {
		p.quiet = now.Add(settleTime)
	}
	p.seats = seats
}

// halfOf returns the first element of a node path.
func halfOf(node string) string {
	half, _, _ := strings.Cut(strings.TrimPrefix(node, "/"), "/")
	return half
}

func isOut(s *conf.Snapshot, half, name string) bool {
	for _, d := range s.Domains {
		if d.Half == half && d.Name == name {
			return d.Mark == conf.MarkOut
		}
	}
	return false
}
