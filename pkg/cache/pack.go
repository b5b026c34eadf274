package cache

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

// Settings with hundreds of routes take tens of kilobytes of text that repeats
// itself. They are packed once, by the instance that reads them.
const (
	packAbove = 1024    // bytes
	maxUnpack = 4 << 20 // bytes, above the size of any object of the store
	rawMark   = 0
	flateMark = 1
)

// Pack returns the content of an object in the form that facts carry.
func Pack(spec []byte) ([]byte, error) {
	if len(spec) < packAbove {
		return append([]byte{rawMark}, spec...), nil
	}
	var out bytes.Buffer
	out.WriteByte(flateMark)
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("pack %d bytes: %w", len(spec), err)
	}
	if _, err := w.Write(spec); err != nil {
		return nil, fmt.Errorf("pack %d bytes: %w", len(spec), err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("pack %d bytes: %w", len(spec), err)
	}
	return out.Bytes(), nil
}

// Unpack returns the content of a fact.
func Unpack(b []byte) ([]byte, error) {
	if len(b) == 0 {
		return nil, io.ErrUnexpectedEOF
	}
	if b[0] == rawMark {
		return b[1:], nil
	}
	r := flate.NewReader(bytes.NewReader(b[1:]))
	out, err := io.ReadAll(io.LimitReader(r, maxUnpack))
	if err != nil {
		return nil, fmt.Errorf("unpack %d bytes: %w", len(b), err)
	}
	return out, nil
}
