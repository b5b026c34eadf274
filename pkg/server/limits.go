package server

import (
	"path"
	"time"

	"ebonypaddle/pkg/conf"
)

// Limits are the values in force for one server.
type Limits struct {
	Slots, QueuePerSlot, ColdSlots int
	// IdentityTTL is how long a confirmed identity holds; ColdTime is the
	// shortest stay in each stage below warm.
	IdentityTTL, ColdTime time.Duration
}

// limitsFor reads the values at a node path, or the nearest ancestor that
// sets them.
func limitsFor(s *conf.Snapshot, node string) Limits {
	return Limits{
		Slots:        value(s, node, func(v *conf.Values) *int { return v.Slots }, 2),
		QueuePerSlot: value(s, node, func(v *conf.Values) *int { return v.QueuePerSlot }, 2),
		ColdSlots:    value(s, node, func(v *conf.Values) *int { return v.ColdSlots }, 1),
		IdentityTTL:  time.Duration(value(s, node, func(v *conf.Values) *conf.Duration { return v.IdentityTTL }, conf.Duration(2*time.Second))),
		ColdTime:     time.Duration(value(s, node, func(v *conf.Values) *conf.Duration { return v.ColdTime }, conf.Duration(time.Second))),
	}
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
func (l *Limits) warmLimit() int { return max(l.Slots*(1+l.QueuePerSlot), 1) }

// total is the number of requests in progress allowed at a stage.
func (l *Limits) total(stage int) int {
	t := max(l.ColdSlots, 1)
	for range stage {
		if t >= l.warmLimit() {
			break
		}
		t *= 2
	}
	return min(t, l.warmLimit())
}
