package main

import (
	"fmt"
	"syscall"
	"time"
)

// lapsedEntry: a host can't reach the store any more, so its entry is removed after
// three heartbeat intervals; a machine freezes just before.
func lapsedEntry(w *world, trouble bool) (bool, error) {
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
	for _, name := range []string{"i-7f3a91c2", "i-20c4e6b1", "i-9be1073d", "i-c05d118a"} {
		if _, err := w.startHost(name, "orders", "za", 15*time.Millisecond); err != nil {
			return false, err
		}
	}
	w.configure(7, map[int]string{1: "orders"}, map[int]string{1: "non_idempotent"}, 2000)
	if err := w.startAll(); err != nil {
		return false, err
	}
	h, frozen := w.hosts[0], w.machines[1]
	w.store.onExpire = func(name string, at time.Time) {
		if name == h.name {
			h.mu.Lock()
			h.acknowledgedAt = at
			h.mu.Unlock()
			w.rec.say("the store removed the entry of %s", name)
		}
	}
	l := w.startLoad(20, 100*time.Millisecond, 1, "POST", 900, 2*time.Second)
	time.Sleep(time.Second)
	h.mu.Lock()
	h.cut = true
	removal := h.writtenAt.Add(3 * heartbeat)
	h.mu.Unlock()
	w.rec.say("host %s can't reach the store any more", h.name)
	time.Sleep(time.Until(removal.Add(-100 * time.Millisecond)))
	if trouble {
		frozen.signal(syscall.SIGSTOP)
		frozen.disturb(4 * time.Second)
	}
	time.Sleep(4 * time.Second)
	if trouble {
		frozen.signal(syscall.SIGCONT)
	}
	time.Sleep(2 * time.Second)
	l.end()
	h.mu.Lock()
	defer h.mu.Unlock()
	w.rec.say("DRAIN: %d openings reached %s later than %v after its entry was removed, through machines in touch", h.lateOpened, h.name, w.drainMs)
	return h.lateOpened > 0, nil
}
