// Command ebonyctl is the operators' client of ebonypaddle.
package main

import (
	"context"
	crand "crypto/rand"
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"time"

	"ebonypaddle/ebonyctl/client"
	"ebonypaddle/ebonyctl/verbs"
	"ebonypaddle/pkg/wait"
)

// callTime bounds one call of the object API.
const callTime = 5 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	var seed [32]byte
	_, _ = crand.Read(seed[:]) // It never fails; see crypto/rand.
	rnd := rand.New(rand.NewChaCha8(seed))
	app := &verbs.App{
		Out: os.Stdout, Err: os.Stderr,
		Rand:  rnd,
		Now:   time.Now,
		Pause: wait.For,
		DialObjects: func(base []string) (client.Objects, error) {
			return client.Dial(base, &http.Client{}, rnd, wait.For), nil
		},
		DialInstances: dialInstances,
	}
	code := app.Run(ctx, os.Args)
	stop()
	os.Exit(code)
}

// dialInstances returns a client of the instances' admin service. The key is
// the operator key in base64, as in the process settings.
func dialInstances(addrs []string, key string) (client.Instances, error) {
	raw, err := base64.StdEncoding.DecodeString(key)
	if err != nil {
		return nil, fmt.Errorf("operator key: %w", err)
	}
	return &client.Fleet{Addrs: addrs, Key: raw, Client: &http.Client{Timeout: callTime}}, nil
}
