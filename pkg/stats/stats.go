// Package stats holds counters by reason and latency histograms. They are fields
// rather than global variables, so that a process can run several instances. A
// program's main function publishes them.
package stats

import (
	"encoding/json"
	"sync/atomic"

	"ebonypaddle/pkg/wire"
)

// ByReason holds one counter for each reason.
type ByReason [wire.ReasonCount]atomic.Uint64

// Add counts one event with the reason.
func (c *ByReason) Add(r wire.Reason) { c[r].Add(1) }

// Get returns the count for the reason.
func (c *ByReason) Get(r wire.Reason) uint64 { return c[r].Load() }

// Map returns the counters that are not zero, by the name of the reason.
func (c *ByReason) Map() map[string]uint64 {
	m := map[string]uint64{}
	for i := range c {
		if n := c[i].Load(); n > 0 {
			m[wire.Reason(i).String()] = n
		}
	}
	return m
}

// String returns the counters as JSON, which makes ByReason an expvar.Var.
func (c *ByReason) String() string {
	b, err := json.Marshal(c.Map())
	if err != nil {
		return "{}"
	}
	return string(b)
}

// Counters holds the counters of one instance by reason.
type Counters struct {
	// Refused counts refusals sent to callers, Dropped frames and datagrams
	// discarded without a response, Retried retries of requests, and Closed
	// flows that the instance closed.
	Refused, Dropped, Retried, Closed ByReason
}

// Map returns the counters that are not zero, by kind and reason, such as
// refused.overloaded.
func (c *Counters) Map() map[string]uint64 {
	m := map[string]uint64{}
	for kind, by := range map[string]*ByReason{
		"refused": &c.Refused, "dropped": &c.Dropped, "retried": &c.Retried, "closed": &c.Closed,
	} {
		for reason, n := range by.Map() {
			m[kind+"."+reason] = n
		}
	}
	return m
}
