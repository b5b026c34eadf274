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
	nonceSize  = 12
	tagSize    = 16
	plainSize  = 40
	headerSize = 2 + nonceSize // type, key identifier, nonce

	// Size is the length of every sealed token.
	Size = headerSize + plainSize + tagSize
)

// Types of credentials; the type is authenticated with the rest.
const (
	typeFlow   = 1
	typeTicket = 2
)

// Errors of Open functions.
var (
	ErrMalformed = errors.New("token has the wrong length or type")
	ErrNoKey     = errors.New("token is sealed with an unknown key")
	ErrForged    = errors.New("token does not authenticate")
)

// Flow is the content of a flow token.
type Flow struct {
	Service    conf.ServiceID
	Server     conf.ServerID
	Generation uint32
	// Flow is the caller's identifier of the flow. A token is of no use for
	// another flow.
	Flow   uint64
	Issued time.Time
}

// Ticket is the content of a request ticket.
type Ticket struct {
	Service conf.ServiceID
	// Owner is the control address of the only instance that may run the
	// request, and Incarnation the only process at that address.
	Owner       netip.AddrPort
	Incarnation uint64
	// Nonce makes every ticket of an owner different.
	Nonce   uint64
	Expires time.Time
}

// Box seals and opens credentials under the keys of the settings. It is not
// safe for concurrent use.
type Box struct {
	// Rand is the source of nonces.
	Rand io.Reader

	keys [256]cipher.AEAD
	from [256]time.Time
	ids  []uint8 // of keys, in ascending order
	buf  [plainSize]byte
	out  [plainSize]byte
}

// SetKeys replaces the keys.
func (x *Box) SetKeys(keys map[string]conf.Key) error {
	x.keys = [256]cipher.AEAD{}
	x.from = [256]time.Time{}
	x.ids = x.ids[:0]
	for name, k := range keys {
		block, err := aes.NewCipher(k.Secret)
		if err != nil {
			return fmt.Errorf("key %q: %w", name, err)
		}
		aead, err := cipher.NewGCM(block)
		if err != nil {
			return fmt.Errorf("key %q: %w", name, err)
		}
		x.keys[k.ID] = aead
		x.from[k.ID] = k.SealFrom
		x.ids = append(x.ids, k.ID)
	}
	slices.Sort(x.ids)
	return nil
}

// sealKey returns the newest key that is due for sealing. Waiting for
// SealFrom keeps tokens readable on instances that learn of a key late.
func (x *Box) sealKey(now time.Time) (uint8, bool) {
	best, found := uint8(0), false
	for _, i := range x.ids {
		if x.from[i].After(now) {
			continue
		}
		if !found || x.from[i].After(x.from[best]) {
			best, found = i, true
		}
	}
	return best, found
}

// Outdated reports whether a credential that opens is sealed with another key
// than the one that is due now, so that its holder needs a new one before the
// old key is removed. It does not allocate.
func (x *Box) Outdated(now time.Time, tok []byte) bool {
	id, ok := x.sealKey(now)
	return ok && len(tok) == Size && tok[1] != id
}

// SealFlow appends a sealed flow token to dst.
func (x *Box) SealFlow(now time.Time, dst []byte, f *Flow) ([]byte, error) {
	b := x.buf[:]
	clear(b)
	binary.BigEndian.PutUint32(b[0:], uint32(f.Service))
	binary.BigEndian.PutUint32(b[4:], uint32(f.Server))
	binary.BigEndian.PutUint32(b[8:], f.Generation)
	binary.BigEndian.PutUint64(b[12:], f.Flow)
	binary.BigEndian.PutUint64(b[20:], uint64(f.Issued.UnixMilli()))
	return x.seal(now, dst, typeFlow)
}

// OpenFlow opens a flow token into f. It does not allocate.
func (x *Box) OpenFlow(tok []byte, f *Flow) error {
	b, err := x.open(tok, typeFlow)
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

// SealTicket appends a sealed ticket to dst.
func (x *Box) SealTicket(now time.Time, dst []byte, t *Ticket) ([]byte, error) {
	if !t.Owner.Addr().Is4() {
		return nil, fmt.Errorf("owner address %s is not an IPv4 address", t.Owner)
	}
	b := x.buf[:]
	clear(b)
	ip := t.Owner.Addr().As4()
	binary.BigEndian.PutUint32(b[0:], uint32(t.Service))
	copy(b[4:8], ip[:])
	binary.BigEndian.PutUint16(b[8:], t.Owner.Port())
	binary.BigEndian.PutUint64(b[12:], t.Incarnation)
	binary.BigEndian.PutUint64(b[20:], t.Nonce)
	binary.BigEndian.PutUint64(b[28:], uint64(t.Expires.UnixMilli()))
	return x.seal(now, dst, typeTicket)
}

// OpenTicket opens a ticket into t. It does not check the expiry.
func (x *Box) OpenTicket(tok []byte, t *Ticket) error {
	b, err := x.open(tok, typeTicket)
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

func (x *Box) seal(now time.Time, dst []byte, typ byte) ([]byte, error) {
	id, ok := x.sealKey(now)
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
	if _, err := io.ReadFull(x.Rand, nonce); err != nil {
		return nil, fmt.Errorf("read nonce: %w", err)
	}
	return x.keys[id].Seal(dst, nonce, x.buf[:], dst[start:start+2]), nil
}

func (x *Box) open(tok []byte, typ byte) ([]byte, error) {
	if len(tok) != Size || tok[0] != typ {
		return nil, ErrMalformed
	}
	aead := x.keys[tok[1]]
	if aead == nil {
		return nil, ErrNoKey
	}
	b, err := aead.Open(x.out[:0], tok[2:headerSize], tok[headerSize:], tok[:2])
	if err != nil {
		return nil, ErrForged
	}
	return b, nil
}
