package pick

import (
	"time"

	"ebonypaddle/pkg/conf"
)

// limits are the values in force for one server.
type limits struct {
	slots, queuePerSlot, connections, coldSlots, coldFlows int
	epoch, skew, attempt                                   time.Duration
}

// limitsOf takes the values that placing work on a server needs.
func limitsOf(r conf.Resolved) limits {
	return limits{
		slots: max(r.Slots, 1), queuePerSlot: r.QueuePerSlot, connections: r.Connections,
		coldSlots: max(r.ColdSlots, 1), coldFlows: max(r.ColdFlows, 1),
		epoch: r.EpochTime, skew: r.MaxClockSkew, attempt: r.AttemptTime,
	}
}

// warmLimit is the number of requests in progress that a warm server bears.
func (l *limits) warmLimit() int { return l.slots * (1 + l.queuePerSlot) }
