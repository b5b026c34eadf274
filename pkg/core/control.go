package core

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/dist"
	"ebonypaddle/pkg/flow"
	"ebonypaddle/pkg/member"
	"ebonypaddle/pkg/reqs"
	"ebonypaddle/pkg/server"
	"ebonypaddle/pkg/wire"
)

const (
	// defaultFreshFor holds until settings say otherwise.
	defaultFreshFor = 3 * time.Second
	// stagesEvery is the interval at which stages are repeated to
	// stagePeers random peers; a change goes to maxUrgent peers at once.
	stagesEvery = time.Second
	stagePeers  = 2
	maxUrgent   = 32
	// maxGap is the longest time between two calls that is not taken for a
	// pause of the process. It covers several ticks of the daemon.
	maxGap = 200 * time.Millisecond
	// membersEvery is the interval at which the views of members are renewed.
	membersEvery = 200 * time.Millisecond
)

// control is the state of the exchange with other instances.
type control struct {
	spread    dist.Distributor
	marks     map[string]Mark
	membersAt time.Time
	stagesAt  time.Time
	alive     []netip.AddrPort
	// acked is when the latest probe was sent that a peer answered.
	acked    time.Time
	maxSkew  time.Duration
	freshFor time.Duration
}

func (c *Core) startControl(now time.Time) {
	c.Replica = &dist.Replica{}
	c.Freshness = &dist.Freshness{Domain: c.Domain, FreshFor: defaultFreshFor}
	c.Members = &member.Table{Self: c.Entry.Peer, Domain: c.Domain, Rand: c.rnd, Freshness: c.Freshness, Log: c.Log}
	c.Members.Start(now)
	c.ctl = control{marks: map[string]Mark{}, freshFor: defaultFreshFor}
	c.ctl.spread = dist.Distributor{
		Self: c.Entry.Peer, Replica: c.Replica,
		Members: func() []netip.AddrPort { return c.Members.Alive("") },
	}
}

// applyControl takes the entry places and times that the exchange needs.
func (c *Core) applyControl(now time.Time, snap *conf.Snapshot) {
	var in []string
	// Seeds are placed at random, so their order must not be that of a map.
	for _, name := range slices.Sorted(maps.Keys(snap.Domains)) {
		d := snap.Domains[name]
		if d.Half != c.Half {
			continue
		}
		if d.Mark != conf.MarkOut {
			in = append(in, d.Name)
		}
		for _, e := range d.Entries {
			c.Members.Seed(now, e.Peer, d.Name)
		}
	}
	slices.Sort(in)
	if r, err := snap.Resolve("/" + c.Half); err == nil {
		c.ctl.freshFor, c.ctl.maxSkew = r.FreshFor, r.MaxClockSkew
		c.Freshness.FreshFor = r.FreshFor
		c.Requests.TicketTime = r.TicketTime
	}
	c.Freshness.SetApplied(snap.Rev, in)
	c.Members.SetRevision(snap.Rev)
}

// ApplySettings takes a snapshot that the platform gave in answer to a question
// sent at asked. It reports whether a higher revision was put in force.
func (c *Core) ApplySettings(now, asked time.Time, snap *conf.Snapshot) ([]wire.Send, bool, error) {
	c.out.Reset()
	old := c.Replica.Rev()
	moved := c.Replica.ApplySnapshot(snap)
	var err error
	if moved {
		err = c.applyCurrent(now)
		c.ctl.spread.Announce(old, &c.out)
	}
	c.Freshness.Confirm(now, asked, snap.Rev)
	return c.sends(now), moved, err
}

// ApplyDelta takes a delta pulled from a peer over TCP.
func (c *Core) ApplyDelta(now time.Time, d dist.Delta) ([]wire.Send, error) {
	c.out.Reset()
	old := c.Replica.Rev()
	if c.Replica.Apply(d) != dist.Advanced {
		return nil, nil
	}
	err := c.applyCurrent(now)
	c.ctl.spread.Announce(old, &c.out)
	return c.sends(now), err
}

// ConfirmSettings takes the platform's word that its settings are at rev.
func (c *Core) ConfirmSettings(now, asked time.Time, rev uint64) {
	c.Freshness.Confirm(now, asked, rev)
}

func (c *Core) applyCurrent(now time.Time) error {
	snap := c.withMarks(c.Replica.Current())
	if c.snap != nil && snap.Rev > c.snap.Rev {
		c.Log.Info("settings in force", "rev", snap.Rev, "before", c.rev())
	}
	return c.apply(now, snap)
}

// IsReader reports whether this instance watches the platform for its failure
// domain.
func (c *Core) IsReader(now time.Time) bool {
	return dist.IsReader(c.Entry.Peer, c.Domain, c.Members.Candidates(now, c.Domain))
}

// BulkPeer returns once the peer from which settings are to be pulled over TCP.
func (c *Core) BulkPeer() (netip.AddrPort, bool) { return c.ctl.spread.BulkPeer() }

// HandlePeer takes a control message of another instance. The result is valid
// until the next call.
func (c *Core) HandlePeer(now time.Time, from netip.AddrPort, kind wire.PeerKind, body []byte) []wire.Send {
	c.enter(now)
	var err error
	switch kind {
	case wire.PeerHeartbeat:
		err = handle(body, func(m member.Message) {
			c.Members.Receive(now, from, m, &c.out)
			c.ctl.spread.ObserveRevision(now, from, m.Self.Revision, &c.out)
		})
	case wire.PeerSettings:
		err = handle(body, func(m dist.Message) {
			if c.ctl.spread.Receive(now, from, m, &c.out) {
				if err := c.applyCurrent(now); err != nil {
					c.Log.Error("settings of a peer refused", "from", from, "err", err)
				}
			}
		})
	case wire.PeerStages:
		err = handle(body, func(u []server.Update) { c.Servers.Merge(now, u) })
	case wire.PeerRelay:
		err = handle(body, func(m reqs.Relay) { c.Requests.HandleRelay(now, from, m, &c.out) })
	case wire.PeerRelayAck:
		err = handle(body, func(m reqs.RelayAck) { c.Requests.HandleRelayAck(from, m) })
	case wire.PeerRegistration:
		err = handle(body, func(n flow.Registration) { c.Router.HandleRegistration(now, n) })
	case wire.PeerLookup:
		err = handle(body, func(q flow.Lookup) { c.out.Peer(from, wire.PeerLookupReply, c.Router.HandleLookup(now, q)) })
	case wire.PeerLookupReply:
		err = handle(body, func(r flow.LookupReply) { c.release(now, c.Router.HandleLookupReply(now, r)) })
	case wire.PeerMark:
		err = handle(body, func(m Mark) { c.takeMark(now, m) })
	}
	if err != nil {
		c.Stats.Dropped.Add(wire.ReasonMalformed)
		c.Log.Warn("control message dropped", "from", from, "kind", kind, "err", err)
	}
	return c.sends(now)
}

// enter begins a call. After a pause the datagrams that are handled next are of
// unknown age, and what they confirm of servers does not count.
func (c *Core) enter(now time.Time) {
	c.out.Reset()
	if gap := now.Sub(c.entered); gap > maxGap || gap < -maxGap {
		c.Servers.Paused(now)
		c.Log.Warn("process did not run, servers are to confirm themselves again", "for", gap)
	}
	c.entered = now
}

// handle decodes a body and passes it on.
func handle[T any](body []byte, f func(T)) error {
	v, err := wire.DecodePeer[T](body)
	if err != nil {
		return err
	}
	f(v)
	return nil
}

func (c *Core) release(now time.Time, rs []flow.Released) {
	for i := range rs {
		c.route(now, &rs[i].Packet, rs[i].Route)
	}
}

// Tick runs the systems over the tables. The result is valid until the next
// call.
func (c *Core) Tick(now time.Time) []wire.Send {
	c.enter(now)
	c.Members.Tick(now, &c.out)
	c.viewMembers(now)
	if c.snap != nil {
		c.probe(now)
		c.sendStages(now)
		c.Requests.Tick(now, &c.out)
		c.release(now, c.Router.Tick(now))
		c.Router.Flush(&c.out)
	}
	return c.sends(now)
}

// viewMembers renews what other tables know of the live instances.
func (c *Core) viewMembers(now time.Time) {
	if now.Sub(c.ctl.membersAt) < membersEvery && !now.Before(c.ctl.membersAt) {
		return
	}
	c.ctl.membersAt = now
	c.ctl.acked = c.Members.LastHeard()
	alive := c.Members.Alive("")
	if slices.Equal(alive, c.ctl.alive) {
		return
	}
	c.ctl.alive = alive
	owners := make([]flow.Member, 0, len(c.ctl.alive))
	for _, a := range c.ctl.alive {
		owners = append(owners, flow.Member{Name: a.String(), Peer: a})
	}
	c.Router.SetMembers(owners)
}

// coldUntil returns the time until which this instance may send to servers in
// cold start: it is fresh, peers answer at its address, which no other process
// can hold at the same time, and its clock agrees with theirs.
func (c *Core) coldUntil(now time.Time) time.Time {
	until := c.Freshness.CrossUntil(now)
	if skew, ok := c.Members.ClockSkew(); ok && skew.Abs() > c.ctl.maxSkew {
		return time.Time{}
	}
	if len(c.ctl.alive) > 1 || !c.ctl.acked.IsZero() {
		if heard := c.ctl.acked.Add(c.ctl.freshFor); heard.Before(until) {
			until = heard
		}
	}
	return until
}

func (c *Core) probe(now time.Time) {
	fresh := !c.Freshness.CrossUntil(now).IsZero()
	if fresh != c.Servers.Fresh {
		c.Log.Info("freshness changed", "fresh", fresh, "rev", c.rev())
	}
	c.Servers.SetFresh(now, fresh)
	c.probes = c.Servers.Probes(now, c.probes[:0])
	fresh = now.Before(c.Freshness.CrossUntil(now))
	for _, p := range c.probes {
		if !fresh && c.addrs[p.Server].domain != c.Domain {
			// The domain may be out without this instance knowing.
			continue
		}
		q := wire.Packet{Caller: c.Entry.Data, Service: c.Entry.Data}
		q.Frame = wire.Frame{Kind: wire.KindProbe, Service: p.Service, Server: p.Server, Generation: p.Generation, Attempt: p.Epoch}
		q.Frame.SetDeadline(now.Add(time.Second))
		c.out.Server(p.Addr, &q)
	}
}

// sendStages tells peers the stages of servers: changes at once to all, the
// rest in turn to a few.
func (c *Core) sendStages(now time.Time) {
	urgent := c.Servers.Urgent()
	if !urgent && now.Sub(c.ctl.stagesAt) < stagesEvery {
		return
	}
	c.ctl.stagesAt = now
	c.updates = c.Servers.Updates(c.updates[:0])
	if len(c.updates) == 0 {
		return
	}
	n := stagePeers
	if urgent {
		n = maxUrgent
	}
	peers := slices.DeleteFunc(slices.Clone(c.ctl.alive), func(a netip.AddrPort) bool { return a == c.Entry.Peer })
	c.rnd.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, a := range peers[:min(n, len(peers))] {
		c.out.Peer(a, wire.PeerStages, slices.Clone(c.updates))
	}
}

// Leave begins the planned stop: peers hear of it and no new ticket is issued.
func (c *Core) Leave() {
	c.leaving = true
	c.Members.Leave()
	c.Requests.Leave()
}

// Idle reports whether a leaving instance has nothing left to do: no ticket is
// alive and no packet came for quiet.
func (c *Core) Idle(now time.Time, quiet time.Duration) bool {
	return c.Requests.Idle() && now.Sub(c.lastPkt) >= quiet
}
