package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// addedRoute: while the configuration changes in quick succession, one machine
// freezes, and a route is added. Flows of that route move to other machines.
func addedRoute(w *world, trouble bool) (bool, error) {
	for i := range 8 {
		cpu := 0.088
		switch i {
		case 0:
			cpu = 0.8
		case 1:
			cpu = 0.4
		}
		w.addMachine(fmt.Sprintf("edge-za-%d", i+1), "za", cpu)
	}
	for _, name := range []string{"i-7f3a91c2", "i-20c4e6b1", "i-9be1073d", "i-c05d118a", "i-4410fa02", "i-e93b5d77"} {
		if _, err := w.startHost(name, "feeds", "za", 15*time.Millisecond); err != nil {
			return false, err
		}
	}
	version, timeout := 7, 2000
	routes, kinds := map[int]string{1: "feeds"}, map[int]string{1: "idempotent", 2: "idempotent"}
	w.configure(version, routes, kinds, timeout)
	for _, m := range w.machines {
		if err := m.start(true); err != nil {
			return false, err
		}
	}
	go w.pollReady()
	if err := w.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contact + 2*time.Second)

	var broken, resets atomic.Int64
	w.onReset = func(k key, by *machine, _ *host) {
		if by == nil {
			return
		}
		if h := w.holder(k); h != nil {
			resets.Add(1)
			if by.inTouch() {
				broken.Add(1)
				w.rec.line("FLOW: %v to %v is open at %s, and %s, in touch, reset it", k.client, k.route, h.name, by.name)
			}
		}
	}
	var wg sync.WaitGroup
	var opened, done, cut atomic.Int64
	stop := make(chan struct{})
	client := func() {
		defer wg.Done()
		for {
			f, end := w.open(w.route(2))
			for end == answered {
				opened.CompareAndSwap(0, 1)
				select {
				case <-stop:
					f.close()
					return
				case <-time.After(150 * time.Millisecond):
				}
				if end = f.request("GET", 0, 1500*time.Millisecond); end == answered {
					done.Add(1)
				} else if end == reset {
					cut.Add(1)
				}
			}
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	}
	frozen := w.machines[1]
	for step := range 12 { // a storm of 4 s
		if step == 3 && trouble {
			frozen.signal(syscall.SIGSTOP)
			frozen.disturb(4 * time.Second)
		}
		if step == 4 {
			routes[2] = "feeds"
			w.rec.say("the configuration adds route %v", w.route(2))
			for range 60 {
				wg.Add(1)
				go client()
			}
		} else {
			timeout += 10
		}
		version += 3
		w.configure(version, routes, kinds, timeout)
		time.Sleep(330 * time.Millisecond)
	}
	time.Sleep(1040 * time.Millisecond)
	if trouble {
		frozen.signal(syscall.SIGCONT)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	w.rec.say("%d requests of flows of the new route answered, %d cut off by a reset", done.Load(), cut.Load())
	w.rec.say("FLOW: %d open flows of living hosts reset by machines of the system, %d by machines in touch", resets.Load(), broken.Load())
	return broken.Load() > 0, nil
}
