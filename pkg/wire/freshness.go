package wire

import "time"

// NoAge is the age of something that never happened.
const NoAge = ^uint32(0)

// FreshnessReport is what an instance knows of the freshness of settings, as
// ages at the moment the report is made. Ages are in milliseconds and rounded
// up, so that they are never understated.
type FreshnessReport struct {
	_ struct{} `cbor:",toarray"`
	// Known is the highest revision the sender has heard of.
	Known uint64
	// Confirmed is the revision that the platform confirmed, Age how long ago.
	Confirmed uint64
	Age       uint32
	// Domains holds how long ago each failure domain was heard.
	Domains []DomainAge
}

// DomainAge tells how long ago a failure domain was heard.
type DomainAge struct {
	_      struct{} `cbor:",toarray"`
	Domain string
	Age    uint32
}

// AgeOf returns the age of t at now. A time that lies ahead has no age.
func AgeOf(now, t time.Time) uint32 {
	d := now.Sub(t)
	if t.IsZero() || d < 0 || d > 24*time.Hour {
		return NoAge
	}
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}
