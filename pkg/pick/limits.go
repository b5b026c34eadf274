package pick

import (
	"path"
	"time"

	"ebonypaddle/pkg/conf"
)

// limits are the values in force for one server.
type limits struct {
	slots, queuePerSlot, connections, coldSlots, coldFlows int
	epoch, skew, attempt                                   time.Duration
}

// limitsFor reads the values at a node path, or the nearest ancestor that
// sets them.
func limitsFor(s *conf.Snapshot, node string) limits {
	return limits{
		slots:        max(value(s, node, func(v *conf.Values) *int { return v.Slots }, 2), 1),
		queuePerSlot: value(s, node, func(v *conf.Values) *int { return v.QueuePerSlot }, 2),
		connections:  value(s, node, func(v *conf.Values) *int { return v.Connections }, 2000),
		coldSlots:    max(value(s, node, func(v *conf.Values) *int { return v.ColdSlots }, 1), 1),
		coldFlows:    max(value(s, node, func(v *conf.Values) *int { return v.ColdFlows }, 20), 1),
		epoch:        span(s, node, func(v *conf.Values) *conf.Duration { return v.EpochTime }, 2*time.Second),
		skew:         span(s, node, func(v *conf.Values) *conf.Duration { return v.MaxClockSkew }, 100*time.Millisecond),
		attempt:      span(s, node, func(v *conf.Values) *conf.Duration { return v.AttemptTime }, 500*time.Millisecond),
	}
}

func span(s *conf.Snapshot, node string, get func(*conf.Values) *conf.Duration, def time.Duration) time.Duration {
	return time.Duration(value(s, node, get, conf.Duration(def)))
}

func value[T any](s *conf.Snapshot, node string, get func(*conf.Values) *T, def T) T {
	for {
		if n, ok := s.Nodes[node]; ok {
			if v := get(&n.Values); v != nil {
				return *v
			}
		}
		if node == "/" || node == "." || node == "" {
			return def
		}
		node = path.Dir(node)
	}
}

// warmLimit is the number of requests in progress that a warm server bears.
func (l *limits) warmLimit() int { return l.slots * (1 + l.queuePerSlot) }
