package conf

import "time"

// EffectAfter is the delay between the time of a mark and its effect on new
// flows and requests. By then the settings with the mark are in force on every
// instance, so that no instance uses a server that another one does not know.
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

// MarkedSince returns the time at which the server's mark was set. If the server
// is marked in and its failure domain was marked later, it returns the time of
// the domain's mark.
func (s *Snapshot) MarkedSince(rec *Server) time.Time {
	since := rec.Since
	if d, ok := s.DomainOf(rec); ok && rec.Mark == MarkIn && d.Since.After(since) {
		since = d.Since
	}
	return since
}
