package main

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"ebonypaddle/emul/server"
	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/store"
)

// planCommand derives the inputs of the simulated systems and the daemons from a
// settings file, so that a local run needs only that file.
func planCommand() *cli.Command {
	return &cli.Command{
		Name:  "plan",
		Usage: "print inputs for a local run with a settings file",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Required: true},
			&cli.StringFlag{Name: "print", Usage: "what to print: settings, objects, servers, entries, services, process or operator-key", Required: true},
			&cli.StringSliceFlag{Name: "set", Usage: "PATH:FIELD=VALUE to set in the settings first; may be repeated"},
			&cli.IntFlag{Name: "network", Usage: "new first number of all IPv4 addresses, such as 127", Value: -1},
			&cli.StringFlag{Name: "entry", Usage: "entry place, with --print process"},
			&cli.StringFlag{Name: "object-api", Value: "127.0.0.1:7400"},
			&cli.DurationFlag{Name: "mean", Usage: "mean service time of the fastest server", Value: 4 * time.Millisecond},
		},
		Action: runPlan,
	}
}

func runPlan(_ context.Context, cmd *cli.Command) error {
	raw, err := os.ReadFile(cmd.String("settings"))
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	snap, problems := conf.DecodeSnapshot(raw)
	if len(problems) > 0 {
		return problems
	}
	if err := adaptSettings(snap, cmd.StringSlice("set"), cmd.Int("network")); err != nil {
		return err
	}
	var out any
	switch cmd.String("print") {
	case "settings":
		out = snap
	case "objects":
		out, err = seedObjects(snap)
	case "servers":
		out, err = serverConfigs(snap, cmd.Duration("mean"))
	case "process":
		out, err = processConfig(snap, cmd.String("entry"), cmd.String("object-api"))
	case "entries":
		for _, e := range sortedEntries(snap) {
			fmt.Println(e.Name, e.Admin, e.Data)
		}
		return nil
	case "operator-key":
		fmt.Println(base64.StdEncoding.EncodeToString(localOperatorKey))
		return nil
	case "services":
		for _, path := range slices.Sorted(maps.Keys(snap.Nodes)) {
			if a := snap.Nodes[path].Values.Address; a != nil {
				fmt.Println(path, a)
			}
		}
		return nil
	default:
		err = fmt.Errorf("print: %q is not one of settings, objects, servers, entries, services, process, operator-key", cmd.String("print"))
	}
	if err != nil {
		return err
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(out)
}

func seedObjects(snap *conf.Snapshot) ([]store.Object, error) {
	objs, err := snap.Objects()
	if err != nil {
		return nil, err
	}
	var out []store.Object
	for _, o := range objs {
		out = append(out, store.Object{Kind: string(o.Kind), Name: o.Name, Value: o.Value})
	}
	return out, nil
}

// serviceTimeFactors are the service times of servers relative to the fastest
// one. They differ because the backend servers were bought over years.
var serviceTimeFactors = [...]int{1, 2, 4, 8}

func serverConfigs(snap *conf.Snapshot, mean time.Duration) ([]server.Config, error) {
	var out []server.Config
	for i, name := range slices.Sorted(maps.Keys(snap.Servers)) {
		rec := snap.Servers[name]
		r, err := snap.Resolve(rec.Service + "/" + rec.Domain)
		if err != nil {
			return nil, err
		}
		out = append(out, server.Config{
			Service: r.ServiceID, ID: rec.ID, Generation: rec.Generation, Addr: rec.Addr,
			Slots: r.Slots, Queue: r.Slots * (r.QueuePerSlot + 1), Connections: r.Connections,
			Mean: conf.Duration(mean * time.Duration(serviceTimeFactors[i%len(serviceTimeFactors)])), Distribution: "exponential",
			ColdFactor: 3, ColdTime: conf.Duration(r.ColdTime), ColdSlots: r.ColdSlots,
			Push: conf.Duration(pushInterval), Idle: conf.Duration(flowIdleTimeout),
		})
	}
	return out, nil
}

const (
	// pushInterval is the interval of the push feed on open flows.
	pushInterval = time.Second
	// flowIdleTimeout is many times the keepalive interval, and longer than the
	// time without packets after which callers regard a flow as broken (flag
	// stall).
	flowIdleTimeout = 8 * time.Second
)

func sortedEntries(snap *conf.Snapshot) []conf.Entry {
	var out []conf.Entry
	for _, name := range slices.Sorted(maps.Keys(snap.Domains)) {
		out = append(out, snap.Domains[name].Entries...)
	}
	return out
}

// Keys of local runs. They are public and protect nothing.
var (
	localClusterKey  = []byte("ebonypaddle local cluster key 32")
	localOperatorKey = []byte("ebonypaddle local operator key")
)

func processConfig(snap *conf.Snapshot, entry, objectAPI string) (*conf.Process, error) {
	api, err := netip.ParseAddrPort(objectAPI)
	if err != nil {
		return nil, fmt.Errorf("object-api: %w", err)
	}
	p := &conf.Process{ObjectAPI: []netip.AddrPort{api}, ClusterKey: localClusterKey, OperatorKey: localOperatorKey, Logs: map[string]string{}}
	for _, d := range snap.Domains {
		for _, e := range d.Entries {
			if e.Name == entry {
				p.Entry, p.Half, p.Domain = e.Name, d.Half, d.Name
				p.Data, p.Peer, p.Admin = e.Data, e.Peer, e.Admin
			} else {
				p.Peers = append(p.Peers, e.Admin)
			}
		}
	}
	if p.Entry == "" {
		return nil, fmt.Errorf("entry: entry place %q does not exist", entry)
	}
	return p, nil
}
