package router

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/logs"
	"ebonypaddle/pkg/revs"
	"ebonypaddle/pkg/wire"
)

// contestTest is an instance that has an open flow with the token that a second server
// shares.
type contestTest struct {
	lb          *Balancer
	now         time.Time
	flow        *caller
	one, two    Change[Server]
	rev         uint64
	nextPort    uint16
	sharedToken uint32
}

func newContest(t *testing.T) *contestTest {
	t.Helper()
	records := collidingRecords(t)
	c := &contestTest{lb: newBalancer(records[0]), now: startTime, one: records[0], two: records[1], nextPort: 100}
	c.sharedToken = tokens(c.one.Value.ID)[0]
	c.lb.SettleTokens()
	c.flow = newCaller(c.lb, 1, serviceAddr)
	assertForwarded(t, c.flow.open(c.now, 0))
	assert.Equal(t, c.flow.token, c.sharedToken)
	c.wait(4 * time.Second)
	return c
}

// sameServers returns another instance that knows some servers as long as this one.
func (c *contestTest) sameServers(servers ...Change[Server]) *contestTest {
	other := *c
	other.lb = newBalancer(servers...)
	runTicks(other.lb, startTime, c.now)
	return &other
}

// wait lets time pass at the instance.
func (c *contestTest) wait(d time.Duration) {
	end := c.now.Add(d)
	runTicks(c.lb, c.now, end)
	c.now = end
}

// put applies a record, remove its removal.
func (c *contestTest) put(r *Change[Server]) {
	c.rev++
	r.Rev = revs.Rev(100 + c.rev)
	r.Deleted = false
	c.lb.ApplyServers(c.now, []Change[Server]{*r}, false)
}

func (c *contestTest) remove(r *Change[Server]) {
	c.rev++
	r.Rev = revs.Rev(100 + c.rev)
	c.lb.ApplyServers(c.now, []Change[Server]{{Name: r.Name, Rev: r.Rev, Deleted: true}}, false)
}

// restart starts another instance that lists some servers, and asks the old one if told.
func (c *contestTest) restart(t *testing.T, told bool, servers ...Change[Server]) *contestTest {
	t.Helper()
	next := *c
	next.lb = &Balancer{Domain: "a", Seed: 2}
	next.lb.Start(c.now)
	next.lb.ApplySettings(testSettings(1, serviceAddr, nonRepeatableAddr))
	next.lb.ApplyServers(c.now, servers, true)
	next.lb.SetSynced()
	next.lb.SetConfirmed(c.now)
	if told {
		tellHolders(t, c.now, c.lb, next.lb)
	}
	return &next
}

// assertAt checks that the open flow stays at the first server.
func (c *contestTest) assertAt(t *testing.T) {
	t.Helper()
	c.flow.lb = c.lb
	offset := int(c.now.Sub(startTime) / time.Millisecond)
	v := c.flow.data(c.now, offset, 1, offset)
	assertForwarded(t, v)
	assert.Equal(t, v.To.Server, c.one.Value.ID)
}

func (c *contestTest) assertDropped(t *testing.T) {
	t.Helper()
	c.flow.lb = c.lb
	assertDropped(t, c.flow.data(c.now, 0, 1, 0), wire.ReasonTokenContested)
}

// assertNotGivenOut checks that no new flow gets the shared token.
func (c *contestTest) assertNotGivenOut(t *testing.T) {
	t.Helper()
	for range 50 {
		c.nextPort++
		d := newCaller(c.lb, c.nextPort, serviceAddr)
		assertForwarded(t, d.open(c.now, 0))
		assert.Assert(t, d.token != c.sharedToken)
	}
}

// Guards against open flows that a new server takes because its clock is behind, or because
// no server says when it started, at instances that knew the servers and restarted ones.
func TestNewServerTakesNoToken(t *testing.T) {
	for _, clock := range []time.Duration{0, -20 * time.Second, time.Minute} {
		for _, born := range []bool{true, false} {
			t.Run(fmt.Sprint(clock, born), func(t *testing.T) {
				c := newContest(t)
				c.two.Value.StartedAt = c.now.Add(clock)
				if !born {
					c.two.Value.StartedAt = time.Time{}
				}
				c.put(&c.two)
				c.wait(2 * time.Second)
				c.assertAt(t)
				c.assertNotGivenOut(t)
				untold := c.restart(t, false, c.two, c.one)
				untold.assertDropped(t)
				untold.assertNotGivenOut(t)
				told := c.restart(t, true, c.two, c.one)
				told.assertAt(t)
				told.assertNotGivenOut(t)
			})
		}
	}
}

// Guards against open flows that another server takes while the record of theirs is
// missing.
func TestTokenOfALapsedServer(t *testing.T) {
	for _, tc := range []struct {
		name         string
		lapse, renew time.Duration
	}{{"short", time.Second, 0}, {"dropped", 10 * time.Second, 0}, {"dropped, other first", 5 * time.Second, 5 * time.Second}} {
		t.Run(tc.name, func(t *testing.T) {
			c := newContest(t)
			c.remove(&c.one)
			c.wait(tc.lapse)
			restarted := c.restart(t, true)
			for _, i := range []*contestTest{c, restarted} {
				i.put(&i.two)
				i.wait(2*time.Second + tc.renew)
				i.assertNotGivenOut(t)
				i.put(&i.one)
				i.wait(2 * time.Second)
				i.assertAt(t)
				i.assertNotGivenOut(t)
			}
		})
	}
}

// Guards against open flows that another server takes after the store came back from a
// copy that lacks the record of theirs, or that has it but not the other one's.
func TestTokenInARestoredStore(t *testing.T) {
	c := newContest(t)
	c.put(&c.two)
	c.wait(2 * time.Second)
	for _, listed := range [][]Change[Server]{{c.two}, {c.one}, {c.two, c.one}, {}} {
		c.lb.StoreRestored(c.now)
		c.lb.ApplyServers(c.now, listed, true)
		c.wait(10 * time.Second)
		both := []Change[Server]{c.two, c.one}
		c.lb.ApplyServers(c.now, both, true)
		c.wait(2 * time.Second)
		c.assertAt(t)
		c.assertNotGivenOut(t)
		c.restart(t, true, both...).assertAt(t)
	}
}

// Guards against a token that no flow gets any more although one server has it.
func TestTokenIsGivenOutAgain(t *testing.T) {
	c := newContest(t)
	c.put(&c.two)
	c.wait(2 * time.Second)
	c.remove(&c.one)
	c.wait(c.lb.Limits.RemovalGrace + tokenMemory - time.Second)
	c.assertNotGivenOut(t)
	assert.Assert(t, c.lb.tokens.contested(c.sharedToken))
	c.wait(2 * time.Second)
	assert.Equal(t, c.lb.tokens.owner(c.sharedToken).ID, c.two.Value.ID)
	assert.Equal(t, len(c.lb.tokens.shared), 0)
}

// Guards against a holder that two instances name differently because each learned of the
// two servers within the time in which a list can lack one.
func TestServersLearnedTogether(t *testing.T) {
	records := collidingRecords(t)
	lb := newBalancer()
	lb.ApplyServers(startTime, records[:1], false)
	lb.ApplyServers(startTime.Add(confirmationLag-1), records[1:2], false)
	token := tokens(records[0].Value.ID)[0]
	assert.Assert(t, lb.tokens.contested(token))
	assert.Assert(t, lb.tokens.owner(token) == nil)
	assert.DeepEqual(t, lb.TokensRequest(0).Tokens, []uint32{token})
}

// Guards against holders that another instance makes up, or tells too late, and against a
// response that lacks what the requesting instance does not know.
func TestHoldersOfOthers(t *testing.T) {
	c := newContest(t)
	next := c.restart(t, false, c.two, c.one).lb
	req := next.TokensRequest(7)
	assert.DeepEqual(t, req.Tokens, []uint32{c.sharedToken})
	res := c.lb.TokensResponse(c.now, 6, &req)
	assert.Assert(t, !res.Settled, "the responding instance has older records")
	bad := []TokenHolder{{Token: c.sharedToken, Known: true, Server: 77}}
	assert.Equal(t, ignoredHolders(next, c.now, bad), 1)
	old := []TokenHolder{{Token: c.sharedToken, Known: true, Server: c.one.Value.ID, Age: uint32(tokenMemory / time.Millisecond)}}
	assert.Equal(t, ignoredHolders(next, c.now, old), 0)
	assert.Equal(t, len(next.TokensRequest(0).Tokens), 1)
	assert.Equal(t, ignoredHolders(next, c.now, res.Holders), 0)
	assert.Equal(t, len(next.TokensRequest(0).Tokens), 0)
	many := make([]TokenHolder, maxTokenHolders+5)
	for i := range many {
		id := ServerID(1000 + i)
		many[i] = TokenHolder{Token: tokens(id)[0], Known: true, Server: id}
	}
	assert.Equal(t, ignoredHolders(next, c.now, many), 5)
	assert.Equal(t, len(next.tokens.removed.values), maxRemovedTokens)
	next.SettleTokens()
	assert.Equal(t, ignoredHolders(next, c.now, bad), 0)
	assert.Equal(t, next.tokens.owner(c.sharedToken).ID, c.one.Value.ID)
}

// Guards against a packet of an open flow that goes to a server that came back, at an
// instance that learned of its removal later than the one that opened the flow elsewhere.
func TestInstancesForgetAHolderAtDifferentTimes(t *testing.T) {
	for _, lag := range []time.Duration{0, 3 * time.Second, 20 * time.Second, maxInstanceLag - time.Second} {
		for _, early := range []bool{false, true} {
			t.Run(fmt.Sprint(lag, early), func(t *testing.T) {
				a := newContest(t)
				b := a.sameServers(a.one)
				a.remove(&a.one)
				a.wait(lag)
				b.wait(lag)
				b.remove(&b.one)
				rest := a.lb.Limits.RemovalGrace + tokenMemory - lag + 100*time.Millisecond
				for _, i := range []*contestTest{a, b} {
					if early {
						i.wait(time.Second)
						i.put(&i.two)
						i.wait(rest - time.Second)
					} else {
						i.wait(rest)
						i.put(&i.two)
					}
					i.wait(1500 * time.Millisecond)
				}
				if early { // a server keeps its other token at a
					a = a.restart(t, true, a.two)
					a.wait(1500 * time.Millisecond)
				}
				f := newCaller(a.lb, 7000, serviceAddr)
				assertForwarded(t, f.open(a.now, 0))
				assert.Equal(t, f.token, a.sharedToken)
				for _, i := range []*contestTest{a, b} {
					i.put(&i.one)
					i.wait(500 * time.Millisecond)
					f.lb = i.lb
					v := f.data(i.now, 100, 1, 100)
					assert.Assert(t, v.Action != Refuse)
					assert.Assert(t, v.Action == Drop || v.To.Server == a.two.Value.ID, "sent to %x", v.To.Server)
				}
				assert.Equal(t, a.lb.tokens.owner(a.sharedToken).ID, a.two.Value.ID)
			})
		}
	}
}

// Guards against an instance that got no answer to its requests and passes for one that
// knows all holders, so that the next one that starts stops asking there.
func TestInstanceThatWasNotToldDoesNotTell(t *testing.T) {
	c := newContest(t)
	c.remove(&c.one)
	c.wait(10 * time.Second)
	untold := c.restart(t, false, c.two)
	untold.wait(tokenMemory - time.Second)
	res := untold.lb.TokensResponse(untold.now, 0, &TokensRequest{})
	assert.Assert(t, !res.Settled)
	untold.wait(2 * time.Second)
	res = untold.lb.TokensResponse(untold.now, 0, &TokensRequest{})
	assert.Assert(t, res.Settled)
}

// Guards against a contest whose holder is known here, and no longer is after an instance
// answers that does not know it, or whose memory of the holder is old.
func TestUnknownHolderReplacesNoKnownOne(t *testing.T) {
	for _, h := range []TokenHolder{{}, {Known: true, Age: uint32((maxExpired + time.Second) / time.Millisecond)}} {
		c := newContest(t)
		c.put(&c.two)
		c.wait(2 * time.Second)
		c.lb.tokens.settled = false
		h.Token, h.Server = c.sharedToken, c.two.Value.ID
		assert.Equal(t, ignoredHolders(c.lb, c.now, []TokenHolder{h}), 0)
		c.assertAt(t)
	}
}

// Guards against a response that takes time for servers that it does not mention, and
// against one that lacks tokens and passes for complete.
func TestTokensResponseIsBounded(t *testing.T) {
	lb := newBalancer()
	all := make([]Change[Server], maxTokenHolders)
	for i := range all {
		all[i] = serverRecord(100000+i, "a")
	}
	lb.ApplyServers(startTime, all, true)
	lb.SettleTokens()
	lb.Log = logs.OrDiscard(nil)
	lb.ApplyServers(startTime, []Change[Server]{{Name: all[0].Name, Rev: 1 << 40, Deleted: true}}, false)
	assert.Equal(t, len(lb.removedServers), 1)
	res := lb.TokensResponse(startTime, 0, &TokensRequest{})
	assert.Assert(t, res.Settled)
	assert.Equal(t, len(res.Holders), tokensPerServer)
	lb.ApplyServers(startTime, nil, true)
	res = lb.TokensResponse(startTime, 0, &TokensRequest{})
	assert.Assert(t, !res.Settled)
	assert.Equal(t, len(res.Holders), maxTokenHolders)
	for _, c := range all {
		lb.dropServer(startTime, lb.byName[c.Name])
	}
	assert.Equal(t, len(lb.removedServers), 0)
}

func ignoredHolders(lb *Balancer, now time.Time, holders []TokenHolder) int {
	ignored, _ := lb.ApplyHolders(now, holders)
	return ignored
}

// Guards against a log line for each token that another instance tells.
func TestHoldersAreNotLoggedOneByOne(t *testing.T) {
	const n = 1000
	var out strings.Builder
	lb := newBalancer()
	lb.tokens.log = slog.New(slog.NewTextHandler(&out, nil))
	records := make([]Change[Server], n)
	holders := make([]TokenHolder, n)
	for i := range records {
		records[i] = serverRecord(100000+i, "a")
		holders[i] = TokenHolder{Token: tokens(records[i].Value.ID)[0]}
	}
	lb.ApplyServers(startTime, records, true)
	out.Reset()
	ignored, shared := lb.ApplyHolders(startTime, holders)
	assert.Equal(t, ignored, 0)
	assert.Equal(t, shared, n)
	assert.Equal(t, out.Len(), 0)
}

// Guards against a token that is forgotten while flows of its server go on, or while another
// instance that learned of the removal late still remembers it.
func TestTokenMemoryOutlastsFlows(t *testing.T) {
	c := newContest(t)
	c.remove(&c.one)
	c.wait(c.lb.Limits.RemovalGrace + maxExpired + 10*time.Second)
	c.put(&c.two)
	c.wait(2 * time.Second)
	c.assertNotGivenOut(t)
}

// Guards against instances that forget a token at different times because one of them
// dropped the server later, as it still answered flows there.
func TestTokenMemoryCountsFromTheRemoval(t *testing.T) {
	c := newContest(t)
	srv := c.lb.byName[c.one.Name]
	c.remove(&c.one)
	removed := c.now
	c.wait(time.Second)
	c.lb.dropServer(removed.Add(50*time.Second), srv)
	r, ok := c.lb.tokens.removed.get(c.now, c.sharedToken)
	assert.Assert(t, ok)
	assert.Equal(t, r.until, removed.Add(c.lb.Limits.RemovalGrace+tokenMemory))
}

// Guards against an unresolved contest that ends as soon as one of its servers is removed,
// so that the other one gets packets of its flows.
func TestServerOfAnUnresolvedContestLeaves(t *testing.T) {
	c := newContest(t)
	c = c.restart(t, false, c.two, c.one)
	c.assertDropped(t)
	c.remove(&c.one)
	c.wait(10 * time.Second)
	assert.Assert(t, c.lb.byName[c.one.Name] == nil)
	c.assertDropped(t)
	c.assertNotGivenOut(t)
	c.wait(tokenMemory)
	assert.Assert(t, !c.lb.tokens.contested(c.sharedToken))
}

// Guards against an instance that never saw a server because it lagged, and tells others
// that nobody holds the tokens of that server.
func TestInstanceThatMissedAServerDoesNotTell(t *testing.T) {
	c := newContest(t)
	c.lb.ApplyServers(c.now, []Change[Server]{{Name: "odd", Rev: 9, Deleted: true, Invalid: true}}, false)
	res := c.lb.TokensResponse(c.now, 0, &TokensRequest{})
	assert.Assert(t, res.Settled, "an odd entry is no server")
	c.remove(&c.two)
	res = c.lb.TokensResponse(c.now, 0, &TokensRequest{})
	assert.Assert(t, !res.Settled)
	c.wait(tokenMemory)
	res = c.lb.TokensResponse(c.now, 0, &TokensRequest{})
	assert.Assert(t, res.Settled)
}
