package main

import (
	"fmt"
	"net/netip"
	"syscall"
	"time"
)

// coldSeeds: the machines that all seeds name are lost, and new machines with these seeds
// take their places. The settings name other seeds 3 s later.
func coldSeeds(w *world, trouble bool) ([]string, bool, error) {
	s := &service{"weigh-archive", "upload", 500, 5 * time.Millisecond, 10, []int{1, 2, 1}}
	d, err := deploy(w, s, []int{3, 3, 2})
	if err != nil {
		return nil, false, err
	}
	zone := w.zones[0]
	d.startLoad([]float64{120, 30, 20}, 30*time.Second)
	w.mu.Lock()
	old := append([]*instance(nil), w.instances...)
	w.mu.Unlock()
	lost := []*instance{old[1], old[2], old[3]}
	if trouble {
		for _, i := range lost {
			i.kill()
			w.removeInstance(i)
		}
		w.note("the machines that the seeds name are lost")
	}
	time.Sleep(2 * time.Second)
	var added []*instance
	for n, i := range lost {
		if !trouble && n == 1 {
			break // in place of three lost machines; the zone then has as many as before
		}
		ip := w.ip(byte(i.data.Addr().As4()[2]), byte(11+n))
		a, err := w.startInstance(fmt.Sprintf("edge-%s-%d", i.zone, 11+n), i.zone, ip, d.seeds, false)
		if err != nil {
			return nil, false, err
		}
		added = append(added, a)
	}
	time.Sleep(time.Second)
	for _, a := range added {
		if err := a.changeSeeds([]netip.AddrPort{old[0].control, old[4].control, old[6].control}); err != nil {
			return nil, false, err
		}
		a.signal(syscall.SIGHUP)
	}
	w.note("the settings of the added machines name other seeds")
	time.Sleep(9 * time.Second)
	w.store.put("evacuations", zone, map[string]any{})
	w.note("evacuation of %s acknowledged", zone)
	time.Sleep(8 * time.Second)
	d.returnZone(zone)
	time.Sleep(4 * time.Second)
	summary, broken := judgeCold(w, s.coldPerS)
	return summary, broken, nil
}
