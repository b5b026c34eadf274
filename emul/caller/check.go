package caller

import (
	"fmt"
	"time"

	"ebonypaddle/emul/body"
)

// Limits of a load run on one machine.
const (
	maxCallers        = 1_000
	maxFlowsPerCaller = 100_000
	maxRequestRate    = 1_000_000 // requests per second
)

// BoundError reports a field of Load that is out of its bounds.
type BoundError struct {
	Field string
	Value any
	Bound string
}

// Error returns the field, the value and the bound.
func (e *BoundError) Error() string {
	return fmt.Sprintf("load: %s is %v, must be %s", e.Field, e.Value, e.Bound)
}

// Check returns a *BoundError for the first field that is out of its bounds, else
// nil. The comparisons are written so that a ratio or rate that is NaN fails.
func (l *Load) Check() error {
	for _, f := range []struct {
		name  string
		value any
		ok    bool
		bound string
	}{
		{"callers", len(l.Callers), len(l.Callers) >= 1 && len(l.Callers) <= maxCallers, fmt.Sprintf("between 1 and %d", maxCallers)},
		{"flows", l.Flows, l.Flows >= 0 && l.Flows <= maxFlowsPerCaller, fmt.Sprintf("between 0 and %d", maxFlowsPerCaller)},
		{"open tries", l.OpenTries, l.OpenTries >= 1, "at least 1"},
		{"open pause", l.OpenPause, l.OpenPause >= 0, "at least 0"},
		{"flow life", l.FlowLife, l.FlowLife >= 0, "at least 0"},
		{"keepalive", l.Keepalive, l.Keepalive > 0, "above 0"},
		{"stall", l.Stall, l.Stall > 0, "above 0"},
		{"rate", l.Rate, l.Rate >= 0 && l.Rate <= maxRequestRate, fmt.Sprintf("between 0 and %d", maxRequestRate)},
		{"once", l.OnceRatio, l.OnceRatio >= 0 && l.OnceRatio <= 1, "between 0 and 1"},
		{"answer", l.AnswerSize, l.AnswerSize >= 0 && l.AnswerSize <= body.MaxAnswer, fmt.Sprintf("between 0 and %d", body.MaxAnswer)},
		{"timeout", l.Timeout, l.Timeout >= time.Millisecond, "at least 1ms"},
		{"duration", l.Duration, l.Duration > 0, "above 0"},
		{"settle", l.SettleTime, l.SettleTime >= 0, "at least 0"},
		{"in-flight", l.MaxInFlight, l.MaxInFlight >= 1, "at least 1"},
	} {
		if !f.ok {
			return &BoundError{f.name, f.value, f.bound}
		}
	}
	for _, c := range l.Callers {
		if c.Resend <= 0 {
			return &BoundError{"resend", c.Resend, "above 0"}
		}
	}
	return nil
}
