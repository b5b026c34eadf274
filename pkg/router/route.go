package router

import (
	"net/netip"
	"time"
)

// ApplySettings puts settings in force. Settings that are older than those in
// force change nothing.
func (s *Balancer) ApplySettings(set *Settings) {
	if s.settings != nil && (set.Version < s.settings.Version || set.Rev < s.settings.Rev) {
		s.Log.Warn("settings ignored, they are older than those in force", "version", set.Version, "inForce", s.settings.Version)
		return
	}
	if s.settings != nil && set.Version == s.settings.Version {
		s.settings.Rev = set.Rev
		return
	}
	routes := make(map[netip.AddrPort]*Route, len(set.Routes))
	for i := range set.Routes {
		routes[set.Routes[i].Addr] = &set.Routes[i]
	}
	s.services = make(map[string]Service, len(set.Services))
	for _, v := range set.Services {
		s.services[v.Name] = v
	}
	s.settings, s.routes = set, routes
	s.Log.Info("settings in force", "version", set.Version, "rev", set.Rev, "routes", len(routes))
}

// ApplyDomains takes the failure domains that operators took out or returned.
// With full, the changes are all that are out.
func (s *Balancer) ApplyDomains(now time.Time, changes []Change[ExcludedDomain], full bool) {
	if full {
		seen := map[string]bool{}
		for _, c := range changes {
			seen[c.Name] = true
		}
		for name := range s.out {
			if !seen[name] {
				s.returnDomain(now, name)
			}
		}
	}
	for _, c := range changes {
		switch _, isOut := s.out[c.Name]; {
		case c.Deleted:
			s.returnDomain(now, c.Name)
		case !isOut:
			s.out[c.Name] = now
			s.Log.Info("failure domain taken out", "domain", c.Name, "rev", c.Rev)
		}
	}
}

// returnDomain ends the mark of a failure domain. Its servers may have become
// cold while nothing was sent to them.
func (s *Balancer) returnDomain(now time.Time, name string) {
	if _, ok := s.out[name]; !ok {
		return
	}
	delete(s.out, name)
	s.Log.Info("failure domain returned", "domain", name)
	for _, r := range s.byName {
		if r.Domain == name {
			r.coldUntil = now.Add(s.services[r.Service].ColdFor)
		}
	}
}

// choose draws the service of a new flow.
func (s *Balancer) choose(rt *Route) string {
	total := 0
	for _, sh := range rt.WeightedServices {
		total += sh.Weight
	}
	if total <= 0 {
		return ""
	}
	n := s.rnd.IntN(total)
	for _, sh := range rt.WeightedServices {
		if n -= sh.Weight; n < 0 {
			return sh.Service
		}
	}
	return ""
}
