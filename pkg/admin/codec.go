// Package admin holds the server and client of an instance's admin API: the
// exchange of settings between instances and the operators' API. Both are
// connect services whose messages are plain Go types encoded in CBOR.
package admin

import (
	"fmt"

	"connectrpc.com/connect"
	"github.com/fxamacker/cbor/v2"
)

// codec implements connect.Codec.
type codec struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

// NewCodec returns a connect codec that encodes any Go type as CBOR.
func NewCodec() (connect.Codec, error) {
	opt := cbor.CoreDetEncOptions()
	// The default encodes times in whole seconds.
	opt.Time = cbor.TimeRFC3339Nano
	enc, err := opt.EncMode()
	if err != nil {
		return nil, fmt.Errorf("CBOR encoder: %w", err)
	}
	dec, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		return nil, fmt.Errorf("CBOR decoder: %w", err)
	}
	return codec{enc, dec}, nil
}

// Name is the content subtype of the codec.
func (codec) Name() string { return "cbor" }

// Marshal encodes a message.
func (c codec) Marshal(v any) ([]byte, error) {
	b, err := c.enc.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return b, nil
}

// Unmarshal decodes a message.
func (c codec) Unmarshal(b []byte, v any) error {
	if err := c.dec.Unmarshal(b, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}
