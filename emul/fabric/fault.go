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

// Fault is what the fabric does wrong.
type Fault struct {
	// Stop names instances that get no packets once After has passed.
	Stop []Stop `json:"stop,omitempty"`
	// Duplicate and Reorder are ratios of datagrams, in both directions. A
	// reordered one is sent after the next datagram.
	Duplicate float64 `json:"duplicate,omitempty"`
	Reorder   float64 `json:"reorder,omitempty"`
}

// Stop takes one instance out of the spray.
type Stop struct {
	Instance netip.AddrPort `json:"instance"`
	After    conf.Duration  `json:"after"`
}

// SetFault replaces the faults.
func (f *Fabric) SetFault(x Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault, f.faultAt = x, f.Clock()
}

// Handler serves POST /fault and GET /counters.
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
		_ = json.NewEncoder(w).Encode(f.Counters()) // the caller has left if this fails
	})
	return mux
}

// pick returns a random instance among those that are not stopped.
func (f *Fabric) pick() (netip.AddrPort, bool) {
	stopped := map[netip.AddrPort]bool{}
	for _, s := range f.fault.Stop {
		if f.Clock().Sub(f.faultAt) >= time.Duration(s.After) {
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

// pass sends a datagram with the faults that are set. The caller holds mu. A
// datagram that the network refuses is lost, as on the platform.
func (f *Fabric) pass(c *net.UDPConn, to netip.AddrPort, b []byte) {
	send := func() { _, _ = c.WriteToUDPAddrPort(b, to) }
	if f.Rand.Float64() < f.fault.Reorder {
		f.count.Reordered++
		f.held = append(f.held, send)
		return
	}
	send()
	if f.Rand.Float64() < f.fault.Duplicate {
		f.count.Duplicated++
		send()
	}
	f.flush()
}

func (f *Fabric) flush() {
	for _, send := range f.held {
		send()
	}
	f.held = nil
}

func (f *Fabric) flushLoop(ctx context.Context) {
	t := time.NewTicker(flushTime)
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-t.C:
			f.mu.Lock()
			f.flush()
			f.mu.Unlock()
		}
	}
}
