package main

import (
	"fmt"
	"net/netip"
	"strings"

	"ebonypaddle/pkg/conf"
)

// adaptSettings changes settings for a local run: it applies assignments of the
// form PATH:FIELD=VALUE, and replaces the first number of every IPv4 address by
// network unless that is negative.
func adaptSettings(snap *conf.Snapshot, assignments []string, network int) error {
	for _, arg := range assignments {
		if err := setField(snap, arg); err != nil {
			return err
		}
	}
	switch {
	case network < 0:
		return nil
	case network > 255:
		return fmt.Errorf("network: %d is not in the range 0 to 255", network)
	}
	moveToNetwork(snap, byte(network))
	return nil
}

// setField applies one assignment PATH:FIELD=VALUE. PATH must be an existing
// node.
func setField(snap *conf.Snapshot, arg string) error {
	path, rest, ok := strings.Cut(arg, ":")
	field, value, ok2 := strings.Cut(rest, "=")
	if !ok || !ok2 {
		return fmt.Errorf("set: %q is not of the form PATH:FIELD=VALUE", arg)
	}
	n, ok := snap.Nodes[path]
	if !ok {
		return fmt.Errorf("set: node %q does not exist", path)
	}
	if ps := n.Values.Set(path, field, value); len(ps) > 0 {
		return ps
	}
	snap.Nodes[path] = n
	return nil
}

// moveToNetwork replaces the first number of every IPv4 address by network.
func moveToNetwork(snap *conf.Snapshot, network byte) {
	to := func(a netip.AddrPort) netip.AddrPort {
		if !a.Addr().Is4() {
			return a
		}
		b := a.Addr().As4()
		b[0] = network
		return netip.AddrPortFrom(netip.AddrFrom4(b), a.Port())
	}
	for name, n := range snap.Nodes {
		if a := n.Values.Address; a != nil {
			moved := to(*a)
			n.Values.Address = &moved
			snap.Nodes[name] = n
		}
	}
	for name, d := range snap.Domains {
		for i, e := range d.Entries {
			d.Entries[i].Data, d.Entries[i].Peer, d.Entries[i].Admin = to(e.Data), to(e.Peer), to(e.Admin)
		}
		snap.Domains[name] = d
	}
	for name, v := range snap.Servers {
		v.Addr = to(v.Addr)
		snap.Servers[name] = v
	}
}
