// Package token seals and opens the two credentials that callers carry: flow
// tokens, which bind a flow to a backend server, and request tickets, which
// bind a request to the instance that may run it.
package token

import (
	"crypto/aes"
	"crypto/cipher"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"time"

	"ebonypaddle/pkg/conf"
)

// Sizes in bytes.
const (
	nonceSize     = 12
	tagSize       = 16
	plaintextSize = 40
	headerSize    = 2 + nonceSize // type, key identifier, nonce

	// Size is the size of every sealed flow token and ticket.
	Size = headerSize + plaintextSize + tagSize
)

// Types of credentials. The type is authenticated together with the content.
const (
	typeFlow   = 1
	typeTicket = 2
)

// Errors of OpenFlow and OpenTicket. SealFlow and SealTicket return ErrNoKey if
// no key may be used for sealing yet.
var (
	ErrMalformed = errors.New("token has the wrong length or type")
	ErrNoKey     = errors.New("no key to seal or open the token")
	ErrForged    = errors.New("token failed authentication")
)

// Flow is the content of a flow token.
type Flow struct {
	Service    conf.ServiceID
	Server     conf.ServerID
	Generation uint32
	// Flow is the caller's identifier of the flow. The token is valid for this
	// flow only.
	Flow   uint64
	Issued time.Time
}

// Ticket is the content of a request ticket.
type Ticket struct {
	Service conf.ServiceID
	// Owner is the control address of the only instance that may run the
	// request. Incarnation identifies the process at that address: another
	// process there must not run it.
	Owner       netip.AddrPort
	Incarnation uint64
	// Nonce differs between all tickets of an owner.
	Nonce   uint64
	Expires time.Time
}

// Box seals and opens credentials with the keys of the settings. It is not safe
// for concurrent use.
type Box struct {
	// Rand is the source of nonces.
	Rand io.Reader

	keys      [256]cipher.AEAD
	sealFrom  [256]time.Time
	keyIDs    []uint8 // of keys, in ascending order
	plaintext [plaintextSize]byte
	opened    [plaintextSize]byte
}

// SetKeys replaces all keys. It fails if a secret has an invalid length.
func (box *Box) SetKeys(keys map[string]conf.Key) error {
	box.keys = [256]cipher.AEAD{}
	box.sealFrom = [256]time.Time{}
	box.keyIDs = box.keyIDs[:0]
	for name, k := range keys {
		block, err := aes.NewCipher(k.Secret)
		if err != nil {
			return fmt.Errorf("key %q: %w", name, err)
		}
		aead, err := cipher.NewGCM(block)
		if err != nil {
			return fmt.Errorf("key %q: %w", name, err)
		}
		box.keys[k.ID] = aead
		box.sealFrom[k.ID] = k.SealFrom
		box.keyIDs = append(box.keyIDs, k.ID)
	}
	slices.Sort(box.keyIDs)
	return nil
}

// sealKey returns the identifier of the key with the latest SealFrom that is not
// after now. Keys are not used for sealing before SealFrom, so that instances
// which receive a new key late can open all tokens.
func (box *Box) sealKey(now time.Time) (uint8, bool) {
	best, found := uint8(0), false
	for _, id := range box.keyIDs {
		if box.sealFrom[id].After(now) {
			continue
		}
		if !found || box.sealFrom[id].After(box.sealFrom[best]) {
			best, found = id, true
		}
	}
	return best, found
}

// Outdated reports whether a valid credential was sealed with another key than
// the one used for sealing now, so that its holder needs a new one before the
// old key is removed. It does not allocate.
func (box *Box) Outdated(now time.Time, tok []byte) bool {
	id, ok := box.sealKey(now)
	return ok && len(tok) == Size && tok[1] != id
}

// SealFlow appends a sealed flow token to dst and returns the extended slice.
func (box *Box) SealFlow(now time.Time, dst []byte, f *Flow) ([]byte, error) {
	b := box.plaintext[:]
	clear(b)
	binary.BigEndian.PutUint32(b[0:], uint32(f.Service))
	binary.BigEndian.PutUint32(b[4:], uint32(f.Server))
	binary.BigEndian.PutUint32(b[8:], f.Generation)
	binary.BigEndian.PutUint64(b[12:], f.Flow)
	binary.BigEndian.PutUint64(b[20:], uint64(f.Issued.UnixMilli()))
	return box.seal(now, dst, typeFlow)
}

// OpenFlow opens a flow token into f. It does not allocate.
func (box *Box) OpenFlow(tok []byte, f *Flow) error {
	b, err := box.open(tok, typeFlow)
	if err != nil {
		return err
	}
	f.Service = conf.ServiceID(binary.BigEndian.Uint32(b[0:]))
	f.Server = conf.ServerID(binary.BigEndian.Uint32(b[4:]))
	f.Generation = binary.BigEndian.Uint32(b[8:])
	f.Flow = binary.BigEndian.Uint64(b[12:])
	f.Issued = time.UnixMilli(int64(binary.BigEndian.Uint64(b[20:])))
	return nil
}

// SealTicket appends a sealed ticket to dst and returns the extended slice. It
// fails if the owner's address is not an IPv4 address.
func (box *Box) SealTicket(now time.Time, dst []byte, t *Ticket) ([]byte, error) {
	if !t.Owner.Addr().Is4() {
		return nil, fmt.Errorf("owner address %s is not an IPv4 address", t.Owner)
	}
	b := box.plaintext[:]
	clear(b)
	ip := t.Owner.Addr().As4()
	binary.BigEndian.PutUint32(b[0:], uint32(t.Service))
	copy(b[4:8], ip[:])
	binary.BigEndian.PutUint16(b[8:], t.Owner.Port())
	binary.BigEndian.PutUint64(b[12:], t.Incarnation)
	binary.BigEndian.PutUint64(b[20:], t.Nonce)
	binary.BigEndian.PutUint64(b[28:], uint64(t.Expires.UnixMilli()))
	return box.seal(now, dst, typeTicket)
}

// OpenTicket opens a ticket into t. It does not check the expiry.
func (box *Box) OpenTicket(tok []byte, t *Ticket) error {
	b, err := box.open(tok, typeTicket)
	if err != nil {
		return err
	}
	t.Service = conf.ServiceID(binary.BigEndian.Uint32(b[0:]))
	t.Owner = netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[4:8])), binary.BigEndian.Uint16(b[8:]))
	t.Incarnation = binary.BigEndian.Uint64(b[12:])
	t.Nonce = binary.BigEndian.Uint64(b[20:])
	t.Expires = time.UnixMilli(int64(binary.BigEndian.Uint64(b[28:])))
	return nil
}

func (box *Box) seal(now time.Time, dst []byte, typ byte) ([]byte, error) {
	id, ok := box.sealKey(now)
	if !ok {
		return nil, ErrNoKey
	}
	if cap(dst)-len(dst) < Size {
		dst = append(make([]byte, 0, len(dst)+Size), dst...)
	}
	start := len(dst)
	dst = append(dst, typ, id)
	dst = append(dst, make([]byte, nonceSize)...)
	nonce := dst[start+2 : start+headerSize]
	if _, err := io.ReadFull(box.Rand, nonce); err != nil {
		return nil, fmt.Errorf("read nonce: %w", err)
	}
	return box.keys[id].Seal(dst, nonce, box.plaintext[:], dst[start:start+2]), nil
}

func (box *Box) open(tok []byte, typ byte) ([]byte, error) {
	if len(tok) != Size || tok[0] != typ {
		return nil, ErrMalformed
	}
	aead := box.keys[tok[1]]
	if aead == nil {
		return nil, ErrNoKey
	}
	b, err := aead.Open(box.opened[:0], tok[2:headerSize], tok[headerSize:], tok[:2])
	if err != nil {
		return nil, ErrForged
	}
	return b, nil
}
