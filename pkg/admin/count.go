package admin

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
)

// counting counts the streams that fail after their key was accepted.
type counting struct {
	r *Refusals
}

func (c counting) count(err error) error {
	if err == nil {
		return nil
	}
	switch connect.CodeOf(err) {
	case connect.CodeResourceExhausted:
		c.r.TooLarge.Add(1)
	case connect.CodeInvalidArgument:
		c.r.Malformed.Add(1)
	default:
		c.r.Failed.Add(1)
	}
	return err
}

// WrapUnary implements connect.Interceptor. It counts nothing, because a body
// that is too large or malformed fails before it; see recorder.
func (c counting) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc { return next }

// WrapStreamingClient implements connect.Interceptor.
func (c counting) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler implements connect.Interceptor.
func (c counting) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		return c.count(next(ctx, conn))
	}
}

// recorder counts unary requests by the status of the answer.
type recorder struct {
	http.ResponseWriter
	r *Refusals
}

// WriteHeader implements http.ResponseWriter.
func (w recorder) WriteHeader(status int) {
	switch {
	case status == http.StatusTooManyRequests:
		w.r.TooLarge.Add(1)
	case status == http.StatusBadRequest:
		w.r.Malformed.Add(1)
	case status >= http.StatusBadRequest:
		w.r.Failed.Add(1)
	}
	w.ResponseWriter.WriteHeader(status)
}

func (s *Server) record(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(recorder{rw, &s.Refusals}, r)
	})
}

// Map returns the counters by name.
func (r *Refusals) Map() map[string]uint64 {
	return map[string]uint64{
		"noKey": r.NoKey.Load(), "wrongKey": r.WrongKey.Load(), "tooLarge": r.TooLarge.Load(),
		"malformed": r.Malformed.Load(), "failed": r.Failed.Load(),
	}
}
