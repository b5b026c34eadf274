package conf

import (
	"net/netip"
	"time"
)

// Values holds what a node sets itself. A nil field is inherited.
type Values struct {
	// ServiceID and Address belong to service nodes and are not inherited.
	ServiceID *ServiceID      `json:"serviceId,omitempty"`
	Address   *netip.AddrPort `json:"address,omitempty"`

	Slots        *int      `json:"slots,omitempty"`
	Connections  *int      `json:"connections,omitempty"`
	ColdSlots    *int      `json:"coldSlots,omitempty"`
	ColdFlows    *int      `json:"coldFlows,omitempty"`
	ColdTime     *Duration `json:"coldTime,omitempty"`
	RequestTime  *Duration `json:"requestTime,omitempty"`
	AttemptTime  *Duration `json:"attemptTime,omitempty"`
	RetryRatio   *float64  `json:"retryRatio,omitempty"`
	FreshFor     *Duration `json:"freshFor,omitempty"`
	IdentityTTL  *Duration `json:"identityTtl,omitempty"`
	TicketTime   *Duration `json:"ticketTime,omitempty"`
	MaxClockSkew *Duration `json:"maxClockSkew,omitempty"`
	QueuePerSlot *int      `json:"queuePerSlot,omitempty"`
	MaxPending   *int      `json:"maxPending,omitempty"`
	FlowIdle     *Duration `json:"flowIdle,omitempty"`
	EpochTime    *Duration `json:"epochTime,omitempty"`
}

// Duration is a time.Duration that JSON writes as a string such as "250ms".
type Duration time.Duration
