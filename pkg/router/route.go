package router

import "net/netip"

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
		rt := &newSettings.Routes[i]
		if old := lb.routes[rt.Addr]; old != nil {
			rt.answerSize, rt.bucket = old.answerSize, old.bucket
		}
		routes[rt.Addr] = rt
	}
	lb.services = make(map[string]Service, len(newSettings.Services))
	for _, v := range newSettings.Services {
		lb.services[v.Name] = v
	}
	lb.settings, lb.routes = newSettings, routes
	lb.admission.configure(newSettings)
	lb.Log.Info("settings in force", "version", newSettings.Version, "rev", newSettings.Rev, "routes", len(routes))
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
