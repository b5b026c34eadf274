package dist

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"ebonypaddle/pkg/conf"
)

// BenchmarkRestart counts the reads of the platform in the 10 s after all
// instances restart. Readers start to read after 3 s and then read every 500 ms.
// The limit is twice the number of reads of two readers per domain.
func BenchmarkRestart(b *testing.B) {
	for _, n := range []int{8, 32, 128, 512} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				f := newTestFleet(b, n, 1)
				f.run(10 * time.Second)
				reads := f.reads
				b.ReportMetric(float64(reads), "reads")
				b.ReportMetric(float64(n*14), "reads-if-all")
				f.run(20 * time.Second)
				share := 0.0
				for range 20 {
					f.run(500 * time.Millisecond)
					share += float64(f.countFresh()) / float64(n) / 20
				}
				b.ReportMetric(100*share, "%fresh")
				if limit := 2 * ReadersPerDomain * domains * 14; reads > limit {
					b.Fatalf("%d reads exceed the limit of %d", reads, limit)
				}
			}
		})
	}
}

// BenchmarkPausedReader compares two readers chosen by rendezvous hashing with a
// single reader that holds a lease of 15 s, while a reader pauses after its
// first read or renewal. It reports the longest time without a read, and the
// number of reads in a minute at two reads a second.
func BenchmarkPausedReader(b *testing.B) {
	const lease, pause, minute = 15 * time.Second, 30 * time.Second, time.Minute
	var members []netip.AddrPort
	for i := range 8 {
		members = append(members, addr(i))
	}
	run := func(b *testing.B, isReading func(i int, d time.Duration) bool) time.Duration {
		paused, longest, noReads, total := -1, time.Duration(0), time.Duration(0), 0
		for d := time.Duration(0); d < minute; d += 500 * time.Millisecond {
			noReads += 500 * time.Millisecond
			for i := range members {
				if !isReading(i, d) || i == paused && d < pause {
					continue
				}
				if paused < 0 {
					paused = i // the first reader reads once, then pauses
				}
				total++
				noReads = 0
			}
			longest = max(longest, noReads)
		}
		b.ReportMetric(longest.Seconds(), "s-without-reads")
		b.ReportMetric(float64(total), "reads")
		return longest
	}
	b.Run("rendezvous", func(b *testing.B) {
		for b.Loop() {
			if longest := run(b, func(i int, _ time.Duration) bool { return IsReader(addr(i), "fi-south-0", members) }); longest > 4*time.Second {
				b.Fatalf("no instance reads for %v", longest)
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

// BenchmarkDelta measures the time to apply one edit, per record of the settings.
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
			if enc, err := d.Encode(); err != nil || len(enc) > maxInlineDeltaBytes {
				b.Fatalf("an edit of one record takes %d bytes (%v)", len(enc), err)
			}
		})
	}
}
