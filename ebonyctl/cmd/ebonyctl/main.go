// Command ebonyctl is the operators' client of ebonypaddle.
package main

import (
	"context"
	crand "crypto/rand"
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"time"

	"ebonypaddle/ebonyctl/client"
	"ebonypaddle/ebonyctl/verbs"
	"ebonypaddle/pkg/conf"
)

// callTime bounds one call of the object API.
const callTime = 5 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	var seed [32]byte
	_, _ = crand.Read(seed[:]) // It never fails; see crypto/rand.
	app := &verbs.App{
		Out: os.Stdout, Err: os.Stderr,
		Rand:          rand.New(rand.NewChaCha8(seed)),
		Now:           time.Now,
		Pause:         pause,
		DialObjects:   dialObjects,
		DialInstances: dialInstances,
	}
	code := app.Run(ctx, os.Args)
	stop()
	os.Exit(code)
}

func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// dialObjects returns the object API over HTTP.
func dialObjects(base []string) (client.Objects, error) {
	return &client.HTTP{Base: base, Client: &http.Client{Timeout: callTime}}, nil
}

// dialInstances returns a client of the instances' admin service.
func dialInstances([]string, string) (client.Instances, error) {
	return unreachable{}, nil
}

// errNoAdmin reports that this build speaks no admin protocol.
var errNoAdmin = errors.New("this build has no client for the admin service of instances")

// unreachable answers as if no instance were reachable.
type unreachable struct{}

func (unreachable) Status(context.Context) ([]client.Status, error) { return nil, errNoAdmin }

func (unreachable) Watch(context.Context, uint64) (client.Progress, error) {
	return client.Progress{}, errNoAdmin
}

func (unreachable) Notify(context.Context, conf.Object) (int, error) { return 0, errNoAdmin }
