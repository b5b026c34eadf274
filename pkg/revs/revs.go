// Package revs orders the revisions of a store that may come back from an older
// copy of itself.
package revs

import (
	"fmt"
	"strconv"
	"strings"
)

// Rev is a revision of the store: the store's era in the upper bits, and its
// counter of changes in the lower ones. The counter goes back when an era begins,
// so that the same counter names different states in two eras. Every revision of an
// era is higher than all of earlier eras.
type Rev uint64

const (
	counterBits = 48
	maxCounter  = 1<<counterBits - 1
	maxEra      = 1<<(64-counterBits) - 1
)

// RangeError reports an era or a counter that does not fit in a Rev.
type RangeError struct{ Era, Counter uint64 }

func (e *RangeError) Error() string {
	return fmt.Sprintf("revision %d of era %d is above %d of era %d", e.Counter, e.Era, uint64(maxCounter), uint64(maxEra))
}

// New returns the revision at a counter of an era. It returns a *RangeError if
// either is too high.
func New(era, counter uint64) (Rev, error) {
	if era > maxEra || counter > maxCounter {
		return 0, &RangeError{era, counter}
	}
	return Rev(era<<counterBits | counter), nil
}

// Era returns the era of the store.
func (r Rev) Era() uint64 { return uint64(r) >> counterBits }

// Counter returns the store's counter within the era.
func (r Rev) Counter() uint64 { return uint64(r) & maxCounter }

// String returns ERA.COUNTER, or the counter alone in era 0.
func (r Rev) String() string {
	if r.Era() == 0 {
		return fmt.Sprint(r.Counter())
	}
	return fmt.Sprintf("%d.%d", r.Era(), r.Counter())
}

// Parse parses the output of String. Errors: *RangeError, *strconv.NumError.
func Parse(s string) (Rev, error) {
	eraText, counterText, found := strings.Cut(s, ".")
	if !found {
		eraText, counterText = "0", s
	}
	era, err := strconv.ParseUint(eraText, 10, 64)
	if err != nil {
		return 0, err
	}
	counter, err := strconv.ParseUint(counterText, 10, 64)
	if err != nil {
		return 0, err
	}
	return New(era, counter)
}
