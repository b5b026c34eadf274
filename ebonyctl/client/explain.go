package client

import (
	"context"
	"fmt"

	"connectrpc.com/connect"

	"ebonypaddle/pkg/relay"
	"ebonypaddle/pkg/router"
)

// NoExplainError reports an instance that does not explain decisions.
type NoExplainError struct {
	Addr string
	Err  error
}

// Error names the instance and what it may be.
func (e *NoExplainError) Error() string {
	return fmt.Sprintf("%s does not explain decisions; it must be the control address of an ebonyplat instance that is not older than this command: %v", e.Addr, e.Err)
}

// Unwrap returns the error of the request.
func (e *NoExplainError) Unwrap() error { return e.Err }

// Explain implements InstanceAPI. It asks the first instance.
func (ic *InstanceClient) Explain(ctx context.Context, q router.ExplainQuery) (*router.Explanation, error) {
	if len(ic.Addrs) == 0 {
		return nil, errNoAddress
	}
	c := relay.ExplainClient{HTTP: ic.HTTP}
	ex, err := c.Explain(ctx, ic.Addrs[0], q)
	switch connect.CodeOf(err) {
	case connect.CodeUnimplemented, connect.CodeUnauthenticated:
		return nil, &NoExplainError{ic.Addrs[0], err}
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeCanceled:
		// A connection that ends while the request is written counts as canceled.
		return nil, fmt.Errorf("%w: %w", errNoInstance, err)
	}
	return ex, err
}
