package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// stormGap is gap_s of the changes of the configuration.
	stormGap = 330 * time.Millisecond
	// rollGap is gap_s of the machines that are stopped and started in turn, rounds
	// how often all of them are.
	rollGap = 1300 * time.Millisecond
	rounds  = 4
	// rollJitter is the largest random addition to rollGap, so that the restarts are
	// not in step with the routers' checks and the changes.
	rollJitter = 500 * time.Millisecond
	// clientsPerRoute is the number of clients that keep a flow open on each added
	// route, for clientTime.
	clientsPerRoute = 24
	clientTime      = 3 * time.Second
)

// rolledMachines: machines are stopped and started in turn while the configuration
// changes in quick succession and adds routes, on which clients open flows.
func rolledMachines(w *world, trouble bool) (bool, error) {
	for i, cpu := range []float64{0.088, 0.088, 0.4, 0.088} {
		w.addMachine(fmt.Sprintf("edge-za-%d", i+1), "za", cpu)
	}
	for _, name := range []string{"i-7f3a91c2", "i-20c4e6b1", "i-9be1073d", "i-c05d118a"} {
		if _, err := w.startHost(name, "feeds", "za", 5*time.Millisecond); err != nil {
			return false, err
		}
	}
	version := 7
	routes, kinds := map[int]string{1: "feeds"}, map[int]string{1: "idempotent"}
	w.configure(version, routes, kinds, 1500)
	if err := w.startAll(); err != nil {
		return false, err
	}
	var broken, done, cut atomic.Int64
	w.onReset = func(k key, by *machine, _ *host) {
		if by == nil {
			return
		}
		if h := w.holder(k); h != nil {
			broken.Add(1)
			w.rec.line("FLOW: %v to %v is open at %s, and %s reset it", k.client, k.route, h.name, by.name)
		}
	}
	var wg sync.WaitGroup
	client := func(route int) {
		defer wg.Done()
		for end := time.Now().Add(clientTime); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
			f, got := w.open(w.route(route))
			for got == answered && time.Now().Before(end) {
				time.Sleep(60 * time.Millisecond)
				if got = f.request("GET", 0, 1500*time.Millisecond); got == answered {
					done.Add(1)
				} else {
					cut.Add(1)
				}
			}
			if got == answered {
				f.close()
			}
		}
	}
	rolled := make(chan error, 1)
	go func() {
		time.Sleep(500 * time.Millisecond)
		for range rounds {
			for _, m := range w.machines {
				if !trouble {
					time.Sleep(rollGap)
				} else if err := m.restart(); err != nil {
					rolled <- err
					return
				}
				time.Sleep(rollGap + time.Duration(rand.Int64N(int64(rollJitter))))
			}
		}
		close(rolled)
	}()
	var err error
	for n := 2; ; n++ {
		select {
		case err = <-rolled:
			wg.Wait()
			w.rec.say("%d routes added; %d requests on them answered, %d cut off", n-2, done.Load(), cut.Load())
			w.rec.say("FLOW: %d open flows of living hosts reset by machines of the system, under planned work only", broken.Load())
			return broken.Load() > 0, err
		case <-time.After(stormGap):
		}
		version += 2
		routes[n], kinds[n] = "feeds", "idempotent"
		w.configure(version, routes, kinds, 1500)
		for range clientsPerRoute {
			wg.Add(1)
			go client(n)
		}
	}
}
