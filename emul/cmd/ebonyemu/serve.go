package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"ebonypaddle/emul/fabric"
	"ebonypaddle/emul/object"
	"ebonypaddle/emul/server"
	"ebonypaddle/pkg/store"
	"ebonypaddle/pkg/wait"
)

func objectCommand() *cli.Command {
	return &cli.Command{
		Name:  "object-api",
		Usage: "simulate the object API with its instance list; set faults with POST /fault, read call counts with GET /calls",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7400"},
			&cli.StringFlag{Name: "seed-file", Usage: "JSON list of objects to start with"},
			&cli.DurationFlag{Name: "instance-lag", Usage: "delay until a change of the instance list can be read"},
			&cli.IntFlag{Name: "history", Usage: "number of events kept for watches", Value: 10_000},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			s := &object.Server{Clock: time.Now, InstanceLag: cmd.Duration("instance-lag"), History: cmd.Int("history")}
			if name := cmd.String("seed-file"); name != "" {
				b, err := os.ReadFile(name)
				if err != nil {
					return fmt.Errorf("seed file: %w", err)
				}
				if err := s.Load(b); err != nil {
					return err
				}
			}
			return serveHTTP(ctx, cmd.String("listen"), s.Handler())
		},
	}
}

func fabricCommand() *cli.Command {
	return &cli.Command{
		Name:  "fabric",
		Usage: "simulate the fabric that sprays callers' packets over the instances; set faults with POST /fault",
		Flags: []cli.Flag{
			seedFlag(),
			&cli.StringSliceFlag{Name: "service", Usage: "UDP service address", Required: true},
			&cli.StringFlag{Name: "inside", Usage: "UDP address that instances send answers to", Value: "127.0.0.1:7500"},
			&cli.StringFlag{Name: "http", Value: "127.0.0.1:7501"},
			&cli.StringSliceFlag{Name: "instance", Usage: "fixed UDP address of an instance"},
			&cli.StringSliceFlag{Name: "object-api", Usage: "URL of the object API, for its instance list"},
			&cli.DurationFlag{Name: "every", Usage: "interval for reading the instance list", Value: time.Second},
		},
		Action: runFabric,
	}
}

func runFabric(ctx context.Context, cmd *cli.Command) error {
	services, err := parseAddrs(cmd.StringSlice("service"))
	if err != nil {
		return err
	}
	inside, err := netip.ParseAddrPort(cmd.String("inside"))
	if err != nil {
		return fmt.Errorf("inside: %w", err)
	}
	fixed, err := parseAddrs(cmd.StringSlice("instance"))
	if err != nil {
		return err
	}
	f := &fabric.Fabric{
		Clock: time.Now, Rand: newRand(cmd, 1), Services: services, Inside: inside, ListInterval: cmd.Duration("every"),
		List: func(context.Context) ([]netip.AddrPort, error) { return fixed, nil },
	}
	if urls := cmd.StringSlice("object-api"); len(urls) > 0 {
		c := &store.Client{
			Addrs: urls, HTTP: http.DefaultClient, Rand: newRand(cmd, 2), Sleep: wait.For,
			Timeout: time.Second, Tries: 2, Backoff: 100 * time.Millisecond, MaxBackoff: time.Second,
		}
		f.List = func(ctx context.Context) ([]netip.AddrPort, error) { return object.LiveInstances(ctx, c) }
	}
	if err := f.Listen(); err != nil {
		return err
	}
	return runBoth(ctx, f.Run, func(ctx context.Context) error { return serveHTTP(ctx, cmd.String("http"), f.Handler()) })
}

func serverCommand() *cli.Command {
	return &cli.Command{
		Name:  "server",
		Usage: "simulate backend servers; read records with GET /records, send commands with POST /command",
		Flags: []cli.Flag{
			seedFlag(),
			&cli.StringFlag{Name: "config", Usage: "JSON list of servers", Required: true},
			&cli.StringFlag{Name: "http", Value: "127.0.0.1:7600"},
		},
		Action: runServers,
	}
}

func runServers(ctx context.Context, cmd *cli.Command) error {
	b, err := os.ReadFile(cmd.String("config"))
	if err != nil {
		return fmt.Errorf("servers: %w", err)
	}
	var list []server.Config
	if err := json.Unmarshal(b, &list); err != nil {
		return fmt.Errorf("servers: %w", err)
	}
	p := &server.Pool{Clock: time.Now}
	for i := range list {
		if err := list[i].Check(); err != nil {
			return err
		}
		p.Servers = append(p.Servers, &server.Server{Config: list[i], Rand: newRand(cmd, uint64(i))})
	}
	if err := p.Listen(); err != nil {
		return err
	}
	return runBoth(ctx, p.Run, func(ctx context.Context) error { return serveHTTP(ctx, cmd.String("http"), p.Handler()) })
}
