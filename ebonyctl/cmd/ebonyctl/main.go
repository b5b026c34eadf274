// Command ebonyctl is the command-line client with which operators read and change
// the settings of ebonypaddle.
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

// requestTimeout bounds one request to the admin service of an instance.
const requestTimeout = 5 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	var seed [32]byte
	_, _ = crand.Read(seed[:]) // crypto/rand.Read never returns an error.
	rnd := rand.New(rand.NewChaCha8(seed))
	app := &verbs.App{
		Out: os.Stdout, Err: os.Stderr,
		Rand:  rnd,
		Now:   time.Now,
		Sleep: wait.For,
		NewObjectAPI: func(baseURLs []string) (client.ObjectAPI, error) {
			return client.NewObjectClient(baseURLs, &http.Client{}, rnd, wait.For), nil
		},
		NewInstanceAPI: newInstanceClient,
	}
	code := app.Run(ctx, os.Args)
	stop()
	os.Exit(code)
}

// newInstanceClient returns a client of the instances' admin service. key is the
// operator key in base64, as in the process settings of an instance.
func newInstanceClient(addrs []string, key string) (client.InstanceAPI, error) {
	raw, err := base64.StdEncoding.DecodeString(key)
	if err != nil {
		return nil, fmt.Errorf("operator key: %w", err)
	}
	return &client.InstanceClient{Addrs: addrs, Key: raw, HTTP: &http.Client{Timeout: requestTimeout}}, nil
}
