package wire

import (
	"bytes"
	"fmt"
	"log/slog"
	"net/netip"

	"github.com/fxamacker/cbor/v2"
)

// MaxFrame is the largest encoded frame in bytes. With the PROXY and IP
// headers it stays below an MTU of 1,500 bytes.
const MaxFrame = 1400

// MaxToken is the largest token a frame may carry, in bytes.
const MaxToken = 128

// MaxBody is the largest body in bytes that fits into a frame with a token.
const MaxBody = 1100

// MaxParts is the largest number of parts of one answer. It bounds the memory
// that a caller needs for reassembly.
const MaxParts = 1024

// Packet is a frame with the addresses of its PROXY protocol header.
type Packet struct {
	// Caller is the caller's address, Service the address it sent to.
	Caller, Service netip.AddrPort
	// Via is the fabric address that forwarded a caller's packet. The receiver
	// sets it; it is not part of the datagram.
	Via   netip.AddrPort
	Frame Frame
}

// LogValue returns the caller address, the service address and the flow
// identifier, which together identify a flow in the logs.
func (p *Packet) LogValue() slog.Value {
	return slog.StringValue(fmt.Sprintf("%s>%s/%d", p.Caller, p.Service, p.Frame.Flow))
}

// DecodeError reports a datagram that is malformed or exceeds a limit.
type DecodeError struct {
	Reason Reason
	Err    error
}

func (e *DecodeError) Error() string { return fmt.Sprintf("decode frame: %s: %v", e.Reason, e.Err) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

var (
	encMode = newEncMode()
	decMode = newDecMode()
)

func newEncMode() cbor.UserBufferEncMode {
	m, err := cbor.CoreDetEncOptions().UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func newDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  4,
		MaxArrayElements: 64,
		MaxMapPairs:      16,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// EncodeFrame returns the CBOR encoding of a frame. It fails when the result
// exceeds MaxFrame.
func EncodeFrame(f *Frame) ([]byte, error) {
	b, err := encMode.Marshal(f)
	if err != nil {
		return nil, fmt.Errorf("encode frame: %w", err)
	}
	if err := checkFrameSize(len(b)); err != nil {
		return nil, err
	}
	return b, nil
}

func checkFrameSize(n int) error {
	if n > MaxFrame {
		return fmt.Errorf("encode frame: %d bytes exceed the limit of %d", n, MaxFrame)
	}
	return nil
}

// DecodeFrame parses a frame that occupies all of b into f. On failure it
// returns a *DecodeError and does not change f. The byte slices of f are copies,
// so b may be reused.
func DecodeFrame(b []byte, f *Frame) error {
	if len(b) > MaxFrame {
		return &DecodeError{ReasonTooLarge, fmt.Errorf("%d bytes exceed the limit of %d", len(b), MaxFrame)}
	}
	prev := *f
	*f = Frame{}
	err := decMode.Unmarshal(b, f)
	if err != nil {
		err = &DecodeError{ReasonMalformed, err}
	} else {
		err = f.Check()
	}
	if err != nil {
		*f = prev
	}
	return err
}

// Check returns a *DecodeError for the first field that is out of range.
func (f *Frame) Check() error {
	switch {
	case f.Kind == 0 || f.Kind >= kindEnd:
		return &DecodeError{ReasonMalformed, fmt.Errorf("kind %d does not exist", f.Kind)}
	case f.Outcome >= outcomeEnd:
		return &DecodeError{ReasonMalformed, fmt.Errorf("outcome %d does not exist", f.Outcome)}
	case f.Reason >= reasonEnd:
		return &DecodeError{ReasonMalformed, fmt.Errorf("reason %d does not exist", f.Reason)}
	case len(f.Token) > MaxToken:
		return &DecodeError{ReasonTooLarge, fmt.Errorf("token of %d bytes exceeds the limit of %d", len(f.Token), MaxToken)}
	case f.Parts > MaxParts:
		return &DecodeError{ReasonTooLarge, fmt.Errorf("%d parts exceed the limit of %d", f.Parts, MaxParts)}
	case f.Part > 0 && f.Part >= f.Parts:
		return &DecodeError{ReasonMalformed, fmt.Errorf("part index %d is not below the number of parts, %d", f.Part, f.Parts)}
	}
	return nil
}

// maxFrameOverhead is an upper bound of the encoded size of a frame without the
// content of Token and Body, in bytes.
const maxFrameOverhead = 112

// Encode returns the datagram of a packet: PROXY header and frame. It fails
// when the encoded frame exceeds MaxFrame.
func Encode(p *Packet) ([]byte, error) {
	f := &p.Frame
	b, err := appendHeader(make([]byte, 0, headerSizeUDPv4+maxFrameOverhead+len(f.Token)+len(f.Body)), p.Caller, p.Service)
	if err != nil {
		return nil, err
	}
	buf := bytes.NewBuffer(b)
	if err := encMode.MarshalToBuffer(f, buf); err != nil {
		return nil, fmt.Errorf("encode frame: %w", err)
	}
	if err := checkFrameSize(buf.Len() - len(b)); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// Decode parses a datagram into p and leaves p.Via as it was. On failure it
// returns a *DecodeError and does not change p.
func Decode(b []byte, p *Packet) error {
	caller, service, rest, err := DecodeHeader(b)
	if err != nil {
		return err
	}
	if err := DecodeFrame(rest, &p.Frame); err != nil {
		return err
	}
	p.Caller, p.Service = caller, service
	return nil
}
