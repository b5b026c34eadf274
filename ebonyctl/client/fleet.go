package client

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"ebonypaddle/pkg/admin"
	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/dist"
)

// Fleet asks running instances over their admin service.
type Fleet struct {
	// Addrs are admin addresses, such as 10.0.0.1:7002.
	Addrs []string
	// Key is the operator key.
	Key    []byte
	Client *http.Client
}

var (
	errNoInstance = errors.New("no instance answered")
	errNoAddress  = errors.New("no admin address of an instance is given")
)

func (f *Fleet) client(addr string) *admin.Client {
	if !strings.Contains(addr, "://") {
		addr = "http://" + addr
	}
	return &admin.Client{HTTP: f.Client, URL: addr, Key: hex.EncodeToString(f.Key)}
}

// each calls do for every instance and fails only if it failed for all.
func (f *Fleet) each(do func(c *admin.Client) error) error {
	last := errNoAddress
	ok := false
	for _, a := range f.Addrs {
		if err := do(f.client(a)); err != nil {
			last = fmt.Errorf("%w: %w", errNoInstance, err)
			continue
		}
		ok = true
	}
	if ok {
		return nil
	}
	return last
}

// Status implements Instances.
func (f *Fleet) Status(ctx context.Context) ([]Status, error) {
	var out []Status
	err := f.each(func(c *admin.Client) error {
		s, err := c.Status(ctx)
		if err != nil {
			return err
		}
		out = append(out, statusOf(&s))
		return nil
	})
	return out, err
}

// statusOf splits the counters, which are named by kind and reason.
func statusOf(s *admin.Status) Status {
	out := Status{
		Entry: s.Entry, Domain: s.Domain, Rev: s.Rev, Flows: s.Flows, Servers: s.Servers,
		Refused: map[string]uint64{}, Dropped: map[string]uint64{}, Retried: map[string]uint64{}, Closed: map[string]uint64{},
		FreshMillis: s.FreshFor.Milliseconds(),
	}
	if s.ClockSkew != nil {
		ms := s.ClockSkew.Milliseconds()
		out.SkewMillis = &ms
	}
	kinds := map[string]map[string]uint64{"refused": out.Refused, "dropped": out.Dropped, "retried": out.Retried, "closed": out.Closed}
	for name, n := range s.Counters {
		kind, reason, _ := strings.Cut(name, ".")
		if m, ok := kinds[kind]; ok {
			m[reason] = n
		}
	}
	return out
}

// Watch implements Instances. The first instance that answers speaks for all.
func (f *Fleet) Watch(ctx context.Context, rev uint64) (Progress, error) {
	last := errNoAddress
	for _, a := range f.Addrs {
		var p Progress
		err := f.client(a).Watch(ctx, rev, func(m admin.Progress) bool {
			p = Progress{Done: m.Done, Reached: m.InForce, Lacking: max(m.Lacking, len(m.Missing)), Missing: m.Missing}
			return false
		})
		if err == nil {
			return p, nil
		}
		last = fmt.Errorf("%w: %w", errNoInstance, err)
	}
	return Progress{}, last
}

// Counters implements Instances.
func (f *Fleet) Counters(ctx context.Context) (map[string]json.RawMessage, error) {
	out := map[string]json.RawMessage{}
	err := f.each(func(c *admin.Client) error {
		b, err := c.Counters(ctx)
		if err == nil {
			out[c.URL] = b
		}
		return err
	})
	return out, err
}

// Highest implements Instances.
func (f *Fleet) Highest(ctx context.Context) (uint64, error) {
	high := uint64(0)
	err := f.each(func(c *admin.Client) error {
		return c.Watch(ctx, 0, func(m admin.Progress) bool {
			high = max(high, m.Highest)
			return false
		})
	})
	return high, err
}

// Settings implements Instances.
func (f *Fleet) Settings(ctx context.Context) (*conf.Snapshot, error) {
	var held dist.Replica
	err := f.each(func(c *admin.Client) error {
		ans, err := c.Settings(ctx)
		if err != nil {
			return err
		}
		d, err := dist.DecodeDelta(ans.Delta)
		if err == nil {
			held.Apply(d)
		}
		return err
	})
	if err == nil && held.Current() == nil {
		err = errNoInstance
	}
	return held.Current(), err
}

// Notify implements Instances.
func (f *Fleet) Notify(ctx context.Context, change conf.Object) (int, error) {
	ch := admin.Change{Rev: change.Rev}
	switch change.Kind {
	case conf.KindDomain:
		d, problems := conf.Decode[conf.Domain](change.Kind, change.Name, change.Value)
		if len(problems) > 0 {
			return 0, problems
		}
		ch.Domain = &d
	case conf.KindServer:
		s, problems := conf.Decode[conf.Server](change.Kind, change.Name, change.Value)
		if len(problems) > 0 {
			return 0, problems
		}
		ch.Server = &s
	default:
		return 0, fmt.Errorf("a change of kind %s cannot be handed over directly", change.Kind)
	}
	n := 0
	err := f.each(func(c *admin.Client) error {
		_, err := c.Notify(ctx, ch)
		if err == nil {
			n++
		}
		return err
	})
	return n, err
}
