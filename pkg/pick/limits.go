package pick

import (
	"time"

	"ebonypaddle/pkg/conf"
)

// limits holds the resolved settings of one server that placement uses.
type limits struct {
	slots, queuePerSlot, connections, coldSlots, coldFlows int
	epoch, skew, attempt                                   time.Duration
}

// limitsOf copies the limits of a server from its resolved settings.
func limitsOf(r conf.Resolved) limits {
	return limits{
		slots: max(r.Slots, 1), queuePerSlot: r.QueuePerSlot, connections: r.Connections,
		coldSlots: max(r.ColdSlots, 1), coldFlows: max(r.ColdFlows, 1),
		epoch: r.EpochTime, skew: r.MaxClockSkew, attempt: r.AttemptTime,
	}
}

// warmLimit returns the number of requests that a warm server processes or
// queues at a time.
func (l *limits) warmLimit() int { return l.slots * (1 + l.queuePerSlot) }
