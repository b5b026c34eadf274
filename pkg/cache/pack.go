package cache

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

// Settings with hundreds of routes take tens of kilobytes of repetitive text.
// The instance that reads them from the store compresses them once.
const (
	minCompressSize = 1024    // bytes
	maxUnpackedSize = 4 << 20 // bytes; no object of the store is larger
	formatRaw       = 0       // first byte of uncompressed content
	formatFlate     = 1       // first byte of content compressed with DEFLATE
)

// Pack returns an object's content in the format of Object.Spec: one byte that
// identifies the format, then the content, compressed unless it is small.
func Pack(spec []byte) ([]byte, error) {
	if len(spec) < minCompressSize {
		return append([]byte{formatRaw}, spec...), nil
	}
	var out bytes.Buffer
	out.WriteByte(formatFlate)
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

// SizeError reports content that is larger than the store's objects can be.
type SizeError struct{ Max int } // bytes

func (e *SizeError) Error() string {
	return fmt.Sprintf("content is larger than %d bytes", e.Max)
}

// Unpack returns the content that Pack encoded. It fails on empty or corrupt
// input, and with a *SizeError on content of more than maxUnpackedSize bytes.
func Unpack(b []byte) ([]byte, error) {
	if len(b) == 0 {
		return nil, io.ErrUnexpectedEOF
	}
	if b[0] == formatRaw {
		return b[1:], nil
	}
	r := flate.NewReader(bytes.NewReader(b[1:]))
	out, err := io.ReadAll(io.LimitReader(r, maxUnpackedSize+1))
	if err == nil && len(out) > maxUnpackedSize {
		err = &SizeError{maxUnpackedSize}
	}
	if err != nil {
		return nil, fmt.Errorf("unpack %d bytes: %w", len(b), err)
	}
	return out, nil
}
