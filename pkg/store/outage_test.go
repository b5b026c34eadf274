package store_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/store"
)

// Guards against an outage that is reported for each of its failed calls, and
// against a wrong length at its end.
func TestOutage(t *testing.T) {
	var o store.Outage
	now := time.UnixMilli(1_700_000_000_000)
	_, ended := o.RecordSuccess(now)
	assert.Assert(t, !ended)
	assert.Assert(t, o.RecordFailure(now))
	assert.Assert(t, !o.RecordFailure(now.Add(time.Second)))
	length, ended := o.RecordSuccess(now.Add(3 * time.Second))
	assert.Assert(t, ended)
	assert.Equal(t, length, 3*time.Second)
	assert.Assert(t, o.RecordFailure(now.Add(4*time.Second)), "the second outage is not reported")
}
