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

type fake struct{ changes []Change }

var crossUntil = time.Date(2026, 1, 1, 0, 0, 0, 123456789, time.UTC)

func (*fake) Pull(_ context.Context, since uint64) (PullAnswer, error) {
	return PullAnswer{Rev: since + 1, Delta: make([]byte, 2*maxRequest)}, nil
}
func (*fake) Status(context.Context) (Status, error) {
	return Status{Rev: 7, CrossUntil: crossUntil, Members: []Member{{Domain: "bole", State: "alive"}}}, nil
}
func (*fake) Watch(_ context.Context, rev uint64, send func(Progress) error) error {
	for _, p := range []Progress{{Rev: rev, Missing: []string{"yeka-1"}}, {Rev: rev, Done: true}} {
		if err := send(p); err != nil {
			return err
		}
	}
	return nil
}
func (f *fake) Notify(_ context.Context, c Change) (NotifyAnswer, error) {
	f.changes = append(f.changes, c)
	return NotifyAnswer{c.Rev}, nil
}

func setup(t *testing.T, key string) (*Server, *Client, *fake) {
	f := &fake{}
	s := &Server{Puller: f, Operator: f, ClusterKey: "cluster", OperatorKey: "operator", Debug: http.HandlerFunc(vars)}
	h, err := s.Handler()
	assert.NilError(t, err)
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return s, &Client{HTTP: srv.Client(), URL: srv.URL, Key: key}, f
}

const varsText = `{"refused":{"overloaded":2}}`

func vars(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(varsText)) }

func out() *conf.Domain { return &conf.Domain{Name: "bole", Mark: conf.MarkOut} }

func calls(c *Client) map[string]error {
	ctx, errs := context.Background(), map[string]error{}
	_, errs["pull"] = c.Pull(ctx, 1)
	_, errs["counters"] = c.Counters(ctx)
	_, errs["status"] = c.Status(ctx)
	_, errs["settings"] = c.Settings(ctx)
	_, errs["notify"] = c.Notify(ctx, Change{Rev: 1, Domain: out()})
	errs["watch"] = c.Watch(ctx, 1, func(Progress) bool { return true })
	return errs
}

// Guards against a service that opens to no key, a wrong one or the other one.
func TestKeys(t *testing.T) {
	for key, open := range map[string]string{"": "", "operatos": "", "cluster": "pull", "operator": "counters status settings notify watch"} {
		t.Run("key "+key, func(t *testing.T) {
			s, c, _ := setup(t, key)
			refused := uint64(0)
			for name, err := range calls(c) {
				if strings.Contains(open, name) {
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

// Guards against an unset key that opens to anyone who sends none.
func TestUnsetKey(t *testing.T) {
	s := &Server{Puller: &fake{}, Operator: &fake{}}
	h, err := s.Handler()
	assert.NilError(t, err)
	w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, pullPath, nil)
	r.Header.Set("Authorization", "Bearer ") // a client would trim the space
	h.ServeHTTP(w, r)
	assert.Equal(t, w.Code, http.StatusUnauthorized)
}

// Guards against content that changes on the way.
func TestContent(t *testing.T) {
	_, c, f := setup(t, "operator")
	st, err := c.Status(context.Background())
	assert.NilError(t, err)
	assert.Assert(t, st.CrossUntil.Equal(crossUntil) && st.Members[0].Domain == "bole")
	b, err := c.Counters(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, string(b), varsText)
	_, err = c.Notify(context.Background(), Change{Rev: 3, Domain: out()})
	assert.NilError(t, err)
	assert.DeepEqual(t, f.changes[0].Domain, out())
	var last Progress
	assert.NilError(t, c.Watch(context.Background(), 9, func(p Progress) bool { last = p; return true }))
	assert.Assert(t, last.Done && last.Rev == 9)
}

// Guards against a request that fills memory and a change that says nothing.
func TestRefusals(t *testing.T) {
	s, c, f := setup(t, "operator")
	_, err := c.Notify(context.Background(), Change{Domain: &conf.Domain{Name: strings.Repeat("x", maxRequest)}})
	assert.Equal(t, connect.CodeOf(err), connect.CodeResourceExhausted)
	_, err = c.Notify(context.Background(), Change{Rev: 1})
	assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument)
	assert.Equal(t, s.Refusals.TooLarge.Load(), uint64(1))
	assert.Equal(t, s.Refusals.Malformed.Load(), uint64(1))
	assert.Equal(t, len(f.changes), 0)
}
