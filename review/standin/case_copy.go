package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// incompleteCopy: another writer keeps an entry with missing fields that names the
// address of a host, and the host drains.
func incompleteCopy(w *world, trouble bool) (bool, error) {
	for i, zone := range []string{"za", "za", "zb", "zb"} {
		w.addMachine(fmt.Sprintf("edge-%s-%d", zone, i%2+1), zone, 0.4)
	}
	for i, zone := range []string{"za", "za", "zb", "zb"} {
		if _, err := w.startHost([]string{"i-7f3a91c2", "i-20c4e6b1", "i-9be1073d", "i-c05d118a"}[i], "orders", zone, 15*time.Millisecond); err != nil {
			return false, err
		}
	}
	w.configure(7, map[int]string{1: "orders"}, map[int]string{1: "non_idempotent"}, 2000)
	if err := w.startAll(); err != nil {
		return false, err
	}
	l := w.startLoad(10, 200*time.Millisecond, 1, "POST", 900, 2*time.Second)
	time.Sleep(time.Second)
	h := w.hosts[0]
	if trouble {
		spec, _ := json.Marshal(map[string]any{"Service": h.service, "Address": h.addr, "Zone": h.zone, "Capacity": 2, "State": "ready"})
		write := func() { w.store.put("servers", "inv-7f3a91c2", spec, string(spec), true) }
		write()
		w.rec.say("another writer wrote the entry inv-7f3a91c2: %s", spec)
		go func() {
			for range time.Tick(heartbeat) {
				write()
			}
		}()
	}
	time.Sleep(2 * time.Second)
	h.drain()
	time.Sleep(8 * time.Second)
	h.leave()
	time.Sleep(4 * time.Second)
	l.end()
	h.mu.Lock()
	defer h.mu.Unlock()
	w.rec.say("DRAIN: %d openings reached %s later than %v after the acknowledgement, %d of their requests ran", h.lateOpened, h.name, w.drainMs, h.lateRan)
	return h.lateOpened > 0, nil
}
