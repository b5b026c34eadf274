package main

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"ebonypaddle/emul/caller"
	"ebonypaddle/emul/verify"
	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wait"
)

// httpTimeout bounds one HTTP request.
const httpTimeout = 2 * time.Second

// postCommand lets scripts set faults without an HTTP client such as curl.
func postCommand() *cli.Command {
	return &cli.Command{
		Name: "post", Usage: "send a JSON body to a URL of a simulated system", ArgsUsage: "URL BODY",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 2 {
				return errors.New("post: want two arguments, URL and BODY")
			}
			url, body := cmd.Args().Get(0), cmd.Args().Get(1)
			ctx, cancel := context.WithTimeout(ctx, httpTimeout)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
			if err != nil {
				return fmt.Errorf("post: %w", err)
			}
			res, err := http.DefaultClient.Do(req)
			if err != nil {
				return fmt.Errorf("post: %w", err)
			}
			defer res.Body.Close()
			if res.StatusCode != http.StatusOK {
				return fmt.Errorf("post: %s returned status %s", url, res.Status)
			}
			return nil
		},
	}
}

func sampleCommand() *cli.Command {
	return &cli.Command{
		Name: "sample", Usage: "print the counters of instances and servers as one line of JSON",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "instance", Usage: "ENTRY=ADMIN-ADDRESS"},
			&cli.StringSliceFlag{Name: "records", Usage: "URL of the servers' /records endpoint"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			c := verify.Collector{
				Clock: time.Now, HTTP: &http.Client{Timeout: httpTimeout},
				Instances: map[string]string{}, Records: cmd.StringSlice("records"),
				Key: hex.EncodeToString(localOperatorKey),
			}
			for _, arg := range cmd.StringSlice("instance") {
				name, addr, ok := strings.Cut(arg, "=")
				if !ok {
					return fmt.Errorf("instance: %q is not of the form ENTRY=ADMIN-ADDRESS", arg)
				}
				c.Instances[name] = addr
			}
			s, err := c.Collect(ctx)
			if err != nil {
				return err
			}
			return json.NewEncoder(os.Stdout).Encode(s)
		},
	}
}

// emptyPollInterval is the interval for polling a server's health endpoint.
const emptyPollInterval = 200 * time.Millisecond

func emptyCommand() *cli.Command {
	return &cli.Command{
		Name: "empty", Usage: "wait until servers have no flows and no requests in progress",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "http", Usage: "address of the servers' /health endpoint", Required: true},
			&cli.StringSliceFlag{Name: "server", Usage: "identifier of a server", Required: true},
			&cli.DurationFlag{Name: "timeout", Value: 20 * time.Second},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
			defer cancel()
			for _, id := range cmd.StringSlice("server") {
				for {
					flows, requests, err := serverLoad(ctx, cmd.String("http"), id)
					if err == nil && flows == 0 && requests == 0 {
						break
					}
					if wait.For(ctx, emptyPollInterval) != nil {
						return fmt.Errorf("server %s still has %d flows and %d requests (%w)", id, flows, requests, errors.Join(err, ctx.Err()))
					}
				}
			}
			return nil
		},
	}
}

func serverLoad(ctx context.Context, addr, id string) (flows, requests int, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/health?server="+id, nil)
	if err != nil {
		return 0, 0, fmt.Errorf("health: %w", err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, 0, fmt.Errorf("health: %w", err)
	}
	defer res.Body.Close()
	var h struct {
		InFlight int `json:"inFlight"`
		Flows    int `json:"flows"`
	}
	if err := json.NewDecoder(res.Body).Decode(&h); err != nil {
		return 0, 0, fmt.Errorf("health of server %s: %w", id, err)
	}
	return h.Flows, h.InFlight, nil
}

func verdictCommand() *cli.Command {
	return &cli.Command{
		Name: "verdict", Usage: "print the report of a run and fail if a requirement did not hold",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings file of the run", Required: true},
			&cli.StringFlag{Name: "servers", Usage: "JSON list of servers", Required: true},
			&cli.StringFlag{Name: "samples", Usage: "file with the output of the sample command, one line per sample", Required: true},
			&cli.StringFlag{Name: "events", Usage: "file with lines of the form TIME KIND ARGUMENTS", Required: true},
			&cli.StringSliceFlag{Name: "report", Usage: "NAME=FILE, where FILE holds the JSON report of the caller command", Required: true},
			&cli.StringSliceFlag{Name: "expect", Usage: "kind of event that must have occurred for the run to count"},
		},
		Action: runVerdict,
	}
}

func runVerdict(_ context.Context, cmd *cli.Command) error {
	r := verify.Run{Reports: map[string]*caller.Report{}, Expect: cmd.StringSlice("expect")}
	raw, err := os.ReadFile(cmd.String("settings"))
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	var problems conf.Problems
	if r.Settings, problems = conf.DecodeSnapshot(raw); len(problems) > 0 {
		return problems
	}
	if err := readJSON(cmd.String("servers"), &r.Servers); err != nil {
		return err
	}
	for _, arg := range cmd.StringSlice("report") {
		name, file, ok := strings.Cut(arg, "=")
		if !ok {
			return fmt.Errorf("report: %q is not of the form NAME=FILE", arg)
		}
		rep := &caller.Report{}
		if err := readJSON(file, rep); err != nil {
			return err
		}
		r.Reports[name] = rep
	}
	if err := readSamplesAndEvents(cmd, &r); err != nil {
		return err
	}
	text, ok := r.Text(r.Verify())
	fmt.Print(text)
	if !ok {
		return errors.New("a requirement did not hold")
	}
	return nil
}

// readSamplesAndEvents reads the files of the flags samples and events into r.
func readSamplesAndEvents(cmd *cli.Command, r *verify.Run) error {
	raw, err := os.ReadFile(cmd.String("samples"))
	if err != nil {
		return fmt.Errorf("samples: %w", err)
	}
	for dec := json.NewDecoder(strings.NewReader(string(raw))); dec.More(); {
		var s verify.Sample
		if err := dec.Decode(&s); err != nil {
			return fmt.Errorf("samples: %w", err)
		}
		r.Samples = append(r.Samples, s)
	}
	if raw, err = os.ReadFile(cmd.String("events")); err != nil {
		return fmt.Errorf("events: %w", err)
	}
	r.Events, err = verify.ParseEvents(string(raw))
	return err
}

func readJSON(file string, out any) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read file: %w", err)
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return fmt.Errorf("decode %s: %w", file, err)
	}
	return nil
}
