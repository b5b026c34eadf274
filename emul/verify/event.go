package verify

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Kinds of events. Each names what it acts on, but for Down and Up, which act
// on the object API.
const (
	Kill    = "kill"    // an instance, without warning
	Stop    = "stop"    // an instance, gracefully
	Stopped = "stopped" // the process of that instance has ended
	Started = "started" // an instance again at its place
	Out     = "out"     // a failure domain
	Back    = "back"
	Leave   = "leave" // a backend server
	Return  = "return"
	Cold    = "cold"  // a backend server, silently
	Down    = "down"  // the object API
	Up      = "up"    // the object API
	Force   = "force" // a setting: name, exit code of ebonyctl, seconds
)

// Event is something that was done during a run.
type Event struct {
	At   time.Time
	Kind string
	Args []string
}

// Name returns what the event acts on.
func (e *Event) Name() string {
	if len(e.Args) == 0 {
		return ""
	}
	return e.Args[0]
}

// ParseEvents reads lines of a time in seconds since 1970, a kind and
// arguments.
func ParseEvents(text string) ([]Event, error) {
	var out []Event
	for i, line := range strings.Split(strings.TrimSpace(text), "\n") {
		f := strings.Fields(line)
		if len(f) < 2 {
			return nil, fmt.Errorf("events: line %d is %q, must be TIME KIND ARGUMENTS", i+1, line)
		}
		sec, err := strconv.ParseFloat(f[0], 64)
		if err != nil {
			return nil, fmt.Errorf("events: line %d: time: %w", i+1, err)
		}
		out = append(out, Event{time.UnixMicro(int64(sec * 1e6)), f[1], f[2:]})
	}
	return out, nil
}

// span is the time between an event and the one that ends it.
type span struct {
	name     string
	from, to time.Time
}

// spans pairs events of kind begin with the next of kind end that has the same
// name. One that does not end lasts until last.
func spans(events []Event, begin, end string, last time.Time) []span {
	var out []span
	for i, e := range events {
		if e.Kind != begin {
			continue
		}
		s := span{e.Name(), e.At, last}
		for _, f := range events[i+1:] {
			if f.Kind == end && f.Name() == e.Name() {
				s.to = f.At
				break
			}
		}
		out = append(out, s)
	}
	return out
}
