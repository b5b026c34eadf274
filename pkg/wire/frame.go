// Package wire defines the frames exchanged between callers, instances and
// backend servers, and the datagrams that carry them: a PROXY protocol v2
// header followed by one CBOR-encoded frame.
package wire

import (
	"encoding/hex"
	"errors"
	"log/slog"
	"time"

	"ebonypaddle/pkg/conf"
)

// Kind is the type of a frame.
type Kind uint8

// Kinds of frames. Callers send KindOpen, KindRequest and KindCancel, and
// receive KindOpened, KindClosed, KindAnswer and KindRefusal. KindData and
// KindClose go in both directions. KindProbe and KindProbed are exchanged
// between an instance and a backend server.
const (
	KindOpen    Kind = iota + 1 // open a flow
	KindOpened                  // the flow is open; carries its token
	KindData                    // one datagram of an open flow, either direction
	KindClose                   // the caller or server ends the flow
	KindClosed                  // the flow was closed, for the reason in Reason
	KindRequest                 // one request
	KindAnswer                  // one part of the answer to a request
	KindRefusal                 // the request was not done, or the flow not opened
	KindCancel                  // the caller no longer waits for the answer
	KindProbe                   // request to a server to confirm its identity
	KindProbed                  // a server's confirmation of its identity
	kindEnd
)

var kindNames = [kindEnd]string{
	KindOpen: "open", KindOpened: "opened", KindData: "data", KindClose: "close", KindClosed: "closed", KindRequest: "request",
	KindAnswer: "answer", KindRefusal: "refusal", KindCancel: "cancel", KindProbe: "probe", KindProbed: "probed",
}

// LogValue returns the name of the kind.
func (k Kind) LogValue() slog.Value {
	if k >= kindEnd || kindNames[k] == "" {
		return slog.StringValue("invalid")
	}
	return slog.StringValue(kindNames[k])
}

// Flags of a frame.
const (
	// FlagOnce marks a request that may run at most once.
	FlagOnce uint8 = 1 << iota
	// FlagShed marks a frame in which a server refuses a request or a new flow.
	FlagShed
	// FlagCold marks a frame of a server in cold start that refuses work.
	FlagCold
	// FlagDraining marks a frame of a server that accepts no new work.
	FlagDraining
	// FlagStateless marks a frame of a caller that cannot store a token and
	// needs none.
	FlagStateless
)

// Outcome is the result of a request as reported to the caller.
type Outcome uint8

// Outcomes of a request.
const (
	OutcomeNone    Outcome = iota
	OutcomeDone            // the answer is complete
	OutcomeNotRun          // the request did not run
	OutcomeUnknown         // the request may or may not have run
	outcomeEnd
)

// String returns the outcome as used in logs and counters.
func (o Outcome) String() string {
	switch o {
	case OutcomeNone:
		return "none"
	case OutcomeDone:
		return "done"
	case OutcomeNotRun:
		return "notRun"
	case OutcomeUnknown:
		return "unknown"
	}
	return "invalid"
}

// RequestID identifies a request of a caller. The caller chooses it at random.
type RequestID [16]byte

// UnmarshalCBOR accepts only a byte string of exactly 16 bytes. The default
// decoding truncates a longer one and pads a shorter one, so that different
// requests would share an identifier.
func (id *RequestID) UnmarshalCBOR(b []byte) error {
	const prefix = 0x40 | byte(len(id)) // byte string of 16 bytes
	if len(b) != 1+len(id) || b[0] != prefix {
		return errRequestID
	}
	copy(id[:], b[1:])
	return nil
}

// LogValue returns the identifier in hexadecimal.
func (id RequestID) LogValue() slog.Value { return slog.StringValue(hex.EncodeToString(id[:])) }

var errRequestID = errors.New("request identifier is not a byte string of 16 bytes")

// Load is the load that a server reports about itself. It may be outdated or
// wrong.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// InFlight is the number of requests that run or are queued.
	InFlight uint16
	// Flows is the number of open flows.
	Flows uint16
	// Slots is the number of requests the server runs at once.
	Slots uint16
}

// Frame is one message between caller, instance and backend server.
type Frame struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	// Flow identifies the flow among the flows of one caller, which chooses it.
	Flow uint64
	// Token is a flow token or, in a request that may run at most once, a
	// ticket.
	Token []byte
	// ID is the request the frame belongs to.
	ID RequestID
	// Attempt numbers the attempts of one request, so that a late answer to an
	// earlier attempt can be recognized. Callers leave it zero. Servers copy
	// the attempt of a probe into their answer.
	Attempt uint32
	// Part is the index of a part of an answer, from 0; Parts is their number.
	Part, Parts uint16
	// Timeout is how long the caller still waits, in milliseconds. It is a
	// duration because the clocks of callers are not trusted.
	Timeout uint32
	// Deadline is the Unix time in milliseconds at which a server stops the
	// request, whether it is queued or runs. Only frames to servers carry it.
	Deadline int64
	Flags    uint8
	Outcome  Outcome
	Reason   Reason
	Body     []byte
	// Service, Server, Generation and Boot identify the backend server. The
	// server chooses Boot at random at each start.
	Service    conf.ServiceID
	Server     conf.ServerID
	Generation uint32
	Boot       uint64
	Load       Load
	// Expires is the Unix time in milliseconds after which a server discards
	// an arriving frame. It is earlier than Deadline if the sender cannot be
	// sure for that long that the server is still the right one. A request that
	// arrived in time runs on after Expires.
	Expires int64
}

// DeadlineTime returns the deadline, or the zero time when there is none.
func (f *Frame) DeadlineTime() time.Time {
	if f.Deadline == 0 {
		return time.Time{}
	}
	return time.UnixMilli(f.Deadline)
}

// SetDeadline sets the deadline, rounded down to whole milliseconds.
func (f *Frame) SetDeadline(t time.Time) { f.Deadline = t.UnixMilli() }

// SetExpires sets the latest time of arrival, rounded down to whole
// milliseconds.
func (f *Frame) SetExpires(t time.Time) { f.Expires = t.UnixMilli() }

// Expired reports whether a frame that arrives at now is past Deadline or Expires
// and must be discarded.
func (f *Frame) Expired(now time.Time) bool {
	return f.Deadline != 0 && now.After(time.UnixMilli(f.Deadline)) ||
		f.Expires != 0 && now.After(time.UnixMilli(f.Expires))
}

// Has reports whether all bits of flag are set.
func (f *Frame) Has(flag uint8) bool { return f.Flags&flag == flag }
