// Package core combines the tables of one instance: packets, control messages,
// settings and the time are its input, and the packets to send are its output. It
// has no sockets, goroutines, clock or global state, so the daemon, tests and
// benchmarks run the same code.
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

// Limits of the request table of one instance. With answers of 1 KB, the table
// takes less than half of the 256 MB that a daemon may use for control.
const (
	maxTickets     = 100_000
	maxPending     = 50_000
	maxRelays      = 10_000
	maxAnswerBytes = 64 << 20
)

// Core is one instance without its sockets. Set the exported fields, then call
// Start. It is not safe for concurrent use.
type Core struct {
	// Entry is the entry of this instance in the settings, Half and Domain
	// name the half and the failure domain that it belongs to.
	Entry  conf.Entry
	Half   string
	Domain string
	// Seed is the seed of all random choices.
	Seed uint64
	// Nonces is the random source of the nonces in tokens. It must be
	// cryptographically secure except in tests.
	Nonces io.Reader
	// Log gets a line for each decision and change of state. It may be nil.
	Log *slog.Logger
	// Stats counts refusals, drops, retries and closed flows by reason.
	Stats *stats.Counters

	// Start sets the following tables. They are exported for status reports
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

	rnd             *rand.Rand
	box             *token.Box
	out             wire.Outbox
	snap            *conf.Snapshot
	serviceSettings map[conf.ServiceID]conf.Resolved
	// domainOut holds the failure domains of this half, and whether each one
	// is marked out.
	domainOut   map[string]bool
	targets     map[conf.ServerID]target
	serverAddrs map[netip.AddrPort]bool // set of server addresses
	// viaByService holds, for each service address, the fabric address from
	// which its latest packet came, and to which frames to callers go.
	viaByService map[netip.AddrPort]netip.AddrPort
	serverFrame  *serverFrame
	probes       []server.Probe
	updates      []server.Update
	control      control
	leaving      bool
	lastPacket   time.Time
	lastCall     time.Time // start of the latest call
}

// target holds the address and the settings of a server that frames to it need.
type target struct {
	addr       netip.AddrPort
	generation uint32
	domain     string
	name       string
}

// serverFrame is the frame of a server that is being handled.
type serverFrame struct {
	from  netip.AddrPort
	frame *wire.Frame
}

// Start creates the tables. now is the start of the process.
func (c *Core) Start(now time.Time) {
	c.rnd = rand.New(rand.NewPCG(c.Seed, uint64(now.UnixNano())))
	c.box = &token.Box{Rand: c.Nonces}
	c.lastCall = now
	c.viaByService = map[netip.AddrPort]netip.AddrPort{}
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
		MaxTickets: maxTickets, MaxPending: maxPending, MaxRelays: maxRelays, MaxBytes: maxAnswerBytes,
	}
}

// Handle handles a packet from the data socket. Packets from the address of a
// backend server come from that server, and all others through the fabric. A
// packet that names a server but comes from an address that is not in the
// settings is dropped. This happens after a restart, before the first settings.
// If it were handled as a caller's packet, frames to callers would be sent to the
// server's address. The result is valid until the next call.
func (c *Core) Handle(now time.Time, from netip.AddrPort, p *wire.Packet) []wire.Send {
	if c.serverAddrs[from] {
		return c.HandleServer(now, from, p)
	}
	if p.Frame.Server != 0 || p.Frame.Boot != 0 {
		c.drop(p, wire.ReasonUnconfirmed)
		return nil
	}
	return c.HandleCaller(now, p)
}

// drop counts and logs a packet that is discarded.
func (c *Core) drop(p *wire.Packet, reason wire.Reason) {
	c.Stats.Dropped.Add(reason)
	f := &p.Frame
	c.Log.Info("packet dropped", "flow", p.LogValue(), "request", f.ID, "kind", f.Kind, "server", f.Server, "reason", reason, "rev", c.rev())
}

// rev returns the revision of the settings in force, or 0 if there are none.
func (c *Core) rev() uint64 {
	if c.snap == nil {
		return 0
	}
	return c.snap.Rev
}

// Snapshot returns the settings in force, or nil.
func (c *Core) Snapshot() *conf.Snapshot { return c.snap }

// SettingsError is the error for a snapshot that could not be applied.
type SettingsError struct {
	Rev uint64
	Err error
}

func (e *SettingsError) Error() string {
	return fmt.Sprintf("settings revision %d not applied: %v", e.Rev, e.Err)
}

// Unwrap returns the cause.
func (e *SettingsError) Unwrap() error { return e.Err }

// apply puts a snapshot in force. The caller takes it from the replica, which
// only moves to higher revisions.
func (c *Core) apply(now time.Time, snap *conf.Snapshot) error {
	if err := c.box.SetKeys(snap.Keys); err != nil {
		return &SettingsError{snap.Rev, err}
	}
	old := c.domainOut
	c.snap = snap
	c.buildIndexes(snap)
	c.Router.Apply(now, snap)
	c.Servers.Apply(now, snap)
	c.Picker.Apply(now, snap)
	c.applyControl(now, snap)
	c.logDomains(old)
	return nil
}

// logDomains logs the failure domains whose mark changed.
func (c *Core) logDomains(old map[string]bool) {
	for name, out := range c.domainOut {
		if was, ok := old[name]; ok && was != out {
			c.Log.Info("failure domain mark changed", "domain", name, "out", out, "rev", c.snap.Rev)
		}
	}
}

// buildIndexes builds the lookup tables that are used for each packet.
func (c *Core) buildIndexes(snap *conf.Snapshot) {
	c.serviceSettings = map[conf.ServiceID]conf.Resolved{}
	for path, n := range snap.Nodes {
		if n.Values.ServiceID == nil {
			continue
		}
		if r, err := snap.Resolve(path); err == nil {
			c.serviceSettings[r.ServiceID] = r
		}
	}
	c.domainOut = map[string]bool{}
	for _, d := range snap.Domains {
		if d.Half == c.Half {
			c.domainOut[d.Name] = d.Mark == conf.MarkOut
		}
	}
	c.serverAddrs = make(map[netip.AddrPort]bool, len(snap.Servers))
	c.targets = make(map[conf.ServerID]target, len(snap.Servers))
	for name, s := range snap.Servers {
		if s.Mark != conf.MarkRemoved {
			c.targets[s.ID] = target{s.Addr, s.Generation, s.Domain, name}
			c.serverAddrs[s.Addr] = true
		}
	}
}
