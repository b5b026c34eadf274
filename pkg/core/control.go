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
	// defaultFreshFor is used until the first settings are applied.
	defaultFreshFor = 3 * time.Second
	// stagesInterval is the interval at which the cold start stages of servers
	// are sent to stagePeers random peers. An urgent change is sent at once,
	// to up to maxUrgentPeers peers.
	stagesInterval = time.Second
	stagePeers     = 2
	maxUrgentPeers = 32
	// maxCallGap is the longest time between two calls. After a longer one the
	// process is considered to have been paused. It covers several ticks of
	// the daemon.
	maxCallGap = 200 * time.Millisecond
	// membersInterval is the interval at which the list of live instances is
	// updated.
	membersInterval = 200 * time.Millisecond
)

// control is the state of the communication with other instances.
type control struct {
	distributor dist.Distributor
	// marks holds the marks of later revisions than the settings, by Mark.key.
	marks          map[string]Mark
	membersUpdated time.Time
	stagesSent     time.Time
	alive          []netip.AddrPort
	// lastAcked is when the latest probe that a peer answered was sent.
	lastAcked    time.Time
	maxClockSkew time.Duration
	freshFor     time.Duration
}

// startControl creates the tables for the communication with other instances.
func (c *Core) startControl(now time.Time) {
	c.Replica = &dist.Replica{}
	c.Freshness = &dist.Freshness{Domain: c.Domain, FreshFor: defaultFreshFor}
	c.Members = &member.Table{Self: c.Entry.Peer, Domain: c.Domain, Rand: c.rnd, Freshness: c.Freshness, Log: c.Log}
	c.Members.Start(now)
	c.control = control{marks: map[string]Mark{}, freshFor: defaultFreshFor}
	c.control.distributor = dist.Distributor{
		Self: c.Entry.Peer, Replica: c.Replica,
		Members: func() []netip.AddrPort { return c.Members.Alive("") },
	}
}

// applyControl takes the peers, failure domains and times that the communication
// with other instances needs from the settings.
func (c *Core) applyControl(now time.Time, snap *conf.Snapshot) {
	var in []string
	// Members.Seed inserts at a random position, so the order of the calls
	// must not depend on that of a map.
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
		c.control.freshFor, c.control.maxClockSkew = r.FreshFor, r.MaxClockSkew
		c.Freshness.FreshFor = r.FreshFor
		c.Requests.TicketTime = r.TicketTime
	}
	c.Freshness.SetApplied(snap.Rev, in)
	c.Members.SetRevision(snap.Rev)
}

// ApplySettings handles a snapshot from the platform, which was requested at
// requestedAt. It reports whether the snapshot has a higher revision than the
// settings in force, and returns a *SettingsError if it could not be applied.
func (c *Core) ApplySettings(now, requestedAt time.Time, snap *conf.Snapshot) ([]wire.Send, bool, error) {
	c.out.Reset()
	oldRev := c.Replica.Rev()
	advanced := c.Replica.ApplySnapshot(snap)
	var err error
	if advanced {
		err = c.applyCurrent(now)
		c.control.distributor.Announce(oldRev, &c.out)
	}
	c.Freshness.Confirm(now, requestedAt, snap.Rev)
	return c.allowedSends(now), advanced, err
}

// ApplyDelta handles a delta that was pulled from a peer over TCP. It returns a
// *SettingsError if the new settings could not be applied.
func (c *Core) ApplyDelta(now time.Time, d dist.Delta) ([]wire.Send, error) {
	c.out.Reset()
	oldRev := c.Replica.Rev()
	if c.Replica.Apply(d) != dist.Advanced {
		return nil, nil
	}
	err := c.applyCurrent(now)
	c.control.distributor.Announce(oldRev, &c.out)
	return c.allowedSends(now), err
}

// ConfirmSettings handles an answer of the platform, requested at requestedAt,
// that its settings are at revision rev.
func (c *Core) ConfirmSettings(now, requestedAt time.Time, rev uint64) {
	c.Freshness.Confirm(now, requestedAt, rev)
}

// applyCurrent puts the settings of the replica in force.
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

// BulkPeer returns the peer from which settings are to be pulled over TCP, if
// any. It returns each peer once.
func (c *Core) BulkPeer() (netip.AddrPort, bool) { return c.control.distributor.BulkPeer() }

// HandlePeer handles a control message of another instance. The result is valid
// until the next call.
func (c *Core) HandlePeer(now time.Time, from netip.AddrPort, kind wire.PeerKind, body []byte) []wire.Send {
	c.beginCall(now)
	var err error
	switch kind {
	case wire.PeerHeartbeat:
		err = decodeAndHandle(body, func(m member.Message) {
			c.Members.Receive(now, from, m, &c.out)
			c.control.distributor.ObserveRevision(now, from, m.Self.Revision, &c.out)
		})
	case wire.PeerSettings:
		err = decodeAndHandle(body, func(m dist.Message) {
			if c.control.distributor.Receive(now, from, m, &c.out) {
				if err := c.applyCurrent(now); err != nil {
					c.Log.Error("settings of a peer refused", "from", from, "err", err)
				}
			}
		})
	case wire.PeerStages:
		err = decodeAndHandle(body, func(u []server.Update) { c.Servers.Merge(now, u) })
	case wire.PeerRelay:
		err = decodeAndHandle(body, func(m reqs.Relay) { c.Requests.HandleRelay(now, from, m, &c.out) })
	case wire.PeerRelayAck:
		err = decodeAndHandle(body, func(m reqs.RelayAck) { c.Requests.HandleRelayAck(from, m) })
	case wire.PeerRegistration:
		err = decodeAndHandle(body, func(n flow.Registration) { c.Router.HandleRegistration(now, n) })
	case wire.PeerLookup:
		err = decodeAndHandle(body, func(q flow.Lookup) { c.out.Peer(from, wire.PeerLookupReply, c.Router.HandleLookup(now, q)) })
	case wire.PeerLookupReply:
		err = decodeAndHandle(body, func(r flow.LookupReply) { c.routeReleased(now, c.Router.HandleLookupReply(now, r)) })
	case wire.PeerMark:
		err = decodeAndHandle(body, func(m Mark) { c.receiveMark(now, m) })
	}
	if err != nil {
		c.Stats.Dropped.Add(wire.ReasonMalformed)
		c.Log.Warn("control message dropped", "from", from, "kind", kind, "err", err)
	}
	return c.allowedSends(now)
}

// beginCall starts the handling of a packet, control message or tick. After a
// pause of the process or a step back of its clock, the datagrams that are handled
// next are of unknown age, so they do not confirm servers, and every server must
// be confirmed again.
func (c *Core) beginCall(now time.Time) {
	c.out.Reset()
	if gap := now.Sub(c.lastCall); gap > maxCallGap || gap < -maxCallGap {
		c.Servers.Paused(now)
		c.Log.Warn("process was paused, all servers must be confirmed again", "for", gap)
	}
	c.lastCall = now
}

// decodeAndHandle decodes the body of a control message and calls f with it.
func decodeAndHandle[T any](body []byte, f func(T)) error {
	v, err := wire.DecodePeer[T](body)
	if err != nil {
		return err
	}
	f(v)
	return nil
}

// routeReleased routes packets that the router had held back.
func (c *Core) routeReleased(now time.Time, released []flow.Released) {
	for i := range released {
		c.routeFlow(now, &released[i].Packet, released[i].Route)
	}
}

// Tick handles timeouts and periodic work of all tables. The result is valid
// until the next call.
func (c *Core) Tick(now time.Time) []wire.Send {
	c.beginCall(now)
	c.Members.Tick(now, &c.out)
	c.updateMembers(now)
	if c.snap != nil {
		c.sendProbes(now)
		c.sendStages(now)
		c.Requests.Tick(now, &c.out)
		c.routeReleased(now, c.Router.Tick(now))
		c.Router.Flush(&c.out)
	}
	return c.allowedSends(now)
}

// updateMembers updates the list of live instances and the time of the latest
// answered probe every membersInterval. It passes a changed list to the router.
func (c *Core) updateMembers(now time.Time) {
	if now.Sub(c.control.membersUpdated) < membersInterval && !now.Before(c.control.membersUpdated) {
		return
	}
	c.control.membersUpdated = now
	c.control.lastAcked = c.Members.LastHeard()
	alive := c.Members.Alive("")
	if slices.Equal(alive, c.control.alive) {
		return
	}
	c.control.alive = alive
	members := make([]flow.Member, 0, len(c.control.alive))
	for _, a := range c.control.alive {
		members = append(members, flow.Member{Name: a.String(), Peer: a})
	}
	c.Router.SetMembers(members)
}

// coldUntil returns the time until which this instance may send to servers in
// cold start. Until then it is fresh, and its peers have answered at its address,
// which shows that no other process uses that address. An instance that has no
// live peer, and that no peer ever answered, needs no such answer. If its clock
// differs too much from the clocks of its peers, coldUntil returns the zero time.
func (c *Core) coldUntil(now time.Time) time.Time {
	until := c.Freshness.CrossUntil(now)
	if skew, ok := c.Members.ClockSkew(); ok && skew.Abs() > c.control.maxClockSkew {
		return time.Time{}
	}
	if len(c.control.alive) > 1 || !c.control.lastAcked.IsZero() {
		if ackValid := c.control.lastAcked.Add(c.control.freshFor); ackValid.Before(until) {
			until = ackValid
		}
	}
	return until
}

// sendProbes sends the probes to servers that are due.
func (c *Core) sendProbes(now time.Time) {
	fresh := !c.Freshness.CrossUntil(now).IsZero()
	if fresh != c.Servers.Fresh {
		c.Log.Info("freshness changed", "fresh", fresh, "rev", c.rev())
	}
	c.Servers.SetFresh(now, fresh)
	c.probes = c.Servers.Probes(now, c.probes[:0])
	fresh = now.Before(c.Freshness.CrossUntil(now))
	for _, p := range c.probes {
		if !fresh && c.targets[p.Server].domain != c.Domain {
			// The domain may be out in settings that this instance does
			// not have yet.
			continue
		}
		q := wire.Packet{Caller: c.Entry.Data, Service: c.Entry.Data}
		q.Frame = wire.Frame{Kind: wire.KindProbe, Service: p.Service, Server: p.Server, Generation: p.Generation, Attempt: p.Epoch}
		q.Frame.SetDeadline(now.Add(time.Second))
		c.out.Server(p.Addr, &q)
	}
}

// sendStages sends the cold start stages of servers to peers. Urgent changes are
// sent at once to up to maxUrgentPeers peers, all others at an interval to a few.
func (c *Core) sendStages(now time.Time) {
	urgent := c.Servers.Urgent()
	if !urgent && now.Sub(c.control.stagesSent) < stagesInterval {
		return
	}
	c.control.stagesSent = now
	c.updates = c.Servers.Updates(c.updates[:0])
	if len(c.updates) == 0 {
		return
	}
	maxPeers := stagePeers
	if urgent {
		maxPeers = maxUrgentPeers
	}
	peers := slices.DeleteFunc(slices.Clone(c.control.alive), func(a netip.AddrPort) bool { return a == c.Entry.Peer })
	c.rnd.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, a := range peers[:min(maxPeers, len(peers))] {
		c.out.Peer(a, wire.PeerStages, slices.Clone(c.updates))
	}
}

// Leave starts the shutdown of the instance: it informs the peers and issues no
// more tickets.
func (c *Core) Leave() {
	c.leaving = true
	c.Members.Leave()
	c.Requests.Leave()
}

// Idle reports whether a leaving instance may exit: no ticket is valid, no request
// is in progress, and no packet of a caller has arrived for minQuiet.
func (c *Core) Idle(now time.Time, minQuiet time.Duration) bool {
	return c.Requests.Idle() && now.Sub(c.lastPacket) >= minQuiet
}
