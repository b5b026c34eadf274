package core

import (
	"maps"
	"slices"
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/dist"
	"ebonypaddle/pkg/wire"
)

// Mark is a mark of a failure domain or server that the platform has accepted.
// The operators' client sends it directly to an instance, so that it takes effect
// even if no instance reaches the platform. Instances forward it to each other
// as a wire.PeerMark.
type Mark struct {
	_ struct{} `cbor:",toarray"`
	// Rev is the revision at which the platform accepted the mark.
	Rev    uint64
	Domain *conf.Domain
	Server *conf.Server
}

// key returns the kind and name of the marked object.
func (m *Mark) key() string {
	if m.Domain != nil {
		return "domain/" + m.Domain.Name
	}
	return "server/" + m.Server.Name
}

// ApplyMark puts a mark in force before this instance has the settings of its
// revision, and forwards it to peers.
func (c *Core) ApplyMark(now time.Time, m Mark) []wire.Send {
	c.out.Reset()
	c.receiveMark(now, m)
	return c.allowedSends(now)
}

// receiveMark applies and forwards a mark, unless it is already known or part of
// the settings.
func (c *Core) receiveMark(now time.Time, m Mark) {
	if m.Domain == nil && m.Server == nil || m.Rev <= c.Replica.Rev() {
		return
	}
	if old, ok := c.control.marks[m.key()]; ok && old.Rev >= m.Rev {
		return
	}
	c.control.marks[m.key()] = m
	c.Log.Info("mark received ahead of its revision", "object", m.key(), "rev", m.Rev)
	if c.Replica.Current() != nil {
		if err := c.apply(now, c.withMarks(c.Replica.Current())); err != nil {
			c.Log.Error("mark refused", "object", m.key(), "err", err)
		}
	}
	sent := 0
	for _, a := range c.Members.Alive("") {
		if a != c.Entry.Peer && sent < dist.MaxPush {
			c.out.Peer(a, wire.PeerMark, m)
			sent++
		}
	}
}

// withMarks returns the settings with the marks of later revisions. The revision
// does not change, because other changes up to that of the mark may be missing.
func (c *Core) withMarks(s *conf.Snapshot) *conf.Snapshot {
	maps.DeleteFunc(c.control.marks, func(_ string, m Mark) bool { return m.Rev <= s.Rev })
	if len(c.control.marks) == 0 {
		return s
	}
	next := *s
	next.Domains, next.Servers = maps.Clone(s.Domains), maps.Clone(s.Servers)
	for _, key := range slices.Sorted(maps.Keys(c.control.marks)) {
		m := c.control.marks[key]
		if d, ok := next.Domains[domainName(m.Domain)]; ok && m.Domain != nil {
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

// domainName returns the name of a domain, or "" for nil.
func domainName(d *conf.Domain) string {
	if d == nil {
		return ""
	}
	return d.Name
}
