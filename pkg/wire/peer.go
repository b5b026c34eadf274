package wire

import (
	"crypto/aes"
	"crypto/cipher"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// PeerKind is the type of a control message between instances.
type PeerKind uint8

// Kinds of control messages. The package that handles a kind defines its body.
const (
	PeerHeartbeat    PeerKind = iota + 1 // member.Message
	PeerStages                           // []server.Update
	PeerRelay                            // reqs.Relay
	PeerRelayAck                         // reqs.RelayAck
	PeerRegistration                     // flow.Registration
	PeerLookup                           // flow.Lookup
	PeerLookupReply                      // flow.LookupReply
	PeerSettings                         // dist.Message
	PeerMark                             // core.Mark
	peerEnd
)

// MaxPeerBytes is the size in bytes of the largest sealed control datagram.
const MaxPeerBytes = 1400

// ErrForged reports a control datagram that was not sealed with the cluster
// key, was changed in transit or has an impossible size.
var ErrForged = errors.New("control datagram failed authentication")

// PeerMsg is a control message before encoding.
type PeerMsg struct {
	Kind PeerKind
	Body any
}

// Sealer encodes and seals control datagrams under the cluster key. It is not
// safe for concurrent use.
type Sealer struct {
	// Rand is the source of nonces.
	Rand io.Reader

	aead cipher.AEAD
}

// SetKey sets the cluster key of 16, 24 or 32 bytes.
func (s *Sealer) SetKey(key []byte) error {
	block, err := aes.NewCipher(key)
	if err != nil {
		return fmt.Errorf("cluster key: %w", err)
	}
	s.aead, err = cipher.NewGCM(block)
	if err != nil {
		return fmt.Errorf("cluster key: %w", err)
	}
	return nil
}

// Seal encodes and seals a message. It fails when the result exceeds MaxPeerBytes.
func (s *Sealer) Seal(m PeerMsg) ([]byte, error) {
	body, err := encMode.Marshal(m.Body)
	if err != nil {
		return nil, fmt.Errorf("encode control message %d: %w", m.Kind, err)
	}
	n := s.aead.NonceSize()
	b := make([]byte, 1+n, 1+n+len(body)+s.aead.Overhead())
	b[0] = byte(m.Kind)
	if _, err := io.ReadFull(s.Rand, b[1:]); err != nil {
		return nil, fmt.Errorf("read nonce: %w", err)
	}
	b = s.aead.Seal(b, b[1:1+n], body, b[:1])
	if len(b) > MaxPeerBytes {
		return nil, fmt.Errorf("control message %d: %d bytes exceed the limit of %d", m.Kind, len(b), MaxPeerBytes)
	}
	return b, nil
}

// Open authenticates a datagram and returns its kind and encoded body. It
// returns ErrForged if authentication fails, and another error if the kind is
// unknown.
func (s *Sealer) Open(b []byte) (PeerKind, []byte, error) {
	n := s.aead.NonceSize()
	if len(b) > MaxPeerBytes || len(b) < 1+n+s.aead.Overhead() {
		return 0, nil, ErrForged
	}
	body, err := s.aead.Open(nil, b[1:1+n], b[1+n:], b[:1])
	if err != nil {
		return 0, nil, ErrForged
	}
	if k := PeerKind(b[0]); k == 0 || k >= peerEnd {
		return 0, nil, fmt.Errorf("control message kind %d does not exist", b[0])
	}
	return PeerKind(b[0]), body, nil
}

// DecodePeer decodes the body of a control message. On failure it returns the
// zero value, never a partly decoded message. If T has a method Check() error,
// DecodePeer calls it to validate the fields.
func DecodePeer[T any](body []byte) (T, error) {
	var v, zero T
	err := peerDecMode.Unmarshal(body, &v)
	if c, ok := any(&v).(interface{ Check() error }); ok && err == nil {
		err = c.Check()
	}
	if err != nil {
		return zero, fmt.Errorf("decode control message: %w", err)
	}
	return v, nil
}

var peerDecMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()
