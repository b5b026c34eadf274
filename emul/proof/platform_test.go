package proof_test

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"time"

	"ebonypaddle/pkg/conf"
)

const coldTime = 2 * time.Second

func byName(a, b conf.Server) int { return cmp.Compare(a.Name, b.Name) }

func ptr[T any](v T) *T { return &v }

var services = map[string]conf.ServiceID{"/h/order": 1, "/h/intake": 2}

// settings are the first ones: three failure domains with two entry places
// each, a server of each service in each domain and another one of order.
func settings(w *world) *conf.Snapshot {
	s := &conf.Snapshot{
		Rev: 1, Nodes: map[string]conf.Node{}, Domains: map[string]conf.Domain{}, Servers: map[string]conf.Server{},
		Keys: map[string]conf.Key{"k1": {ID: 1, Secret: make([]byte, 32), SealFrom: begin.Add(-time.Hour)}},
	}
	s.Nodes["/"] = conf.Node{Path: "/", Values: conf.Values{ColdTime: ptr(conf.Duration(coldTime)), ColdSlots: ptr(1), ColdFlows: ptr(20)}}
	s.Nodes["/h"] = conf.Node{Path: "/h"}
	for path, id := range services {
		s.Nodes[path] = conf.Node{Path: path, Values: conf.Values{ServiceID: ptr(id), Address: ptr(addr(8, int(id)))}}
	}
	old, id := begin.Add(-time.Hour), conf.ServerID(0)
	for i, d := range domains {
		dom := conf.Domain{Name: d, Half: "h", Mark: conf.MarkIn, Since: old}
		for j := range 2 {
			n := 10*(i+1) + j
			dom.Entries = append(dom.Entries, conf.Entry{Name: d + string(rune('1'+j)), Data: addr(1, n), Peer: addr(2, n), Admin: addr(3, n)})
		}
		s.Domains[d] = dom
		for j, path := range []string{"/h/order", "/h/order", "/h/intake"} {
			id++
			name := d + "-s" + string(rune('1'+j))
			s.Servers[name] = conf.Server{ID: id, Name: name, Service: path, Domain: d, Addr: addr(4, int(id)), Generation: 1, Mark: conf.MarkIn, Since: old}
		}
	}
	for _, p := range conf.Validate(s) {
		w.fault("settings: %v", p)
	}
	return s
}

// platform is the object API: revisions, conditional updates, outages and
// replicas that lag.
type platform struct {
	w     *world
	snaps []*conf.Snapshot
	at    []time.Time
	down  bool
	// lag is the largest lag of a replica, lost the share of lost answers.
	lag  time.Duration
	lost float64
}

func (p *platform) last() *conf.Snapshot { return p.snaps[len(p.snaps)-1] }

// edit accepts a change and checks that it is in force in time on every
// instance that nothing disturbed.
func (p *platform) edit(change func(*conf.Snapshot)) bool {
	w := p.w
	if p.down {
		return false
	}
	next := *p.last()
	next.Rev++
	next.Nodes, next.Domains = maps.Clone(next.Nodes), maps.Clone(next.Domains)
	next.Servers, next.Keys = maps.Clone(next.Servers), maps.Clone(next.Keys)
	change(&next)
	if ps := conf.ValidateChange(p.last(), &next, w.Now); len(ps) > 0 {
		w.fault("edit refused: %v", ps)
		return false
	}
	p.snaps, p.at = append(p.snaps, &next), append(p.at, w.Now)
	w.score.edits++
	accepted := w.Now
	w.After(inForce, func() {
		for _, in := range w.insts {
			if in.up && in.rough.Before(accepted) && in.core.Replica.Rev() < next.Rev {
				w.fault("settings: %s is at revision %d, %v after %d was accepted", in.entry.Name, in.core.Replica.Rev(), inForce, next.Rev)
			}
		}
	})
	return true
}

// read returns what a replica holds now, and false during an outage or when
// the answer is lost.
func (p *platform) read(domain string) (*conf.Snapshot, bool) {
	if p.down || p.w.away[domain] || !p.w.talks(domain, "") || p.w.rnd.Float64() < p.lost {
		return nil, false
	}
	i := len(p.snaps) - 1
	if p.lag > 0 {
		seen := p.w.Now.Add(-time.Duration(p.w.rnd.Int64N(int64(p.lag))))
		for i > 0 && p.at[i-1].After(seen) {
			i--
		}
	}
	return p.snaps[i], true
}

// addServer accepts a new server and starts it, and reports whether it could.
func (p *platform) addServer(domain, service string, at netip.AddrPort) bool {
	n := len(p.w.all)
	s := conf.Server{
		ID: conf.ServerID(100 + n), Name: fmt.Sprintf("%s-n%d", domain, n), Service: service, Domain: domain,
		Addr: at, Generation: 1, Mark: conf.MarkIn, Since: p.w.Now,
	}
	if !p.edit(func(next *conf.Snapshot) { next.Servers[s.Name] = s }) {
		return false
	}
	p.w.addHost(s)
	return true
}

func (p *platform) markDomain(name string, m conf.Mark) {
	p.edit(func(s *conf.Snapshot) {
		d := s.Domains[name]
		d.Mark, d.Since = m, p.w.Now
		s.Domains[name] = d
	})
}

func (p *platform) markServer(name string, m conf.Mark) {
	p.edit(func(s *conf.Snapshot) {
		v := s.Servers[name]
		v.Mark, v.Since = m, p.w.Now
		s.Servers[name] = v
	})
}
