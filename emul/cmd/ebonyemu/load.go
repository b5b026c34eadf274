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

	"ebonypaddle/emul/caller"
)

func callerCommand() *cli.Command {
	return &cli.Command{
		Name:  "caller",
		Usage: "send load to a service and check the records of its servers",
		Flags: []cli.Flag{
			seedFlag(),
			&cli.StringFlag{Name: "service", Usage: "UDP service address", Required: true},
			&cli.StringSliceFlag{Name: "records", Usage: "URL of the servers' /records endpoint"},
			&cli.IntFlag{Name: "callers", Usage: "number of callers, each with its own socket", Value: 1},
			&cli.IntFlag{Name: "flows", Usage: "flows of each caller", Value: 10},
			&cli.IntFlag{Name: "open-tries", Usage: "maximum number of attempts to open a flow", Value: 5},
			&cli.DurationFlag{Name: "open-pause", Usage: "pause between attempts to open a flow", Value: time.Second},
			&cli.DurationFlag{Name: "flow-life", Usage: "time after which a flow is closed and another opened; 0 keeps it open"},
			&cli.DurationFlag{Name: "keepalive", Value: 500 * time.Millisecond},
			&cli.DurationFlag{Name: "stall", Usage: "time without packets after which a flow counts as broken", Value: 5 * time.Second},
			&cli.FloatFlag{Name: "rate", Usage: "requests per second", Value: 10},
			&cli.FloatFlag{Name: "once", Usage: "share of requests that may run only once", Value: 0.5},
			&cli.IntFlag{Name: "answer", Usage: "largest answer in bytes", Value: 4096},
			&cli.DurationFlag{Name: "timeout", Value: 5 * time.Second},
			&cli.DurationFlag{Name: "resend", Value: 250 * time.Millisecond},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second},
			&cli.DurationFlag{Name: "settle", Usage: "time between the end of the load and reading the records", Value: time.Second},
			&cli.IntFlag{Name: "in-flight", Usage: "maximum number of concurrent requests", Value: 1000},
			&cli.StringFlag{Name: "output", Usage: "text or json", Value: "text"},
		},
		Action: runCaller,
	}
}

func runCaller(ctx context.Context, cmd *cli.Command) error {
	service, err := netip.ParseAddrPort(cmd.String("service"))
	if err != nil {
		return fmt.Errorf("service: %w", err)
	}
	l := &caller.Load{
		Rand: newRand(cmd, 0), HTTP: http.DefaultClient, Records: cmd.StringSlice("records"),
		Flows: cmd.Int("flows"), Keepalive: cmd.Duration("keepalive"), Stall: cmd.Duration("stall"),
		Rate: cmd.Float("rate"), OnceRatio: cmd.Float("once"), AnswerSize: cmd.Int("answer"),
		Timeout: cmd.Duration("timeout"), Duration: cmd.Duration("duration"), SettleTime: cmd.Duration("settle"),
		MaxInFlight: cmd.Int("in-flight"), FlowLife: cmd.Duration("flow-life"), OpenTries: cmd.Int("open-tries"), OpenPause: cmd.Duration("open-pause"),
	}
	for i := range cmd.Int("callers") {
		l.Callers = append(l.Callers, &caller.Caller{
			Clock: time.Now, Rand: newRand(cmd, uint64(i)+1), Service: service, Resend: cmd.Duration("resend"),
		})
	}
	rep, err := l.Run(ctx)
	if rep != nil {
		if outErr := writeReport(cmd.String("output"), rep); err == nil {
			err = outErr
		}
	}
	if err == nil && rep.Failed > 0 {
		err = fmt.Errorf("%d checks failed", rep.Failed)
	}
	return err
}

func writeReport(format string, rep *caller.Report) error {
	if format == "json" {
		return json.NewEncoder(os.Stdout).Encode(rep)
	}
	return rep.WriteText(os.Stdout)
}
