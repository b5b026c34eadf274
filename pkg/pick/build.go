package pick

import (
	"cmp"
	"slices"

	"ebonypaddle/pkg/conf"
)

// builder takes over records of one snapshot.
type builder struct {
	p      *Picker
	s      *conf.Snapshot
	values conf.Cache
	places map[string]place
	// old holds the rows before, which keep what was learned of a server.
	old map[conf.ServerID]*row
}

// applyStep takes over a few records. All records at every change took most
// of the time in which a change was put in force.
func (b *builder) applyStep(step conf.ServerDiff) {
	b.old = map[conf.ServerID]*row{}
	for _, rec := range step.Old {
		if r := b.p.rows[rec.ID]; r != nil {
			b.old[rec.ID] = r
			delete(b.p.rows, rec.ID)
			b.p.drop(*b.s.Nodes[rec.Service].Values.ServiceID, r)
		}
	}
	for _, rec := range step.Set {
		if svc := b.applyRecord(rec); svc != nil {
			svc.sort()
		}
	}
}

// applyRecord returns the service of the record, or nil when no work may be
// placed on the server.
func (b *builder) applyRecord(rec conf.Server) *service {
	n := b.s.Nodes[rec.Service]
	if rec.Mark == conf.MarkRemoved || n.Values.ServiceID == nil {
		return nil
	}
	half := halfOf(rec.Service)
	key := half + "/" + rec.Domain
	if _, ok := b.places[key]; !ok {
		b.places[key] = placeIn(b.p.seats[half], b.p.Entry, rec.Domain)
	}
	r := b.old[rec.ID]
	if r == nil || r.generation != rec.Generation || r.addr != rec.Addr {
		r = &row{id: rec.ID, generation: rec.Generation, addr: rec.Addr, offset: offsetOf(rec.ID)}
	}
	r.limits, r.place = limitsOf(b.values.Server(&rec)), b.places[key]
	r.Slots = r.limits.slots
	r.from = b.s.MarkedSince(&rec).Add(conf.EffectAfter)
	r.local, r.out = rec.Domain == b.p.Domain, isOut(b.s, half, rec.Domain)
	b.p.rows[rec.ID] = r
	return b.p.add(*n.Values.ServiceID, r)
}

func (p *Picker) add(id conf.ServiceID, r *row) *service {
	svc := p.services[id]
	if svc == nil {
		svc = &service{}
		p.services[id] = svc
	}
	if r.local {
		svc.own = append(svc.own, r)
	} else {
		svc.other = append(svc.other, r)
	}
	return svc
}

// drop takes a row out of its service. A service without servers is unknown.
func (p *Picker) drop(id conf.ServiceID, r *row) {
	svc := p.services[id]
	is := func(o *row) bool { return o == r }
	svc.own, svc.other = slices.DeleteFunc(svc.own, is), slices.DeleteFunc(svc.other, is)
	if len(svc.own)+len(svc.other) == 0 {
		delete(p.services, id)
	}
}

func (svc *service) sort() {
	slices.SortFunc(svc.own, byID)
	slices.SortFunc(svc.other, byID)
}

func byID(a, b *row) int { return cmp.Compare(a.id, b.id) }
