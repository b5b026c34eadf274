package wire

import "time"

// NoAge is the age of an event that has not happened or whose age is unknown.
const NoAge = ^uint32(0)

// FreshnessReport states how recent the sender's settings are.
// Ages are relative to the time of the report, in milliseconds, and rounded up
// so that they are never understated.
type FreshnessReport struct {
	_ struct{} `cbor:",toarray"`
	// Known is the highest revision that the sender knows to exist.
	Known uint64
	// Confirmed is the revision that the platform confirmed, and Age is the age
	// of that confirmation.
	Confirmed uint64
	Age       uint32
	// Domains holds the age of the last message from each failure domain.
	Domains []DomainAge
}

// DomainAge is the age in milliseconds of the last message from a failure
// domain.
type DomainAge struct {
	_      struct{} `cbor:",toarray"`
	Domain string
	Age    uint32
}

// AgeOf returns the age of t at now in milliseconds, rounded up. It is NoAge if
// t is zero, in the future or more than 24 hours ago.
func AgeOf(now, t time.Time) uint32 {
	d := now.Sub(t)
	if t.IsZero() || d < 0 || d > 24*time.Hour {
		return NoAge
	}
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}
