package main

import (
	"fmt"
	"time"
)

// silentHost: a host writes no entry for 12 s, but serves its flows. A machine is added
// just after the store has removed the entry.
func silentHost(w *world, trouble bool) ([]string, bool, error) {
	s := &service{"tilaus", "idempotent", 100, 15 * time.Millisecond, 0, []int{4, 4, 3, 3}}
	d, err := deploy(w, s, []int{2, 2, 1, 1})
	if err != nil {
		return nil, false, err
	}
	zone := w.zones[0]
	end := time.Now().Add(20 * time.Second)
	for range 40 {
		d.clients[zone].open(d.service, 300*time.Millisecond, end)
		for range 6 {
			d.clients[zone].open(d.service, 6*time.Second, end)
		}
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	h := w.hostsOf(zone)[0]
	if trouble {
		h.setSilent(true)
		w.note("host %s writes no entry any more", h.name)
	}
	time.Sleep(3 * heartbeat)
	if trouble {
		w.store.remove("servers", h.name)
		w.note("the store removed the entry of %s", h.name)
	}
	time.Sleep(300 * time.Millisecond)
	if _, err := w.startInstance(fmt.Sprintf("edge-%s-3", zone), zone, w.ip(1, 11), d.seeds, false); err != nil {
		return nil, false, err
	}
	time.Sleep(8 * time.Second)
	if trouble {
		h.setSilent(false)
		w.note("host %s writes its entry again", h.name)
	}
	time.Sleep(4 * time.Second)
	w.mu.Lock()
	resets, flows, answers := 0, 0, 0
	for _, r := range w.requests {
		if r.host == h.name {
			flows++
			answers += r.answers
		}
		if r.resetOpen {
			resets++
			w.notes = append(w.notes, fmt.Sprintf("%8.3f  open flow %s of host %s was reset by the system after %d answers; the client's last packet went to %s", r.resetAt.Sub(w.began).Seconds(), r.id, r.host, r.answers, r.lastInst))
		}
	}
	w.mu.Unlock()
	return []string{
		fmt.Sprintf("open flows that the system reset, all hosts alive: %d", resets),
		fmt.Sprintf("flows at %s: %d, answers on them: %d", h.name, flows, answers),
	}, resets > 0, nil
}
