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

// Servers is the part of the server table that the picker uses.
type Servers interface {
	// Usable reports whether a server may get new work. If so, it returns
	// ReasonNone and the time until which the server's identity is confirmed,
	// otherwise the reason against it.
	Usable(now time.Time, id conf.ServerID) (time.Time, wire.Reason)
	// Stage returns the number of requests that all instances together may
	// have in progress on a server, the stage of its cold start, and whether
	// the server is warm, that is, its cold start is over.
	Stage(id conf.ServerID) (total, stage int, warm bool)
}

// Picker chooses servers for new flows and requests.
type Picker struct {
	// Entry is the name of the configured entry that this instance's process
	// runs at, Domain its failure domain.
	Entry, Domain string
	Servers       Servers
	Rand          *rand.Rand

	// Placed counts choices, Local those in this instance's failure domain,
	// Cold those of servers in cold start.
	Placed, Local, Cold uint64

	services     map[conf.ServiceID]*service
	states       map[conf.ServerID]*serverState
	entries      map[string][]rankedEntry // by half
	coldFrom     time.Time                // no work goes to cold servers before
	lastSnapshot *conf.Snapshot
}

// service holds the servers of one service, sorted by identifier: those in this
// instance's failure domain and those in others.
type service struct{ local, remote []*serverState }

// serverState is the settings and the estimated load of one server.
type serverState struct {
	id         conf.ServerID
	generation uint32
	addr       netip.AddrPort
	limits     limits
	position   position
	offset     uint64
	// domainOut says that the server's failure domain is marked out, local
	// that it is this instance's failure domain.
	domainOut, local bool
	// usableFrom is when every instance knows the server. Until then, other
	// instances would refuse the tokens of flows opened on it.
	usableFrom time.Time

	LoadEstimator
	load   wire.Load
	loadAt time.Time

	epoch       int64     // epoch of coldInUse and openedFlows
	coldInUse   int       // quota units in use, until the epoch ends
	openedFlows int       // flows opened in the epoch
	nextFlowAt  time.Time // earliest time of the next flow during cold start
}

// Apply applies the servers and entries of a settings snapshot.
func (p *Picker) Apply(now time.Time, snap *conf.Snapshot) {
	diff, ok := conf.DiffServers(p.lastSnapshot, snap)
	p.lastSnapshot = snap
	b := builder{p: p, snap: snap, values: conf.Cache{Snapshot: snap}, positions: map[string]position{}, previous: p.states}
	if ok {
		b.applyDiff(diff)
		return
	}
	p.applyEntries(now, snap)
	p.states = make(map[conf.ServerID]*serverState, len(snap.Servers))
	p.services = map[conf.ServiceID]*service{}
	for _, rec := range snap.Servers {
		b.applyRecord(rec)
	}
	for _, svc := range p.services {
		svc.sort()
	}
}

// applyEntries stores the entries of each half. A change stops work for cold
// servers for coldSettleTime.
func (p *Picker) applyEntries(now time.Time, snap *conf.Snapshot) {
	entries := map[string][]rankedEntry{}
	for _, d := range snap.Domains {
		if entries[d.Half] == nil {
			entries[d.Half] = rankEntries(snap, d.Half)
		}
	}
	same := len(entries) == len(p.entries)
	for half, list := range entries {
		same = same && slices.Equal(list, p.entries[half])
	}
	if !same {
		p.coldFrom = now.Add(coldSettleTime)
	}
	p.entries = entries
}

// halfOf returns the first element of a node path.
func halfOf(node string) string {
	half, _, _ := strings.Cut(strings.TrimPrefix(node, "/"), "/")
	return half
}

// isDomainOut reports whether a failure domain of a half is marked out.
func isDomainOut(snap *conf.Snapshot, half, name string) bool {
	for _, d := range snap.Domains {
		if d.Half == half && d.Name == name {
			return d.Mark == conf.MarkOut
		}
	}
	return false
}
