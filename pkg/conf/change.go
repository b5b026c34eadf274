package conf

import (
	"bytes"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// KeyLead is the minimum time between the publication of a key and its first
// use, so that every instance can open tokens of the key before any instance
// seals with it.
const KeyLead = 10 * time.Second

// MaxSinceError is the largest accepted difference between the clock of the
// operator's client and the time in the field since of a removal or release. An
// earlier time would shorten the quarantine.
const MaxSinceError = 2 * time.Second

// ValidateChange checks next by itself and as the successor of old at the time
// now. The keys of the first settings need no lead time, because no instance
// uses settings yet.
func ValidateChange(old, next *Snapshot, now time.Time) []Problem {
	c := validator{snap: next}
	c.problems = Validate(next)
	c.checkKeyChanges(old, now)
	c.checkNodeChanges(old, now)
	c.checkReleases(old, now)
	c.checkServerChanges(old, now)
	return c.problems
}

func (c *validator) checkKeyChanges(old *Snapshot, now time.Time) {
	if len(old.Nodes) == 0 && len(old.Keys) == 0 {
		return
	}
	for _, name := range sortedNames(c.snap.Keys) {
		k := c.snap.Keys[name]
		r := c.reportFor(KindKey, name)
		prev, ok := old.Keys[name]
		if ok && (prev.ID != k.ID || !bytes.Equal(prev.Secret, k.Secret)) {
			r.add("secret", "changed", "unchanged; add a key with another name instead")
		}
		if ok && prev.SealFrom.Equal(k.SealFrom) {
			continue
		}
		if earliest := now.Add(KeyLead); k.SealFrom.Before(earliest) {
			r.add("sealFrom", formatTime(k.SealFrom), "at least "+KeyLead.String()+" in the future, "+formatTime(earliest)+" or later")
		}
	}
}

func (c *validator) checkNodeChanges(old *Snapshot, now time.Time) {
	pathOf := map[netip.AddrPort]string{}
	for path, n := range old.Nodes {
		for _, a := range reservedAddresses(&n, now) {
			pathOf[a] = path
		}
	}
	for _, path := range sortedNames(c.snap.Nodes) {
		n, r := c.snap.Nodes[path], c.reportFor(KindNode, path)
		if a := n.Values.Address; a != nil {
			if owner, ok := pathOf[*a]; ok && owner != path {
				r.add("address", *a, fmt.Sprintf("released by node %q at least %s ago", owner, Quarantine))
			}
		}
		prev, ok := old.Nodes[path]
		if !ok {
			continue
		}
		if n.Generation < prev.Generation {
			r.add("generation", n.Generation, fmt.Sprintf("at least %d", prev.Generation))
		}
		prevID, id := prev.Values.ServiceID, n.Values.ServiceID
		if prevID != nil && id != nil && *prevID != *id {
			r.add("serviceId", *id, fmt.Sprintf("%d, because the identifier of a service never changes", *prevID))
		}
	}
}

// reservedAddresses returns the node's address and the addresses that it
// released and that are still in quarantine.
func reservedAddresses(n *Node, now time.Time) []netip.AddrPort {
	var out []netip.AddrPort
	if n.Values.Address != nil {
		out = append(out, *n.Values.Address)
	}
	for _, r := range n.Released {
		if now.Before(r.Since.Add(Quarantine)) {
			out = append(out, r.Address)
		}
	}
	return out
}

// checkReleases checks that every address that a service no longer uses is
// recorded as released, and that no such record is removed or backdated during
// the quarantine.
func (c *validator) checkReleases(old *Snapshot, now time.Time) {
	for _, path := range sortedNames(old.Nodes) {
		prev, r := old.Nodes[path], c.reportFor(KindNode, path)
		n, ok := c.snap.Nodes[path]
		if addrs := reservedAddresses(&prev, now); !ok && len(addrs) > 0 {
			r.add("released", addrs[0], "released for "+Quarantine.String()+" before the node is deleted")
		}
		if !ok {
			continue
		}
		releasedSince := map[netip.AddrPort]time.Time{}
		for _, rel := range n.Released {
			releasedSince[rel.Address] = rel.Since
		}
		for _, rel := range prev.Released {
			if now.Before(rel.Since.Add(Quarantine)) && releasedSince[rel.Address].Before(rel.Since) && (n.Values.Address == nil || *n.Values.Address != rel.Address) {
				r.add("released", rel.Address, "kept until its quarantine of "+Quarantine.String()+" ends")
			}
		}
		prevAddr, addr := prev.Values.Address, n.Values.Address
		if prevAddr != nil && (addr == nil || *prevAddr != *addr) && releasedSince[*prevAddr].Sub(now).Abs() > MaxSinceError {
			r.add("released", *prevAddr, "recorded, with since within "+MaxSinceError.String()+" of "+formatTime(now))
		}
	}
}

// Release records the address that the node had before as released, if it has
// changed, and removes the records whose quarantine has ended. A node without an
// address keeps these records: they show that the address was released and not
// just left out.
func (n *Node) Release(before *netip.AddrPort, now time.Time) {
	n.Released = slices.DeleteFunc(slices.Clone(n.Released), func(r Release) bool {
		return n.Values.Address != nil && !now.Before(r.Since.Add(Quarantine))
	})
	if a := n.Values.Address; before != nil && (a == nil || *a != *before) {
		n.Released = append(n.Released, Release{*before, now})
	}
}

func (c *validator) checkServerChanges(old *Snapshot, now time.Time) {
	byAddr := map[netip.AddrPort][]Server{}
	nameOf := map[ServerID]string{}
	for name, v := range old.Servers {
		byAddr[v.Addr] = append(byAddr[v.Addr], v)
		nameOf[v.ID] = name
		if _, ok := c.snap.Servers[name]; !ok && !quarantineEnded(&v, now) {
			c.reportFor(KindServer, name).add("mark", v.Mark, "removed for "+Quarantine.String()+" before the record is deleted")
		}
	}
	for _, name := range sortedNames(c.snap.Servers) {
		v, r := c.snap.Servers[name], c.reportFor(KindServer, name)
		if owner, ok := nameOf[v.ID]; ok && owner != name {
			r.add("id", v.ID, fmt.Sprintf("new; already used by server %q", owner))
		}
		if prev, ok := old.Servers[name]; ok {
			c.checkServerChange(r, &prev, &v, now)
		}
		if v.Mark == MarkRemoved {
			continue
		}
		for i := range byAddr[v.Addr] {
			if prev := &byAddr[v.Addr][i]; prev.Service != v.Service && !quarantineEnded(prev, now) {
				r.add("addr", v.Addr, quarantineBound(prev))
			}
		}
	}
}

func (c *validator) checkServerChange(r report, prev, v *Server, now time.Time) {
	moved := prev.Addr != v.Addr || prev.Service != v.Service
	if moved && !quarantineEnded(prev, now) {
		r.add("addr", v.Addr, fmt.Sprintf("%s until the server has been marked removed for %s", prev.Addr, Quarantine))
	}
	if moved && v.Generation <= prev.Generation || v.Generation < prev.Generation {
		r.add("generation", v.Generation, fmt.Sprintf("above %d after a move, and never below it", prev.Generation))
	}
	if v.Mark != MarkRemoved {
		return
	}
	if prev.Mark == MarkRemoved && !v.Since.Equal(prev.Since) {
		r.add("since", formatTime(v.Since), "the time of the removal, "+formatTime(prev.Since))
	}
	if prev.Mark != MarkRemoved && v.Since.Sub(now).Abs() > MaxSinceError {
		r.add("since", formatTime(v.Since), "within "+MaxSinceError.String()+" of "+formatTime(now))
	}
}

// quarantineEnded reports whether the server is removed and the quarantine of
// its address has ended.
func quarantineEnded(v *Server, now time.Time) bool {
	return v.Mark == MarkRemoved && !now.Before(v.Since.Add(Quarantine))
}

func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339Nano) }
