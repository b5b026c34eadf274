package conf

import "time"

// EffectAfter is the delay between the acceptance of a mark and its effect on
// new work. It is the time within which settings are in force on every
// instance, so that no instance uses a server that another has not heard of.
const EffectAfter = 4 * time.Second

// DomainOf returns the record of the server's failure domain.
func (s *Snapshot) DomainOf(rec *Server) (Domain, bool) {
	half := Half(rec.Service)
	d, ok := s.Domains[rec.Domain]
	if ok && d.Half == half {
		return d, true
	}
	for _, d := range s.Domains {
		if d.Name == rec.Domain && d.Half == half {
			return d, true
		}
	}
	return Domain{}, false
}

// MarkedSince returns when the server's mark was set or, if it is in, when its
// failure domain came back, whichever is later.
func (s *Snapshot) MarkedSince(rec *Server) time.Time {
	since := rec.Since
	if d, ok := s.DomainOf(rec); ok && rec.Mark == MarkIn && d.Since.After(since) {
		since = d.Since
	}
	return since
}
