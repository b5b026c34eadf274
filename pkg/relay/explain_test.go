package relay

import (
	"log/slog"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/router"
)

var explained = router.ExplainQuery{Service: netip.MustParseAddrPort("198.18.0.1:443")}

// Guards against explanations that are not those of the balancer, or that count as
// packets.
func TestExplainOverTheWire(t *testing.T) {
	_, version, i := startReader(t)
	reasons := i.Balancer.Stats.Map()
	ex, err := (&ExplainClient{http.DefaultClient}).Explain(t.Context(), i.Control.String(), explained)
	assert.NilError(t, err)
	assert.Equal(t, ex.Version, version)
	assert.Equal(t, ex.Outcome.Reason, "unknownService")
	assert.DeepEqual(t, i.Balancer.Stats.Map(), reasons)
}

// Guards against an instance that is kept busy by explaining.
func TestExplainIsLimited(t *testing.T) {
	now := time.Now()
	r := &Relay{Clock: func() time.Time { return now }, Log: slog.New(slog.DiscardHandler), Balancer: &router.Balancer{Domain: "a"}}
	r.Balancer.Start(now)
	limit := rate.NewLimiter(maxExplains, maxExplains)
	for second := range 3 {
		given := 0
		for range 10 * maxExplains {
			if _, err := r.explain(limit, explained); err == nil {
				given++
			} else {
				assert.Equal(t, connect.CodeOf(err), connect.CodeResourceExhausted)
			}
		}
		assert.Equal(t, given, maxExplains, "second %d", second)
		now = now.Add(time.Second)
	}
	assert.Equal(t, r.Counters.Explained.Load(), uint64(3*maxExplains))
	assert.Equal(t, r.Counters.ExplainsLimited.Load(), uint64(27*maxExplains))
}

// Guards against addresses that crash the balancer, and requests of any size.
func TestExplainRefusesInvalidQueries(t *testing.T) {
	_, _, i := startReader(t)
	c := ExplainClient{http.DefaultClient}
	v6 := netip.MustParseAddrPort("[::1]:9")
	for _, q := range []router.ExplainQuery{{}, {Service: v6}, {Service: explained.Service, Caller: v6}} {
		_, err := c.Explain(t.Context(), i.Control.String(), q)
		assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument)
	}
	res, err := http.Post("http://"+i.Control.String()+explainPath, "application/cbor", strings.NewReader(strings.Repeat("x", 2*maxExplainRequest)))
	assert.NilError(t, err)
	assert.NilError(t, res.Body.Close())
	assert.Equal(t, res.StatusCode, http.StatusTooManyRequests)
}

// Guards against explanations that callers can ask for.
func TestExplainIsNotServedToCallers(t *testing.T) {
	_, _, i := startReader(t)
	_, err := (&ExplainClient{http.DefaultClient}).Explain(t.Context(), i.Ready.String(), explained)
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnimplemented)
}
