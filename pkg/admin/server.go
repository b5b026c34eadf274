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

// Refusals counts the requests that were refused or failed, by reason.
type Refusals struct {
	NoKey, WrongKey, TooLarge, Malformed, Failed atomic.Uint64
}

// Server serves the exchange of settings and the operators' API.
type Server struct {
	Puller   Puller
	Operator Operator
	// ClusterKey authorises Pull, OperatorKey all other requests. If a key is
	// empty, its requests are refused.
	ClusterKey, OperatorKey string
	Refusals                Refusals
	// Debug serves the published counters; it may be nil. It requires the
	// operator key, because the counters include the command line and the load
	// of every server.
	Debug http.Handler
}

// Handler returns the HTTP handler of the services.
func (s *Server) Handler() (http.Handler, error) {
	c, err := NewCodec()
	if err != nil {
		return nil, err
	}
	opts := []connect.HandlerOption{
		connect.WithCodec(c), connect.WithReadMaxBytes(maxRequestBytes), connect.WithSendMaxBytes(MaxResponseBytes),
		connect.WithInterceptors(failureInterceptor{&s.Refusals}),
	}
	mux := http.NewServeMux()
	mux.Handle(pullPath, s.requireKey(s.ClusterKey, s.recordStatus(connect.NewUnaryHandler(pullPath, Unary(s.pull), opts...))))
	mux.Handle(statusPath, s.requireKey(s.OperatorKey, s.recordStatus(connect.NewUnaryHandler(statusPath, Unary(s.status), opts...))))
	mux.Handle(settingsPath, s.requireKey(s.OperatorKey, s.recordStatus(connect.NewUnaryHandler(settingsPath, Unary(s.settings), opts...))))
	mux.Handle(notifyPath, s.requireKey(s.OperatorKey, s.recordStatus(connect.NewUnaryHandler(notifyPath, Unary(s.notify), opts...))))
	mux.Handle(watchPath, s.requireKey(s.OperatorKey, connect.NewServerStreamHandler(watchPath, s.watch, opts...)))
	if s.Debug != nil {
		mux.Handle(countersPath, s.requireKey(s.OperatorKey, s.recordStatus(s.Debug)))
	}
	return mux, nil
}

// Unary adapts a function over plain message types to a connect handler.
func Unary[Req, Res any](f func(context.Context, Req) (Res, error)) func(context.Context, *connect.Request[Req]) (*connect.Response[Res], error) {
	return func(ctx context.Context, r *connect.Request[Req]) (*connect.Response[Res], error) {
		res, err := f(ctx, *r.Msg)
		if err != nil {
			return nil, err
		}
		return connect.NewResponse(&res), nil
	}
}

func (s *Server) pull(ctx context.Context, r PullRequest) (PullResponse, error) {
	return s.Puller.Pull(ctx, r.Since)
}

// settings returns all settings. They include secrets, which operators may also
// read from the platform.
func (s *Server) settings(ctx context.Context, _ SettingsRequest) (PullResponse, error) {
	return s.Puller.Pull(ctx, 0)
}

func (s *Server) status(ctx context.Context, _ StatusRequest) (Status, error) {
	return s.Operator.Status(ctx)
}

func (s *Server) notify(ctx context.Context, c Change) (NotifyResponse, error) {
	if c.Domain == nil && c.Server == nil {
		return NotifyResponse{}, connect.NewError(connect.CodeInvalidArgument, errors.New("change names neither a domain nor a server"))
	}
	return s.Operator.Notify(ctx, c)
}

func (s *Server) watch(ctx context.Context, r *connect.Request[WatchRequest], stream *connect.ServerStream[Progress]) error {
	return s.Operator.Watch(ctx, r.Msg.Rev, func(p Progress) error { return stream.Send(&p) })
}

// requireKey refuses requests without the key before their body is decoded.
func (s *Server) requireKey(key string, next http.Handler) http.Handler {
	errWriter := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		var err error
		switch {
		case !ok || got == "":
			s.Refusals.NoKey.Add(1)
			err = errors.New("request carries no key")
		case !equalKeys(got, key):
			s.Refusals.WrongKey.Add(1)
			err = errors.New("request carries the wrong key")
		default:
			next.ServeHTTP(w, r)
			return
		}
		if errWriter.Write(w, r, connect.NewError(connect.CodeUnauthenticated, err)) != nil {
			s.Refusals.Failed.Add(1)
		}
	})
}

// equalKeys compares digests in constant time, so that the duration reveals
// neither the content nor the length of a key.
func equalKeys(a, b string) bool {
	x, y := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}
