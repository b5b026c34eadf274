package router

import (
	"flag"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ebonypaddle/pkg/revs"
)

// TestMain sets a fixed seed and the size of the rapid tests, so that every run has the
// same result.
func TestMain(m *testing.M) {
	for k, v := range map[string]string{"rapid.seed": "31", "rapid.checks": "500", "rapid.nofailfile": "true"} {
		if err := flag.Set(k, v); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// domainModel is what the store last said of each failure domain. Once the time after
// a return of the store is over, instances must agree with it.
type domainModel struct {
	lb     *Balancer
	now    time.Time
	rev    revs.Rev
	listed map[string]bool // whether the domain is out
}

var modelDomains = []string{"a", "b", "c"}

// watch delivers one change.
func (m *domainModel) watch(t *rapid.T) {
	name, out := rapid.SampledFrom(modelDomains).Draw(t, "domain"), rapid.Bool().Draw(t, "out")
	m.rev++
	m.lb.ApplyDomains(m.now, []Change[ExcludedDomain]{{Name: name, Rev: m.rev, Deleted: !out}}, false)
	m.listed[name] = out
}

// list delivers all excluded domains.
func (m *domainModel) list(t *rapid.T) {
	m.rev++
	var changes []Change[ExcludedDomain]
	for _, name := range modelDomains {
		m.listed[name] = rapid.Bool().Draw(t, name)
		if m.listed[name] {
			changes = append(changes, Change[ExcludedDomain]{Name: name, Rev: m.rev})
		}
	}
	m.lb.ApplyDomains(m.now, changes, true)
}

func (m *domainModel) restore(*rapid.T) { m.lb.StoreRestored(m.now) }

// wait lets time pass.
func (m *domainModel) wait(t *rapid.T) {
	until := m.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "ticks")) * 100 * time.Millisecond)
	runTicks(m.lb, m.now, until)
	m.now = until
}

// check compares with the model outside the time after a return of the store.
func (m *domainModel) check(t *rapid.T) {
	m.lb.Tick(m.now)
	if m.now.Before(m.lb.marks.restoredUntil) {
		return
	}
	for _, name := range modelDomains {
		_, out := m.lb.marks.excluded[name]
		assert.Equal(t, out, m.listed[name], "domain %s", name)
	}
}

// Guards against a failure domain that is taken out, or kept out, though the store does
// not say so, by any order of lists, changes and returns of the store.
func TestDomainsFollowTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &domainModel{lb: newBalancer(serverRecord(1, "a")), now: startTime, listed: map[string]bool{}}
		t.Repeat(map[string]func(*rapid.T){"watch": m.watch, "list": m.list, "restore": m.restore, "wait": m.wait, "": m.check})
	})
}
