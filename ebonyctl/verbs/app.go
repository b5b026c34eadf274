// Package verbs implements the commands of ebonyctl.
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
	"ebonypaddle/pkg/revs"
	"ebonypaddle/pkg/store"
)

// Exit codes of ebonyctl. Doc describes each of them.
const (
	ExitOK             = 0
	ExitFailed         = 1
	ExitUsage          = 2
	ExitInvalid        = 3
	ExitConflict       = 4
	ExitNotInForce     = 5
	ExitUnknownOutcome = 6
	ExitNotFound       = 7
	ExitStoreBehind    = 8
)

// App runs ebonyctl commands. The exported fields are set before Run.
type App struct {
	Out, Err io.Writer
	Rand     *rand.Rand
	Now      func() time.Time
	Sleep    func(context.Context, time.Duration) error
	// NewObjectAPI and NewInstanceAPI return clients for the addresses given
	// with the flags --api and --instance.
	NewObjectAPI   func(baseURLs []string) (client.ObjectAPI, error)
	NewInstanceAPI func(addrs []string, key string) (client.InstanceAPI, error)

	objects   client.ObjectAPI
	instances client.InstanceAPI
	json      bool
	// highestRev is the highest revision in force on any instance before an
	// edit, 0 if no instance responded.
	highestRev uint64
}

// usageError reports a wrong command line.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }
func (e *usageError) Unwrap() error { return e.err }

func usagef(format string, args ...any) error { return &usageError{fmt.Errorf(format, args...)} }

// NotInForceError reports a revision that is not in force on every instance. If
// Err is set, no instance responded and it is unknown where it is in force.
type NotInForceError struct {
	Rev uint64
	client.Progress
	Err error
}

// Unwrap returns the cause.
func (e *NotInForceError) Unwrap() error { return e.Err }

// Error names some of the missing instances and counts the others.
func (e *NotInForceError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("cannot determine where revision %v is in force: %v", revs.Rev(e.Rev), e.Err)
	}
	s := fmt.Sprintf("revision %v is not in force on: %s", revs.Rev(e.Rev), strings.Join(e.Missing, ", "))
	if unnamed := e.NotReached - len(e.Missing); unnamed > 0 {
		s += fmt.Sprintf(" and %d more", unnamed)
	}
	return s
}

// Run runs one command line and returns the exit code.
func (a *App) Run(ctx context.Context, args []string) int {
	err := a.Command().Run(ctx, args)
	if err != nil {
		a.printError(err)
	}
	return ExitCode(err)
}

// ExitCode returns the exit code for an error of a command.
func ExitCode(err error) int {
	var (
		usage       *usageError
		problems    conf.Problems
		conflict    *client.ConflictError
		notInForce  *NotInForceError
		unknown     *client.UnknownOutcomeError
		pathErr     *conf.PathError
		storeBehind *StoreBehindError
		restored    *store.RestoredError
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
	case errors.As(err, &storeBehind), errors.As(err, &restored):
		return ExitStoreBehind
	case errors.As(err, &notInForce):
		return ExitNotInForce
	case errors.As(err, &unknown):
		return ExitUnknownOutcome
	case errors.Is(err, client.ErrNotFound), errors.As(err, &pathErr):
		return ExitNotFound
	}
	return ExitFailed
}

// printError writes err to the error stream. For a conflict it also writes both
// edits, with --output json to the output stream as well.
func (a *App) printError(err error) {
	var conflict *client.ConflictError
	if !errors.As(err, &conflict) {
		a.warn("ebonyctl: %v\n", err)
		return
	}
	ed := conflict.Edit
	race := struct {
		Yours []conf.Change `json:"yours"`
		Other []conf.Change `json:"other"`
		Rev   uint64        `json:"rev"`
	}{diffValues(ed.Kind, ed.Name, ed.Base, ed.Value), diffValues(ed.Kind, ed.Name, ed.Base, conflict.Current.Value), conflict.Current.Rev}
	if a.json {
		// If the output stream fails, the error stream still gets the text below.
		_ = a.emit(race, nil)
	}
	a.warn("ebonyctl: %v\nyour edit, which was not written:\n", err)
	a.printChanges(race.Yours)
	a.warn("the other edit, which is in the store:\n")
	a.printChanges(race.Other)
	a.warn("to apply your edit on top of the other, repeat it with --rev %v\n", revs.Rev(race.Rev))
}

// printChanges writes changes to the error stream, one a line.
func (a *App) printChanges(changes []conf.Change) {
	for _, c := range changes {
		a.warn("  %s\n", c)
	}
}

// warn writes to the error stream. Errors of that stream are ignored, since they
// cannot be reported anywhere.
func (a *App) warn(format string, args ...any) { _, _ = fmt.Fprintf(a.Err, format, args...) }

// diffValues lists the differences between two values of an object. A nil value
// stands for an object that does not exist.
func diffValues(kind conf.Kind, name string, from, to []byte) []conf.Change {
	snapshot := func(v []byte) *conf.Snapshot {
		if v == nil {
			return conf.Empty()
		}
		s, _ := conf.Empty().With(conf.Object{Kind: kind, Name: name, Value: v})
		return s
	}
	return conf.Diff(snapshot(from), snapshot(to))
}

// emit writes v as JSON if --output is json, else the text from writeText.
func (a *App) emit(v any, writeText func(*strings.Builder)) error {
	if a.json {
		enc := json.NewEncoder(a.Out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	var b strings.Builder
	writeText(&b)
	_, err := io.WriteString(a.Out, b.String())
	return err
}

// setup reads the global flags and creates the clients before a command runs.
func (a *App) setup(ctx context.Context, cmd *cli.Command) (context.Context, error) {
	switch out := cmd.String("output"); out {
	case "human", "json":
		a.json = out == "json"
	default:
		return ctx, usagef("--output is %q, must be human or json", out)
	}
	var err error
	if a.objects, err = a.NewObjectAPI(cmd.StringSlice("api")); err != nil {
		return ctx, err
	}
	a.instances, err = a.NewInstanceAPI(cmd.StringSlice("instance"), cmd.String("operator-key"))
	return ctx, err
}
