package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// equalTokens: two hosts whose ids have the same first token serve long flows, and
// machines are stopped and started in turn.
func equalTokens(w *world, trouble bool) (bool, error) {
	for i := range 4 {
		w.addMachine(fmt.Sprintf("edge-za-%d", i+1), "za", 0.4)
	}
	for _, name := range []string{"i-f4935071de", "i-1abaaaf08b"} {
		if _, err := w.startHost(name, "feeds", "za", 15*time.Millisecond); err != nil {
			return false, err
		}
	}
	w.configure(7, map[int]string{1: "feeds"}, map[int]string{1: "idempotent"}, 4000)
	for _, m := range w.machines {
		if err := m.start(true); err != nil {
			return false, err
		}
	}
	go w.pollReady()
	if err := w.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	// 0xf4 ^ 0x935071de == 0x4f ^ 0x93507165
	if _, err := w.startHost("i-4f93507165", "feeds", "za", 15*time.Millisecond); err != nil {
		return false, err
	}
	time.Sleep(contact)
	var broken atomic.Int64
	w.onReset = func(k key, by *machine, from *host) {
		if h := w.holder(k); h != nil && h != from {
			broken.Add(1)
			sender := ""
			if by != nil {
				sender = by.name
			}
			if from != nil {
				sender = from.name
			}
			w.rec.line("FLOW: %v to %v is open at %s, and the client gets a reset from %s", k.client, k.route, h.name, sender)
		}
	}
	var wg sync.WaitGroup
	var done, cut atomic.Int64
	stop := make(chan struct{})
	client := func() {
		defer wg.Done()
		for {
			f, end := w.open(w.route(1))
			for end == answered {
				select {
				case <-stop:
					f.close()
					return
				case <-time.After(150 * time.Millisecond):
				}
				if end = f.request("GET", 0, 4*time.Second); end == answered {
					done.Add(1)
				} else {
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
	for range 150 {
		wg.Add(1)
		go client()
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	w.rec.say("%d requests answered, %d cut off", done.Load(), cut.Load())
	if trouble {
		for _, m := range w.machines[1:3] { // two of four, one at a time
			if err := m.restart(); err != nil {
				return false, err
			}
			time.Sleep(1300 * time.Millisecond)
		}
	}
	time.Sleep(6 * time.Second)
	close(stop)
	wg.Wait()
	w.rec.say("%d requests answered, %d cut off", done.Load(), cut.Load())
	w.rec.say("FLOW: %d resets of open flows that the flow's host did not send", broken.Load())
	return broken.Load() > 0, nil
}
