package fabric

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"time"

	"ebonypaddle/pkg/conf"
)

// Fault holds the simulated faults of the fabric.
type Fault struct {
	// Stop lists instances that get no more packets after a delay.
	Stop []Stop `json:"stop,omitempty"`
	// Duplicate and Reorder are the shares of datagrams, from 0 to 1 and in both
	// directions, that are duplicated or reordered. A reordered datagram is sent
	// after the next one.
	Duplicate float64 `json:"duplicate,omitempty"`
	Reorder   float64 `json:"reorder,omitempty"`
}

// Stop names an instance that gets no more packets once After has passed since
// the fault was set.
type Stop struct {
	Instance netip.AddrPort `json:"instance"`
	After    conf.Duration  `json:"after"`
}

// SetFault replaces the current faults.
func (f *Fabric) SetFault(x Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault, f.faultSetAt = x, f.Clock()
}

// Handler returns a handler for POST /fault and GET /counters.
func (f *Fabric) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", func(w http.ResponseWriter, r *http.Request) {
		var x Fault
		if err := json.NewDecoder(r.Body).Decode(&x); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		f.SetFault(x)
	})
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(f.Counters()) // fails only if the client has disconnected
	})
	return mux
}

// randomInstance returns a random instance that is not stopped, or false if
// there is none. The caller must hold mu.
func (f *Fabric) randomInstance() (netip.AddrPort, bool) {
	stopped := map[netip.AddrPort]bool{}
	for _, s := range f.fault.Stop {
		if f.Clock().Sub(f.faultSetAt) >= time.Duration(s.After) {
			stopped[s.Instance] = true
		}
	}
	var to netip.AddrPort
	n := 0
	for _, a := range f.instances {
		if stopped[a] {
			continue
		}
		if n++; f.Rand.IntN(n) == 0 {
			to = a
		}
	}
	return to, n > 0
}

// sendWithFaults sends a datagram and applies the current faults. The caller must
// hold mu. A datagram that cannot be sent is lost, as on the platform.
func (f *Fabric) sendWithFaults(c *net.UDPConn, to netip.AddrPort, b []byte) {
	send := func() { _, _ = c.WriteToUDPAddrPort(b, to) }
	if f.Rand.Float64() < f.fault.Reorder {
		f.counters.Reordered++
		f.reordered = append(f.reordered, send)
		return
	}
	send()
	if f.Rand.Float64() < f.fault.Duplicate {
		f.counters.Duplicated++
		send()
	}
	f.flushReordered()
}

func (f *Fabric) flushReordered() {
	for _, send := range f.reordered {
		send()
	}
	f.reordered = nil
}

func (f *Fabric) flushLoop(ctx context.Context) {
	t := time.NewTicker(flushInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-t.C:
			f.mu.Lock()
			f.flushReordered()
			f.mu.Unlock()
		}
	}
}
