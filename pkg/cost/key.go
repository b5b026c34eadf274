package cost

import (
	"encoding/binary"
	"math/bits"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// maxBucket bounds the buckets of lengths. A packet carries less than 64 KB.
const maxBucket = 16

// Key is what callers' packets show of a request before it is placed.
type Key struct {
	Route netip.AddrPort
	// Bucket is the bucket of the length of the first data, see Bucket.
	Bucket uint8
}

// Bucket returns the bucket of a length in bytes: the number of its binary digits.
func Bucket(length int) uint8 { return uint8(min(bits.Len(uint(max(length, 0))), maxBucket)) }

// hash returns the name of the key in load.Cost.
func (k Key) hash() uint32 {
	const portAt = 16
	var b [portAt + 3]byte
	addr := k.Route.Addr().As16()
	copy(b[:], addr[:])
	binary.BigEndian.PutUint16(b[portAt:], k.Route.Port())
	b[portAt+2] = k.Bucket
	return uint32(xxhash.Sum64(b[:]))
}
