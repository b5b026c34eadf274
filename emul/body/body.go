// Package body defines the bodies of requests, answers and data frames that the
// emulated callers and servers exchange, so that a caller can check what it receives.
package body

import (
	"encoding/binary"
	"math/rand/v2"

	"ebonypaddle/pkg/wire"
)

// MaxAnswer is the longest answer in bytes.
const MaxAnswer = wire.MaxParts * wire.MaxBody

// sizeBytes is the length of the size field at the start of a request body.
const sizeBytes = 4

// Request returns the body of a request for an answer of size bytes: the size and
// the payload.
func Request(size int, payload []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(size)), payload...)
}

// AnswerSize returns the answer size in bytes that a request body asks for, at most
// MaxAnswer, or 0 if the body is too short to contain a size.
func AnswerSize(b []byte) int {
	if len(b) < sizeBytes {
		return 0
	}
	return int(min(binary.BigEndian.Uint32(b), MaxAnswer))
}

// Answer returns the answer of size bytes to a request. It is pseudorandom and
// determined by id, so that a caller can compute the expected answer.
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
	Keepalive byte = 'k' // sent by the caller, echoed by the server
	Push      byte = 'p' // sent by the server
)

// dataBytes is the length of a data frame's body: the type and the sequence number.
const dataBytes = 1 + 8

// Data returns the body of a data frame with a sequence number.
func Data(kind byte, seq uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte{kind}, seq)
}

// ParseData returns the type and sequence number of a data frame's body. ok is false
// if the body has the wrong length.
func ParseData(b []byte) (kind byte, seq uint64, ok bool) {
	if len(b) != dataBytes {
		return 0, 0, false
	}
	return b[0], binary.BigEndian.Uint64(b[1:]), true
}
