package router

import (
	"net/netip"
	"time"
)

// ApplySettings replaces the routes and services. It ignores settings that are
// older than the current ones; for the current version it updates only the
// revision.
func (lb *Balancer) ApplySettings(newSettings *Settings) {
	if lb.settings != nil && (newSettings.Version < lb.settings.Version || newSettings.Rev < lb.settings.Rev) {
		lb.Log.Warn("settings ignored, they are older than those in force", "version", newSettings.Version, "rev", newSettings.Rev, "inForce", lb.settings.Version, "inForceRev", lb.settings.Rev)
		return
	}
	if lb.settings != nil && newSettings.Version == lb.settings.Version {
		lb.settings.Rev = newSettings.Rev
		return
	}
	routes := make(map[netip.AddrPort]*Route, len(newSettings.Routes))
	for i := range newSettings.Routes {
		routes[newSettings.Routes[i].Addr] = &newSettings.Routes[i]
	}
	lb.services = make(map[string]Service, len(newSettings.Services))
	for _, v := range newSettings.Services {
		lb.services[v.Name] = v
	}
	lb.settings, lb.routes = newSettings, routes
	lb.Log.Info("settings in force", "version", newSettings.Version, "rev", newSettings.Rev, "routes", len(routes))
}

// ApplyDomains excludes failure domains from new flows, or returns them to
// use, as operators ask for. With full set, changes lists all excluded
// domains.
func (lb *Balancer) ApplyDomains(now time.Time, changes []Change[ExcludedDomain], full bool) {
	if full {
		seen := map[string]bool{}
		for _, c := range changes {
			seen[c.Name] = true
		}
		for name := range lb.excludedDomains {
			if !seen[name] {
				lb.returnDomain(now, name)
			}
		}
	}
	for _, c := range changes {
		switch _, excluded := lb.excludedDomains[c.Name]; {
		case c.Deleted:
			lb.returnDomain(now, c.Name)
		case !excluded:
			lb.excludedDomains[c.Name] = now
			lb.Log.Info("failure domain taken out", "domain", c.Name, "rev", c.Rev)
		}
	}
}

// returnDomain returns an excluded failure domain to use. Its servers start
// cold, since they may have become slow again while they got no requests.
func (lb *Balancer) returnDomain(now time.Time, name string) {
	if _, ok := lb.excludedDomains[name]; !ok {
		return
	}
	delete(lb.excludedDomains, name)
	lb.Log.Info("failure domain returned", "domain", name)
	for _, srv := range lb.byName {
		if srv.Domain == name {
			srv.coldUntil = now.Add(lb.services[srv.Service].ColdDuration)
		}
	}
}

// chooseService picks the service of a new flow at random by the weights of
// the route.
func (lb *Balancer) chooseService(rt *Route) string {
	total := 0
	for _, share := range rt.WeightedServices {
		total += share.Weight
	}
	if total <= 0 {
		return ""
	}
	n := lb.rnd.IntN(total)
	for _, share := range rt.WeightedServices {
		if n -= share.Weight; n < 0 {
			return share.Service
		}
	}
	return ""
}
