package store_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/store"
)

// Guards against a line for each failed call of an outage, and against an end
// without the length of the outage.
func TestOutage(t *testing.T) {
	var o store.Outage
	now := time.UnixMilli(1_700_000_000_000)
	_, was := o.Answered(now)
	assert.Assert(t, !was)
	assert.Assert(t, o.Failed(now))
	assert.Assert(t, !o.Failed(now.Add(time.Second)))
	lost, was := o.Answered(now.Add(3 * time.Second))
	assert.Assert(t, was)
	assert.Equal(t, lost, 3*time.Second)
	assert.Assert(t, o.Failed(now.Add(4*time.Second)), "the second outage is not told")
}
