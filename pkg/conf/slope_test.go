package conf

import (
	"fmt"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkSlopeObject measures the encoded size of the largest objects: the
// record of a failure domain, by its number of entry places, and a server record.
// A domain has up to 591 entry places, and its record must stay below the limit
// of 1 MiB.
func BenchmarkSlopeObject(b *testing.B) {
	a := netip.MustParseAddrPort("127.250.250.250:19000")
	for _, n := range []int{8, 64, 591} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := Domain{Name: "fi-south-00", Half: "koysipaja", Mark: MarkIn, Edit: "0123456789abcdef"}
			for i := range n {
				d.Entries = append(d.Entries, Entry{Name: fmt.Sprintf("fi-south-00-%04d", i), Data: a, Peer: a, Admin: a})
			}
			var o Object
			for b.Loop() {
				o, _ = Encode(KindDomain, d.Name, d)
			}
			server, err := Encode(KindServer, "s", Server{ID: 140_000, Name: "server-140000", Service: "/koysipaja/service-6900", Domain: d.Name, Addr: a, Generation: 1, Mark: MarkIn, Edit: d.Edit})
			assert.NilError(b, err)
			b.ReportMetric(float64(len(o.Value))/float64(n), "B/place")
			b.ReportMetric(float64(len(server.Value)), "B/server")
			assert.Assert(b, len(o.Value) < 1<<20)
		})
	}
}
