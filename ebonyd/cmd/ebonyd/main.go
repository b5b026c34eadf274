// Command ebonyd is the balancer daemon. It serves callers' packets at the
// addresses of one entry of the settings until SIGTERM or SIGINT, and then stops
// gracefully.
package main

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"expvar"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/daemon"
	"ebonypaddle/pkg/logs"
	"ebonypaddle/pkg/stats"
	"ebonypaddle/pkg/store"
	"ebonypaddle/pkg/wait"
)

// Timeout, attempts and backoff of calls to the object API. The timeout keeps a
// slow platform from blocking the instance.
const (
	storeTimeout    = 3 * time.Second
	storeTries      = 2
	storeBackoff    = 100 * time.Millisecond
	storeMaxBackoff = 2 * time.Second
)

// logCloseTimeout bounds the wait at exit until the last log lines are written.
const logCloseTimeout = 500 * time.Millisecond

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := command().Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "ebonyd:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	config := &cli.StringFlag{Name: "config", Usage: "process settings `FILE`", Required: true}
	return &cli.Command{
		Name:  "ebonyd",
		Usage: "layer-4 load balancer daemon",
		Commands: []*cli.Command{
			{
				Name: "run", Usage: "serve until SIGTERM, then leave gracefully",
				Flags:  []cli.Flag{config},
				Action: func(ctx context.Context, c *cli.Command) error { return run(ctx, c.String("config")) },
			},
			{
				Name: "check", Usage: "validate the process settings and exit",
				Flags: []cli.Flag{config},
				Action: func(_ context.Context, c *cli.Command) error {
					_, err := loadProcess(c.String("config"))
					return err
				},
			},
		},
	}
}

func loadProcess(file string) (*conf.Process, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("process settings: %w", err)
	}
	p, problems := conf.DecodeProcess(raw)
	if len(problems) > 0 {
		return nil, fmt.Errorf("process settings %s: %w", file, problems)
	}
	return p, nil
}

func run(ctx context.Context, file string) error {
	p, err := loadProcess(file)
	if err != nil {
		return err
	}
	seed, err := randomSeed()
	if err != nil {
		return err
	}
	out := (&logs.Async{Out: os.Stdout}).Start()
	defer out.Close(logCloseTimeout)
	d := &daemon.Daemon{
		Process: p, Clock: time.Now, Seed: seed,
		Logs:     &logs.Switch{Out: out, Clock: time.Now, Levels: p.Logs},
		Store:    newStoreClient(p, seed),
		Stats:    &stats.Counters{},
		Counters: &daemon.Counters{},
		Debug:    expvar.Handler(),
	}
	publish(d)
	expvar.Publish("logs", expvar.Func(out.Map))
	slog.SetDefault(d.Logs.Logger("daemon"))
	err = d.Run(ctx)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func randomSeed() (uint64, error) {
	var b [8]byte
	if _, err := crand.Read(b[:]); err != nil {
		return 0, fmt.Errorf("read seed: %w", err)
	}
	return binary.BigEndian.Uint64(b[:]), nil
}

func newStoreClient(p *conf.Process, seed uint64) *store.Client {
	c := &store.Client{
		HTTP: &http.Client{}, Rand: rand.New(rand.NewPCG(seed, 1)), Sleep: wait.For,
		Timeout: storeTimeout, Tries: storeTries, Backoff: storeBackoff, MaxBackoff: storeMaxBackoff,
	}
	for _, a := range p.ObjectAPI {
		c.Addrs = append(c.Addrs, "http://"+a.String())
	}
	return c
}

// publish publishes the counters under /debug/vars. Only a program's main
// function does so, because the variables of expvar are global.
func publish(d *daemon.Daemon) {
	expvar.Publish("refused", &d.Stats.Refused)
	expvar.Publish("dropped", &d.Stats.Dropped)
	expvar.Publish("retried", &d.Stats.Retried)
	expvar.Publish("closed", &d.Stats.Closed)
	for name, f := range map[string]func() any{
		"control":  func() any { return d.Counters.Map() },
		"tables":   func() any { return d.Tables() },
		"settings": func() any { return d.Settings() },
		"store":    func() any { return d.Store.Counters.Map() },
	} {
		expvar.Publish(name, expvar.Func(f))
	}
}
