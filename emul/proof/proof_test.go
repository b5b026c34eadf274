package proof_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
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
