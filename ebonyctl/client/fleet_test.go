package client

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/admin"
)

// Guards against drops, retries and closes that are shown as refusals, and
// against an unknown clock skew that is shown as none.
func TestStatusOf(t *testing.T) {
	skew := -120 * time.Millisecond
	for _, tc := range []struct {
		skew *time.Duration
		want int64
	}{{&skew, -120}, {nil, 0}} {
		s := statusOf(&admin.Status{
			Entry: "bole-1", FreshFor: 1500 * time.Millisecond, ClockSkew: tc.skew,
			Counters: map[string]uint64{"refused.coldLimit": 1, "dropped.badToken": 2, "retried.timeout": 3, "closed.domainOut": 4},
		})
		assert.DeepEqual(t, []map[string]uint64{s.Refused, s.Dropped, s.Retried, s.Closed},
			[]map[string]uint64{{"coldLimit": 1}, {"badToken": 2}, {"timeout": 3}, {"domainOut": 4}})
		assert.Equal(t, s.FreshMillis, int64(1500))
		assert.Equal(t, s.SkewMillis != nil, tc.skew != nil)
		if s.SkewMillis != nil {
			assert.Equal(t, *s.SkewMillis, tc.want)
		}
	}
}
