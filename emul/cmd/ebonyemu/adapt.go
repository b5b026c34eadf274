package main

import (
	"fmt"
	"net/netip"
	"strings"

	"ebonypaddle/pkg/conf"
)

// adapt changes settings for a local run: values of nodes, and the network of
// every address.
func adapt(snap *conf.Snapshot, sets []string, network int) error {
	for _, arg := range sets {
		if err := set(snap, arg); err != nil {
			return err
		}
	}
	switch {
	case network < 0:
		return nil
	case network > 255:
		return fmt.Errorf("network: %d is above 255", network)
	}
	move(snap, byte(network))
	return nil
}

// set carries out PATH:FIELD=VALUE. The path must be a node of the settings.
func set(snap *conf.Snapshot, arg string) error {
	path, rest, ok := strings.Cut(arg, ":")
	field, value, ok2 := strings.Cut(rest, "=")
	if !ok || !ok2 {
		return fmt.Errorf("set: %q must be PATH:FIELD=VALUE", arg)
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

// move replaces the first number of every IPv4 address.
func move(snap *conf.Snapshot, network byte) {
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
