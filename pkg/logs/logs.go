// Package logs provides loggers whose level is set for each subsystem, a limit
// for the rate of lines and a writer that never blocks.
package logs

import (
	"fmt"
	"io"
	"log/slog"
	"time"
)

// Switch creates loggers whose level depends on the subsystem. A nil Switch
// creates loggers that discard everything.
type Switch struct {
	// Out receives the lines. If it is nil, they are discarded.
	Out io.Writer
	// Clock, if set, returns the time for a Limit on the lines of each logger.
	Clock func() time.Time
	// Levels maps a subsystem to off, error, warn, info or debug. A subsystem
	// that is not listed logs at level info.
	Levels map[string]string
}

// OrDiscard returns l, or a logger that discards everything if l is nil.
func OrDiscard(l *slog.Logger) *slog.Logger {
	if l == nil {
		return slog.New(slog.DiscardHandler)
	}
	return l
}

// Age returns the time from t to now, or 0 if t is zero.
func Age(now, t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return now.Sub(t)
}

// levelOff is higher than every level in use.
const levelOff = slog.Level(100)

// ParseLevel returns the level with the given name: off, error, warn, info or
// debug. It returns an error for any other name.
func ParseLevel(name string) (slog.Level, error) {
	if name == "off" {
		return levelOff, nil
	}
	var l slog.Level
	if err := l.UnmarshalText([]byte(name)); err != nil {
		return 0, fmt.Errorf("log level %q is none of off, error, warn, info, debug", name)
	}
	return l, nil
}

// Logger returns the logger of a subsystem. An invalid level counts as info; the
// validation of the process settings has refused it before.
func (s *Switch) Logger(subsystem string) *slog.Logger {
	if s == nil || s.Out == nil {
		return OrDiscard(nil)
	}
	level := slog.LevelInfo
	if name, ok := s.Levels[subsystem]; ok {
		if l, err := ParseLevel(name); err == nil {
			level = l
		}
	}
	var h slog.Handler = slog.NewTextHandler(s.Out, &slog.HandlerOptions{Level: level})
	if s.Clock != nil {
		h = (&Limit{Next: h, Clock: s.Clock}).Start()
	}
	return slog.New(h).With("subsystem", subsystem)
}
