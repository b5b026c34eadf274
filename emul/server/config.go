// Package server stands in for backend servers: slots, queue, shedding, cold
// start, drain, deadlines, cancellation, flows with a push feed, and a record
// of every run of a request.
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

	// Slots is the number of requests run at once, Queue that of requests
	// that may wait, and Connections that of open flows.
	Slots       int `json:"slots"`
	Queue       int `json:"queue"`
	Connections int `json:"connections"`
	// Service times have mean Mean and Distribution "constant" (the default)
	// or "exponential". They are ColdFactor times longer while cold.
	Mean         conf.Duration `json:"mean"`
	Distribution string        `json:"distribution,omitempty"`
	ColdFactor   float64       `json:"coldFactor,omitempty"`
	// The server is cold for ColdTime after a start and then bears ColdSlots
	// requests. It sheds up to ColdMargin more in a row and falls over at the
	// next one. A start after that takes DownTime.
	ColdTime   conf.Duration `json:"coldTime"`
	ColdSlots  int           `json:"coldSlots"`
	ColdMargin int           `json:"coldMargin,omitempty"`
	DownTime   conf.Duration `json:"downTime,omitempty"`
	// Idle is the time after which a flow without a packet of its caller is
	// forgotten; 0 keeps it.
	Idle conf.Duration `json:"idle,omitempty"`
	// Push is the interval of the feed to every open flow; 0 turns it off.
	Push conf.Duration `json:"push,omitempty"`
}

// Check reports the first field that is out of its bounds.
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

// Misreport is what the load reports and the health endpoint get wrong.
type Misreport struct {
	// Lag is the age up to which a load report is repeated.
	Lag conf.Duration `json:"lag,omitempty"`
	// InFlight replaces the number of requests in the load report.
	InFlight *uint16 `json:"inFlight,omitempty"`
	// Health replaces the state that the health endpoint reports.
	Health string `json:"health,omitempty"`
}
