package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// silence is how long the host writes no entry.
const silence = 7 * time.Second

// silentHost: a host is slow to report for a while. It lives, reaches everyone and
// serves its flows all the time.
func silentHost(w *world, trouble bool) (bool, error) {
	for i, zone := range []string{"za", "za", "zb", "zb"} {
		w.addMachine(fmt.Sprintf("edge-%s-%d", zone, i%2+1), zone, 0.4)
	}
	for i, zone := range []string{"za", "za", "zb", "zb"} {
		if _, err := w.startHost([]string{"i-7f3a91c2", "i-20c4e6b1", "i-9be1073d", "i-c05d118a"}[i], "feeds", zone, 15*time.Millisecond); err != nil {
			return false, err
		}
	}
	w.configure(7, map[int]string{1: "feeds"}, map[int]string{1: "idempotent"}, 1500)
	if err := w.startAll(); err != nil {
		return false, err
	}
	h := w.hosts[0]
	w.store.onExpire = func(name string, _ time.Time) { w.rec.say("the store removed the entry of %s", name) }
	var broken, done, cut atomic.Int64
	w.onReset = func(k key, by *machine, _ *host) {
		if by == nil || !by.inTouch() {
			return
		}
		if o := w.holder(k); o != nil {
			broken.Add(1)
			w.rec.line("FLOW: %v to %v is open at %s, and %s, in touch, reset it", k.client, k.route, o.name, by.name)
		}
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range 60 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				f, got := w.open(w.route(1))
				for got == answered {
					select {
					case <-stop:
						f.close()
						return
					case <-time.After(150 * time.Millisecond):
					}
					if got = f.request("GET", 0, 1500*time.Millisecond); got == answered {
						done.Add(1)
					} else {
						cut.Add(1)
					}
				}
			}
		}()
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	h.mu.Lock()
	ran := h.ran
	h.cut = trouble
	h.mu.Unlock()
	w.rec.say("host %s has run %d requests; from now on it writes no entry for %v: %v", h.name, ran, silence, trouble)
	time.Sleep(silence)
	h.mu.Lock()
	h.cut = false
	w.rec.say("host %s has run %d requests meanwhile, and writes its entry again", h.name, h.ran-ran)
	h.mu.Unlock()
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	w.rec.say("%d requests answered, %d cut off", done.Load(), cut.Load())
	w.rec.say("FLOW: %d open flows of living hosts reset by machines in touch", broken.Load())
	return broken.Load() > 0, nil
}
