// Package logs gives each subsystem a logger with a switch of its own.
package logs

import (
	"fmt"
	"io"
	"log/slog"
	"time"
)

// Switch makes loggers whose level depends on the subsystem.
type Switch struct {
	// Out takes the lines.
	Out io.Writer
	// Clock, if set, bounds the lines of each message as Limit does.
	Clock func() time.Time
	// Levels maps a subsystem to off, error, warn, info or debug. Others log
	// at level info.
	Levels map[string]string
}

// OrDiscard returns l, or a logger that discards everything if l is nil.
func OrDiscard(l *slog.Logger) *slog.Logger {
	if l == nil {
		return slog.New(slog.DiscardHandler)
	}
	return l
}

// Age is the time from t to now as lines show it, 0 when t is not set.
func Age(now, t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return now.Sub(t)
}

// levelOff is above every level in use.
const levelOff = slog.Level(100)

// ParseLevel returns the level of a name. Unknown names are an error.
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

// Logger returns the logger of a subsystem. A level that does not parse counts
// as info; the validation of the process settings refuses it before.
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
