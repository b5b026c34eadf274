// Command ebonyd is the balancer daemon. It serves callers' packets at one
// entry place until it is told to stop, and then leaves gracefully.
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

// Times of calls to the object API. A call that waits longer than storeTime
// counts as failed, so that an instance does not hang on a slow platform.
const (
	storeTime    = 3 * time.Second
	storeTries   = 2
	storeBackoff = 100 * time.Millisecond
	storeMaxWait = 2 * time.Second
)

// logTime is the longest wait for a slow reader of the last lines at the end.
const logTime = 500 * time.Millisecond

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
					_, err := load(c.String("config"))
					return err
				},
			},
		},
	}
}

func load(file string) (*conf.Process, error) {
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
	p, err := load(file)
	if err != nil {
		return err
	}
	seed, err := randomSeed()
	if err != nil {
		return err
	}
	out := (&logs.Async{Out: os.Stdout}).Start()
	defer out.Close(logTime)
	d := &daemon.Daemon{
		Process: p, Clock: time.Now, Seed: seed,
		Logs:     &logs.Switch{Out: out, Clock: time.Now, Levels: p.Logs},
		Store:    client(p, seed),
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

func client(p *conf.Process, seed uint64) *store.Client {
	c := &store.Client{
		HTTP: &http.Client{}, Rand: rand.New(rand.NewPCG(seed, 1)), Sleep: wait.For,
		Timeout: storeTime, Tries: storeTries, Backoff: storeBackoff, MaxBackoff: storeMaxWait,
	}
	for _, a := range p.ObjectAPI {
		c.Addrs = append(c.Addrs, "http://"+a.String())
	}
	return c
}

// publish makes the counters readable under /debug/vars. expvar is global, so
// only a program's main publishes.
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
