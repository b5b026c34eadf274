package pick

import (
	"cmp"
	"slices"

	"ebonypaddle/pkg/conf"
)

// builder turns the server records of one snapshot into the picker's state.
type builder struct {
	p      *Picker
	snap   *conf.Snapshot
	values conf.Cache
	// positions caches this instance's position by half and failure domain.
	positions map[string]position
	// previous holds the states before the change. A server that is still the
	// same process at the same address keeps its load estimate.
	previous map[conf.ServerID]*serverState
}

// applyDiff applies only the records that changed. Applying all records at
// every change took most of the time until a change was in force.
func (b *builder) applyDiff(diff conf.ServerDiff) {
	b.previous = map[conf.ServerID]*serverState{}
	for _, rec := range diff.Old {
		if st := b.p.states[rec.ID]; st != nil {
			b.previous[rec.ID] = st
			delete(b.p.states, rec.ID)
			b.p.remove(*b.snap.Nodes[rec.Service].Values.ServiceID, st)
		}
	}
	for _, rec := range diff.New {
		if svc := b.applyRecord(rec); svc != nil {
			svc.sort()
		}
	}
}

// applyRecord adds the server of a record. It returns the server's service, or
// nil if the server was removed or its node has no service identifier.
func (b *builder) applyRecord(rec conf.Server) *service {
	n := b.snap.Nodes[rec.Service]
	if rec.Mark == conf.MarkRemoved || n.Values.ServiceID == nil {
		return nil
	}
	half := halfOf(rec.Service)
	key := half + "/" + rec.Domain
	if _, ok := b.positions[key]; !ok {
		b.positions[key] = positionIn(b.p.entries[half], b.p.Entry, rec.Domain)
	}
	st := b.previous[rec.ID]
	if st == nil || st.generation != rec.Generation || st.addr != rec.Addr {
		st = &serverState{id: rec.ID, generation: rec.Generation, addr: rec.Addr, offset: offsetOf(rec.ID)}
	}
	st.limits, st.position = limitsOf(b.values.Server(&rec)), b.positions[key]
	st.Slots = st.limits.slots
	st.usableFrom = b.snap.MarkedSince(&rec).Add(conf.EffectAfter)
	st.local, st.domainOut = rec.Domain == b.p.Domain, isDomainOut(b.snap, half, rec.Domain)
	b.p.states[rec.ID] = st
	return b.p.add(*n.Values.ServiceID, st)
}

// add appends a server to its service and returns the service, which the caller
// must sort.
func (p *Picker) add(id conf.ServiceID, st *serverState) *service {
	svc := p.services[id]
	if svc == nil {
		svc = &service{}
		p.services[id] = svc
	}
	if st.local {
		svc.local = append(svc.local, st)
	} else {
		svc.remote = append(svc.remote, st)
	}
	return svc
}

// remove deletes a server from its service, and the service when it has no
// servers left: Place then returns ReasonUnknownService.
func (p *Picker) remove(id conf.ServiceID, st *serverState) {
	svc := p.services[id]
	same := func(other *serverState) bool { return other == st }
	svc.local, svc.remote = slices.DeleteFunc(svc.local, same), slices.DeleteFunc(svc.remote, same)
	if len(svc.local)+len(svc.remote) == 0 {
		delete(p.services, id)
	}
}

func (svc *service) sort() {
	slices.SortFunc(svc.local, byID)
	slices.SortFunc(svc.remote, byID)
}

func byID(a, b *serverState) int { return cmp.Compare(a.id, b.id) }
