package proof_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"ebonypaddle/pkg/conf"
)

// seeds returns the fixed seeds, or those that start at PROOF_SEED and are
// PROOF_RUNS in number.
func seeds(fixed int) []uint64 {
	first, n := uint64(1), fixed
	if s, err := strconv.ParseUint(os.Getenv("PROOF_SEED"), 10, 64); err == nil {
		first = s
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

// warmed returns a world whose servers are warm and that carries flows.
func warmed(t testing.TB, seed uint64) *world {
	w := newWorld(t, seed)
	w.run(8 * time.Second)
	w.addFlows(20, false)
	w.run(4 * time.Second)
	return w
}

// TestFaults runs every fault alone and with every other, and twice each, and
// checks all requirements after each datagram. It guards against failures that
// only their combination shows.
func TestFaults(t *testing.T) {
	for i, a := range faults {
		for j, b := range faults[i:] {
			t.Run(a.name+"+"+b.name, func(t *testing.T) {
				t.Parallel()
				for _, seed := range seeds(1) {
					w := warmed(t, 1000*seed+uint64(100*i+j))
					a.start(w)
					w.after(w.between(0, 8*time.Second), func() { b.start(w) })
					w.run(20 * time.Second)
					a.start(w)
					w.run(5 * time.Second)
					b.start(w)
					w.run(20 * time.Second)
					w.verify(fmt.Sprint("seed ", seed))
				}
			})
		}
	}
}

// scenario is a planned sequence with a check of its own.
type scenario struct {
	name string
	run  func(w *world)
}

// instsOf returns the instances of a failure domain, or with other those of
// all the rest.
func (w *world) instsOf(d string, other bool) []*inst {
	var out []*inst
	for _, in := range w.insts {
		if (in.domain == d) != other {
			out = append(out, in)
		}
	}
	return out
}

func (w *world) expect(ok bool, format string, args ...any) {
	if !ok {
		w.fault(format, args...)
	}
}

var scenarios = []scenario{
	// A planned stop of every instance in turn cuts no request and no flow.
	{"rolling", func(w *world) {
		w.loss = 0
		w.run(3 * time.Second)
		before := w.score
		for _, in := range w.insts {
			w.replace(in)
			w.run(45 * time.Second)
			w.expect(in.process > 1 && in.up, "%s was not replaced", in.entry.Name)
		}
		w.expect(w.score.unknown == before.unknown, "%d requests were cut", w.score.unknown-before.unknown)
		w.expect(w.score.broken == 0, "%d flows broke", w.score.broken)
	}},
	// An outage of an hour with a restart of every instance during it.
	{"outageHour", func(w *world) {
		w.plat.down = true
		w.run(30 * time.Minute)
		for _, in := range w.insts {
			in.stop()
			w.run(2 * time.Second)
			in.start()
			w.run(20 * time.Second)
		}
		w.run(30 * time.Minute)
		done, all := w.score.done, len(w.over)
		w.run(time.Minute)
		share := float64(w.score.done-done) / float64(len(w.over)-all)
		w.expect(share > 0.9, "only %.2f of the requests done after an hour", share)
		w.expect(w.score.broken == 0, "%d flows broke", w.score.broken)
		w.plat.down = false
		w.run(5 * time.Second)
		w.plat.markDomain("b", conf.MarkOut)
		w.run(10 * time.Second)
	}},
	// Two rotations that remove the old keys break no flow.
	{"keyRotation", func(w *world) {
		for range 2 {
			w.rotate()
			w.run(80 * time.Second)
		}
		w.expect(len(w.plat.last().Keys) == 1, "%d keys are left", len(w.plat.last().Keys))
		w.expect(w.score.broken == 0, "%d flows broke", w.score.broken)
	}},
	// An address moves to the other service while an instance is cut off with
	// old settings, and while another one is paused.
	{"moveWhileCut", func(w *world) {
		h := w.all[w.rnd.IntN(len(w.all))]
		w.cut[h.domain] = true
		w.run(time.Second)
		w.move(h)
		w.pause(w.instsOf(h.domain, true)[0], true)
		w.run(15 * time.Second)
		delete(w.cut, h.domain)
		w.run(15 * time.Second)
	}},
	// A failure domain goes out and comes back, while an instance of another
	// one is cut off and one is paused.
	{"outWhileCut", func(w *world) {
		w.cut["c"] = true
		w.pause(w.instsOf("b", false)[0], true)
		w.run(time.Duration(w.rnd.Int64N(int64(3 * time.Second))))
		w.plat.markDomain("a", conf.MarkOut)
		w.run(12 * time.Second)
		delete(w.cut, "c")
		w.run(3 * time.Second)
		w.domainIn("a")
		w.run(15 * time.Second)
	}},
	// The same while the clocks of instances are wrong.
	{"outWithSkew", func(w *world) {
		w.insts[2].skew, w.insts[4].skew = time.Second, -time.Second
		w.run(2 * time.Second)
		w.plat.markDomain("a", conf.MarkOut)
		w.run(10 * time.Second)
		w.domainIn("a")
		w.run(15 * time.Second)
	}},
	// A server starts long after the instances that know it.
	{"lateServer", func(w *world) {
		w.rate = 20
		h := w.all[0]
		h.died, h.gone = w.now, true
		w.run(5 * time.Second)
		for _, in := range w.insts {
			in.stop()
			in.start()
		}
		w.run(20 * time.Second)
		h.gone, h.died = false, w.now
		h.Start(w.now)
		w.run(10 * time.Second)
	}},
	// Every instance restarts at once.
	{"restartAll", func(w *world) {
		for _, in := range w.insts {
			in.stop()
			in.start()
		}
		w.run(20 * time.Second)
	}},
}

// TestScenarios runs planned sequences. It guards against failures that need a
// longer or more exact course than TestFaults has.
func TestScenarios(t *testing.T) {
	for i, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			for _, seed := range seeds(2) {
				w := warmed(t, 5000*seed+uint64(i))
				s.run(w)
				w.verify(fmt.Sprint("seed ", seed))
			}
		})
	}
}
