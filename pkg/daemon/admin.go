package daemon

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"ebonypaddle/pkg/admin"
	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/core"
	"ebonypaddle/pkg/member"
)

const (
	// headerTimeout bounds the wait for the header of an admin request.
	headerTimeout = 5 * time.Second
	// watchInterval is the interval at which Watch checks for progress.
	watchInterval = 200 * time.Millisecond
)

// errNoSettings is returned for a pull while this instance has no settings.
var errNoSettings = errors.New("this instance has no settings yet")

// clusterToken returns the bearer token of the cluster key, which authorises
// pulls.
func clusterToken(p *conf.Process) string { return hex.EncodeToString(p.ClusterKey) }

// OperatorToken returns the bearer token of an operator key.
func OperatorToken(key []byte) string { return hex.EncodeToString(key) }

// serveAdmin starts the admin server. Requests are cancelled when ctx ends.
func (d *Daemon) serveAdmin(ctx context.Context) (*http.Server, error) {
	s := &admin.Server{
		Puller: d, Operator: d, Debug: d.Debug,
		ClusterKey: clusterToken(d.Process), OperatorKey: OperatorToken(d.Process.OperatorKey),
	}
	d.admin = s
	h, err := s.Handler()
	if err != nil {
		return nil, fmt.Errorf("admin services: %w", err)
	}
	l, err := net.Listen("tcp", d.Process.Admin.String())
	if err != nil {
		return nil, fmt.Errorf("admin address: %w", err)
	}
	srv := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	go func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.log.Error("admin server ended", "err", err)
		}
	}()
	return srv, nil
}

// Pull implements admin.Puller.
func (d *Daemon) Pull(_ context.Context, since uint64) (admin.PullResponse, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	rev := d.core.Replica.Rev()
	if rev == 0 {
		return admin.PullResponse{}, errNoSettings
	}
	delta, ok := d.core.Replica.Delta(since)
	if !ok {
		return admin.PullResponse{Rev: rev}, nil
	}
	b, err := delta.Encode()
	return admin.PullResponse{Rev: rev, Delta: b}, err
}

// Status implements admin.Operator.
func (d *Daemon) Status(context.Context) (admin.Status, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	s := admin.Status{
		Entry: d.Process.Entry, Self: d.Process.Peer, Domain: d.Process.Domain, Rev: d.core.Replica.Rev(),
		CrossUntil: d.core.Freshness.CrossUntil(now),
		Servers:    d.core.ServerStates(), Flows: d.core.Opened, Counters: d.Stats.Map(),
	}
	s.FreshFor = max(0, s.CrossUntil.Sub(now))
	if skew, ok := d.core.Members.ClockSkew(); ok {
		s.ClockSkew = &skew
	}
	for _, m := range d.core.Members.All() {
		s.Members = append(s.Members, admin.Member{
			Addr: m.Addr, Domain: m.Domain, State: m.State.String(), Leaving: m.Leaving, Rev: m.Revision,
		})
	}
	return s, nil
}

// Notify implements admin.Operator.
func (d *Daemon) Notify(_ context.Context, c admin.Change) (admin.NotifyResponse, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.send(d.core.ApplyMark(d.Clock(), core.Mark{Rev: c.Rev, Domain: c.Domain, Server: c.Server}))
	return admin.NotifyResponse{Rev: d.core.Replica.Rev()}, nil
}

// Watch implements admin.Operator.
func (d *Daemon) Watch(ctx context.Context, rev uint64, send func(admin.Progress) error) error {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for last := (*admin.Progress)(nil); ; {
		p := d.progress(rev)
		if last == nil || !p.Same(last) {
			if err := send(p); err != nil {
				return err
			}
			last = &p
		}
		if p.Done {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

// deadMemberGrace is how long the entry of a dead instance still counts in the
// progress of a revision.
const deadMemberGrace = 30 * time.Second

// progress counts the entries of this instance's half where revision rev is in
// force and those where it is not, and names some of the latter. An entry
// counts until its instance has been dead for deadMemberGrace.
func (d *Daemon) progress(rev uint64) admin.Progress {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	p := admin.Progress{Rev: rev, Highest: d.core.Replica.Rev()}
	snap := d.core.Snapshot()
	if snap == nil {
		p.Add(d.Process.Entry, false)
		return p
	}
	// Sorting makes each call name the same entries.
	for _, name := range slices.Sorted(maps.Keys(snap.Domains)) {
		dom := snap.Domains[name]
		if dom.Half != d.Process.Half {
			continue
		}
		for _, e := range dom.Entries {
			if e.Peer == d.Process.Peer {
				p.Add(e.Name, d.core.Replica.Rev() >= rev)
				continue
			}
			m, ok := d.core.Members.Get(e.Peer)
			longDead := ok && m.State == member.Dead && now.Sub(m.Since) >= deadMemberGrace
			if ok && m.State != member.Dead {
				p.Highest = max(p.Highest, m.Revision)
			}
			if !longDead {
				p.Add(e.Name, ok && m.State != member.Dead && m.Revision >= rev)
			}
		}
	}
	p.Done = p.Lacking == 0
	return p
}
