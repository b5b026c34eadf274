package relay

import "ebonypaddle/pkg/logs"

// Vars returns the counters of this instance by name, for the metrics address.
func (r *Relay) Vars() any {
	r.mu.Lock()
	balancer := r.Balancer.Vars()
	r.mu.Unlock()
	r.cacheMu.Lock()
	defer r.cacheMu.Unlock()
	c := &r.Counters
	return map[string]any{
		"steer": balancer,
		"packets": map[string]uint64{
			"in": c.In.Load(), "out": c.Out.Load(), "sendErrors": c.SendErrors.Load(), "malformed": c.Malformed.Load(),
		},
		"facts": map[string]any{
			"revs": r.cache.Revs(), "ignored": r.cache.Ignored(), "ageMs": logs.Age(r.Clock(), r.cache.ConfirmedAt()).Milliseconds(), "origin": r.cache.Origin(),
			"level": r.level, "reads": r.reading, "asks": c.SentRequests.Load(), "askErrors": c.FailedRequests.Load(), "answers": c.ReceivedRequests.Load(),
		},
		"explain": map[string]uint64{"given": c.Explained.Load(), "rateLimited": c.ExplainsLimited.Load(), "invalid": c.ExplainsInvalid.Load()},
		"load":    r.Loads.vars(r.Clock()),
		"leaving": r.leaving.Load(),
	}
}
