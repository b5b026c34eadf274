package proof_test

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"time"

	"ebonypaddle/pkg/conf"
)

// coldTime is how long a started server stays in cold start.
const coldTime = 2 * time.Second

func byName(a, b conf.Server) int { return cmp.Compare(a.Name, b.Name) }

func ptr[T any](v T) *T { return &v }

var services = map[string]conf.ServiceID{"/h/order": 1, "/h/intake": 2}

// initialSettings returns revision 1 of the settings: three failure domains with
// two instances each, and in each domain two servers of /h/order and one of
// /h/intake.
func initialSettings(sim *simulation) *conf.Snapshot {
	s := &conf.Snapshot{
		Rev: 1, Nodes: map[string]conf.Node{}, Domains: map[string]conf.Domain{}, Servers: map[string]conf.Server{},
		Keys: map[string]conf.Key{"k1": {ID: 1, Secret: make([]byte, 32), SealFrom: simStart.Add(-time.Hour)}},
	}
	s.Nodes["/"] = conf.Node{Path: "/", Values: conf.Values{ColdTime: ptr(conf.Duration(coldTime)), ColdSlots: ptr(1), ColdFlows: ptr(20)}}
	s.Nodes["/h"] = conf.Node{Path: "/h"}
	for path, id := range services {
		s.Nodes[path] = conf.Node{Path: path, Values: conf.Values{ServiceID: ptr(id), Address: ptr(testAddr(8, int(id)))}}
	}
	old, id := simStart.Add(-time.Hour), conf.ServerID(0)
	for i, d := range domains {
		domain := conf.Domain{Name: d, Half: "h", Mark: conf.MarkIn, Since: old}
		for j := range 2 {
			n := 10*(i+1) + j
			domain.Entries = append(domain.Entries, conf.Entry{Name: d + string(rune('1'+j)), Data: testAddr(1, n), Peer: testAddr(2, n), Admin: testAddr(3, n)})
		}
		s.Domains[d] = domain
		for j, path := range []string{"/h/order", "/h/order", "/h/intake"} {
			id++
			name := d + "-s" + string(rune('1'+j))
			s.Servers[name] = conf.Server{ID: id, Name: name, Service: path, Domain: d, Addr: testAddr(4, int(id)), Generation: 1, Mark: conf.MarkIn, Since: old}
		}
	}
	for _, p := range conf.Validate(s) {
		sim.errorf("settings: %v", p)
	}
	return s
}

// platform stands in for the object API of the platform. It keeps every revision
// of the settings, and simulates outages, lost answers and replicas that lag.
type platform struct {
	sim        *simulation
	snapshots  []*conf.Snapshot
	acceptedAt []time.Time
	down       bool
	// maxLag is the largest lag of a replica, answerLossRate the share of answers
	// that are lost.
	maxLag         time.Duration
	answerLossRate float64
}

// latest returns the newest settings.
func (p *platform) latest() *conf.Snapshot { return p.snapshots[len(p.snapshots)-1] }

// edit makes a change of the settings, and checks that it is in force within
// applyWithin on every instance that no fault impaired since. It returns false
// during an outage or if the change is invalid.
func (p *platform) edit(change func(*conf.Snapshot)) bool {
	sim := p.sim
	if p.down {
		return false
	}
	next := *p.latest()
	next.Rev++
	next.Nodes, next.Domains = maps.Clone(next.Nodes), maps.Clone(next.Domains)
	next.Servers, next.Keys = maps.Clone(next.Servers), maps.Clone(next.Keys)
	change(&next)
	if ps := conf.ValidateChange(p.latest(), &next, sim.Now); len(ps) > 0 {
		sim.errorf("change of the settings is invalid: %v", ps)
		return false
	}
	p.snapshots, p.acceptedAt = append(p.snapshots, &next), append(p.acceptedAt, sim.Now)
	sim.counts.edits++
	accepted := sim.Now
	sim.After(applyWithin, func() {
		for _, inst := range sim.instances {
			if inst.up && inst.lastDisturbed.Before(accepted) && inst.core.Replica.Rev() < next.Rev {
				sim.errorf("settings: %s is at revision %d, %v after %d was accepted", inst.entry.Name, inst.core.Replica.Rev(), applyWithin, next.Rev)
			}
		}
	})
	return true
}

// read returns the settings that a replica holds, and false when the platform is
// down or unreachable from the domain, or the answer is lost.
func (p *platform) read(domain string) (*conf.Snapshot, bool) {
	if p.down || p.sim.platformCut[domain] || !p.sim.controlReachable(domain, "") || p.sim.rnd.Float64() < p.answerLossRate {
		return nil, false
	}
	i := len(p.snapshots) - 1
	if p.maxLag > 0 {
		readAt := p.sim.Now.Add(-time.Duration(p.sim.rnd.Int64N(int64(p.maxLag))))
		for i > 0 && p.acceptedAt[i-1].After(readAt) {
			i--
		}
	}
	return p.snapshots[i], true
}

// addServer adds a server to the settings and starts it. It returns false if the
// settings could not be changed.
func (p *platform) addServer(domain, service string, at netip.AddrPort) bool {
	n := len(p.sim.servers)
	s := conf.Server{
		ID: conf.ServerID(100 + n), Name: fmt.Sprintf("%s-n%d", domain, n), Service: service, Domain: domain,
		Addr: at, Generation: 1, Mark: conf.MarkIn, Since: p.sim.Now,
	}
	if !p.edit(func(next *conf.Snapshot) { next.Servers[s.Name] = s }) {
		return false
	}
	p.sim.startServer(s)
	return true
}

func (p *platform) markDomain(name string, m conf.Mark) {
	p.edit(func(s *conf.Snapshot) {
		d := s.Domains[name]
		d.Mark, d.Since = m, p.sim.Now
		s.Domains[name] = d
	})
}

func (p *platform) markServer(name string, m conf.Mark) {
	p.edit(func(s *conf.Snapshot) {
		v := s.Servers[name]
		v.Mark, v.Since = m, p.sim.Now
		s.Servers[name] = v
	})
}
