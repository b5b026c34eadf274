package dist

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"ebonypaddle/pkg/conf"
)

// BenchmarkRestart counts reads of the platform in the 10 s after everyone
// restarts. Readers read every 500 ms from 3 s on; the bound is twice what two
// readers a domain need.
func BenchmarkRestart(b *testing.B) {
	for _, n := range []int{8, 32, 128, 512} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(b, n, 1)
				f.run(10 * time.Second)
				reads := f.read
				b.ReportMetric(float64(reads), "reads")
				b.ReportMetric(float64(n*14), "reads-if-all")
				f.run(20 * time.Second)
				share := 0.0
				for range 20 {
					f.run(500 * time.Millisecond)
					share += float64(f.crossing()) / float64(n) / 20
				}
				b.ReportMetric(100*share, "%fresh")
				if limit := 2 * Readers * domains * 14; reads > limit {
					b.Fatalf("%d reads exceed the bound of %d", reads, limit)
				}
			}
		})
	}
}

// BenchmarkPausedReader compares two readers by rendezvous with one that holds
// a lease of 15 s, when a reader is paused just after it renewed: how long
// nobody reads, and the reads of a minute at two a second.
func BenchmarkPausedReader(b *testing.B) {
	const lease, pause, minute = 15 * time.Second, 30 * time.Second, time.Minute
	var members []netip.AddrPort
	for i := range 8 {
		members = append(members, addr(i))
	}
	run := func(b *testing.B, reads func(i int, d time.Duration) bool) time.Duration {
		paused, worst, silent, n := -1, time.Duration(0), time.Duration(0), 0
		for d := time.Duration(0); d < minute; d += 500 * time.Millisecond {
			silent += 500 * time.Millisecond
			for i := range members {
				if !reads(i, d) || i == paused && d < pause {
					continue
				}
				if paused < 0 {
					paused = i // the first reader reads once, then pauses
				}
				n++
				silent = 0
			}
			worst = max(worst, silent)
		}
		b.ReportMetric(worst.Seconds(), "s-silent")
		b.ReportMetric(float64(n), "reads")
		return worst
	}
	b.Run("rendezvous", func(b *testing.B) {
		for b.Loop() {
			if w := run(b, func(i int, _ time.Duration) bool { return IsReader(addr(i), "fi-south-0", members) }); w > 4*time.Second {
				b.Fatalf("nobody reads for %v", w)
			}
		}
	})
	b.Run("lease", func(b *testing.B) {
		for b.Loop() {
			holder, renewed := 0, time.Duration(0)
			run(b, func(i int, d time.Duration) bool {
				if d-renewed >= lease {
					holder, renewed = holder+1, d
				}
				if i == holder && i > 0 {
					renewed = d
				}
				return i == holder
			})
		}
	})
}

// BenchmarkDelta reports the cost of one edit by the number of records.
func BenchmarkDelta(b *testing.B) {
	for _, n := range []int{1000, 4000, 16000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := &conf.Snapshot{Rev: 1, Servers: map[string]conf.Server{}}
			for i := range n {
				s.Servers[fmt.Sprint(i)] = conf.Server{ID: conf.ServerID(i), Addr: addr(i % 65536)}
			}
			var r Replica
			r.ApplySnapshot(s)
			for b.Loop() {
				r.Apply(Delta{From: r.Rev(), To: r.Rev() + 1, Servers: RecordChanges[conf.Server]{Set: map[string]conf.Server{"0": {Generation: uint32(r.Rev())}}}})
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/record")
			d, _ := r.Delta(r.Rev() - 1)
			if enc, err := d.Encode(); err != nil || len(enc) > maxInline {
				b.Fatalf("an edit of one record takes %d bytes (%v)", len(enc), err)
			}
		})
	}
}
