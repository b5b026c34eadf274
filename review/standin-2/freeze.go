package main

import (
	"syscall"
	"time"
)

const metricsPort = 9464 // of the deploy file

// coldFreeze: a machine freezes for 4 s and wakes again, four times. An evacuation of its
// zone is taken back soon after.
func coldFreeze(w *world, trouble bool) ([]string, bool, error) {
	s := &service{"kuvasto", "upload", 500, 5 * time.Millisecond, 40, []int{1, 2}}
	w.largest = "edge-" + w.zones[0] + "-1"
	d, err := deploy(w, s, []int{2, 1})
	if err != nil {
		return nil, false, err
	}
	zone := w.zones[0]
	victim := w.instancesOf(zone)[1]
	d.startLoad([]float64{320, 30}, 64*time.Second)
	for range 4 {
		time.Sleep(2 * time.Second)
		w.store.put("evacuations", zone, map[string]any{})
		w.note("evacuation of %s acknowledged", zone)
		time.Sleep(2 * time.Second)
		if trouble {
			victim.signal(syscall.SIGSTOP)
		}
		time.Sleep(4 * time.Second)
		if trouble {
			victim.signal(syscall.SIGCONT)
		}
		time.Sleep(time.Second)
		d.returnZone(zone)
		time.Sleep(5 * time.Second)
	}
	summary, broken := judgeCold(w, s.coldPerS)
	return summary, broken, nil
}
