package router

// Vars returns the counters and sizes of the tables by name.
func (s *Balancer) Vars() map[string]any {
	cut := []string{}
	for name, d := range s.domains {
		if d.cut {
			cut = append(cut, name)
		}
	}
	leaving, lapsed := 0, 0
	for _, r := range s.byName {
		if r.Leaving {
			leaving++
		}
		if !r.lapsedAt.IsZero() {
			lapsed++
		}
	}
	v := map[string]any{
		"reasons": s.Stats.Map(),
		"opened":  s.Opened, "copied": s.Copied, "crossed": s.Crossed,
		"openTimeMs": s.OpenTime.Map(), "answerTimeMs": s.AnswerTime.Map(),
		"servers": len(s.byName), "serversLeaving": leaving, "serversLapsed": lapsed,
		"flows": len(s.flows.rows), "unknownTokens": len(s.unknown),
		"domainsOut": len(s.out), "domainsCut": cut, "routes": len(s.routes),
	}
	if s.settings != nil {
		v["version"], v["settingsRev"] = s.settings.Version, s.settings.Rev
	}
	return v
}
