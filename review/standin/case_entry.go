package main

import (
	"encoding/json"
	"strings"
	"syscall"
	"time"
)

// unreadableEntry: another writer writes one entry of kind servers whose content
// can't be read, and a host drains a second later.
func unreadableEntry(w *world, trouble bool) (bool, error) {
	for i, zone := range []string{"za", "za", "zb", "zb"} {
		w.addMachine([]string{"edge-za-1", "edge-za-2", "edge-zb-1", "edge-zb-2"}[i], zone, 0.4)
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
	deep := strings.Repeat("[", 12000) + strings.Repeat("]", 12000)
	write := func() { w.store.put("servers", "i-0badc0de", json.RawMessage(deep), deep, true) }
	if trouble {
		write()
		w.rec.say("another writer wrote the entry i-0badc0de once, %d bytes", len(deep))
	}
	time.Sleep(time.Second)
	h := w.hosts[0]
	h.drain()
	time.Sleep(8 * time.Second)
	h.leave()
	time.Sleep(3 * time.Second)
	l.end()
	h.mu.Lock()
	late, ran := h.lateOpened, h.lateRan
	h.mu.Unlock()
	w.rec.say("DRAIN: %d openings reached %s later than %v after the acknowledgement, %d of their requests ran", late, h.name, w.drainMs, ran)
	return late > 0, w.observeRestart(trouble, write)
}

// observeRestart records how many machines become ready after all processes were
// killed while another writer keeps its entry. This is not judged.
func (w *world) observeRestart(trouble bool, write func()) error {
	if trouble {
		write()
		go func() {
			for range time.Tick(heartbeat) {
				write()
			}
		}()
	}
	for _, m := range w.machines {
		m.signal(syscall.SIGKILL)
	}
	for _, m := range w.machines {
		<-m.exited
	}
	time.Sleep(1500 * time.Millisecond) // the routers take them out of rotation
	for _, m := range w.machines {
		if err := m.start(false); err != nil {
			return err
		}
	}
	time.Sleep(15 * time.Second)
	ready := 0
	for _, m := range w.machines {
		if m.inRotation.Load() {
			ready++
		}
	}
	w.rec.say("not judged: 15 s after all processes were killed and started, %d of %d machines are ready", ready, len(w.machines))
	return nil
}
