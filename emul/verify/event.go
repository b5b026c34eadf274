package verify

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Kinds of events, as written in the events file. The first argument of an
// event names its target, except for the events of the object API, which have
// no argument.
const (
	InstanceKill    = "kill"    // the process is killed
	InstanceStop    = "stop"    // a graceful stop is requested
	InstanceStopped = "stopped" // the process has exited after a graceful stop
	InstanceStarted = "started" // a new process runs at the instance's entry place
	DomainOut       = "out"     // a failure domain is taken out
	DomainBack      = "back"    // a failure domain is put back
	ServerLeave     = "leave"   // a backend server is set to leaving
	ServerReturn    = "return"  // the leave of a backend server ends: it returns or is removed
	ServerCold      = "cold"    // a backend server falls back into cold start without a restart
	ObjectAPIDown   = "down"    // the object API starts to fail
	ObjectAPIUp     = "up"      // the object API works again
	SettingForce    = "force"   // an edit has finished; arguments: name, exit code of ebonyctl, seconds
)

// Event is a planned change or failure that a script made during a run.
type Event struct {
	At   time.Time
	Kind string
	Args []string
}

// Name returns the event's target, or "" if it has none.
func (e *Event) Name() string {
	if len(e.Args) == 0 {
		return ""
	}
	return e.Args[0]
}

// ParseEvents parses lines of the form "TIME KIND ARGUMENTS", where TIME is in
// seconds since 1970. It fails on the first malformed line.
func ParseEvents(text string) ([]Event, error) {
	var out []Event
	for i, line := range strings.Split(strings.TrimSpace(text), "\n") {
		f := strings.Fields(line)
		if len(f) < 2 {
			return nil, fmt.Errorf("events: line %d is %q, want TIME KIND ARGUMENTS", i+1, line)
		}
		sec, err := strconv.ParseFloat(f[0], 64)
		if err != nil {
			return nil, fmt.Errorf("events: line %d: parse time: %w", i+1, err)
		}
		out = append(out, Event{time.UnixMicro(int64(sec * 1e6)), f[1], f[2:]})
	}
	return out, nil
}

// span is the time between an event and the event that ends its effect.
type span struct {
	name     string
	from, to time.Time
}

// spans pairs each event of kind begin with the next event of kind end that has
// the same name. A span without an end event ends at last.
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
