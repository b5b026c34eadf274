// Command ebonyemu simulates the platform and the backend servers, sends load
// and checks the results of a run.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
)

func main() {
	if err := run(); err != nil {
		slog.Error("ebonyemu", "err", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := &cli.Command{
		Name:     "ebonyemu",
		Usage:    "simulate the platform and backend servers of ebonypaddle, and send load",
		Commands: []*cli.Command{objectCommand(), fabricCommand(), serverCommand(), callerCommand(), planCommand(), postCommand(), sampleCommand(), verdictCommand(), emptyCommand()},
	}
	return app.Run(ctx, os.Args)
}

// seedFlag returns the flag for the seed, which makes runs repeatable.
func seedFlag() cli.Flag {
	return &cli.Uint64Flag{Name: "seed", Usage: "seed of the random numbers", Value: 1}
}

func newRand(cmd *cli.Command, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(cmd.Uint64("seed"), stream))
}

func parseAddrs(list []string) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for _, s := range list {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			return nil, fmt.Errorf("address %q: %w", s, err)
		}
		out = append(out, a)
	}
	return out, nil
}

// serveHTTP serves h at addr until ctx ends or listening fails.
func serveHTTP(ctx context.Context, addr string, h http.Handler) error {
	srv := &http.Server{Addr: addr, Handler: h, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.ListenAndServe(); ctx.Err() == nil {
		return fmt.Errorf("serve HTTP on %s: %w", addr, err)
	}
	return nil
}

// runBoth runs a and b until one of them returns or ctx ends, then stops the
// other. It returns the error of a, or else that of b.
func runBoth(ctx context.Context, a, b func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	errs := make(chan error, 1)
	go func() {
		defer cancel()
		errs <- a(ctx)
	}()
	err := b(ctx)
	cancel()
	if first := <-errs; first != nil {
		return first
	}
	return err
}
