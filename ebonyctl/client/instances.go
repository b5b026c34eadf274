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

// InstanceClient implements InstanceAPI with the admin service of the instances.
type InstanceClient struct {
	// Addrs are admin addresses of instances, such as 10.0.0.1:7002.
	Addrs []string
	// Key is the operator key.
	Key  []byte
	HTTP *http.Client
}

var (
	errNoInstance = errors.New("no instance responded")
	errNoAddress  = errors.New("no admin address of an instance was given")
)

func (ic *InstanceClient) client(addr string) *admin.Client {
	if !strings.Contains(addr, "://") {
		addr = "http://" + addr
	}
	return &admin.Client{HTTP: ic.HTTP, URL: addr, Key: hex.EncodeToString(ic.Key)}
}

// forEach calls call for every instance. It returns an error only if all calls
// failed.
func (ic *InstanceClient) forEach(call func(c *admin.Client) error) error {
	lastErr := errNoAddress
	ok := false
	for _, a := range ic.Addrs {
		if err := call(ic.client(a)); err != nil {
			lastErr = fmt.Errorf("%w: %w", errNoInstance, err)
			continue
		}
		ok = true
	}
	if ok {
		return nil
	}
	return lastErr
}

// Status implements InstanceAPI.
func (ic *InstanceClient) Status(ctx context.Context) ([]Status, error) {
	var out []Status
	err := ic.forEach(func(c *admin.Client) error {
		s, err := c.Status(ctx)
		if err != nil {
			return err
		}
		out = append(out, newStatus(&s))
		return nil
	})
	return out, err
}

// newStatus converts the status of an instance. Its counters are named
// KIND.REASON and are grouped by kind.
func newStatus(s *admin.Status) Status {
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

// Watch implements InstanceAPI. It returns the progress that the first responding
// instance reports for all instances.
func (ic *InstanceClient) Watch(ctx context.Context, rev uint64) (Progress, error) {
	lastErr := errNoAddress
	for _, a := range ic.Addrs {
		var p Progress
		err := ic.client(a).Watch(ctx, rev, func(m admin.Progress) bool {
			p = Progress{Done: m.Done, Reached: m.InForce, NotReached: max(m.Lacking, len(m.Missing)), Missing: m.Missing}
			return false
		})
		if err == nil {
			return p, nil
		}
		lastErr = fmt.Errorf("%w: %w", errNoInstance, err)
	}
	return Progress{}, lastErr
}

// Counters implements InstanceAPI.
func (ic *InstanceClient) Counters(ctx context.Context) (map[string]json.RawMessage, error) {
	out := map[string]json.RawMessage{}
	err := ic.forEach(func(c *admin.Client) error {
		b, err := c.Counters(ctx)
		if err == nil {
			out[c.URL] = b
		}
		return err
	})
	return out, err
}

// HighestRev implements InstanceAPI.
func (ic *InstanceClient) HighestRev(ctx context.Context) (uint64, error) {
	highest := uint64(0)
	err := ic.forEach(func(c *admin.Client) error {
		return c.Watch(ctx, 0, func(m admin.Progress) bool {
			highest = max(highest, m.Highest)
			return false
		})
	})
	return highest, err
}

// Settings implements InstanceAPI.
func (ic *InstanceClient) Settings(ctx context.Context) (*conf.Snapshot, error) {
	var replica dist.Replica
	err := ic.forEach(func(c *admin.Client) error {
		ans, err := c.Settings(ctx)
		if err != nil {
			return err
		}
		d, err := dist.DecodeDelta(ans.Delta)
		if err == nil {
			replica.Apply(d)
		}
		return err
	})
	if err == nil && replica.Current() == nil {
		err = errNoInstance
	}
	return replica.Current(), err
}

// Notify implements InstanceAPI.
func (ic *InstanceClient) Notify(ctx context.Context, change conf.Object) (int, error) {
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
		return 0, fmt.Errorf("a change of kind %s cannot be sent to instances directly", change.Kind)
	}
	n := 0
	err := ic.forEach(func(c *admin.Client) error {
		_, err := c.Notify(ctx, ch)
		if err == nil {
			n++
		}
		return err
	})
	return n, err
}
