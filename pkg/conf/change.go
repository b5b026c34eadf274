package conf

import (
	"bytes"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// KeyLead is how long before its first use a key is published, so that every
// instance can open tokens under it before any instance seals with it.
const KeyLead = 10 * time.Second

// MaxSinceError is the largest difference between the clock of the operators'
// client and the since of a removal. A backdated removal would shorten the
// quarantine.
const MaxSinceError = 2 * time.Second

// ValidateChange checks next by itself and as the successor of old at the time
// now. A first set of settings, which no instance serves yet, needs no lead
// time for its keys.
func ValidateChange(old, next *Snapshot, now time.Time) []Problem {
	c := check{snap: next}
	c.out = Validate(next)
	c.keyChanges(old, now)
	c.nodeChanges(old, now)
	c.releases(old, now)
	c.serverChanges(old, now)
	return c.out
}

func (c *check) keyChanges(old *Snapshot, now time.Time) {
	if len(old.Nodes) == 0 && len(old.Keys) == 0 {
		return
	}
	for _, name := range sortedNames(c.snap.Keys) {
		k := c.snap.Keys[name]
		r := c.at(KindKey, name)
		was, ok := old.Keys[name]
		if ok && (was.ID != k.ID || !bytes.Equal(was.Secret, k.Secret)) {
			r.add("secret", "changed", "constant under one name; publish a new key")
		}
		if ok && was.SealFrom.Equal(k.SealFrom) {
			continue
		}
		if first := now.Add(KeyLead); k.SealFrom.Before(first) {
			r.add("sealFrom", stamp(k.SealFrom), "at least "+KeyLead.String()+" ahead, "+stamp(first)+" or later")
		}
	}
}

func (c *check) nodeChanges(old *Snapshot, now time.Time) {
	holder := map[netip.AddrPort]string{}
	for path, n := range old.Nodes {
		for _, a := range inUse(&n, now) {
			holder[a] = path
		}
	}
	for _, path := range sortedNames(c.snap.Nodes) {
		n, r := c.snap.Nodes[path], c.at(KindNode, path)
		if a := n.Values.Address; a != nil {
			if h, ok := holder[*a]; ok && h != path {
				r.add("address", *a, fmt.Sprintf("released by node %q for %s", h, Quarantine))
			}
		}
		was, ok := old.Nodes[path]
		if !ok {
			continue
		}
		if n.Generation < was.Generation {
			r.add("generation", n.Generation, fmt.Sprintf("at least %d", was.Generation))
		}
		a, b := was.Values.ServiceID, n.Values.ServiceID
		if a != nil && b != nil && *a != *b {
			r.add("serviceId", *b, fmt.Sprintf("%d, because identifiers are never reused", *a))
		}
	}
}

// inUse returns the node's address and those that it released less than the
// quarantine ago.
func inUse(n *Node, now time.Time) []netip.AddrPort {
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

// releases checks that no address of a service is given up without a record,
// and that no such record is dropped or shortened during the quarantine.
func (c *check) releases(old *Snapshot, now time.Time) {
	for _, path := range sortedNames(old.Nodes) {
		was, r := old.Nodes[path], c.at(KindNode, path)
		n, ok := c.snap.Nodes[path]
		if addrs := inUse(&was, now); !ok && len(addrs) > 0 {
			r.add("released", addrs[0], "released for "+Quarantine.String()+" before the node is deleted")
		}
		if !ok {
			continue
		}
		next := map[netip.AddrPort]time.Time{}
		for _, x := range n.Released {
			next[x.Address] = x.Since
		}
		for _, x := range was.Released {
			if now.Before(x.Since.Add(Quarantine)) && next[x.Address].Before(x.Since) && (n.Values.Address == nil || *n.Values.Address != x.Address) {
				r.add("released", x.Address, "kept until its quarantine of "+Quarantine.String()+" ends")
			}
		}
		a, b := was.Values.Address, n.Values.Address
		if a != nil && (b == nil || *a != *b) && next[*a].Sub(now).Abs() > MaxSinceError {
			r.add("released", *a, "recorded with a since within "+MaxSinceError.String()+" of "+stamp(now))
		}
	}
}

// Release records that the node gives up the address that it had before, and
// drops the records that are out of quarantine. A node without an address
// keeps them, which tells it from one whose address was forgotten.
func (n *Node) Release(before *netip.AddrPort, now time.Time) {
	n.Released = slices.DeleteFunc(slices.Clone(n.Released), func(r Release) bool {
		return n.Values.Address != nil && !now.Before(r.Since.Add(Quarantine))
	})
	if a := n.Values.Address; before != nil && (a == nil || *a != *before) {
		n.Released = append(n.Released, Release{*before, now})
	}
}

func (c *check) serverChanges(old *Snapshot, now time.Time) {
	byAddr := map[netip.AddrPort][]Server{}
	byID := map[ServerID]string{}
	for name, v := range old.Servers {
		byAddr[v.Addr] = append(byAddr[v.Addr], v)
		byID[v.ID] = name
		if _, ok := c.snap.Servers[name]; !ok && !released(&v, now) {
			c.at(KindServer, name).add("mark", v.Mark, "removed for "+Quarantine.String()+" before the record is deleted")
		}
	}
	for _, name := range sortedNames(c.snap.Servers) {
		v, r := c.snap.Servers[name], c.at(KindServer, name)
		if h, ok := byID[v.ID]; ok && h != name {
			r.add("id", v.ID, fmt.Sprintf("new; server %q has or had it", h))
		}
		if was, ok := old.Servers[name]; ok {
			c.serverChange(r, &was, &v, now)
		}
		if v.Mark == MarkRemoved {
			continue
		}
		for i := range byAddr[v.Addr] {
			if was := &byAddr[v.Addr][i]; was.Service != v.Service && !released(was, now) {
				r.add("addr", v.Addr, quarantined(was))
			}
		}
	}
}

func (c *check) serverChange(r report, was, v *Server, now time.Time) {
	moved := was.Addr != v.Addr || was.Service != v.Service
	if moved && !released(was, now) {
		r.add("addr", v.Addr, fmt.Sprintf("%s until the server was removed for %s", was.Addr, Quarantine))
	}
	if moved && v.Generation <= was.Generation || v.Generation < was.Generation {
		r.add("generation", v.Generation, fmt.Sprintf("above %d after a move, and never lower", was.Generation))
	}
	if v.Mark != MarkRemoved {
		return
	}
	if was.Mark == MarkRemoved && !v.Since.Equal(was.Since) {
		r.add("since", stamp(v.Since), "the time of the removal, "+stamp(was.Since))
	}
	if was.Mark != MarkRemoved && v.Since.Sub(now).Abs() > MaxSinceError {
		r.add("since", stamp(v.Since), "within "+MaxSinceError.String()+" of "+stamp(now))
	}
}

// released reports whether the server's address is out of quarantine.
func released(v *Server, now time.Time) bool {
	return v.Mark == MarkRemoved && !now.Before(v.Since.Add(Quarantine))
}

func stamp(t time.Time) string { return t.UTC().Format(time.RFC3339Nano) }
