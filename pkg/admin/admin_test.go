package admin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"ebonypaddle/pkg/conf"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"
)

type fakeService struct{ changes []Change }

var crossUntil = time.Date(2026, 1, 1, 0, 0, 0, 123456789, time.UTC)

func (*fakeService) Pull(_ context.Context, since uint64) (PullResponse, error) {
	return PullResponse{Rev: since + 1, Delta: make([]byte, 2*maxRequestBytes)}, nil
}
func (*fakeService) Status(context.Context) (Status, error) {
	return Status{Rev: 7, CrossUntil: crossUntil, Members: []Member{{Domain: "bole", State: "alive"}}}, nil
}
func (*fakeService) Watch(_ context.Context, rev uint64, send func(Progress) error) error {
	for _, p := range []Progress{{Rev: rev, Missing: []string{"yeka-1"}}, {Rev: rev, Done: true}} {
		if err := send(p); err != nil {
			return err
		}
	}
	return nil
}
func (f *fakeService) Notify(_ context.Context, c Change) (NotifyResponse, error) {
	f.changes = append(f.changes, c)
	return NotifyResponse{c.Rev}, nil
}

func newTestServer(t *testing.T, key string) (*Server, *Client, *fakeService) {
	f := &fakeService{}
	s := &Server{Puller: f, Operator: f, ClusterKey: "cluster", OperatorKey: "operator", Debug: http.HandlerFunc(vars)}
	h, err := s.Handler()
	assert.NilError(t, err)
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return s, &Client{HTTP: srv.Client(), URL: srv.URL, Key: key}, f
}

const varsText = `{"refused":{"overloaded":2}}`

func vars(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(varsText)) }

func outDomain() *conf.Domain { return &conf.Domain{Name: "bole", Mark: conf.MarkOut} }

func callAll(c *Client) map[string]error {
	ctx, errs := context.Background(), map[string]error{}
	_, errs["pull"] = c.Pull(ctx, 1)
	_, errs["counters"] = c.Counters(ctx)
	_, errs["status"] = c.Status(ctx)
	_, errs["settings"] = c.Settings(ctx)
	_, errs["notify"] = c.Notify(ctx, Change{Rev: 1, Domain: outDomain()})
	errs["watch"] = c.Watch(ctx, 1, func(Progress) bool { return true })
	return errs
}

// Guards against a service that accepts requests without a key, with a wrong key
// or with the key of the other service.
func TestRequestsNeedTheirKey(t *testing.T) {
	for key, allowed := range map[string]string{"": "", "operatos": "", "cluster": "pull", "operator": "counters status settings notify watch"} {
		t.Run("key "+key, func(t *testing.T) {
			s, c, _ := newTestServer(t, key)
			refused := uint64(0)
			for name, err := range callAll(c) {
				if strings.Contains(allowed, name) {
					assert.NilError(t, err, name)
				} else {
					refused++
					if name == "counters" {
						assert.ErrorContains(t, err, "401")
						continue
					}
					assert.Equal(t, connect.CodeOf(err), connect.CodeUnauthenticated, name)
				}
			}
			assert.Equal(t, s.Refusals.NoKey.Load()+s.Refusals.WrongKey.Load(), refused)
		})
	}
}

// Guards against a server without a key that accepts requests with an empty key.
func TestUnsetKeyRefusesRequests(t *testing.T) {
	s := &Server{Puller: &fakeService{}, Operator: &fakeService{}}
	h, err := s.Handler()
	assert.NilError(t, err)
	w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, pullPath, nil)
	r.Header.Set("Authorization", "Bearer ") // an HTTP client would trim the space
	h.ServeHTTP(w, r)
	assert.Equal(t, w.Code, http.StatusUnauthorized)
}

// Guards against messages that are changed by encoding and decoding.
func TestMessagesRoundTrip(t *testing.T) {
	_, c, f := newTestServer(t, "operator")
	st, err := c.Status(context.Background())
	assert.NilError(t, err)
	assert.Assert(t, st.CrossUntil.Equal(crossUntil) && st.Members[0].Domain == "bole")
	b, err := c.Counters(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, string(b), varsText)
	_, err = c.Notify(context.Background(), Change{Rev: 3, Domain: outDomain()})
	assert.NilError(t, err)
	assert.DeepEqual(t, f.changes[0].Domain, outDomain())
	var last Progress
	assert.NilError(t, c.Watch(context.Background(), 9, func(p Progress) bool { last = p; return true }))
	assert.Assert(t, last.Done && last.Rev == 9)
}

// Guards against a request large enough to exhaust memory, and a change that
// names neither a domain nor a server.
func TestInvalidRequestsAreRefused(t *testing.T) {
	s, c, f := newTestServer(t, "operator")
	_, err := c.Notify(context.Background(), Change{Domain: &conf.Domain{Name: strings.Repeat("x", maxRequestBytes)}})
	assert.Equal(t, connect.CodeOf(err), connect.CodeResourceExhausted)
	_, err = c.Notify(context.Background(), Change{Rev: 1})
	assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument)
	assert.Equal(t, s.Refusals.TooLarge.Load(), uint64(1))
	assert.Equal(t, s.Refusals.Malformed.Load(), uint64(1))
	assert.Equal(t, len(f.changes), 0)
}
