package server

import (
	"time"

	"ebonypaddle/pkg/conf"
)

// Limits are the settings that apply to one server.
type Limits struct {
	// Slots is the number of requests a server processes at once, QueuePerSlot
	// the number of queued requests for each slot, and ColdSlots the number of
	// requests at once in the first stage of a cold start.
	Slots, QueuePerSlot, ColdSlots int
	// IdentityTTL is how long the identity of a server stays confirmed after
	// the server was heard from. ColdTime is the shortest time in each stage below
	// warm.
	IdentityTTL, ColdTime time.Duration
}

// limitsOf returns the limits from the resolved settings of a server.
func limitsOf(r conf.Resolved) Limits {
	return Limits{
		Slots: r.Slots, QueuePerSlot: r.QueuePerSlot, ColdSlots: r.ColdSlots,
		IdentityTTL: r.IdentityTTL, ColdTime: r.ColdTime,
	}
}

// requestsWhenWarm returns the number of requests that may be in progress on a
// warm server, from all instances together.
func (l *Limits) requestsWhenWarm() int { return max(l.Slots*(1+l.QueuePerSlot), 1) }

// requestsAtStage returns the number of requests that may be in progress on a
// server at a stage, from all instances together. It doubles with each stage
// up to the limit of a warm server.
func (l *Limits) requestsAtStage(stage int) int {
	t := max(l.ColdSlots, 1)
	for range stage {
		if t >= l.requestsWhenWarm() {
			break
		}
		t *= 2
	}
	return min(t, l.requestsWhenWarm())
}
