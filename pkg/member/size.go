package member

import (
	"math"

	"ebonypaddle/pkg/wire"
)

// envelopeSize bounds what the encoding of a Message takes beside the sender's
// update, the freshness report and the updates: five numbers and heads of arrays.
const envelopeSize = 32

// size returns the size of an encoded update in bytes.
func size(u *Update) int {
	const head, port, flags = 1, 2, 2
	addr := u.Addr.Addr()
	n := addr.BitLen()/8 + len(addr.Zone()) + port
	return head + textSize(n) + textSize(len(u.Domain)) + uintSize(u.Incarnation) + flags + uintSize(u.Revision)
}

// hintSize bounds the size of an encoded freshness report in bytes.
func hintSize(h *wire.FreshnessReport) int {
	const ends = 8
	n := ends + uintSize(h.Known) + uintSize(h.Confirmed)
	for i := range h.Domains {
		const age = 6
		n += age + textSize(len(h.Domains[i].Domain))
	}
	return n
}

// textSize returns the size of a string of n bytes with its length.
func textSize(n int) int { return n + uintSize(uint64(n)) }

// uintSize returns the size of an encoded number or head.
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
