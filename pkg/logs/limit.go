package logs

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// linesPerSecond is the budget of lines with the same message. With the 41
	// messages of a program and 300 bytes a line it bounds the output to 250 KB/s.
	linesPerSecond = 20
	// lineBurst lets the lines of one event through, such as a list of
	// servers after a restart.
	lineBurst = 200
	// reportEvery is the interval of the line that counts what was left out.
	reportEvery = time.Second
	// maxMessages bounds the number of messages that are told apart.
	maxMessages = 256
)

// Limit passes lines on within a budget for each message, so that frequent
// lines do not displace rare ones. It reports what it leaves out.
type Limit struct {
	Next slog.Handler
	// Clock gives the time for the budget.
	Clock func() time.Time

	state *limitState
}

type limitState struct {
	mu       sync.Mutex
	messages map[string]*budget
	reported time.Time
}

type budget struct {
	rate *rate.Limiter
	left int // lines left out since the last report
}

// Start prepares the handler.
func (l *Limit) Start() *Limit {
	l.state = &limitState{messages: map[string]*budget{}, reported: l.Clock()}
	return l
}

// Enabled reports whether the next handler takes the level.
func (l *Limit) Enabled(ctx context.Context, level slog.Level) bool {
	return l.Next.Enabled(ctx, level)
}

// WithAttrs returns a handler with the same budget that adds attributes.
func (l *Limit) WithAttrs(as []slog.Attr) slog.Handler {
	return &Limit{Next: l.Next.WithAttrs(as), Clock: l.Clock, state: l.state}
}

// WithGroup returns a handler with the same budget that opens a group.
func (l *Limit) WithGroup(name string) slog.Handler {
	return &Limit{Next: l.Next.WithGroup(name), Clock: l.Clock, state: l.state}
}

// Handle passes a line on or counts it. Errors are those of the next handler.
func (l *Limit) Handle(ctx context.Context, r slog.Record) error {
	now := l.Clock()
	allowed, report := l.state.take(now, r.Message)
	if report != nil {
		line := slog.NewRecord(now, slog.LevelWarn, "lines left out", 0)
		line.AddAttrs(slog.Any("counts", report))
		if err := l.Next.Handle(ctx, line); err != nil {
			return err
		}
	}
	if !allowed {
		return nil
	}
	return l.Next.Handle(ctx, r)
}

// take uses up the budget of a message. At most once per interval it returns
// the counts of lines left out.
func (s *limitState) take(now time.Time, msg string) (allowed bool, report map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.messages) >= maxMessages && s.messages[msg] == nil {
		msg = "other"
	}
	b := s.messages[msg]
	if b == nil {
		b = &budget{rate: rate.NewLimiter(linesPerSecond, lineBurst)}
		s.messages[msg] = b
	}
	allowed = b.rate.AllowN(now, 1)
	if !allowed {
		b.left++
	}
	if now.Sub(s.reported) < reportEvery {
		return allowed, nil
	}
	s.reported = now
	for m, b := range s.messages {
		if b.left > 0 {
			if report == nil {
				report = map[string]int{}
			}
			report[m], b.left = b.left, 0
		}
	}
	return allowed, report
}
