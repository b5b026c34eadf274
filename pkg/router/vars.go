package router

// Vars returns the counters and table sizes by name.
func (lb *Balancer) Vars() map[string]any {
	unreachable := []string{}
	for name, d := range lb.domains {
		if d.unreachable {
			unreachable = append(unreachable, name)
		}
	}
	leaving, removed := 0, 0
	for _, srv := range lb.byName {
		if srv.Leaving {
			leaving++
		}
		if !srv.removedAt.IsZero() {
			removed++
		}
	}
	v := map[string]any{
		"reasons": lb.Stats.Map(),
		"opened":  lb.Opened, "copied": lb.Retransmitted, "crossed": lb.CrossDomain,
		"openTimeMs": lb.OpenTime.Map(), "answerTimeMs": lb.AnswerTime.Map(),
		"servers": len(lb.byName), "serversLeaving": leaving, "serversLapsed": removed,
		"flows": len(lb.flows.entries), "unknownTokens": len(lb.unknownTokens),
		"domainsOut": len(lb.marks.excluded), "domainsCut": unreachable, "routes": len(lb.routes),
	}
	if lb.settings != nil {
		v["version"], v["settingsRev"] = lb.settings.Version, lb.settings.Rev
	}
	return v
}
