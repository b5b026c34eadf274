package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"

	"ebonypaddle/pkg/revs"
)

// Cause is the reason why a call failed.
type Cause uint8

// Causes. Each has a counter for errors and one for retries.
const (
	CauseTimeout   Cause = iota // no answer in time
	CauseConnect                // the connection failed, so nothing was sent
	CauseTransport              // the connection broke before the answer
	CauseStatus                 // an HTTP status that reports a failure
	CauseThrottled              // the platform limits the rate of calls
	CauseMalformed              // the answer is not the expected JSON
	CauseConflict
	CauseGone
	CauseNotFound
	CauseRequest // any other error, such as an invalid request
	causeEnd
)

var causeNames = [causeEnd]string{"timeout", "connect", "transport", "status", "throttled", "malformed", "conflict", "gone", "notFound", "request"}

// String returns the name of the cause as used in counters.
func (c Cause) String() string {
	if c >= causeEnd {
		return "invalid"
	}
	return causeNames[c]
}

// ByCause holds one counter for each cause.
type ByCause [causeEnd]atomic.Uint64

// Add counts one event.
func (b *ByCause) Add(c Cause) { b[c].Add(1) }

// Get returns the count for the cause.
func (b *ByCause) Get(c Cause) uint64 { return b[c].Load() }

// Counters are the counters of one client.
type Counters struct {
	// Calls counts HTTP calls. ReadBacks counts reads that check whether a
	// write without an answer took effect; Resolved counts such writes that
	// did, Unresolved those for which this remains unknown.
	Calls, ReadBacks, Resolved, Unresolved atomic.Uint64
	Errors, Retries                        ByCause
}

// Map returns the counters that are not zero, by name.
func (c *Counters) Map() map[string]uint64 {
	m := map[string]uint64{
		"calls": c.Calls.Load(), "readBacks": c.ReadBacks.Load(),
		"resolved": c.Resolved.Load(), "unresolved": c.Unresolved.Load(),
	}
	for cause := range causeEnd {
		m["errors."+cause.String()] = c.Errors.Get(cause)
		m["retries."+cause.String()] = c.Retries.Get(cause)
	}
	for k, n := range m {
		if n == 0 {
			delete(m, k)
		}
	}
	return m
}

// ConflictError reports that the object of a conditional write is not at the
// expected revision.
type ConflictError struct {
	Kind, Name string
	// Rev and Value are the current ones. Rev is 0 if the object does not
	// exist, and Value is nil if it could not be read.
	Rev   uint64
	Value json.RawMessage
	// Uncertain is set if the answer to the write was lost and a later write
	// of another client may have replaced it.
	Uncertain bool
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s %q is at revision %v", e.Kind, e.Name, revs.Rev(e.Rev))
}

// RestoredError reports a conditional write that the store carried out in a later era
// than that of the object which it was to replace. The store came back from an older
// copy between the two, so the write may have replaced a state that was not read.
type RestoredError struct {
	Kind, Name string
	// Base is the revision that the write was to replace, Rev that of the write.
	Base, Rev uint64
}

func (e *RestoredError) Error() string {
	return fmt.Sprintf("%s %q: the store came back from an older copy after revision %v was read; the write took effect at %v and may have replaced another state", e.Kind, e.Name, revs.Rev(e.Base), revs.Rev(e.Rev))
}

// UnavailableError reports that the object API gave no usable answer.
type UnavailableError struct {
	Cause Cause
	// Uncertain is set if a write may have taken effect.
	Uncertain bool
	Err       error
}

func (e *UnavailableError) Error() string {
	if e.Uncertain {
		return fmt.Sprintf("object API unavailable (%s), the write may have taken effect: %v", e.Cause, e.Err)
	}
	return fmt.Sprintf("object API unavailable (%s): %v", e.Cause, e.Err)
}

// Unwrap returns the underlying error.
func (e *UnavailableError) Unwrap() error { return e.Err }

// GoneError reports that the platform no longer has the changes that a watch
// requested.
type GoneError struct{ Path string }

func (e *GoneError) Error() string { return fmt.Sprintf("%s: changes are no longer available", e.Path) }

// NotFoundError reports an object that does not exist.
type NotFoundError struct{ Path string }

func (e *NotFoundError) Error() string { return fmt.Sprintf("%s does not exist", e.Path) }

// causeOf returns the cause of an error and reports whether a read that failed
// with it can be retried.
func causeOf(err error) (Cause, bool) {
	var un *UnavailableError
	var conflict *ConflictError
	var gone *GoneError
	var notFound *NotFoundError
	switch {
	case errors.As(err, &un):
		return un.Cause, true
	case errors.As(err, &conflict):
		return CauseConflict, false
	case errors.As(err, &gone):
		return CauseGone, false
	case errors.As(err, &notFound):
		return CauseNotFound, false
	}
	return CauseRequest, false
}

func transportError(err error) error {
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return &UnavailableError{Cause: CauseConnect, Err: err}
	case errors.Is(err, context.DeadlineExceeded):
		return &UnavailableError{Cause: CauseTimeout, Err: err}
	}
	return &UnavailableError{Cause: CauseTransport, Err: err}
}

func statusError(req *http.Request, status int, body []byte) error {
	switch {
	case status == http.StatusOK:
		return nil
	case status == http.StatusConflict:
		var current struct {
			Rev uint64 `json:"rev"`
		}
		if err := DecodeMembers(body, []string{"rev"}, &current.Rev); err != nil {
			return &UnavailableError{Cause: CauseMalformed, Err: err}
		}
		return &ConflictError{Rev: current.Rev}
	case status == http.StatusGone:
		return &GoneError{Path: req.URL.Path}
	case status == http.StatusNotFound:
		return &NotFoundError{Path: req.URL.Path}
	case status == http.StatusTooManyRequests:
		return &UnavailableError{Cause: CauseThrottled, Err: fmt.Errorf("status %d", status)}
	case status >= 500:
		return &UnavailableError{Cause: CauseStatus, Err: fmt.Errorf("status %d", status)}
	}
	return fmt.Errorf("object API: %s %s: status %d: %.200s", req.Method, req.URL.Path, status, body)
}
