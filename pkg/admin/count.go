package admin

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
)

// failureInterceptor counts the streams that fail after their key was accepted.
// Unary requests are counted by statusRecorder, because a body that is too large
// or malformed fails before an interceptor runs.
type failureInterceptor struct {
	refusals *Refusals
}

func (c failureInterceptor) count(err error) error {
	if err == nil {
		return nil
	}
	switch connect.CodeOf(err) {
	case connect.CodeResourceExhausted:
		c.refusals.TooLarge.Add(1)
	case connect.CodeInvalidArgument:
		c.refusals.Malformed.Add(1)
	default:
		c.refusals.Failed.Add(1)
	}
	return err
}

// WrapUnary implements connect.Interceptor. It counts nothing.
func (c failureInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc { return next }

// WrapStreamingClient implements connect.Interceptor.
func (c failureInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler implements connect.Interceptor.
func (c failureInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		return c.count(next(ctx, conn))
	}
}

// statusRecorder counts failed unary requests by the status of the response.
type statusRecorder struct {
	http.ResponseWriter
	refusals *Refusals
}

// WriteHeader implements http.ResponseWriter.
func (w statusRecorder) WriteHeader(status int) {
	switch {
	case status == http.StatusTooManyRequests:
		w.refusals.TooLarge.Add(1)
	case status == http.StatusBadRequest:
		w.refusals.Malformed.Add(1)
	case status >= http.StatusBadRequest:
		w.refusals.Failed.Add(1)
	}
	w.ResponseWriter.WriteHeader(status)
}

func (s *Server) recordStatus(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(statusRecorder{w, &s.Refusals}, r)
	})
}

// Map returns the counters by name.
func (r *Refusals) Map() map[string]uint64 {
	return map[string]uint64{
		"noKey": r.NoKey.Load(), "wrongKey": r.WrongKey.Load(), "tooLarge": r.TooLarge.Load(),
		"malformed": r.Malformed.Load(), "failed": r.Failed.Load(),
	}
}
