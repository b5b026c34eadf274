package server

import (
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

// limitsOf takes the values that the table needs.
func limitsOf(r conf.Resolved) Limits {
	return Limits{
		Slots: r.Slots, QueuePerSlot: r.QueuePerSlot, ColdSlots: r.ColdSlots,
		IdentityTTL: r.IdentityTTL, ColdTime: r.ColdTime,
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
