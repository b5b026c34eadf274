package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ebonypaddle/pkg/revs"
)

// recordModel is a server process that writes its record to a store, which may come
// back from an older copy of itself. written holds all records, the last one is current.
type recordModel struct {
	lb           *Balancer
	now          time.Time
	era, counter uint64
	written      []Change[Server]
	stored       *Change[Server] // what the store has, nil for nothing
}

func (m *recordModel) rev(t *rapid.T) revs.Rev {
	m.counter++
	rev, err := revs.New(m.era, m.counter)
	assert.NilError(t, err)
	return rev
}

// write stores and delivers a record of the process.
func (m *recordModel) write(t *rapid.T, record Server) {
	c := serverRecord(1, "a")
	c.Value = record
	c.Rev = m.rev(t)
	c.Value.Rev = c.Rev
	m.written = append(m.written, c)
	m.stored = &c
	m.lb.ApplyServers(m.now, []Change[Server]{c}, false)
}

// heartbeat writes the next record of the process, which may say that it leaves.
func (m *recordModel) heartbeat(t *rapid.T) {
	next := m.written[len(m.written)-1].Value
	next.Sequence++
	next.Leaving = next.Leaving || rapid.Bool().Draw(t, "leaves")
	m.write(t, next)
}

// restart starts the process again under its ID.
func (m *recordModel) restart(t *rapid.T) {
	next := serverRecord(1, "a").Value
	next.StartedAt = m.written[len(m.written)-1].Value.StartedAt.Add(time.Second)
	m.write(t, next)
}

// lapse removes the record.
func (m *recordModel) lapse(t *rapid.T) {
	if m.stored == nil {
		t.Skip("no record")
	}
	m.stored = nil
	m.lb.ApplyServers(m.now, []Change[Server]{{Name: "s1", Rev: m.rev(t), Deleted: true}}, false)
}

// list delivers what the store has.
func (m *recordModel) list(*rapid.T) {
	var all []Change[Server]
	if m.stored != nil {
		all = append(all, *m.stored)
	}
	m.lb.ApplyServers(m.now, all, true)
}

// restore brings the store back with an earlier record of the current process.
func (m *recordModel) restore(t *rapid.T) {
	current := m.written[len(m.written)-1].Value
	old := m.written[rapid.IntRange(0, len(m.written)-1).Draw(t, "record")]
	if !old.Value.StartedAt.Equal(current.StartedAt) {
		t.Skip("record of an earlier process")
	}
	m.era, m.counter = m.era+1, old.Rev.Counter()
	old.Rev = m.rev(t)
	old.Value.Rev = old.Rev
	m.stored = &old
	m.lb.StoreRestored(m.now)
}

func (m *recordModel) wait(t *rapid.T) {
	until := m.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "ticks")) * 100 * time.Millisecond)
	runTicks(m.lb, m.now, until)
	m.now = until
}

// check compares with the last record of the process while the store has one.
func (m *recordModel) check(t *rapid.T) {
	current := m.written[len(m.written)-1].Value
	srv := m.lb.byName["s1"]
	if srv == nil {
		return
	}
	if srv.StartedAt.Equal(current.StartedAt) {
		assert.Equal(t, srv.Leaving, current.Leaving)
		assert.Equal(t, srv.Sequence, current.Sequence)
	}
	owners := 0
	for _, o := range m.lb.tokens.owners {
		assert.Assert(t, o == srv)
		owners++
	}
	assert.Equal(t, owners, tokensPerServer)
	assert.Equal(t, len(m.lb.removedServers) == 0, srv.removedAt.IsZero())
}

// Guards against a server that is used again after it reported that it leaves, or not
// used after it started again, by any order of lists, changes and returns of the store.
func TestRecordsFollowTheProcess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &recordModel{lb: newBalancer(), now: startTime}
		first := serverRecord(1, "a").Value
		first.StartedAt = startTime
		m.write(t, first)
		t.Repeat(map[string]func(*rapid.T){"heartbeat": m.heartbeat, "restart": m.restart, "lapse": m.lapse, "list": m.list, "restore": m.restore, "wait": m.wait, "": m.check})
	})
}
