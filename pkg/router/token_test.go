package router

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/logs"
)

// collidingRecords returns records of servers that share tokens: the first three have the same
// first token, and the second token of the first one is the first one of the fourth.
func collidingRecords(t *testing.T) []Change[Server] {
	t.Helper()
	ids := []ServerID{0xf4935071de, 0x4f93507165, 0x019350712b, ServerID(tokens(0xf4935071de)[1])}
	var out []Change[Server]
	for i, id := range ids {
		r := serverRecord(i+1, "a")
		r.Value.ID = id
		r.Value.StartedAt = startTime.Add(time.Duration(i) * time.Second)
		out = append(out, r)
	}
	for _, r := range out[:3] {
		assert.Equal(t, tokens(r.Value.ID)[0], tokens(ids[0])[0])
	}
	assert.Equal(t, tokens(ids[3])[0], tokens(ids[0])[1])
	return out
}

// Guards against flows that reach another server because instances that learned of two
// servers in another order disagree on their tokens.
func TestTokensDoNotDependOnTheOrder(t *testing.T) {
	records := collidingRecords(t)
	rnd := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		a, b := newBalancer(), newBalancer()
		for _, lb := range []*Balancer{a, b} {
			for _, i := range rnd.Perm(len(records)) {
				lb.ApplyServers(startTime, records[i:i+1], false)
			}
		}
		for _, r := range records {
			id := r.Value.ID
			token := a.byName[r.Name].token
			assert.Assert(t, token != 0)
			for _, lb := range []*Balancer{a, b} {
				owner := lb.tokens.owner(token)
				assert.Assert(t, owner != nil && owner.ID == id, "token %d of %x", token, id)
			}
		}
	}
}

// Guards against open flows that reach another server after the earlier of two servers
// with one token left, at instances that knew it and at those that did not.
func TestTokensAfterTheEarlierServerLeft(t *testing.T) {
	records := collidingRecords(t)[:2]
	old := newBalancer(records...)
	runTicks(old, startTime, startTime.Add(2*time.Second))
	var c *caller
	for port := uint16(1); c == nil || c.token != old.byName[records[1].Name].token; port++ {
		c = newCaller(old, port, serviceAddr)
		assertForwarded(t, c.open(startTime.Add(2*time.Second), 0))
	}
	gone := startTime.Add(3 * time.Second)
	old.ApplyServers(gone, []Change[Server]{{Name: records[0].Name, Rev: 9, Deleted: true}}, false)
	later := gone.Add(old.Limits.RemovalGrace)
	old.Tick(later)
	restarted := newBalancer(records[1])
	old.SettleTokens()
	tellHolders(t, later, old, restarted)
	runTicks(restarted, startTime, later)
	d := newCaller(restarted, 7, serviceAddr)
	assertForwarded(t, d.open(later, 0))
	for _, lb := range []*Balancer{old, restarted} {
		for _, flow := range []*caller{c, d} {
			flow.lb = lb
			v := flow.data(later, 0, 1, 0)
			assertForwarded(t, v)
			assert.Equal(t, v.To.Server, records[1].Value.ID)
		}
	}
}

// tellHolders lets an instance ask another one which servers hold tokens.
func tellHolders(t *testing.T, now time.Time, from, to *Balancer) {
	t.Helper()
	req := to.TokensRequest(0)
	res := from.TokensResponse(now, 0, &req)
	assert.Assert(t, res.Settled)
	assert.Equal(t, ignoredHolders(to, now, res.Holders), 0)
}

// Guards against tokens that are left behind, or are given out while a server that has
// them is known or remembered, as servers with common tokens come and go.
func TestTokensOfServersThatComeAndGo(t *testing.T) {
	records := collidingRecords(t)
	rnd := rand.New(rand.NewPCG(1, 2))
	var table tokenTable
	table.start(logs.OrDiscard(nil))
	now := startTime
	present := map[ServerID]*server{}
	given := map[ServerID]map[uint32]time.Time{} // when a server last got a token
	for _, r := range records {
		given[r.Value.ID] = map[uint32]time.Time{}
	}
	for range 20000 {
		now = now.Add(time.Duration(rnd.IntN(40)) * time.Second)
		table.expire(now)
		r := records[rnd.IntN(len(records))]
		if srv := present[r.Value.ID]; srv != nil {
			table.release(now, srv, now.Add(tokenMemory))
			delete(present, r.Value.ID)
		} else {
			srv = &server{Server: r.Value, name: r.Name, addedAt: now}
			table.claim(now, srv)
			present[r.Value.ID] = srv
		}
		assertTokensComplete(t, &table, present)
		for id, srv := range present {
			assert.Assert(t, table.owner(srv.token) == srv)
			given[id][srv.token] = now
			for other := range given {
				if other == id {
					continue
				}
				at, ok := given[other][srv.token]
				assert.Assert(t, !ok || now.Sub(at) >= maxExpired, "token of flows of %x given to %x", other, id)
				assert.Assert(t, present[other] == nil || !idHasToken(other, srv.token), "token of %x given to %x", other, id)
			}
		}
	}
	now = now.Add(tokenMemory)
	table.expire(now)
	for _, srv := range present {
		table.release(now, srv, now)
	}
	assert.Equal(t, len(table.owners)+len(table.shared), 0)
}

// assertTokensComplete checks that a table has exactly the tokens of some servers, and that
// every token that one of them alone has, and every holder's, is its own.
func assertTokensComplete(t *testing.T, table *tokenTable, present map[ServerID]*server) {
	t.Helper()
	have := map[uint32]int{}
	for id, srv := range present {
		for _, token := range tokens(id) {
			have[token]++
			c := table.shared[token]
			if c == nil {
				assert.Assert(t, table.owner(token) == srv)
				continue
			}
			assert.Assert(t, slices.Contains(c.servers, srv))
			if owner := table.owner(token); owner != nil {
				assert.Equal(t, owner.ID, c.holder)
			}
		}
	}
	for token := range table.owners {
		assert.Assert(t, have[token] > 0)
	}
	for token, c := range table.shared {
		assert.Equal(t, len(c.servers), have[token])
	}
}

// Guards against new flows to a server that reports that it is leaving, because another
// record with its ID says that it is not.
func TestTwoRecordsOfOneServer(t *testing.T) {
	for _, tc := range []struct {
		name   string
		leaves int           // the record that says that the server is leaving
		later  time.Duration // how much later the first one says that the server started
	}{{"the first record", 1, 0}, {"the second record", 2, 0}, {"the one with the later start", 1, time.Minute}, {"the one with the earlier start", 2, time.Minute}} {
		t.Run(tc.name, func(t *testing.T) {
			one, two := serverRecord(1, "a"), serverRecord(1, "a")
			two.Name = "inventory-1"
			one.Value.StartedAt = startTime.Add(tc.later)
			two.Value.StartedAt = startTime
			lb := newBalancer(one, two, serverRecord(2, "a"))
			var flows []*caller
			for port := range uint16(20) {
				c := newCaller(lb, port, serviceAddr)
				assertForwarded(t, c.open(startTime, 0))
				flows = append(flows, c)
			}
			left := &one
			if tc.leaves == 2 {
				left = &two
			}
			left.Rev, left.Value.Leaving = 2, true
			lb.ApplyServers(startTime, []Change[Server]{*left}, false)
			for port := range uint16(50) {
				v := newCaller(lb, 100+port, serviceAddr).open(startTime, 0)
				assertForwarded(t, v)
				assert.Equal(t, v.To.Server, ServerID(2))
			}
			for _, c := range flows {
				assertForwarded(t, c.data(startTime, 0, 1, 0))
			}
		})
	}
}
