// Package core composes the decisions of one instance: facts and the time come
// in, sends go out. It has no sockets, goroutines, clock or global state, so
// the daemon, tests and benchmarks drive the same code.
package core

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/dist"
	"ebonypaddle/pkg/flow"
	"ebonypaddle/pkg/logs"
	"ebonypaddle/pkg/member"
	"ebonypaddle/pkg/pick"
	"ebonypaddle/pkg/reqs"
	"ebonypaddle/pkg/retry"
	"ebonypaddle/pkg/server"
	"ebonypaddle/pkg/stats"
	"ebonypaddle/pkg/token"
	"ebonypaddle/pkg/wire"
)

// Limits of the request table of one instance. With answers of 1 KB they keep
// it below half of the 256 MB that a daemon may use for control.
const (
	maxTickets = 100_000
	maxPending = 50_000
	maxRelays  = 10_000
	maxBytes   = 64 << 20
)

// Core is one instance without its sockets. Set the exported fields, then call
// Start. It is not safe for concurrent use.
type Core struct {
	// Entry is this instance's entry place, Half and Domain where it is.
	Entry  conf.Entry
	Half   string
	Domain string
	// Seed makes every random choice repeatable.
	Seed uint64
	// Nonces is the source of nonces for tokens; the daemon passes a secure
	// one.
	Nonces io.Reader
	// Log takes lines for changes of state.
	Log *slog.Logger
	// Stats counts refusals, drops, retries and closed flows by reason.
	Stats *stats.Counters

	// Router, Servers, Picker, Requests, Members, Replica and Freshness are the
	// tables and the systems that run over them. They are read for status
	// and tests.
	Router    *flow.Router
	Servers   *server.Table
	Picker    *pick.Picker
	Requests  *reqs.Table
	Members   *member.Table
	Replica   *dist.Replica
	Freshness *dist.Freshness

	// Opened counts the flows that this instance opened.
	Opened uint64

	rnd     *rand.Rand
	box     *token.Box
	out     wire.Outbox
	snap    *conf.Snapshot
	limits  map[conf.ServiceID]conf.Resolved
	domains map[string]bool
	addrs   map[conf.ServerID]target
	byAddr  map[netip.AddrPort]bool
	via     map[netip.AddrPort]netip.AddrPort
	inbound *inbound
	probes  []server.Probe
	updates []server.Update
	ctl     control
	leaving bool
	lastPkt time.Time
	entered time.Time // start of the latest call
}

// target is where the frames of a server go.
type target struct {
	addr       netip.AddrPort
	generation uint32
	domain     string
	name       string
}

// inbound is the server's frame that is being handled.
type inbound struct {
	from  netip.AddrPort
	frame *wire.Frame
}

// Start prepares the tables; the process begins at now.
func (c *Core) Start(now time.Time) {
	c.rnd = rand.New(rand.NewPCG(c.Seed, uint64(now.UnixNano())))
	c.box = &token.Box{Rand: c.Nonces}
	c.entered = now
	c.via = map[netip.AddrPort]netip.AddrPort{}
	if c.Stats == nil {
		c.Stats = &stats.Counters{}
	}
	c.Log = logs.OrDiscard(c.Log)
	c.Router = &flow.Router{Self: c.Entry.Peer.String(), Box: c.box, Rand: c.rnd}
	c.Servers = &server.Table{Rand: c.rnd, Log: c.Log}
	c.Picker = &pick.Picker{Entry: c.Entry.Name, Domain: c.Domain, Servers: c.Servers, Rand: c.rnd}
	c.startControl(now)
	c.Requests = &reqs.Table{
		Self: c.Entry.Peer, Incarnation: c.Members.SelfUpdate().Incarnation, Rand: c.rnd, Box: c.box,
		Log: c.Log, Placer: placer{c}, Budget: &retry.Budget{Ratio: defaultRetryRatio, Burst: retryBurst, Window: retryWindow}, Services: services{c}, Stats: c.Stats,
		TicketTime: defaultTicketTime,
		MaxTickets: maxTickets, MaxPending: maxPending, MaxRelays: maxRelays, MaxBytes: maxBytes,
	}
}

// Handle takes a packet from the data socket. Packets from the address of a
// backend server are that server's; all others come through the fabric. A
// server's packet from an address that the settings do not name, as before the
// first settings after a restart, is dropped: taken for a caller's, it would
// make the server's address the way back to callers. The result is valid until
// the next call.
func (c *Core) Handle(now time.Time, from netip.AddrPort, p *wire.Packet) []wire.Send {
	if c.byAddr[from] {
		return c.HandleServer(now, from, p)
	}
	if p.Frame.Server != 0 || p.Frame.Boot != 0 {
		c.drop(p, wire.ReasonUnconfirmed)
		return nil
	}
	return c.HandleCaller(now, p)
}

// drop counts a packet that is discarded and says why.
func (c *Core) drop(p *wire.Packet, why wire.Reason) {
	c.Stats.Dropped.Add(why)
	f := &p.Frame
	c.Log.Info("packet dropped", "flow", p.LogValue(), "request", f.ID, "kind", f.Kind, "server", f.Server, "reason", why, "rev", c.rev())
}

// rev returns the revision of the settings in force, 0 without any.
func (c *Core) rev() uint64 {
	if c.snap == nil {
		return 0
	}
	return c.snap.Rev
}

// Snapshot returns the settings in force, or nil.
func (c *Core) Snapshot() *conf.Snapshot { return c.snap }

// SettingsError reports a snapshot that was not applied.
type SettingsError struct {
	Rev uint64
	Err error
}

func (e *SettingsError) Error() string {
	return fmt.Sprintf("settings revision %d not applied: %v", e.Rev, e.Err)
}

// Unwrap returns the cause.
func (e *SettingsError) Unwrap() error { return e.Err }

// apply puts a snapshot in force. The replica decides which revision that is.
func (c *Core) apply(now time.Time, snap *conf.Snapshot) error {
	if err := c.box.SetKeys(snap.Keys); err != nil {
		return &SettingsError{snap.Rev, err}
	}
	old := c.domains
	c.snap = snap
	c.index(snap)
	c.Router.Apply(now, snap)
	c.Servers.Apply(now, snap)
	c.Picker.Apply(now, snap)
	c.applyControl(now, snap)
	c.logDomains(old)
	return nil
}

func (c *Core) logDomains(old map[string]bool) {
	for name, out := range c.domains {
		if was, ok := old[name]; ok && was != out {
			c.Log.Info("failure domain mark changed", "domain", name, "out", out, "rev", c.snap.Rev)
		}
	}
}

// index builds the lookups that packets need.
func (c *Core) index(snap *conf.Snapshot) {
	c.limits = map[conf.ServiceID]conf.Resolved{}
	for path, n := range snap.Nodes {
		if n.Values.ServiceID == nil {
			continue
		}
		if r, err := snap.Resolve(path); err == nil {
			c.limits[r.ServiceID] = r
		}
	}
	c.domains = map[string]bool{}
	for _, d := range snap.Domains {
		if d.Half == c.Half {
			c.domains[d.Name] = d.Mark == conf.MarkOut
		}
	}
	c.byAddr = make(map[netip.AddrPort]bool, len(snap.Servers))
	c.addrs = make(map[conf.ServerID]target, len(snap.Servers))
	for name, s := range snap.Servers {
		if s.Mark != conf.MarkRemoved {
			c.addrs[s.ID] = target{s.Addr, s.Generation, s.Domain, name}
			c.byAddr[s.Addr] = true
		}
	}
}
