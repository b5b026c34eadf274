package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const metricsPort = 9464 // of the deploy file

// reads reports whether an instance reads the store for others, by its own metrics.
func (i *instance) reads() (bool, error) {
	res, err := http.Get(fmt.Sprintf("http://%v:%d/debug/vars", i.data.Addr(), metricsPort))
	if err != nil {
		return false, err
	}
	defer res.Body.Close()
	var v struct {
		Ebonypaddle struct {
			Facts struct{ Reads bool }
		}
	}
	err = json.NewDecoder(res.Body).Decode(&v)
	return v.Ebonypaddle.Facts.Reads, err
}

// coldFreeze: an instance that does not read the store stands still for 4 s, while an
// operator evacuates its zone and takes that back.
func coldFreeze(w *world, trouble bool) ([]string, bool, error) {
	s := &service{"tilaus", "idempotent", 100, 15 * time.Millisecond, 5, []int{4, 4, 3, 3}}
	d, err := deploy(w, s, []int{2, 2, 1, 1})
	if err != nil {
		return nil, false, err
	}
	zone := w.zones[0]
	d.startLoad([]float64{120, 30, 30, 30}, 14*time.Second)
	time.Sleep(2 * time.Second)
	var victim *instance
	for _, i := range w.instancesOf(zone) {
		reads, err := i.reads()
		if err != nil {
			return nil, false, err
		}
		if !reads {
			victim = i
		}
	}
	if trouble {
		victim.signal(syscall.SIGSTOP)
	}
	time.Sleep(300 * time.Millisecond)
	w.store.put("evacuations", zone, map[string]any{})
	w.note("evacuation of %s acknowledged", zone)
	time.Sleep(3600 * time.Millisecond)
	d.returnZone(zone)
	time.Sleep(50 * time.Millisecond)
	if trouble {
		victim.signal(syscall.SIGCONT)
	}
	time.Sleep(4 * time.Second)
	summary, broken := judgeCold(w, s.coldPerS)
	return summary, broken, nil
}

// coldRestart: a host crashes and starts again under its Id while the store is down.
func coldRestart(w *world, trouble bool) ([]string, bool, error) {
	s := &service{"tilaus", "idempotent", 100, 15 * time.Millisecond, 5, []int{4, 4, 3, 3}}
	d, err := deploy(w, s, []int{2, 2, 1, 1})
	if err != nil {
		return nil, false, err
	}
	zone := w.zones[0]
	d.startLoad([]float64{120, 30, 30, 30}, 14*time.Second)
	time.Sleep(2 * time.Second)
	if trouble {
		w.store.setDown(true)
		w.note("the store is down")
	}
	time.Sleep(300 * time.Millisecond)
	h := w.hostsOf(zone)[1]
	h.crash()
	w.note("host %s crashed", h.name)
	time.Sleep(50 * time.Millisecond)
	if err := h.start(heartbeat, warmup); err != nil {
		return nil, false, err
	}
	w.addCold(h.name, time.Now(), time.Now().Add(warmup))
	w.note("host %s started again", h.name)
	time.Sleep(3500 * time.Millisecond)
	w.store.setDown(false)
	w.note("the store is back")
	time.Sleep(3 * time.Second)
	summary, broken := judgeCold(w, s.coldPerS)
	return summary, broken, nil
}
