package stats_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/stats"
	"ebonypaddle/pkg/wire"
)

// Guards against a counter that is published under the name of another kind or
// reason, so that an operator looks for the wrong fault.
func TestCountersByKindAndReason(t *testing.T) {
	var c stats.Counters
	assert.Equal(t, c.Refused.String(), "{}")
	for kind, by := range map[string]*stats.ByReason{
		"refused": &c.Refused, "dropped": &c.Dropped, "retried": &c.Retried, "closed": &c.Closed,
	} {
		t.Run(kind, func(t *testing.T) {
			c = stats.Counters{}
			by.Add(wire.ReasonOverloaded)
			by.Add(wire.ReasonOverloaded)
			by.Add(wire.Reason(wire.ReasonCount - 1))
			last := wire.Reason(wire.ReasonCount - 1).String()
			assert.DeepEqual(t, c.Map(), map[string]uint64{kind + ".overloaded": 2, kind + "." + last: 1})
			assert.Equal(t, by.Get(wire.ReasonOverloaded), uint64(2))
			var m map[string]uint64
			assert.NilError(t, json.Unmarshal([]byte(by.String()), &m))
			assert.DeepEqual(t, m, map[string]uint64{"overloaded": 2, last: 1})
		})
	}
}
