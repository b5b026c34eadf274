package router

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ebonypaddle/pkg/revs"
	"ebonypaddle/pkg/wire"
)

// historyServer is a server process and its record in the store.
type historyServer struct {
	record    Change[Server]
	alive     bool
	stored    bool
	process   int       // counts the starts
	startedAt time.Time // of the process
	writtenAt time.Time // first record of the process, or after it was removed
	startRev  revs.Rev  // of its first record
	// changedAt is when the store last changed the record.
	changedAt time.Time
}

// historyChange is a change of the store.
type historyChange struct {
	Change[Server]
	at time.Time
}

// historyInstance is an instance. It learns changes of the store up to lagUntil late.
type historyInstance struct {
	lb       *Balancer
	applied  map[string]revs.Rev
	removed  map[string]bool // records that it saw removed, and no later one of
	next     int             // first change of the store that it has not seen
	lagUntil time.Time
	old      bool // of the version before: answers nobody, and is not checked
	// blind is set if it started less than tokenMemory after the record of a server was
	// removed, and no other instance has told it so, or if it lagged during the whole
	// time in which a record was there.
	blind bool
	// told is set once a settled instance answered it, stopped when it asks no more.
	told, stopped bool
}

// historyFlow is an open flow.
type historyFlow struct {
	c       *caller
	server  *historyServer
	process int
	opened  time.Time
}

// historyModel is a fleet whose servers share tokens. The last server shares none, so that
// there always is another one.
type historyModel struct {
	now       time.Time
	era       uint64
	counter   uint64
	servers   []*historyServer
	changes   []historyChange
	instances []*historyInstance
	flows     []*historyFlow
	port      uint16
	// forwarded and dropped count packets, contested those forwarded by the holder of
	// a contested token.
	forwarded, contested, dropped int
}

func newHistory(t *testing.T) *historyModel {
	t.Helper()
	m := &historyModel{now: startTime}
	records := append(collidingRecords(t), serverRecord(9, "a"))
	for _, r := range records {
		m.servers = append(m.servers, &historyServer{record: r, changedAt: m.now})
	}
	m.write(m.servers[len(m.servers)-1])
	m.servers[len(m.servers)-1].alive = true
	for range 3 {
		i := &historyInstance{}
		m.instances = append(m.instances, i)
		m.startInstance(i)
		i.told = true
		m.stopAsking(i)
	}
	return m
}

func (m *historyModel) rev() revs.Rev {
	m.counter++
	rev, err := revs.New(m.era, m.counter)
	if err != nil {
		panic(err)
	}
	return rev
}

// write stores the record of a server.
func (m *historyModel) write(s *historyServer) {
	if !s.stored {
		s.writtenAt = m.now
	}
	s.record.Rev = m.rev()
	s.record.Value.Rev = s.record.Rev
	s.record.Value.Sequence++
	s.stored, s.changedAt = true, m.now
	m.changes = append(m.changes, historyChange{s.record, m.now})
}

// remove removes the record of a server.
func (m *historyModel) remove(s *historyServer) {
	s.record.Rev = m.rev()
	s.stored, s.changedAt = false, m.now
	c := historyChange{s.record, m.now}
	c.Deleted = true
	m.changes = append(m.changes, c)
}

// startInstance starts an instance, which lists the store.
func (m *historyModel) startInstance(i *historyInstance) {
	*i = historyInstance{lb: &Balancer{Domain: "a", Seed: 1}, applied: map[string]revs.Rev{}, removed: map[string]bool{}}
	i.lb.Start(m.now)
	i.lb.ApplySettings(testSettings(1, nonRepeatableAddr))
	var all []Change[Server]
	for _, s := range m.servers {
		i.applied[s.record.Name] = s.record.Rev
		i.removed[s.record.Name] = !s.stored && s.process > 0
		if s.stored {
			all = append(all, s.record)
		}
		i.blind = i.blind || !s.stored && s.process > 0 && m.now.Sub(s.changedAt) < tokenMemory+maxInstanceLag
	}
	i.next = len(m.changes)
	i.lb.ApplyServers(m.now, all, true)
	i.lb.ApplyDomains(m.now, nil, true)
	i.lb.SetSynced()
	i.lb.SetConfirmed(m.now)
}

// rev returns the revision of an instance's server records.
func (i *historyInstance) rev(m *historyModel) revs.Rev {
	if i.next == 0 {
		return 0
	}
	return m.changes[i.next-1].Rev
}

// learn applies the latest state of each record that an instance has not seen, without
// up to withheld of the last changes, if they were made in the last second: watches and
// lists of the store are in order of its changes.
func (m *historyModel) learn(i *historyInstance, withheld int) {
	end := len(m.changes)
	for ; withheld > 0 && end > i.next && m.now.Sub(m.changes[end-1].at) < confirmationLag; withheld-- {
		end--
	}
	pending := m.changes[i.next:end]
	i.next = end
	latest, started := map[string]revs.Rev{}, map[string]bool{}
	for _, c := range pending {
		latest[c.Name] = c.Rev
		started[c.Name] = started[c.Name] || !c.Deleted && c.Value.Sequence == 1
	}
	var changes []Change[Server]
	for _, c := range pending {
		if c.Rev != latest[c.Name] {
			continue
		}
		i.applied[c.Name], i.removed[c.Name] = c.Rev, c.Deleted
		if c.Deleted && i.lb.byName[c.Name] == nil {
			i.blind = i.blind || started[c.Name]
		}
		changes = append(changes, c.Change)
	}
	i.lb.ApplyServers(m.now, changes, false)
	i.lb.SetConfirmed(m.now)
}

func drawServer(t *rapid.T, m *historyModel) *historyServer {
	return m.servers[rapid.IntRange(0, len(m.servers)-2).Draw(t, "server")]
}

func drawInstance(t *rapid.T, m *historyModel) *historyInstance {
	return m.instances[rapid.IntRange(0, len(m.instances)-1).Draw(t, "instance")]
}

// startServer starts a server, or starts it again under its ID.
func (m *historyModel) startServer(t *rapid.T) {
	s := drawServer(t, m)
	s.alive, s.process = true, s.process+1
	s.record.Value.Sequence = 0
	clock := time.Duration(rapid.IntRange(-60, 60).Draw(t, "clock")) * time.Second
	s.record.Value.StartedAt = m.now.Add(clock)
	if rapid.IntRange(0, 3).Draw(t, "born") == 0 {
		s.record.Value.StartedAt = time.Time{}
	}
	m.write(s)
	s.startedAt, s.writtenAt, s.startRev = m.now, m.now, s.record.Rev
}

func (m *historyModel) stopServer(t *rapid.T) {
	if s := drawServer(t, m); s.alive {
		s.alive = false
		if s.stored {
			m.remove(s)
		}
	}
}

func (m *historyModel) lapse(t *rapid.T) {
	if s := drawServer(t, m); s.alive && s.stored && m.now.Sub(s.changedAt) >= 3*time.Second {
		m.remove(s)
	}
}

func (m *historyModel) renew(t *rapid.T) {
	if s := drawServer(t, m); s.alive && !s.stored {
		m.write(s)
	}
}

// restartInstance restarts an instance, which asks another one unless it reaches none.
func (m *historyModel) restartInstance(t *rapid.T) {
	i := drawInstance(t, m)
	m.startInstance(i)
	i.old = rapid.IntRange(0, 7).Draw(t, "version") == 0
	if rapid.IntRange(0, 3).Draw(t, "reaches") > 0 {
		for _, other := range m.instances {
			m.askOf(i, other)
		}
	}
}

// ask lets an instance that started ask another one, or give up.
func (m *historyModel) ask(t *rapid.T) {
	i, other := drawInstance(t, m), drawInstance(t, m)
	if rapid.IntRange(0, 5).Draw(t, "reached") == 0 {
		m.stopAsking(i)
		return
	}
	m.askOf(i, other)
}

func (m *historyModel) stopAsking(i *historyInstance) {
	i.stopped = true
	if i.told {
		i.lb.SettleTokens()
	}
}

// askOf lets an instance ask another one which servers hold tokens.
func (m *historyModel) askOf(i, other *historyInstance) {
	if other == i || i.old || other.old || i.stopped {
		return
	}
	req := i.lb.TokensRequest(i.rev(m))
	if res := other.lb.TokensResponse(m.now, other.rev(m), &req); res.Settled {
		i.blind, i.told = false, true
		i.lb.ApplyHolders(m.now, res.Holders)
		if len(i.lb.TokensRequest(i.rev(m)).Tokens) == 0 {
			m.stopAsking(i)
		}
	}
}

// lag lets an instance learn nothing for a time.
func (m *historyModel) lag(t *rapid.T) {
	drawInstance(t, m).lagUntil = m.now.Add(time.Duration(rapid.IntRange(1, 25).Draw(t, "lag")) * time.Second)
}

func (m *historyModel) wait(t *rapid.T) {
	steps := rapid.SampledFrom([]int{1, 2, 5, 20, 250}).Draw(t, "ticks")
	withheld := make([]int, len(m.instances))
	for n := range withheld {
		withheld[n] = rapid.IntRange(0, 4).Draw(t, "withheld")
	}
	for range steps {
		m.now = m.now.Add(500 * time.Millisecond)
		for n, i := range m.instances {
			if !m.now.Before(i.lagUntil) {
				m.learn(i, withheld[n])
			}
			i.lb.Tick(m.now)
		}
		m.closeFlows()
	}
}

// closeFlows removes flows whose server is gone, or that are as old as flows get.
func (m *historyModel) closeFlows() {
	m.flows = slices.DeleteFunc(m.flows, func(f *historyFlow) bool {
		return !f.server.alive || f.process != f.server.process || m.now.Sub(f.opened) >= maxExpired
	})
}

// open opens flows at an instance.
func (m *historyModel) open(t *rapid.T) {
	i := drawInstance(t, m)
	for range 4 {
		m.port++
		f := &historyFlow{c: newCaller(i.lb, m.port, nonRepeatableAddr), opened: m.now}
		v := f.c.open(m.now, 0)
		if v.Action != Forward || i.old || i.blind {
			continue
		}
		n := slices.IndexFunc(m.servers, func(s *historyServer) bool { return s.record.Value.ID == v.To.Server })
		f.server = m.servers[n]
		f.process = f.server.process
		if m.undelayed(i, f.server) {
			continue
		}
		m.flows = append(m.flows, f)
	}
	m.closeFlows()
}

// undelayed reports whether an instance may give a server flows before others know the
// server's process: it started soon after the record, or takes it for the process before.
func (m *historyModel) undelayed(i *historyInstance, s *historyServer) bool {
	since := i.lb.startedAt.Sub(s.writtenAt)
	return since >= 0 && since < i.lb.Limits.NewServerDelay || i.applied[s.record.Name] < s.startRev
}

// send sends a packet of each open flow to some instances.
func (m *historyModel) send(t *rapid.T) {
	m.closeFlows()
	at := rapid.UintRange(1, 7).Draw(t, "at")
	for n, i := range m.instances {
		if at&(1<<n) == 0 || i.old || i.blind {
			continue
		}
		for _, f := range m.flows {
			m.sendTo(t, i, f)
		}
	}
}

func (m *historyModel) sendTo(t *rapid.T, i *historyInstance, f *historyFlow) {
	f.c.lb = i.lb
	offset := int(m.now.Sub(f.opened) / time.Millisecond)
	switch v := f.c.data(m.now, offset, 1, offset); v.Action {
	case Forward:
		m.forwarded++
		if i.lb.tokens.contested(f.c.token) {
			m.contested++
		}
		if v.To.Server != f.server.record.Value.ID {
			n := slices.IndexFunc(m.servers, func(s *historyServer) bool { return s.record.Value.ID == v.To.Server })
			assert.Assert(t, !m.servers[n].alive, "packet of a flow of %x sent to %x, token %d", f.server.record.Value.ID, v.To.Server, f.c.token)
		}
	case Refuse:
		// An instance takes a server whose record was removed for gone after RemovalGrace,
		// until it learns of a new record. TestUnknownToken and others check that.
		assert.Assert(t, i.removed[f.server.record.Name] && !i.lb.tokens.contested(f.c.token) && v.Reason != wire.ReasonTimeout, "packet of a flow of %x refused: %v", f.server.record.Value.ID, v.Reason)
	case Drop:
		m.dropped++
	}
}

// Guards against packets of open flows that reach another server with the same token, or
// are refused, in any history of servers, instances and the store. Not checked: instances
// of the version before, and flows opened by them; instances that started while the record
// of a server was missing and that no other one told of it, or that never saw it as they
// lagged; flows that an instance opens although it started within NewServerDelay after the
// server's record came, or did not learn yet that the server started again.
func TestFlowsStayAtTheirServer(t *testing.T) {
	var total historyModel
	steps := 0
	defer func() {
		t.Logf("%d steps, %d packets forwarded, %d of them with a contested token, %d dropped", steps, total.forwarded, total.contested, total.dropped)
	}()
	rapid.Check(t, func(rt *rapid.T) {
		m := newHistory(t)
		defer func() {
			total.forwarded += m.forwarded
			total.contested += m.contested
			total.dropped += m.dropped
		}()
		rt.Repeat(map[string]func(*rapid.T){
			"start server": m.startServer, "stop server": m.stopServer, "lapse": m.lapse, "renew": m.renew,
			"restart instance": m.restartInstance, "ask": m.ask, "ask again": m.ask, "lag": m.lag,
			"wait": m.wait, "wait more": m.wait, "open": m.open, "open more": m.open, "send": m.send,
			"": func(*rapid.T) {
				steps++
				m.closeFlows()
				for n, i := range m.instances {
					if !i.old && !i.blind && n == int(m.port)%3 {
						for _, f := range m.flows {
							m.sendTo(rt, i, f)
						}
					}
				}
			},
		})
	})
	assert.Assert(t, total.contested > 0, "no packet had a contested token")
}
