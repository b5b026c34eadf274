package client

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/admin"
)

// Guards against counters of drops, retries and closes that are shown as
// refusals, and against an unknown clock skew that is shown as 0.
func TestStatusOf(t *testing.T) {
	skew := -120 * time.Millisecond
	for _, tc := range []struct {
		skew *time.Duration
		want int64
	}{{&skew, -120}, {nil, 0}} {
		s := newStatus(&admin.Status{
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

// oldInstance responds to a watch like a version that sends names but no counts.
type oldInstance struct{}

type oldProgress struct {
	Rev              uint64
	Done             bool
	Reached, Missing []string
}

func (oldInstance) watch(_ context.Context, _ *connect.Request[admin.WatchRequest], s *connect.ServerStream[oldProgress]) error {
	return s.Send(&oldProgress{Rev: 3, Reached: []string{"bole-1"}, Missing: []string{"bole-2"}})
}

// Guards against a revision that is reported as in force although an instance of
// an older version, which sends names but no counts, reports missing instances.
func TestWatchOlderInstance(t *testing.T) {
	const path = "/ebonypaddle.Operator/Watch"
	mux := http.NewServeMux()
	mux.Handle(path, connect.NewServerStreamHandler(path, oldInstance{}.watch, connect.WithCodec(cborCodec{})))
	srv := httptest.NewServer(mux)
	defer srv.Close()
	p, err := (&InstanceClient{Addrs: []string{srv.URL}, HTTP: srv.Client()}).Watch(t.Context(), 3)
	assert.NilError(t, err)
	assert.DeepEqual(t, p, Progress{NotReached: 1, Missing: []string{"bole-2"}})
}

// cborCodec is the encoding of the admin service.
type cborCodec struct{}

func (cborCodec) Name() string                    { return "cbor" }
func (cborCodec) Marshal(v any) ([]byte, error)   { return cbor.Marshal(v) }
func (cborCodec) Unmarshal(b []byte, v any) error { return cbor.Unmarshal(b, v) }
