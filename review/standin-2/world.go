package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	coldOver  = 1.5
	coldSlack = 5
	warmup    = 2 * time.Second
)

// world holds the stand-ins of one run and the record of what happened.
type world struct {
	dir     string
	command []string
	block   byte // second byte of all addresses, 127.block.x.y
	began   time.Time
	zones   []string
	largest string // name of the machine with the most processor time
	store   *store
	fabrics map[string]*fabric

	dataPort, readyPort, controlPort, hostPort, storePort uint16
	misdirected, forged                                   atomic.Int64

	// coldBound is the number of requests in a second that a cold host bears, 0 for any.
	coldBound float64

	mu        sync.Mutex
	instances []*instance
	hosts     []*host
	requests  []*request
	byFlow    map[flowKey]*request
	notes     []string
	cold      []coldTime
	version   int
}

// coldTime is a time in which a host was cold.
type coldTime struct {
	host     string
	from, to time.Time
}

// request is one attempt of a client.
type request struct {
	w        *world
	id, zone string
	key      flowKey
	at       time.Time
	instance string // to which the latest SYN went

	sentAt     []time.Time // of the SYNs
	arrivedAt  time.Time   // of the SYN at the host that opened the flow
	arrivals   []arrival
	host       string
	openAt     time.Time
	closedAt   time.Time
	runs       []string
	status     string // of the latest answer
	answers    int
	failure    string
	resetOpen  bool // a reset of the system came while the flow was open
	resetAt    time.Time
	handshaken bool
	lastInst   string // to which the latest packet went
}

type arrival struct {
	host string
	at   time.Time
}

func newWorld(zones ...string) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	command, err := runCommand()
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, command: command, began: time.Now(), zones: zones, fabrics: map[string]*fabric{}, byFlow: map[flowKey]*request{}}
	if err := w.choosePorts(); err != nil {
		return nil, err
	}
	if w.store, err = startStore(netip.AddrPortFrom(w.ip(200, 1), w.storePort)); err != nil {
		return nil, err
	}
	for _, z := range zones {
		w.fabrics[z] = &fabric{w: w, zone: z, misses: map[*instance]int{}}
		go w.fabrics[z].check()
	}
	return w, nil
}

func (w *world) ip(x, y byte) netip.Addr { return netip.AddrFrom4([4]byte{127, w.block, x, y}) }

// choosePorts chooses a block of loopback addresses and ports that are free there.
func (w *world) choosePorts() error {
	for range 100 {
		w.block = byte(10 + rand.IntN(200))
		// Two scenes at once take different blocks.
		lock, err := net.Listen("tcp4", netip.AddrPortFrom(w.ip(250, 1), metricsPort).String())
		if err != nil {
			continue
		}
		ports := []*uint16{&w.dataPort, &w.readyPort, &w.controlPort, &w.hostPort, &w.storePort}
		free := true
		base := uint16(12000 + rand.IntN(15000))
		for n, p := range ports {
			*p = base + uint16(n)
			for _, ip := range []netip.Addr{w.ip(1, 1), w.ip(200, 1), netip.AddrFrom4([4]byte{127, 0, 0, 1})} {
				l, err := net.Listen("tcp4", netip.AddrPortFrom(ip, *p).String())
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return nil // the lock is held until the program ends
		}
		_ = lock.Close()
	}
	return fmt.Errorf("no free ports")
}

func (w *world) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notes = append(w.notes, line)
}

// allReady returns an error unless all instances are ready.
func (w *world) allReady() error {
	client := &http.Client{Timeout: time.Second}
	w.mu.Lock()
	instances := append([]*instance(nil), w.instances...)
	w.mu.Unlock()
	for _, i := range instances {
		res, err := client.Get("http://" + i.ready.String() + "/v1/ready")
		if err != nil {
			return err
		}
		_ = res.Body.Close()
		if res.StatusCode != http.StatusOK {
			return fmt.Errorf("%s is not ready: %s", i.name, res.Status)
		}
	}
	return nil
}

func (w *world) instancesOf(zone string) []*instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*instance
	for _, i := range w.instances {
		if i.zone == zone {
			out = append(out, i)
		}
	}
	return out
}

func (w *world) addCold(host string, from, to time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cold = append(w.cold, coldTime{host, from, to})
}

func (w *world) newRequest(zone string, k flowKey) *request {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := &request{w: w, id: fmt.Sprintf("%08x%04x", rand.Uint32(), len(w.requests)), zone: zone, key: k, at: time.Now()}
	w.requests = append(w.requests, r)
	w.byFlow[k] = r
	return r
}

// locked calls f with the world locked.
func (r *request) locked(f func()) {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	f()
}

func (r *request) synSent(t time.Time) { r.locked(func() { r.sentAt = append(r.sentAt, t) }) }
func (r *request) handshake()          { r.locked(func() { r.handshaken = true }) }
func (r *request) answered(s string)   { r.locked(func() { r.status, r.answers = s, r.answers+1 }) }
func (r *request) failed(s string)     { r.locked(func() { r.failure = s }) }

func (r *request) sentThrough(inst string) { r.locked(func() { r.lastInst = inst }) }

// reset records a reset that the client took.
func (r *request) reset(own, open bool) {
	r.locked(func() {
		r.resetAt = time.Now()
		r.resetOpen = own && open
	})
}

// arrived records that a host took an opening packet.
func (w *world) arrived(h *host, k flowKey, _ uint32) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.byFlow[k]; r != nil {
		r.arrivals = append(r.arrivals, arrival{h.name, time.Now()})
	}
}

// opened records at which host a flow is open.
func (w *world) opened(h *host, k flowKey) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.byFlow[k]; r != nil {
		r.host, r.openAt = h.name, time.Now()
		for _, a := range r.arrivals {
			if a.host == h.name {
				r.arrivedAt = a.at
			}
		}
	}
}

func (w *world) closed(h *host, k flowKey) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.byFlow[k]; r != nil && r.host == h.name {
		r.closedAt = time.Now()
	}
}

func (w *world) ran(h *host, k flowKey) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.byFlow[k]; r != nil {
		r.runs = append(r.runs, h.name)
	}
}

// load sends requests at a rate from a zone until the time is over.
func (w *world) load(zone string, c *client, service netip.AddrPort, perSecond float64, until time.Time) {
	gap := time.Duration(float64(time.Second) / perSecond)
	next := time.Now()
	for time.Now().Before(until) {
		c.request(service)
		next = next.Add(time.Duration(float64(gap) * (0.5 + rand.Float64())))
		time.Sleep(time.Until(next))
	}
}

// route is a route of the configuration.
type route struct {
	addr    netip.AddrPort
	service *service
}

// configure writes a configuration.
func (w *world) configure(services []*service, routes ...route) {
	w.version += 1 + rand.IntN(5)
	var rs, ss []map[string]any
	for n, r := range routes {
		rs = append(rs, map[string]any{
			"Name": fmt.Sprint("r-", n), "Host": r.addr.Addr().String(), "Prefix": fmt.Sprintf("/%d/", r.addr.Port()), "Kind": r.service.kind,
			"TimeoutMs": 2000, "GoalMs": r.service.goal, "Priority": 1, "Service": r.service.name, "MaxAttempts": 2,
		})
	}
	for _, s := range services {
		ss = append(ss, map[string]any{"Name": s.name, "HealthPath": "/health", "MaxConns": 2000, "Protocol": "h1", "Tls": false, "WarmupS": warmup.Seconds(), "ColdPerS": s.coldPerS})
	}
	w.store.put("config", "main", map[string]any{
		"Version": w.version, "Routes": rs, "Services": ss,
		"Limits": map[string]any{"HeaderBytes": 16384, "BodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	w.note("configuration %d acknowledged", w.version)
}

// worstSecond is the second in which a cold host took most opening packets.
type worstSecond struct {
	host   string
	n      int
	at     time.Time
	byInst map[string]int
}

// coldest returns for each host the second of its cold times in which most opening
// packets were sent and arrived.
func (w *world) coldest() []worstSecond {
	w.mu.Lock()
	defer w.mu.Unlock()
	type open struct {
		sent, arrived time.Time
		inst          string
	}
	perHost := map[string][]open{}
	for _, r := range w.requests {
		if r.host == "" || len(r.sentAt) == 0 {
			continue
		}
		sent := r.sentAt[0]
		for _, t := range r.sentAt {
			if t.Before(r.arrivedAt) {
				sent = t
			}
		}
		for _, c := range w.cold {
			if c.host == r.host && sent.After(c.from) && r.arrivedAt.Before(c.to) {
				perHost[r.host] = append(perHost[r.host], open{sent, r.arrivedAt, r.instance})
			}
		}
	}
	var out []worstSecond
	for host, opens := range perHost {
		sort.Slice(opens, func(a, b int) bool { return opens[a].sent.Before(opens[b].sent) })
		worst := worstSecond{host: host}
		for _, first := range opens {
			n, by := 0, map[string]int{}
			for _, o := range opens {
				if !o.sent.Before(first.sent) && o.arrived.Sub(first.sent) < time.Second {
					n++
					by[o.inst]++
				}
			}
			if n > worst.n {
				worst.n, worst.at, worst.byInst = n, first.sent, by
			}
		}
		out = append(out, worst)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].host < out[b].host })
	return out
}

// writeRecord writes what was sent, answered and run.
func (w *world) writeRecord(path string, summary []string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	var b strings.Builder
	for _, s := range summary {
		fmt.Fprintln(&b, s)
	}
	fmt.Fprintln(&b, "\nevents, in seconds since the start:")
	sort.Strings(w.notes)
	for _, n := range w.notes {
		fmt.Fprintln(&b, n)
	}
	fmt.Fprintln(&b, "\nrequests: sent (s), id, zone, instance of the latest SYN, SYNs; host that opened the flow and when its SYN arrived; runs; answer")
	for _, r := range w.requests {
		fmt.Fprintf(&b, "%8.3f  %s %s %s syns=%d", r.at.Sub(w.began).Seconds(), r.id, r.zone, r.instance, len(r.sentAt))
		if r.host != "" {
			fmt.Fprintf(&b, " host=%s arrived=%.3f", r.host, r.arrivedAt.Sub(w.began).Seconds())
		}
		fmt.Fprintf(&b, " runs=%v answer=%s %s\n", r.runs, r.status, r.failure)
	}
	return os.WriteFile(path, []byte(b.String()), 0o644)
}

// unanswered returns how many requests had begun to run and were not answered.
func (w *world) unanswered() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, r := range w.requests {
		if len(r.runs) > r.answers && time.Since(r.at) > clientDeadline {
			n++
		}
	}
	return n
}

func (w *world) counts() (sent, ok, failed, runs int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.requests {
		sent++
		if r.status == "200" {
			ok++
		} else {
			failed++
		}
		runs += len(r.runs)
	}
	return sent, ok, failed, runs
}
