package core

import (
	"maps"
	"slices"
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/dist"
	"ebonypaddle/pkg/wire"
)

// Mark is an accepted mark that the operators' client hands over directly, so
// that it takes effect although no instance reaches the platform. It is the
// body of a wire.PeerMark.
type Mark struct {
	_ struct{} `cbor:",toarray"`
	// Rev is the revision at which the platform accepted the mark.
	Rev    uint64
	Domain *conf.Domain
	Server *conf.Server
}

func (m *Mark) key() string {
	if m.Domain != nil {
		return "domain/" + m.Domain.Name
	}
	return "server/" + m.Server.Name
}

// ApplyMark puts a mark in force ahead of its revision and passes it on.
func (c *Core) ApplyMark(now time.Time, m Mark) []wire.Send {
	c.out.Reset()
	c.takeMark(now, m)
	return c.sends(now)
}

func (c *Core) takeMark(now time.Time, m Mark) {
	if m.Domain == nil && m.Server == nil || m.Rev <= c.Replica.Rev() {
		return
	}
	if old, ok := c.ctl.marks[m.key()]; ok && old.Rev >= m.Rev {
		return
	}
	c.ctl.marks[m.key()] = m
	c.Log.Info("mark taken ahead of its revision", "object", m.key(), "rev", m.Rev)
	if c.Replica.Current() != nil {
		if err := c.apply(now, c.withMarks(c.Replica.Current())); err != nil {
			c.Log.Error("mark refused", "object", m.key(), "err", err)
		}
	}
	n := 0
	for _, a := range c.Members.Alive("") {
		if a != c.Entry.Peer && n < dist.MaxPush {
			c.out.Peer(a, wire.PeerMark, m)
			n++
		}
	}
}

// withMarks returns the settings with the marks that are ahead of them. The
// revision stays that of the settings, since other changes before the mark may
// be missing.
func (c *Core) withMarks(s *conf.Snapshot) *conf.Snapshot {
	maps.DeleteFunc(c.ctl.marks, func(_ string, m Mark) bool { return m.Rev <= s.Rev })
	if len(c.ctl.marks) == 0 {
		return s
	}
	next := *s
	next.Domains, next.Servers = maps.Clone(s.Domains), maps.Clone(s.Servers)
	for _, k := range slices.Sorted(maps.Keys(c.ctl.marks)) {
		m := c.ctl.marks[k]
		if d, ok := next.Domains[nameOf(m.Domain)]; ok && m.Domain != nil {
			d.Mark, d.Since = m.Domain.Mark, m.Domain.Since
			next.Domains[d.Name] = d
		}
		if m.Server == nil {
			continue
		}
		if s, ok := next.Servers[m.Server.Name]; ok {
			s.Mark, s.Since = m.Server.Mark, m.Server.Since
			next.Servers[s.Name] = s
		}
	}
	return &next
}

func nameOf(d *conf.Domain) string {
	if d == nil {
		return ""
	}
	return d.Name
}
