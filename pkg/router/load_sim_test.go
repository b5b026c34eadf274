package router

import (
	"hash/crc32"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"
)

// The model of loadSim: callers of each failure domain send requests to a random
// instance of it, servers have 2 slots and a queue, reject a request at once when
// it is full, and callers try again on a new flow.
const (
	simSlots        = 2
	simQueueLength  = 8
	simTries        = 3
	simRetryDelay   = 50 * time.Millisecond
	maxSimInstances = 1000
	simLongFlow     = 10          // requests of a long flow, on average
	simPause        = time.Second // of a long flow between requests, on average
	// The way from a caller over an instance to a server and back, to a server of
	// another domain, and the part of it up to the instance.
	simPath, simCrossPath, simCallerPath = 7 * time.Millisecond, 15 * time.Millisecond, 3 * time.Millisecond
	simRejectionSize                     = 150
)

// loadClass is a route with its part of the requests.
type loadClass struct {
	priority  int
	share     float64 // of the requests
	worth     float64
	longFlows float64 // share of its requests that go over long flows
	work      time.Duration
	target    time.Duration
	deadline  time.Duration
	size      int  // of an answer, in bytes
	costly    bool // its requests do not count as short
}

// twoClasses are orders and feeds of one service.
var twoClasses = []loadClass{
	{priority: 1, share: 0.22, worth: 2, work: 61 * time.Millisecond, target: 800 * time.Millisecond, deadline: 5 * time.Second, size: 800},
	{priority: 2, share: 0.78, worth: 1, longFlows: 0.5, work: 47 * time.Millisecond, target: 600 * time.Millisecond, deadline: 4 * time.Second, size: 4200},
}

// threeClasses have a third priority, whose answers may take longer.
var threeClasses = []loadClass{
	twoClasses[0],
	{priority: 2, share: 0.39, worth: 1, longFlows: 0.5, work: 47 * time.Millisecond, target: 600 * time.Millisecond, deadline: 4 * time.Second, size: 4200},
	{priority: 3, share: 0.39, worth: 1, longFlows: 0.5, work: 47 * time.Millisecond, target: 1500 * time.Millisecond, deadline: 8 * time.Second, size: 4200},
}

// loadConfig is the size and load of a loadSim. Loads are multiples of what its
// servers can process.
type loadConfig struct {
	instances, servers, domains int
	classes                     []loadClass
	// calm is the load before and after the surge. During the surge the classes
	// in surgeClasses come surge/calm times as often, or all if it is nil, from
	// callers of domain a only if crowded is set.
	calm, surge  float64
	surgeClasses []int
	crowded      bool
	surgeFor     time.Duration
	// maxFlows is the number of open flows that a server holds, 0 for no limit. It
	// resets more.
	maxFlows int
	// replace is set when the servers of domain b are replaced during the surge.
	replace bool
	// spread multiplies the work of a request; nil takes the spread of lookalike
	// requests.
	spread func(rnd *rand.Rand) float64
	sums   sumsConfig
	// policy replaces the placing policy of the instances, unless it is nil.
	policy  func(sim *loadSim) choosePolicy
	warmFor time.Duration
	// sizeKnown is set when the policy knows the work of each request.
	sizeKnown bool
	// speedsSeen is set when it knows the speeds of servers from its own answers.
	speedsSeen bool
}

// sumsConfig is how instances exchange sums of their load.
type sumsConfig struct {
	off   bool
	delay time.Duration // of each datagram
	lost  float64       // share of the datagrams that do not arrive
	twice bool          // they arrive twice
	// frozen is the number of instances of each domain that stop at the start of
	// the surge, without a packet or report from then on.
	frozen int
}

// lookalike is the spread of the work of similar requests: 3% take 7 times as
// long. Its mean is 1.
func lookalike(rnd *rand.Rand) float64 {
	x := math.Exp(0.5*rnd.NormFloat64()-0.125) / 1.18
	if rnd.Float64() < 0.03 {
		x *= 7
	}
	return x
}

// loadServer is a simulated backend server.
type loadServer struct {
	id        ServerID
	domain    int
	speed     float64
	busy      int
	queue     []*loadRequest
	ended     bool
	draining  bool
	coldUntil time.Time
	busyTime  time.Duration // in the surge
	maxInWork int
	flows     int
}

// loadFlow is a flow of a caller.
type loadFlow struct {
	caller
	instance       int
	server         *loadServer
	long           bool
	sent, received int
}

// loadRequest is a request of a caller, with all its attempts.
type loadRequest struct {
	class, domain, tries int
	long                 bool
	startedAt            time.Time
	work                 time.Duration
	short                bool // works less than twice the mean
	flow                 *loadFlow
	tally                *tally
}

// loadSim plays offered load against instances that each see the part of it
// that their callers send.
type loadSim struct {
	loadConfig
	timeline
	rnd         *rand.Rand
	exchangeRnd *rand.Rand // of the exchange of load, which changes nothing else
	balancers   []*Balancer
	frozen      []bool
	backends    map[ServerID]*loadServer
	idle        [][][]*loadFlow // by domain and class
	ports       uint32
	capacity    float64   // mean requests per second
	domainCap   []float64 // that of each failure domain
	meanWork    float64   // of a request, in nanoseconds
	phase       int
	loads       []float64 // arrivals per second by domain and class
	tallies     [phases][][]tally
	placed      uint32       // checksum of the decisions on openings
	current     *loadRequest // whose opening is being placed
	// sentWork is the expected work that an instance sent to a server and that is
	// not answered, in nanoseconds at a server of speed 1, by instance and server.
	sentWork    [][]float64
	aggregators []*aggregator // by failure domain
	nextID      ServerID
	records     []Change[Server]
}

func newLoadSim(seed uint64, cfg loadConfig) *loadSim {
	if cfg.spread == nil {
		cfg.spread = lookalike
	}
	sim := &loadSim{loadConfig: cfg, timeline: timeline{now: startTime}, rnd: rand.New(rand.NewPCG(seed, 3)), exchangeRnd: rand.New(rand.NewPCG(seed, 4)), backends: map[ServerID]*loadServer{}, frozen: make([]bool, cfg.instances)}
	sim.startServers()
	for range cfg.instances {
		sim.sentWork = append(sim.sentWork, make([]float64, 2*cfg.servers+1))
	}
	var choose choosePolicy
	if cfg.policy != nil {
		choose = cfg.policy(sim)
	}
	for i := range cfg.instances {
		lb := &Balancer{Domain: domainName(i % cfg.domains), Seed: seed*maxSimInstances + uint64(i), choose: choose}
		lb.Start(sim.now)
		lb.ApplySettings(sim.settings())
		lb.ApplyServers(sim.now, sim.records, true)
		lb.ApplyDomains(sim.now, nil, true)
		lb.SetSynced()
		sim.balancers = append(sim.balancers, lb)
		sim.scheduleTick(i)
	}
	for range cfg.domains {
		sim.idle = append(sim.idle, make([][]*loadFlow, len(cfg.classes)))
	}
	sim.setLoads(false)
	for d := range cfg.domains {
		for c := range cfg.classes {
			// The same requests arrive whatever is decided about them.
			rnd := rand.New(rand.NewPCG(seed, uint64(10+d*len(cfg.classes)+c)))
			sim.scheduleArrival(rnd, d, c)
		}
	}
	if !cfg.sums.off {
		sim.startExchange()
	}
	return sim
}

// startServers starts servers of speeds 1 to 5, with a mean of 1.
func (sim *loadSim) startServers() {
	speeds, sum := make([]float64, sim.servers), 0.0
	for i := range speeds {
		speeds[i] = 1 + 4*sim.rnd.Float64()
		sum += speeds[i]
	}
	work := 0.0
	for _, c := range sim.classes {
		work += c.share * c.work.Seconds()
	}
	sim.meanWork, sim.domainCap = work*float64(time.Second), make([]float64, sim.domains)
	for i := range speeds {
		speed := speeds[i] * float64(len(speeds)) / sum
		sim.addServer(i%sim.domains, speed, 0)
		sim.domainCap[i%sim.domains] += simSlots * speed / work
		sim.capacity += simSlots * speed / work
	}
}

// addServer starts a server and returns its record.
func (sim *loadSim) addServer(domain int, speed float64, cold time.Duration) Change[Server] {
	sim.nextID++
	sim.backends[sim.nextID] = &loadServer{id: sim.nextID, domain: domain, speed: speed, coldUntil: sim.now.Add(cold)}
	r := serverRecord(int(sim.nextID), domainName(domain))
	r.Value.ColdTimeLeft = cold
	sim.records = append(sim.records, r)
	return r
}

func (sim *loadSim) settings() *Settings {
	set := testSettings(1)
	set.Services[0].MaxFlows = sim.maxFlows
	for i, c := range sim.classes {
		set.Routes = append(set.Routes, Route{Addr: classAddr(i), WeightedServices: []WeightedService{{"s", 1}}, Repeatable: i > 0, LatencyTarget: c.target, Priority: c.priority})
	}
	return set
}

func (sim *loadSim) scheduleTick(i int) {
	if !sim.frozen[i] {
		sim.balancers[i].Tick(sim.now)
		sim.schedule(100*time.Millisecond, func() { sim.scheduleTick(i) })
	}
}

// setLoads sets the arrival rates of the calm or of the surge.
func (sim *loadSim) setLoads(surge bool) {
	sim.loads = sim.loads[:0]
	for d := range sim.domains {
		for i, c := range sim.classes {
			x := sim.calm
			if surge && (!sim.crowded || d == 0) && sim.surges(i) {
				x = sim.surge
			}
			sim.loads = append(sim.loads, x*c.share*sim.domainCap[d])
		}
	}
}

func (sim *loadSim) surges(class int) bool {
	if sim.surgeClasses == nil {
		return true
	}
	for _, c := range sim.surgeClasses {
		if c == class {
			return true
		}
	}
	return false
}

// scheduleArrival draws the arrivals of a class at the highest rate that the run
// has, of which a share counts, so that the rate can change at any time.
func (sim *loadSim) scheduleArrival(rnd *rand.Rand, d, c int) {
	highest := max(sim.calm, sim.surge) * sim.classes[c].share * sim.domainCap[d]
	sim.schedule(time.Duration(rnd.ExpFloat64()/highest*float64(time.Second)), func() {
		if rnd.Float64()*highest < sim.loads[d*len(sim.classes)+c] {
			sim.arrive(rnd, d, c)
		}
		sim.scheduleArrival(rnd, d, c)
	})
}

func (sim *loadSim) arrive(rnd *rand.Rand, d, c int) {
	cl := &sim.classes[c]
	long, x := rnd.Float64() < cl.longFlows, sim.spread(rnd)
	req := &loadRequest{
		class: c, domain: d, startedAt: sim.now.Add(-simCallerPath), long: long, short: x < 2 && !cl.costly,
		work: time.Duration(float64(cl.work) * x), tally: &sim.tallies[sim.phase][d][c],
	}
	req.tally.requests++
	if idle := sim.idle[d][c]; req.long && len(idle) > 0 {
		i := sim.rnd.IntN(len(idle))
		req.flow = idle[i]
		idle[i] = idle[len(idle)-1]
		sim.idle[d][c] = idle[:len(idle)-1]
		req.tries = 1
		sim.begin(req)
		sim.send(req)
		return
	}
	sim.open(req)
}

// instance returns an instance of a domain that gets a new flow.
func (sim *loadSim) instance(d int) int {
	n := (sim.instances - d + sim.domains - 1) / sim.domains
	for {
		if i := d + sim.domains*sim.rnd.IntN(n); !sim.frozen[i] {
			return i
		}
	}
}

// open sends an attempt on a new flow.
func (sim *loadSim) open(req *loadRequest) {
	req.tries++
	sim.ports++
	i := sim.instance(req.domain)
	f := &loadFlow{caller: *newCaller(sim.balancers[i], uint16(sim.ports), classAddr(req.class)), instance: i, long: req.long}
	f.packet.Caller = netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64 + byte(sim.ports>>24), byte(sim.ports >> 16), byte(req.domain)}), uint16(sim.ports))
	req.flow, sim.current = f, req
	v := f.open(sim.now, 0)
	sim.placed = crc32.Update(sim.placed, crc32.IEEETable, []byte{byte(v.Action), byte(v.To.Server), byte(v.To.Server >> 8)})
	if v.Action != Forward {
		req.tally.refused++
		sim.tryAgain(req, 2*simCallerPath)
		return
	}
	f.server = sim.backends[v.To.Server]
	sim.begin(req)
	path := sim.path(req)
	full := sim.maxFlows > 0 && f.server.flows >= sim.maxFlows
	if full {
		req.tally.overLimit++
	}
	if full || f.server.ended {
		sim.end(req)
		sim.tryAgain(req, path)
		return
	}
	f.server.flows++
	sim.schedule(path, func() { sim.send(req) })
}

// begin and end count the work in progress of the instance of a request's flow.
func (sim *loadSim) begin(req *loadRequest) {
	sim.sentWork[req.flow.instance][req.flow.server.id] += sim.expected(req)
}

func (sim *loadSim) end(req *loadRequest) {
	sim.sentWork[req.flow.instance][req.flow.server.id] -= sim.expected(req)
}

// expected returns the work of a request as far as its route shows it.
func (sim *loadSim) expected(req *loadRequest) float64 {
	if sim.sizeKnown {
		return float64(req.work)
	}
	return float64(sim.classes[req.class].work)
}

func (sim *loadSim) path(req *loadRequest) time.Duration {
	if req.flow.server.domain != req.domain {
		return simCrossPath
	}
	return simPath
}

// tryAgain sends the request again on a new flow, unless it was the last try.
func (sim *loadSim) tryAgain(req *loadRequest, after time.Duration) {
	if req.tries >= simTries || sim.now.Add(after+simRetryDelay).Sub(req.startedAt) > sim.classes[req.class].deadline {
		req.tally.fail(&sim.classes[req.class], req.short)
		return
	}
	sim.schedule(after+simRetryDelay, func() { sim.open(req) })
}

// send sends the request on its flow and submits it to the server.
func (sim *loadSim) send(req *loadRequest) {
	f := req.flow
	if sim.frozen[f.instance] {
		f.instance = sim.instance(req.domain)
		f.lb = sim.balancers[f.instance]
	}
	v := f.data(sim.now, f.sent, 300, f.received)
	f.sent += 300
	if v.Action != Forward || f.server.ended {
		req.tally.broken++
		sim.end(req)
		sim.tryAgain(req, sim.path(req))
		return
	}
	sim.submit(req)
}

func (sim *loadSim) submit(req *loadRequest) {
	f := req.flow
	srv := f.server
	req.tally.attempts++
	switch {
	case srv.busy < simSlots:
		sim.serve(req)
	case len(srv.queue) < simQueueLength:
		srv.queue = append(srv.queue, req)
	default:
		req.tally.rejected++
		path := sim.path(req)
		sim.end(req)
		sim.schedule(path, func() { sim.acknowledge(f, simRejectionSize, true) })
		sim.tryAgain(req, path)
	}
	if sim.phase == surging {
		srv.maxInWork = max(srv.maxInWork, srv.busy+len(srv.queue))
	}
}

// serve starts the work on a request in a free slot.
func (sim *loadSim) serve(req *loadRequest) {
	srv := req.flow.server
	srv.busy++
	speed := srv.speed
	if sim.now.Before(srv.coldUntil) {
		speed /= coldLatencyFactor
	}
	work := time.Duration(float64(req.work) / speed)
	sim.schedule(work, func() {
		srv.busy--
		if sim.phase == surging {
			srv.busyTime += work
		}
		sim.answer(req)
		if len(srv.queue) > 0 {
			next := srv.queue[0]
			srv.queue = srv.queue[1:]
			sim.serve(next)
		}
	})
}

func (sim *loadSim) answer(req *loadRequest) {
	path := sim.path(req)
	latency := sim.now.Add(path / 2).Sub(req.startedAt)
	req.tally.answered(&sim.classes[req.class], latency, req.short)
	f := req.flow
	last := !f.long || f.server.draining || sim.rnd.IntN(simLongFlow) == 0
	sim.schedule(path, func() {
		sim.end(req)
		sim.acknowledge(f, sim.classes[req.class].size, last)
	})
	if !last {
		pause := time.Duration(sim.rnd.ExpFloat64() * float64(simPause))
		sim.schedule(path+pause, func() {
			sim.idle[req.domain][req.class] = append(sim.idle[req.domain][req.class], f)
		})
	}
}

// acknowledge sends the caller's acknowledgements of an answer, of which each
// covers two packets.
func (sim *loadSim) acknowledge(f *loadFlow, size int, last bool) {
	if last {
		f.server.flows--
	}
	for size > 0 {
		f.received += min(size, 2400)
		size -= min(size, 2400)
		p := f.packet
		p.Ack, p.Token, p.End = true, f.token, last && size == 0
		p.Seq, p.Acked = f.packet.Seq+1+uint32(f.sent), 5000+uint32(f.received)
		f.lb.Handle(sim.now, &p)
	}
}
