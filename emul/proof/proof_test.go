package proof_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wire"
)

// seeds returns PROOF_RUNS seeds in sequence, beginning with PROOF_SEED. Without
// these variables it returns the given number of seeds from 1.
func seeds(fixed int) []uint64 {
	first, n := uint64(1), fixed
	if v, err := strconv.ParseUint(os.Getenv("PROOF_SEED"), 10, 64); err == nil {
		first = v
	}
	if s, err := strconv.Atoi(os.Getenv("PROOF_RUNS")); err == nil {
		n = s
	}
	out := make([]uint64, n)
	for i := range out {
		out[i] = first + uint64(i)
	}
	return out
}

// newWarmSimulation returns a simulation with 20 flows in which all servers have
// left cold start.
func newWarmSimulation(t testing.TB, seed uint64) *simulation {
	sim := newSimulation(t, seed)
	sim.RunFor(8 * time.Second)
	sim.addFlows(20)
	sim.RunFor(4 * time.Second)
	return sim
}

// TestFaults runs every pair of faults, including a fault with itself, and each
// fault of a pair twice. It checks all requirements on each datagram, and guards
// against failures that only a combination of faults causes.
func TestFaults(t *testing.T) {
	for i, a := range faults {
		for j, b := range faults[i:] {
			t.Run(a.name+"+"+b.name, func(t *testing.T) {
				t.Parallel()
				for _, seed := range seeds(1) {
					sim := newWarmSimulation(t, 1000*seed+uint64(100*i+j))
					a.start(sim)
					sim.After(sim.randomDuration(0, 8*time.Second), func() { b.start(sim) })
					sim.RunFor(20 * time.Second)
					a.start(sim)
					sim.RunFor(5 * time.Second)
					b.start(sim)
					sim.RunFor(20 * time.Second)
					sim.verify(fmt.Sprint("seed ", seed))
				}
			})
		}
	}
}

// scenario is a fixed sequence of faults and changes, some with checks of their
// own.
type scenario struct {
	name string
	run  func(sim *simulation)
}

// instancesOf returns the instances of a failure domain, or with outside those of
// all other domains.
func (sim *simulation) instancesOf(d string, outside bool) []*instance {
	var out []*instance
	for _, inst := range sim.instances {
		if (inst.domain == d) != outside {
			out = append(out, inst)
		}
	}
	return out
}

// dataFrameTo returns an encoded data packet of a flow on the server.
func (sim *simulation) dataFrameTo(srv *backendServer) []byte {
	for _, fl := range sim.flows {
		if fl.server == srv && fl.opened {
			p := fl.packet(wire.KindData)
			b, err := wire.Encode(&p)
			sim.expect(err == nil, "encode: %v", err)
			return b
		}
	}
	sim.errorf("server %s has no open flow", srv.name)
	return nil
}

// expect records a violation unless ok.
func (sim *simulation) expect(ok bool, format string, args ...any) {
	if !ok {
		sim.errorf(format, args...)
	}
}

// prolongColdStart raises the cold start of a server, and that in the settings,
// to 10 s, and slows its answers during cold start so that each takes a large
// part of an epoch.
func (sim *simulation) prolongColdStart(srv *backendServer) {
	srv.ColdTime, srv.ColdFactor = conf.Duration(10*time.Second), 15
	sim.platform.edit(func(s *conf.Snapshot) {
		s.Nodes["/h"] = conf.Node{Path: "/h", Values: conf.Values{ColdTime: &srv.ColdTime}}
	})
}

var scenarios = []scenario{
	// Every instance is replaced in turn by a planned stop. No request may end
	// with an unknown outcome, and no flow may break.
	{"rolling", func(sim *simulation) {
		sim.lossRate, sim.maxTicketDelay = 0, 20*time.Second
		sim.RunFor(3 * time.Second)
		before := sim.counts
		for _, inst := range sim.instances {
			sim.replace(inst)
			sim.RunFor(45 * time.Second)
			sim.expect(inst.incarnation > 1 && inst.up, "%s was not replaced", inst.entry.Name)
		}
		sim.expect(sim.counts.unknown == before.unknown, "%d requests were cut", sim.counts.unknown-before.unknown)
		sim.expect(sim.counts.broken == 0, "%d flows broke", sim.counts.broken)
	}},
	// The platform is down for an hour, and every instance restarts after half
	// of it. More than 90% of the requests must still be served at the end, and
	// no flow may break.
	{"outageHour", func(sim *simulation) {
		sim.platform.down, sim.requestsPer100ms = true, 1
		sim.RunFor(30 * time.Minute)
		for _, inst := range sim.instances {
			inst.stop()
			sim.RunFor(2 * time.Second)
			inst.start()
			sim.RunFor(20 * time.Second)
		}
		sim.RunFor(30 * time.Minute)
		done, all := sim.counts.done, len(sim.finished)
		sim.RunFor(time.Minute)
		share := float64(sim.counts.done-done) / float64(len(sim.finished)-all)
		sim.expect(share > 0.9, "only %.2f of the requests done after an hour", share)
		sim.expect(sim.counts.broken == 0, "%d flows broke", sim.counts.broken)
		sim.platform.down = false
		sim.RunFor(5 * time.Second)
		sim.platform.markDomain("b", conf.MarkOut)
		sim.RunFor(10 * time.Second)
	}},
	// The cluster keys are rotated twice and the old keys removed. No flow may
	// break.
	{"keyRotation", func(sim *simulation) {
		for range 2 {
			sim.rotateKeys()
			sim.RunFor(80 * time.Second)
		}
		sim.expect(len(sim.platform.latest().Keys) == 1, "%d keys are left", len(sim.platform.latest().Keys))
		sim.expect(sim.counts.broken == 0, "%d flows broke", sim.counts.broken)
	}},
	// An address moves to a server of the other service while instances with old
	// settings are partitioned from the platform and another one is paused. They
	// must not send to the new server.
	{"moveWhileCut", func(sim *simulation) {
		srv := sim.servers[sim.rnd.IntN(3)]
		sim.addFlows(40)
		sim.RunFor(3 * time.Second)
		oldFrame := sim.dataFrameTo(srv)
		sim.partitioned[srv.domain] = true
		sim.RunFor(time.Second)
		sim.moveAddress(srv)
		sim.pause(sim.instancesOf(srv.domain, true)[0], true)
		// A caller that does not know that its flow ended keeps sending.
		for range 150 {
			sim.RunFor(100 * time.Millisecond)
			for _, inst := range sim.instancesOf(srv.domain, false) {
				inst.receiveData(fabricAddr, oldFrame)
			}
		}
		delete(sim.partitioned, srv.domain)
		sim.RunFor(15 * time.Second)
	}},
	// A failure domain goes out of service and returns, while the instances of
	// another domain get no control messages and an instance of the third is
	// paused.
	{"outWhileCut", func(sim *simulation) {
		sim.controlCut["c"] = true
		sim.pause(sim.instancesOf("b", false)[0], true)
		sim.RunFor(time.Duration(sim.rnd.Int64N(int64(3 * time.Second))))
		sim.platform.markDomain("a", conf.MarkOut)
		sim.RunFor(12 * time.Second)
		delete(sim.controlCut, "c")
		sim.RunFor(3 * time.Second)
		sim.returnDomain("a")
		sim.RunFor(15 * time.Second)
	}},
	// A failure domain goes out of service and returns while the clocks of two
	// instances are wrong by a second.
	{"outWithSkew", func(sim *simulation) {
		sim.instances[2].clockSkew, sim.instances[4].clockSkew = time.Second, -time.Second
		sim.RunFor(2 * time.Second)
		sim.platform.markDomain("a", conf.MarkOut)
		sim.RunFor(10 * time.Second)
		sim.returnDomain("a")
		sim.RunFor(15 * time.Second)
	}},
	// A server starts long after the instances that have it in their settings.
	// They must respect its cold-start limit, although they have run for longer
	// than a cold start takes.
	{"lateServer", func(sim *simulation) {
		sim.requestsPer100ms = 20
		srv := sim.servers[0]
		srv.diedAt, srv.stopped = sim.Now, true
		sim.prolongColdStart(srv)
		sim.RunFor(5 * time.Second)
		for _, inst := range sim.instances {
			inst.stop()
			inst.start()
		}
		sim.RunFor(20 * time.Second)
		srv.stopped, srv.diedAt = false, sim.Now
		srv.Start(sim.Now)
		sim.RunFor(12 * time.Second)
	}},
	// A server restarts cold while the clocks of all instances in the other two
	// failure domains are wrong by 700 ms.
	{"coldWithSkew", func(sim *simulation) {
		sim.requestsPer100ms = 20
		srv := sim.servers[0]
		for i, inst := range sim.instancesOf("a", true) {
			inst.clockSkew = time.Duration(1-i/2*2) * 700 * time.Millisecond
		}
		sim.prolongColdStart(srv)
		sim.RunFor(8 * time.Second)
		srv.diedAt = sim.Now
		srv.FallOver(sim.Now)
		sim.RunFor(15 * time.Second)
	}},
	// The instances of a failure domain are paused while its servers restart, and
	// handle answers of the old server processes after the pause.
	{"pauseOverRestart", func(sim *simulation) {
		sim.lossRate, sim.requestsPer100ms = 0.1, 40
		sim.RunFor(3 * time.Second)
		for _, inst := range sim.instancesOf("a", false) {
			inst.paused = true
			sim.After(5*time.Second, inst.resume)
		}
		sim.RunFor(250 * time.Millisecond)
		for _, srv := range sim.servers[:3] {
			srv.diedAt = sim.Now
			srv.FallOver(sim.Now)
		}
		sim.RunFor(10 * time.Second)
	}},
	// Servers are added while one failure domain gets no control messages, so its
	// instances do not know them. No flow may break.
	{"joinUneven", func(sim *simulation) {
		sim.controlCut["c"] = true
		sim.RunFor(200 * time.Millisecond)
		for i := range 8 {
			sim.platform.addServer(domains[i%2], "/h/order", testAddr(4, 90+i))
		}
		for range 30 {
			sim.addFlows(4)
			sim.RunFor(100 * time.Millisecond)
		}
		delete(sim.controlCut, "c")
		sim.RunFor(10 * time.Second)
		sim.expect(sim.counts.broken == 0, "%d flows broke", sim.counts.broken)
	}},
	// A failure domain that cannot reach the platform must get changes of the
	// settings from peers in time.
	{"editsByPeers", func(sim *simulation) {
		sim.platformCut["c"] = true
		for i := range 6 {
			sim.platform.markServer("a-s1", []conf.Mark{conf.MarkLeaving, conf.MarkIn}[i%2])
			sim.RunFor(2 * time.Second)
		}
		sim.RunFor(applyWithin)
	}},
	// All instances restart at the same time.
	{"restartAll", func(sim *simulation) {
		for _, inst := range sim.instances {
			inst.stop()
			inst.start()
		}
		sim.RunFor(20 * time.Second)
	}},
}

// TestScenarios runs the scenarios. It guards against failures that need a longer
// or more exactly timed sequence than the pairs of TestFaults.
func TestScenarios(t *testing.T) {
	for i, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			for _, seed := range seeds(2) {
				sim := newWarmSimulation(t, 5000*seed+uint64(i))
				s.run(sim)
				sim.verify(fmt.Sprint("seed ", seed))
			}
		})
	}
}

// TestRepeatable runs one seed several times and requires equal totals. It guards
// against random choices that do not depend on the seed, such as the iteration
// order of a map: with them a failing seed could not be run again.
func TestRepeatable(t *testing.T) {
	var results [4]counts
	for i := range results {
		sim := newWarmSimulation(t, 3)
		sim.moveAddress(sim.randomServer())
		sim.RunFor(20 * time.Second)
		results[i] = sim.counts
	}
	for _, s := range results {
		assert.Equal(t, s, results[0])
	}
}
