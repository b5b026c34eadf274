package main

import (
	"fmt"
	"net"
	"net/netip"
	"syscall"
	"time"
)

const applyTime = 3 * time.Second // ApplyMs

// movedStore: the store gets another address. The settings files name it, and the old
// address answers for 10 s more.
func movedStore(w *world, trouble bool) ([]string, bool, error) {
	s := &service{"tilaus", "idempotent", 100, 15 * time.Millisecond, 0, []int{4, 4, 3, 3}}
	d, err := deploy(w, s, []int{2, 2, 1, 1})
	if err != nil {
		return nil, false, err
	}
	other := &service{"kuvasto", "upload", 500, 5 * time.Millisecond, 0, []int{1, 1, 1, 1}}
	if err := d.addHosts(other); err != nil {
		return nil, false, err
	}
	w.configure([]*service{s, other}, route{d.service, s})
	d.startLoad([]float64{30, 30, 30, 30}, 26*time.Second)
	if trouble {
		old := w.store.listener
		addr := netip.AddrPortFrom(w.ip(200, 2), w.storePort)
		l, err := net.Listen("tcp4", addr.String())
		if err != nil {
			return nil, false, err
		}
		go func() { _ = w.store.srv.Serve(l) }() // ends with the program
		w.store.addr = addr
		for _, i := range w.instances {
			if _, err := i.writeSettings(false); err != nil {
				return nil, false, err
			}
			i.signal(syscall.SIGHUP)
		}
		w.note("the settings name the store's new address")
		time.Sleep(10 * time.Second)
		_ = old.Close()
		w.store.closeAt(old.Addr().String())
		w.note("the old address is closed")
	} else {
		time.Sleep(10 * time.Second)
	}
	time.Sleep(6 * time.Second)
	w.configure([]*service{s, other}, route{d.service, other})
	acked := time.Now()
	time.Sleep(8 * time.Second)
	late, total := 0, 0
	w.mu.Lock()
	for _, r := range w.requests {
		if r.at.Sub(acked) <= applyTime || len(r.runs) == 0 {
			continue
		}
		total++
		for _, h := range w.hosts {
			if h.name == r.runs[0] && h.service == s.name {
				late++
			}
		}
	}
	w.mu.Unlock()
	sent, ok, failed, runs := w.counts()
	return []string{
		fmt.Sprintf("requests sent later than %v after the acknowledgement that ran: %d, of these by the old service: %d", applyTime, total, late),
		fmt.Sprintf("requests: %d sent, %d answered with 200, %d not, %d runs", sent, ok, failed, runs),
	}, late > 0, nil
}
