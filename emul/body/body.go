// Package body defines what the stand-ins put into the bodies of requests,
// answers and data frames, so that a caller can check what it receives.
package body

import (
	"encoding/binary"
	"math/rand/v2"

	"ebonypaddle/pkg/wire"
)

// MaxAnswer is the longest answer in bytes.
const MaxAnswer = wire.MaxParts * wire.MaxBody

const sizeLen = 4

// Request returns the body of a request for an answer of size bytes.
func Request(size int, payload []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(size)), payload...)
}

// Size returns the size that a request asks for, or 0 if it names none.
func Size(b []byte) int {
	if len(b) < sizeLen {
		return 0
	}
	return int(min(binary.BigEndian.Uint32(b), MaxAnswer))
}

// Answer returns the answer of size bytes to a request. Answers to different
// requests differ.
func Answer(id wire.RequestID, size int) []byte {
	src := rand.NewPCG(binary.BigEndian.Uint64(id[:8]), binary.BigEndian.Uint64(id[8:]))
	b := make([]byte, 0, size+8)
	for len(b) < size {
		b = binary.BigEndian.AppendUint64(b, src.Uint64())
	}
	return b[:size]
}

// Types of data frames.
const (
	Keepalive byte = 'k' // from the caller, echoed by the server
	Push      byte = 'p' // from the server
)

const dataLen = 1 + 8

// Data returns the body of a data frame with a sequence number.
func Data(kind byte, seq uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte{kind}, seq)
}

// ParseData returns the type and sequence number of a data frame's body.
func ParseData(b []byte) (kind byte, seq uint64, ok bool) {
	if len(b) != dataLen {
		return 0, 0, false
	}
	return b[0], binary.BigEndian.Uint64(b[1:]), true
}
