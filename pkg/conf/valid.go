package conf

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// Quarantine is how long an address stays unused after its server was removed.
// It exceeds identityTtl (at most 4 s), the 4 s within which settings are in
// force on every instance, and the lag of the endpoints.
const Quarantine = 10 * time.Second

// Validate checks a snapshot by itself. The result is empty if the snapshot is
// valid.
func Validate(s *Snapshot) []Problem {
	c := validator{snap: s}
	c.checkNodes()
	c.checkDomains()
	c.checkServers()
	c.checkKeys()
	return c.problems
}

type validator struct {
	snap     *Snapshot
	problems Problems
}

func (c *validator) reportFor(k Kind, name string) report { return report{k, name, &c.problems} }

// owners maps values that must be unique to the objects that use them.
type owners[T comparable] map[T]string

func (o owners[T]) claim(r report, field string, v T) {
	if owner, ok := o[v]; ok {
		r.add(field, v, "unique, but "+owner+" uses it")
		return
	}
	o[v] = fmt.Sprintf("%s %q", r.kind, r.name)
}

func (c *validator) checkNodes() {
	ids := owners[ServiceID]{}
	for _, path := range sortedNames(c.snap.Nodes) {
		n := c.snap.Nodes[path]
		r := c.reportFor(KindNode, path)
		if n.Path != path {
			r.add("path", n.Path, "the object's name")
		}
		if !validPath(path) {
			r.add("path", path, "/ or up to three names of letters, digits, '-', '_' or '.', each after a '/'")
			continue
		}
		if _, ok := c.snap.Nodes[Parent(path)]; !ok {
			r.add("path", path, fmt.Sprintf("below an existing node; %q does not exist", Parent(path)))
		}
		if Depth(path) == depthDomain && !c.snap.hasDomain(path) {
			r.add("path", path, "a path whose last name is a failure domain of the half")
		}
		c.checkServiceValues(r, &n, ids)
		c.checkValues(r, &n)
	}
}

func (c *validator) checkServiceValues(r report, n *Node, ids owners[ServiceID]) {
	id, addr := n.Values.ServiceID, n.Values.Address
	if Depth(n.Path) != depthService {
		if id != nil {
			r.add("serviceId", *id, "set on service nodes only")
		}
		if addr != nil {
			r.add("address", *addr, "set on service nodes only")
		}
		if len(n.Released) > 0 {
			r.add("released", len(n.Released), "set on service nodes only")
		}
		return
	}
	if id == nil || *id == 0 {
		r.add("serviceId", "0", "at least 1")
	} else {
		ids.claim(r, "serviceId", *id)
	}
	switch {
	case addr == nil && len(n.Released) > 0:
	case addr == nil:
		r.add("address", "absent", "an IP address with a port")
	default:
		checkAddr(r, "address", *addr)
	}
}

func (c *validator) checkValues(r report, n *Node) {
	for i := range fields {
		f := &fields[i]
		if f.isSet(&n.Values) && !f.inRange(&n.Values) {
			r.add(f.Name, f.valueText(&n.Values), f.Bound())
		}
	}
	v, err := c.snap.Resolve(n.Path)
	if err != nil {
		return // checkNodes reports the missing parent.
	}
	if limit := v.Slots * (1 + v.QueuePerSlot); v.ColdSlots > limit {
		r.add("coldSlots", v.ColdSlots, fmt.Sprintf("at most slots x (1 + queuePerSlot) = %d", limit))
	}
	if v.AttemptTime > v.RequestTime {
		r.add("attemptTime", v.AttemptTime, fmt.Sprintf("at most requestTime = %s", v.RequestTime))
	}
	if v.MaxClockSkew >= v.EpochTime {
		r.add("maxClockSkew", v.MaxClockSkew, fmt.Sprintf("below epochTime = %s", v.EpochTime))
	}
}

func (c *validator) checkDomains() {
	entryNames := owners[string]{}
	for _, name := range sortedNames(c.snap.Domains) {
		d := c.snap.Domains[name]
		r := c.reportFor(KindDomain, name)
		if d.Name != name || !validName(name) {
			r.add("name", d.Name, "the object's name, of letters, digits, '-', '_' or '.'")
		}
		if _, ok := c.snap.Nodes["/"+d.Half]; !ok || !validName(d.Half) {
			r.add("half", d.Half, "a half with a node")
		}
		if d.Mark != MarkIn && d.Mark != MarkOut {
			r.add("mark", d.Mark, "in or out")
		}
		for i, e := range d.Entries {
			f := fmt.Sprintf("entries[%d].", i)
			if !validName(e.Name) {
				r.add(f+"name", e.Name, "a name of letters, digits, '-', '_' or '.'")
			}
			entryNames.claim(r, f+"name", e.Name)
			checkAddr(r, f+"data", e.Data)
			checkAddr(r, f+"peer", e.Peer)
			checkAddr(r, f+"admin", e.Admin)
		}
	}
}

func (c *validator) checkServers() {
	ids := owners[ServerID]{}
	entriesPerHalf := map[string]int{}
	for _, d := range c.snap.Domains {
		entriesPerHalf[d.Half] += len(d.Entries)
	}
	for _, name := range sortedNames(c.snap.Servers) {
		v := c.snap.Servers[name]
		r := c.reportFor(KindServer, name)
		if v.Name != name || !validName(name) {
			r.add("name", v.Name, "the object's name, of letters, digits, '-', '_' or '.'")
		}
		if v.ID == 0 {
			r.add("id", v.ID, "at least 1")
		}
		ids.claim(r, "id", v.ID)
		checkAddr(r, "addr", v.Addr)
		if _, ok := c.snap.Nodes[v.Service]; !ok || Depth(v.Service) != depthService {
			r.add("service", v.Service, "the path of an existing service node")
		}
		if d, ok := c.snap.Domains[v.Domain]; !ok || d.Half != Half(v.Service) {
			r.add("domain", v.Domain, "a failure domain of the service's half")
		} else if entriesPerHalf[d.Half] == 0 {
			r.add("domain", v.Domain, "in a half with at least one entry place")
		}
		checkMark(r, &v)
	}
	c.checkAddresses()
}

func checkMark(r report, v *Server) {
	switch v.Mark {
	case MarkIn:
	case MarkLeaving, MarkRemoved:
		if v.Since.IsZero() {
			r.add("since", "absent", "the time of the mark")
		}
	default:
		r.add("mark", v.Mark, "in, leaving or removed")
	}
}

// checkAddresses checks that no address is used twice, and that no server uses the
// address of a removed server of another service during its quarantine. The data
// and peer ports are UDP and the admin port is TCP, so an entry may use the same
// port number for a UDP and the TCP address.
func (c *validator) checkAddresses() {
	udp, tcp := owners[netip.AddrPort]{}, owners[netip.AddrPort]{}
	for _, path := range sortedNames(c.snap.Nodes) {
		if a := c.snap.Nodes[path].Values.Address; a != nil {
			udp.claim(c.reportFor(KindNode, path), "address", *a)
		}
	}
	for _, name := range sortedNames(c.snap.Domains) {
		r := c.reportFor(KindDomain, name)
		for i, e := range c.snap.Domains[name].Entries {
			f := fmt.Sprintf("entries[%d].", i)
			udp.claim(r, f+"data", e.Data)
			udp.claim(r, f+"peer", e.Peer)
			tcp.claim(r, f+"admin", e.Admin)
		}
	}
	removed := map[netip.AddrPort][]Server{}
	for _, v := range c.snap.Servers {
		if v.Mark == MarkRemoved {
			removed[v.Addr] = append(removed[v.Addr], v)
		}
	}
	for _, name := range sortedNames(c.snap.Servers) {
		v := c.snap.Servers[name]
		if v.Mark == MarkRemoved {
			continue
		}
		r := c.reportFor(KindServer, name)
		udp.claim(r, "addr", v.Addr)
		for _, old := range removed[v.Addr] {
			if end := old.Since.Add(Quarantine); old.Service != v.Service && v.Since.Before(end) {
				r.add("addr", v.Addr, quarantineBound(&old))
			}
		}
	}
}

func quarantineBound(old *Server) string {
	return fmt.Sprintf("unused for %s after the removal of server %q of %s, until %s",
		Quarantine, old.Name, old.Service, old.Since.Add(Quarantine).UTC().Format(time.RFC3339Nano))
}

func (c *validator) checkKeys() {
	ids := owners[uint8]{}
	for _, name := range sortedNames(c.snap.Keys) {
		k := c.snap.Keys[name]
		r := c.reportFor(KindKey, name)
		ids.claim(r, "id", k.ID)
		switch len(k.Secret) {
		case 16, 24, 32:
		default:
			r.add("secret", fmt.Sprintf("%d bytes", len(k.Secret)), "16, 24 or 32 bytes")
		}
		if k.SealFrom.IsZero() {
			r.add("sealFrom", "absent", "a time")
		}
	}
}

func checkAddr(r report, field string, a netip.AddrPort) {
	if !a.IsValid() || a.Port() == 0 || a.Addr().IsUnspecified() {
		r.add(field, a, "an IP address with a port")
	}
}

func validPath(p string) bool {
	if p == "/" {
		return true
	}
	names := strings.Split(p, "/")
	if names[0] != "" || len(names)-1 > depthDomain {
		return false
	}
	for _, n := range names[1:] {
		if !validName(n) {
			return false
		}
	}
	return true
}

func validName(n string) bool {
	const maxBytes = 63 // as for a DNS label
	if n == "" || len(n) > maxBytes {
		return false
	}
	return strings.Trim(n, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == "" && n != "." && n != ".."
}
