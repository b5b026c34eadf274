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
	maxDatagramBytes = 2048
	tickInterval     = time.Millisecond
)

// Pool runs many servers in one process, each on its own data address. The
// exported fields must be set before Listen is called.
type Pool struct {
	Clock   func() time.Time
	Servers []*Server

	mu        sync.Mutex
	conns     []*net.UDPConn
	malformed uint64
}

// Listen opens the sockets of the data addresses and starts the servers.
func (p *Pool) Listen() error {
	for _, s := range p.Servers {
		c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.Addr))
		if err != nil {
			p.close()
			return fmt.Errorf("server %d: %w", s.ID, err)
		}
		p.conns = append(p.conns, c)
		s.Addr = c.LocalAddr().(*net.UDPAddr).AddrPort()
		s.Start(p.Clock())
	}
	return nil
}

func (p *Pool) close() {
	for _, c := range p.conns {
		_ = c.Close()
	}
}

// Run serves until ctx ends, then closes the sockets.
func (p *Pool) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for i := range p.Servers {
		wg.Go(func() { p.receive(i) })
	}
	t := time.NewTicker(tickInterval)
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
	for i, s := range p.Servers {
		p.send(i, s.Tick(p.Clock()))
	}
}

func (p *Pool) receive(i int) {
	buf := make([]byte, maxDatagramBytes)
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
			instance := netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
			p.send(i, p.Servers[i].Handle(p.Clock(), instance, &pkt))
		}
		p.mu.Unlock()
	}
}

// send sends packets from server i. A packet that cannot be sent is lost.
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
	for _, s := range p.Servers {
		out = append(out, s.Report())
	}
	return out
}

// Command is a command to one server. Do is "cold", "drain", "undrain",
// "fallOver", "move" or empty; a Misreport replaces the server's current one.
//
// "cold" puts the server into cold start without a restart. Instances cannot
// detect this before the server sheds a request, so Margin is the number of
// requests that it may shed in a row without falling over, if it is above the
// configured ColdMargin. "move" restarts the server as part of Service with
// Generation.
type Command struct {
	Server    conf.ServerID `json:"server"`
	Do        string        `json:"do,omitempty"`
	Misreport *Misreport    `json:"lie,omitempty"`

	Margin     int            `json:"margin,omitempty"`
	Service    conf.ServiceID `json:"service,omitempty"`
	Generation uint32         `json:"generation,omitempty"`
}

// Apply executes a command. It fails if the server or the command does not
// exist, or if a move names no service or generation.
func (p *Pool) Apply(c Command) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.server(c.Server)
	if s == nil {
		return fmt.Errorf("command: server %d does not exist", c.Server)
	}
	if c.Misreport != nil {
		s.Misreport = *c.Misreport
	}
	switch c.Do {
	case "":
	case "cold":
		s.GoCold(p.Clock(), max(c.Margin, s.ColdMargin))
	case "drain", "undrain":
		s.Drain(c.Do == "drain")
	case "fallOver":
		s.FallOver(p.Clock())
	case "move":
		if c.Service == 0 || c.Generation == 0 {
			return fmt.Errorf("command: move of server %d requires service and generation", c.Server)
		}
		s.Service, s.Generation = c.Service, c.Generation
		s.Start(p.Clock())
	default:
		return fmt.Errorf("command %q does not exist", c.Do)
	}
	return nil
}

func (p *Pool) server(id conf.ServerID) *Server {
	for _, s := range p.Servers {
		if s.ID == id {
			return s
		}
	}
	return nil
}

// Handler serves GET /records, GET /health?server=ID and POST /command.
func (p *Pool) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /records", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Reports()) })
	mux.HandleFunc("GET /health", p.handleHealth)
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

func (p *Pool) handleHealth(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.URL.Query().Get("server"), 10, 32)
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.server(conf.ServerID(id))
	if err != nil || s == nil {
		http.NotFound(w, r)
		return
	}
	now := p.Clock()
	l := s.Load(now)
	writeJSON(w, struct {
		Health   string `json:"health"`
		InFlight uint16 `json:"inFlight"`
		Flows    uint16 `json:"flows"`
		Slots    uint16 `json:"slots"`
	}{s.Health(now), l.InFlight, l.Flows, l.Slots})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}
