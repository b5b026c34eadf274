package member

import (
	"math"

	"ebonypaddle/pkg/wire"
)

// envelopeSize is an upper bound in bytes for the encoding of a Message without
// the sender's update, the freshness report and the updates. It covers five
// numbers and the headers of the CBOR arrays.
const envelopeSize = 32

// size returns the CBOR-encoded size of an update in bytes.
func size(u *Update) int {
	const head, port, flags = 1, 2, 2
	addr := u.Addr.Addr()
	n := addr.BitLen()/8 + len(addr.Zone()) + port
	return head + textSize(n) + textSize(len(u.Domain)) + uintSize(u.Incarnation) + flags + uintSize(u.Revision)
}

// reportSize returns an upper bound for the CBOR-encoded size of a freshness
// report in bytes.
func reportSize(report *wire.FreshnessReport) int {
	const overhead = 8
	n := overhead + uintSize(report.Known) + uintSize(report.Confirmed)
	for i := range report.Domains {
		const age = 6
		n += age + textSize(len(report.Domains[i].Domain))
	}
	return n
}

// textSize returns the encoded size of a string of n bytes, with its header.
func textSize(n int) int { return n + uintSize(uint64(n)) }

// uintSize returns the encoded size of a number or a CBOR header.
func uintSize(v uint64) int {
	switch {
	case v < 24:
		return 1
	case v <= math.MaxUint8:
		return 2
	case v <= math.MaxUint16:
		return 3
	case v <= math.MaxUint32:
		return 5
	}
	return 9
}
