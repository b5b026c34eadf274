package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"connectrpc.com/connect"
	"golang.org/x/time/rate"

	"ebonypaddle/pkg/admin"
	"ebonypaddle/pkg/router"
)

const (
	// explainPath is the path of the request that asks where a new flow would go.
	explainPath = "/ebonypaddle.relay.v1.Relay/Explain"
	// maxExplains is the number of explanations a second. One reads all servers of
	// its services while no packet is handled.
	maxExplains = 5
	// maxExplainRequest and maxExplanation are the sizes of the largest request and
	// response in bytes.
	maxExplainRequest = 1 << 10
	maxExplanation    = 1 << 20
)

var (
	errExplainRate  = errors.New("more explanations were asked for than are given in a second")
	errExplainQuery = errors.New("addresses must be IPv4")
)

// ExplainClient asks instances where a new flow would go.
type ExplainClient struct{ HTTP *http.Client }

// Explain asks the instance with the control address addr. The error is a
// *connect.Error: CodeUnavailable if it cannot be reached, CodeUnimplemented if it does
// not know the request, CodeResourceExhausted if it was asked too often.
func (c *ExplainClient) Explain(ctx context.Context, addr string, q router.ExplainQuery) (*router.Explanation, error) {
	codec, err := admin.NewCodec()
	if err != nil {
		return nil, err
	}
	client := connect.NewClient[router.ExplainQuery, router.Explanation](c.HTTP, "http://"+addr+explainPath, connect.WithCodec(codec), connect.WithReadMaxBytes(maxExplanation), connect.WithAcceptCompression("gzip", nil, nil))
	res, err := client.CallUnary(ctx, connect.NewRequest(&q))
	if err != nil {
		return nil, fmt.Errorf("explanation of %s: %w", addr, err)
	}
	return res.Msg, nil
}

// explainHandler returns the handler of explainPath.
func (r *Relay) explainHandler(codec connect.Codec) http.Handler {
	limit := rate.NewLimiter(maxExplains, maxExplains)
	explain := func(_ context.Context, q router.ExplainQuery) (router.Explanation, error) {
		return r.explain(limit, q)
	}
	return connect.NewUnaryHandler(explainPath, admin.Unary(explain), connect.WithCodec(codec), connect.WithReadMaxBytes(maxExplainRequest), connect.WithSendMaxBytes(maxExplanation))
}

// explain says where a new flow would go. The control address is not one of those that
// callers reach.
func (r *Relay) explain(limit *rate.Limiter, q router.ExplainQuery) (router.Explanation, error) {
	now := r.Clock()
	if !limit.AllowN(now, 1) {
		r.Counters.ExplainsLimited.Add(1)
		r.Log.Warn("explanation refused", "service", q.Service, "err", errExplainRate)
		return router.Explanation{}, connect.NewError(connect.CodeResourceExhausted, errExplainRate)
	}
	if !q.Valid() {
		r.Counters.ExplainsInvalid.Add(1)
		r.Log.Warn("explanation refused", "service", q.Service, "err", errExplainQuery)
		return router.Explanation{}, connect.NewError(connect.CodeInvalidArgument, errExplainQuery)
	}
	r.mu.Lock()
	ex := r.Balancer.Explain(now, q)
	r.mu.Unlock()
	r.Counters.Explained.Add(1)
	r.Log.Info("decision explained", "service", q.Service, "caller", q.Caller, "action", ex.Outcome.Action, "reason", ex.Outcome.Reason, "server", ex.Outcome.Server, "version", ex.Version)
	return ex, nil
}
