package conf

import (
	"encoding/json"
	"fmt"
	"time"
)

// String returns the duration with its unit.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON encodes the duration as a string with a unit.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes a string with a unit. It fails on a plain number, whose
// unit is ambiguous.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("duration %s is not a string with a unit such as \"250ms\"", b)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("duration %q: %w", s, err)
	}
	*d = Duration(v)
	return nil
}
