package relay

import (
	"errors"
	"net/netip"
	"sync/atomic"
	"time"

	"ebonypaddle/pkg/load"
)

// dropReason is why a datagram of the load exchange was dropped.
type dropReason uint8

const (
	dropMalformed  dropReason = iota // it does not decode, or a value is out of bounds
	dropTooLarge                     // larger than load.MaxDatagram
	dropVersion                      // of another version or kind
	dropNotMember                    // the sender is no live member, or not of the right failure domain
	dropOutdated                     // a copy, older than what is known, not asked for, or beyond the table's size
	dropNotEncoded                   // it could not be encoded
	dropNotSent                      // the operating system refused it
	dropReasons
)

var dropReasonNames = [dropReasons]string{"malformed", "tooLarge", "otherVersion", "notMember", "outdated", "notEncoded", "notSent"}

// LoadCounters count the datagrams by which instances exchange their load.
type LoadCounters struct {
	// Reported are reports sent, Sums answers to them that were put in force.
	Reported, Sums atomic.Uint64
	// Reports are reports received.
	Reports atomic.Uint64
	// TotalsOut and TotalsIn are totals of failure domains.
	TotalsOut, TotalsIn atomic.Uint64
	// BytesOut and BytesIn are bytes of all datagrams without their headers.
	BytesOut, BytesIn atomic.Uint64

	dropped [dropReasons]atomic.Uint64
	latest  atomic.Pointer[latestSums] // nil without any
}

// latestSums are the sums that are in force.
type latestSums struct {
	at         time.Time
	reports    int // instances in them
	aggregator netip.AddrPort
}

// vars returns the counters by name.
func (c *LoadCounters) vars(now time.Time) map[string]any {
	dropped := map[string]uint64{}
	for i, name := range dropReasonNames {
		if n := c.dropped[i].Load(); n > 0 {
			dropped[name] = n
		}
	}
	v := map[string]any{
		"reported": c.Reported.Load(), "sums": c.Sums.Load(), "reports": c.Reports.Load(), "totalsOut": c.TotalsOut.Load(), "totalsIn": c.TotalsIn.Load(),
		"bytesOut": c.BytesOut.Load(), "bytesIn": c.BytesIn.Load(), "dropped": dropped,
	}
	if l := c.latest.Load(); l != nil {
		v["sumsAgeMs"], v["sumsReports"], v["aggregator"] = now.Sub(l.at).Milliseconds(), l.reports, l.aggregator.String()
	}
	return v
}

// dropInvalid drops a datagram that does not decode.
func (x *loadExchange) dropInvalid(now time.Time, from netip.AddrPort, size int, err error) {
	reason := dropMalformed
	var version *load.VersionError
	switch {
	case size > load.MaxDatagram:
		reason = dropTooLarge
	case errors.As(err, &version):
		reason = dropVersion
	}
	x.drop(now, reason, from, size, err)
}

// drop counts a datagram that is not used, and logs it unless another one was logged
// for the same reason within dropLineInterval. peer is its sender or target.
func (x *loadExchange) drop(now time.Time, reason dropReason, peer netip.AddrPort, size int, err error) {
	count := x.r.Loads.dropped[reason].Add(1)
	if now.Sub(x.droppedLineAt[reason]) < dropLineInterval {
		return
	}
	x.droppedLineAt[reason] = now
	x.r.Log.Info("load datagram dropped", "peer", peer, "bytes", size, "reason", dropReasonNames[reason], "count", count, "err", err)
}
