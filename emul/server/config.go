// Package server simulates backend servers: slots, queue, shedding, cold start,
// drain, deadlines, cancellation, flows with a push feed, and a record of every
// run of a request.
package server

import (
	"fmt"
	"net/netip"

	"ebonypaddle/pkg/conf"
)

// Config describes one backend server.
type Config struct {
	Service    conf.ServiceID `json:"service"`
	ID         conf.ServerID  `json:"id"`
	Generation uint32         `json:"generation"`
	Addr       netip.AddrPort `json:"addr"`

	// Slots is the number of requests that run at once, Queue the number of
	// requests that may wait, and Connections the number of open flows; 0
	// Connections means no limit.
	Slots       int `json:"slots"`
	Queue       int `json:"queue"`
	Connections int `json:"connections"`
	// Mean is the mean service time. Distribution is that of the service times,
	// "constant" (the default) or "exponential". During a cold start, service
	// times are multiplied by ColdFactor, if it is above 0.
	Mean         conf.Duration `json:"mean"`
	Distribution string        `json:"distribution,omitempty"`
	ColdFactor   float64       `json:"coldFactor,omitempty"`
	// A cold start lasts ColdTime. During it, the server accepts up to
	// ColdSlots requests at once and sheds up to ColdMargin excess requests in
	// a row; at the next one it falls over, that is, it crashes and restarts.
	// The restart takes DownTime.
	ColdTime   conf.Duration `json:"coldTime"`
	ColdSlots  int           `json:"coldSlots"`
	ColdMargin int           `json:"coldMargin,omitempty"`
	DownTime   conf.Duration `json:"downTime,omitempty"`
	// Idle is the time without a packet of the caller after which a flow is
	// removed; 0 means never.
	Idle conf.Duration `json:"idle,omitempty"`
	// Push is the interval of the push feed to every open flow; 0 turns the
	// feed off.
	Push conf.Duration `json:"push,omitempty"`
}

// Check returns an error for the first field with an invalid value, or nil.
func (c *Config) Check() error {
	switch {
	case c.Slots < 1:
		return fmt.Errorf("server %d: slots %d is below 1", c.ID, c.Slots)
	case c.ColdSlots < 1:
		return fmt.Errorf("server %d: coldSlots %d is below 1", c.ID, c.ColdSlots)
	case c.Distribution != "" && c.Distribution != "constant" && c.Distribution != "exponential":
		return fmt.Errorf("server %d: distribution %q is neither constant nor exponential", c.ID, c.Distribution)
	}
	return nil
}

// Misreport makes the load reports and the health endpoint report wrong values.
type Misreport struct {
	// Lag is the age up to which a load report is repeated instead of updated.
	Lag conf.Duration `json:"lag,omitempty"`
	// InFlight replaces the number of requests in the load report.
	InFlight *uint16 `json:"inFlight,omitempty"`
	// Health replaces the state that the health endpoint reports.
	Health string `json:"health,omitempty"`
}
