package logs_test

import (
	"io"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"ebonypaddle/pkg/logs"
)

// BenchmarkLine measures the cost of a log line for a placed flow that is
// written, and of one that Limit suppresses. docs/CAPACITY.md uses the figures.
func BenchmarkLine(b *testing.B) {
	for name, step := range map[string]time.Duration{"written": time.Second, "leftOut": time.Nanosecond} {
		b.Run(name, func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			out := (&logs.Async{Out: io.Discard}).Start()
			defer out.Close(time.Second)
			clock := func() time.Time { return now }
			log := slog.New((&logs.Limit{Next: slog.NewTextHandler(out, nil), Clock: clock}).Start()).With("instance", "edge-1")
			caller := netip.MustParseAddrPort("100.65.0.9:1111")
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(step)
				log.Info("flow placed", "flow", caller, "server", "i-5733186f68", "domain", "kirkos", "copy", 0,
					"inFlight", 2, "latency", 25*time.Millisecond, "version", uint64(12), "rev", uint64(14))
			}
		})
	}
}
