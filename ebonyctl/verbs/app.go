// Package verbs holds the commands of ebonyctl.
package verbs

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"ebonypaddle/ebonyctl/client"
	"ebonypaddle/pkg/conf"
)

// Exit codes.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitInvalid  = 3
	ExitConflict = 4
	ExitMissing  = 5
	ExitUnknown  = 6
	ExitNotFound = 7
	ExitLost     = 8
)

// App is the program; its fields are set before Run.
type App struct {
	Out, Err io.Writer
	Rand     *rand.Rand
	Now      func() time.Time
	Pause    func(context.Context, time.Duration) error
	// DialObjects and DialInstances connect to the addresses of the flags
	// --api and --instance.
	DialObjects   func(base []string) (client.Objects, error)
	DialInstances func(addrs []string, key string) (client.Instances, error)

	objects   client.Objects
	instances client.Instances
	json      bool
	// highest is the highest revision of the instances before an edit, 0 if
	// none answered.
	highest uint64
}

type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }
func (e *usageError) Unwrap() error { return e.err }

func usagef(format string, args ...any) error { return &usageError{fmt.Errorf(format, args...)} }

// NotInForce reports a revision that some places do not have in force, or, with
// Err, one of which no instance told.
type NotInForce struct {
	Rev uint64
	client.Progress
	Err error
}

// Unwrap returns the cause.
func (e *NotInForce) Unwrap() error { return e.Err }

// Error names some of the missing places and counts the others.
func (e *NotInForce) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("it is not known where revision %d is in force: %v", e.Rev, e.Err)
	}
	s := fmt.Sprintf("revision %d is not in force on: %s", e.Rev, strings.Join(e.Missing, ", "))
	if more := e.Lacking - len(e.Missing); more > 0 {
		s += fmt.Sprintf(" and %d more", more)
	}
	return s
}

// Run runs one command line and returns the exit code.
func (a *App) Run(ctx context.Context, args []string) int {
	err := a.Command().Run(ctx, args)
	if err != nil {
		a.fail(err)
	}
	return ExitCode(err)
}

// ExitCode returns the exit code for an error of a command.
func ExitCode(err error) int {
	var (
		usage    *usageError
		problems conf.Problems
		conflict *client.Conflict
		missing  *NotInForce
		unknown  *client.Unknown
		path     *conf.PathError
		lost     *StoreLost
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &problems):
		return ExitInvalid
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &lost):
		return ExitLost
	case errors.As(err, &missing):
		return ExitMissing
	case errors.As(err, &unknown):
		return ExitUnknown
	case errors.Is(err, client.ErrNotFound), errors.As(err, &path):
		return ExitNotFound
	}
	return ExitFailed
}

func (a *App) fail(err error) {
	var conflict *client.Conflict
	if !errors.As(err, &conflict) {
		a.warn("ebonyctl: %v\n", err)
		return
	}
	ed := conflict.Edit
	race := struct {
		Yours []conf.Change `json:"yours"`
		Other []conf.Change `json:"other"`
		Rev   uint64        `json:"rev"`
	}{changes(ed.Kind, ed.Name, ed.Base, ed.Value), changes(ed.Kind, ed.Name, ed.Base, conflict.Current.Value), conflict.Current.Rev}
	if a.json {
		// An error of the output leaves the text below on the other stream.
		_ = a.emit(race, nil)
	}
	a.warn("ebonyctl: %v\nyour edit, which was not written over the other:\n", err)
	a.list(race.Yours)
	a.warn("the other edit, which is in the store:\n")
	a.list(race.Other)
	a.warn("to apply yours on top, repeat it with --rev %d\n", race.Rev)
}

func (a *App) list(cs []conf.Change) {
	for _, c := range cs {
		a.warn("  %s\n", c)
	}
}

// warn writes to the error stream, whose own errors have nowhere to go.
func (a *App) warn(format string, args ...any) { _, _ = fmt.Fprintf(a.Err, format, args...) }

// changes lists the differences between two values of an object.
func changes(kind conf.Kind, name string, from, to []byte) []conf.Change {
	side := func(v []byte) *conf.Snapshot {
		if v == nil {
			return conf.Empty()
		}
		s, _ := conf.Empty().With(conf.Object{Kind: kind, Name: name, Value: v})
		return s
	}
	return conf.Diff(side(from), side(to))
}

// emit writes v as JSON, or what human writes.
func (a *App) emit(v any, human func(*strings.Builder)) error {
	if a.json {
		enc := json.NewEncoder(a.Out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	var b strings.Builder
	human(&b)
	_, err := io.WriteString(a.Out, b.String())
	return err
}

func (a *App) before(ctx context.Context, cmd *cli.Command) (context.Context, error) {
	switch out := cmd.String("output"); out {
	case "human", "json":
		a.json = out == "json"
	default:
		return ctx, usagef("--output is %q, must be human or json", out)
	}
	var err error
	if a.objects, err = a.DialObjects(cmd.StringSlice("api")); err != nil {
		return ctx, err
	}
	a.instances, err = a.DialInstances(cmd.StringSlice("instance"), cmd.String("operator-key"))
	return ctx, err
}
