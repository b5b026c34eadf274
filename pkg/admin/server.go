package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"net/http"
	"strings"
	"sync/atomic"

	"connectrpc.com/connect"
)

// Refusals counts requests that were refused, by reason.
type Refusals struct {
	NoKey, WrongKey, TooLarge, Malformed, Failed atomic.Uint64
}

// Server serves settings and the operators' API.
type Server struct {
	Puller   Puller
	Operator Operator
	// ClusterKey opens Pull, OperatorKey the rest. An empty key opens nothing.
	ClusterKey, OperatorKey string
	Refusals                Refusals
	// Debug serves the published counters to operators; it may be nil. They
	// tell the command line and the load of every server.
	Debug http.Handler
}

// Handler returns the HTTP handler of the services.
func (s *Server) Handler() (http.Handler, error) {
	c, err := NewCodec()
	if err != nil {
		return nil, err
	}
	opts := []connect.HandlerOption{
		connect.WithCodec(c), connect.WithReadMaxBytes(maxRequest), connect.WithSendMaxBytes(MaxAnswer),
		connect.WithInterceptors(counting{&s.Refusals}),
	}
	mux := http.NewServeMux()
	mux.Handle(pullPath, s.guard(s.ClusterKey, s.record(connect.NewUnaryHandler(pullPath, Unary(s.pull), opts...))))
	mux.Handle(statusPath, s.guard(s.OperatorKey, s.record(connect.NewUnaryHandler(statusPath, Unary(s.status), opts...))))
	mux.Handle(settingsPath, s.guard(s.OperatorKey, s.record(connect.NewUnaryHandler(settingsPath, Unary(s.settings), opts...))))
	mux.Handle(notifyPath, s.guard(s.OperatorKey, s.record(connect.NewUnaryHandler(notifyPath, Unary(s.notify), opts...))))
	mux.Handle(watchPath, s.guard(s.OperatorKey, connect.NewServerStreamHandler(watchPath, s.watch, opts...)))
	if s.Debug != nil {
		mux.Handle(countersPath, s.guard(s.OperatorKey, s.record(s.Debug)))
	}
	return mux, nil
}

// Unary adapts a function over plain types.
func Unary[Req, Res any](f func(context.Context, Req) (Res, error)) func(context.Context, *connect.Request[Req]) (*connect.Response[Res], error) {
	return func(ctx context.Context, r *connect.Request[Req]) (*connect.Response[Res], error) {
		res, err := f(ctx, *r.Msg)
		if err != nil {
			return nil, err
		}
		return connect.NewResponse(&res), nil
	}
}

func (s *Server) pull(ctx context.Context, r PullRequest) (PullAnswer, error) {
	return s.Puller.Pull(ctx, r.Since)
}

// settings gives the whole settings. Operators may read them from the platform
// as well, secrets included.
func (s *Server) settings(ctx context.Context, _ SettingsRequest) (PullAnswer, error) {
	return s.Puller.Pull(ctx, 0)
}

func (s *Server) status(ctx context.Context, _ StatusRequest) (Status, error) {
	return s.Operator.Status(ctx)
}

func (s *Server) notify(ctx context.Context, c Change) (NotifyAnswer, error) {
	if c.Domain == nil && c.Server == nil {
		return NotifyAnswer{}, connect.NewError(connect.CodeInvalidArgument, errors.New("change names neither a domain nor a server"))
	}
	return s.Operator.Notify(ctx, c)
}

func (s *Server) watch(ctx context.Context, r *connect.Request[WatchRequest], stream *connect.ServerStream[Progress]) error {
	return s.Operator.Watch(ctx, r.Msg.Rev, func(p Progress) error { return stream.Send(&p) })
}

// guard refuses requests without the key before anything of them is decoded.
func (s *Server) guard(key string, next http.Handler) http.Handler {
	w := connect.NewErrorWriter()
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		got, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		var err error
		switch {
		case !ok || got == "":
			s.Refusals.NoKey.Add(1)
			err = errors.New("request carries no key")
		case !same(got, key):
			s.Refusals.WrongKey.Add(1)
			err = errors.New("request carries the wrong key")
		default:
			next.ServeHTTP(rw, r)
			return
		}
		if w.Write(rw, r, connect.NewError(connect.CodeUnauthenticated, err)) != nil {
			s.Refusals.Failed.Add(1)
		}
	})
}

// same compares digests, so that the time tells neither content nor length.
func same(a, b string) bool {
	x, y := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}
