package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wire"
)

const (
	maxDatagram = 2048
	tickTime    = time.Millisecond
)

// Pool runs many servers in one process, each on its own data address.
type Pool struct {
	Clock   func() time.Time
	Servers []*Server

	mu        sync.Mutex
	conns     []*net.UDPConn
	malformed uint64
}

// Listen opens the data addresses and starts the servers.
func (p *Pool) Listen() error {
	for _, h := range p.Servers {
		c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(h.Addr))
		if err != nil {
			p.close()
			return fmt.Errorf("server %d: %w", h.ID, err)
		}
		p.conns = append(p.conns, c)
		h.Addr = c.LocalAddr().(*net.UDPAddr).AddrPort()
		h.Start(p.Clock())
	}
	return nil
}

func (p *Pool) close() {
	for _, c := range p.conns {
		_ = c.Close()
	}
}

// Run serves until ctx ends, and closes the sockets.
func (p *Pool) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for i := range p.Servers {
		wg.Go(func() { p.receive(i) })
	}
	t := time.NewTicker(tickTime)
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-t.C:
			p.tick()
		}
	}
	p.close()
	wg.Wait()
	return nil
}

func (p *Pool) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, h := range p.Servers {
		p.send(i, h.Tick(p.Clock()))
	}
}

func (p *Pool) receive(i int) {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := p.conns[i].ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		var pkt wire.Packet
		err = wire.Decode(buf[:n], &pkt)
		p.mu.Lock()
		if err != nil {
			p.malformed++
		} else {
			via := netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
			p.send(i, p.Servers[i].Handle(p.Clock(), via, &pkt))
		}
		p.mu.Unlock()
	}
}

// send writes packets. One that the network refuses is lost.
func (p *Pool) send(i int, outs []Outgoing) {
	for j := range outs {
		if b, err := wire.Encode(&outs[j].Packet); err == nil {
			_, _ = p.conns[i].WriteToUDPAddrPort(b, outs[j].To)
		}
	}
}

// Reports returns the report of every server.
func (p *Pool) Reports() []Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Report
	for _, h := range p.Servers {
		out = append(out, h.Report())
	}
	return out
}

// Command acts on one server: "cold", "drain", "undrain", "fallOver" or "move",
// and a Misreport if there is one. After a silent fall into cold start, no instance
// can know of it before the server sheds once, so Margin is the number of
// requests that it may shed in a row without falling over. A move restarts the server for Service under
// Generation.
type Command struct {
	Server    conf.ServerID `json:"server"`
	Do        string        `json:"do,omitempty"`
	Misreport *Misreport    `json:"lie,omitempty"`

	Margin     int            `json:"margin,omitempty"`
	Service    conf.ServiceID `json:"service,omitempty"`
	Generation uint32         `json:"generation,omitempty"`
}

// Apply carries out a command.
func (p *Pool) Apply(c Command) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.find(c.Server)
	if h == nil {
		return fmt.Errorf("server %d does not exist", c.Server)
	}
	if c.Misreport != nil {
		h.Misreport = *c.Misreport
	}
	switch c.Do {
	case "":
	case "cold":
		h.GoCold(p.Clock(), max(c.Margin, h.ColdMargin))
	case "drain", "undrain":
		h.Drain(c.Do == "drain")
	case "fallOver":
		h.FallOver(p.Clock())
	case "move":
		if c.Service == 0 || c.Generation == 0 {
			return fmt.Errorf("move of server %d: service and generation are needed", c.Server)
		}
		h.Service, h.Generation = c.Service, c.Generation
		h.Start(p.Clock())
	default:
		return fmt.Errorf("command %q does not exist", c.Do)
	}
	return nil
}

func (p *Pool) find(id conf.ServerID) *Server {
	for _, h := range p.Servers {
		if h.ID == id {
			return h
		}
	}
	return nil
}

// Handler serves GET /records, GET /health?server=ID and POST /command.
func (p *Pool) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /records", func(w http.ResponseWriter, _ *http.Request) { reply(w, p.Reports()) })
	mux.HandleFunc("GET /health", p.health)
	mux.HandleFunc("POST /command", func(w http.ResponseWriter, r *http.Request) {
		var c Command
		err := json.NewDecoder(r.Body).Decode(&c)
		if err == nil {
			err = p.Apply(c)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
	return mux
}

func (p *Pool) health(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.URL.Query().Get("server"), 10, 32)
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.find(conf.ServerID(id))
	if err != nil || h == nil {
		http.NotFound(w, r)
		return
	}
	now := p.Clock()
	l := h.Load(now)
	reply(w, struct {
		Health   string `json:"health"`
		InFlight uint16 `json:"inFlight"`
		Flows    uint16 `json:"flows"`
		Slots    uint16 `json:"slots"`
	}{h.Health(now), l.InFlight, l.Flows, l.Slots})
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the caller has left if this fails
}
