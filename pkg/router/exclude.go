package router

import (
	"time"

	"ebonypaddle/pkg/revs"
)

// domainMarks hold which failure domains operators have taken out.
type domainMarks struct {
	excluded map[string]time.Time // by name, with the time of exclusion
	returned map[string]bool      // domains that were taken out before
	// pending holds the state that a restored store lists for domains whose known
	// state may be newer.
	pending map[string]pendingMark
	// restoredUntil is until when a restored store may lack what was written to
	// it since its copy.
	restoredUntil time.Time
}

// pendingMark is the state of a failure domain in a list of the store. rev is the
// revision of its object, 0 if the list has none.
type pendingMark struct {
	excluded bool
	rev      revs.Rev
}

func (m *domainMarks) start() {
	m.excluded, m.returned, m.pending = map[string]time.Time{}, map[string]bool{}, map[string]pendingMark{}
}

// StoreRestored records that the store came back from an older copy of itself and
// lost what operators wrote since. They write it again, so for RemovalGrace lists
// of the store do not undo changes of failure domains.
func (lb *Balancer) StoreRestored(now time.Time) {
	lb.marks.restoredUntil = now.Add(lb.Limits.RemovalGrace)
}

// ApplyDomains excludes failure domains from new flows, or returns them to
// use, as operators ask for. With full set, changes lists all excluded
// domains.
func (lb *Balancer) ApplyDomains(now time.Time, changes []Change[ExcludedDomain], full bool) {
	mark := lb.setDomain
	if full && now.Before(lb.marks.restoredUntil) {
		mark = lb.setListedDomain
	}
	listed := map[string]bool{}
	for _, c := range changes {
		listed[c.Name] = true
		mark(now, c.Name, c.Rev, !c.Deleted)
	}
	if !full {
		return
	}
	for name := range lb.marks.excluded {
		if !listed[name] {
			mark(now, name, 0, false)
		}
	}
	for name := range lb.marks.pending {
		if !listed[name] {
			mark(now, name, 0, false)
		}
	}
}

// setListedDomain takes over the state of a failure domain from a list of a restored
// store, unless it would undo a known change.
func (lb *Balancer) setListedDomain(now time.Time, name string, rev revs.Rev, excluded bool) {
	_, known := lb.marks.excluded[name]
	if known == excluded || excluded && !lb.marks.returned[name] {
		lb.setDomain(now, name, rev, excluded)
		return
	}
	lb.marks.pending[name] = pendingMark{excluded, rev}
	lb.Log.Info("failure domain kept as it is, the store was restored", "domain", name, "out", known, "for", lb.marks.restoredUntil.Sub(now))
}

// setDomain takes a failure domain out, or returns it to use.
func (lb *Balancer) setDomain(now time.Time, name string, rev revs.Rev, excluded bool) {
	delete(lb.marks.pending, name)
	switch _, known := lb.marks.excluded[name]; {
	case excluded && !known:
		lb.marks.excluded[name] = now
		lb.Log.Info("failure domain taken out", "domain", name, "rev", rev)
	case !excluded && known:
		lb.returnDomain(now, name)
	}
}

// returnDomain returns an excluded failure domain to use. Its servers start
// cold, since they may have become slow again while they got no requests.
func (lb *Balancer) returnDomain(now time.Time, name string) {
	delete(lb.marks.excluded, name)
	lb.marks.returned[name] = true
	lb.Log.Info("failure domain returned", "domain", name)
	for _, srv := range lb.byName {
		if srv.Domain == name {
			srv.coldUntil = now.Add(lb.services[srv.Service].ColdDuration)
		}
	}
}

// expireRestored takes over the state that the restored store lists for failure
// domains once operators had the time to write theirs again.
func (lb *Balancer) expireRestored(now time.Time) {
	if now.Before(lb.marks.restoredUntil) {
		return
	}
	for name, mark := range lb.marks.pending {
		lb.setDomain(now, name, mark.rev, mark.excluded)
	}
}
