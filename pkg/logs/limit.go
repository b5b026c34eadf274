package logs

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// linesPerSecond is the rate limit for lines with the same message. With
	// the 41 messages of a program and 300 bytes a line it bounds the output to
	// 250 KB/s.
	linesPerSecond = 20
	// lineBurst is large enough for the lines of one event, such as one line
	// for each server after a restart.
	lineBurst = 200
	// reportInterval is the shortest time between two lines that report the
	// number of suppressed lines.
	reportInterval = time.Second
	// maxMessages bounds the number of messages with a budget of their own. All
	// further ones share the budget of the message "other".
	maxMessages = 256
)

// Limit is a handler that limits the rate of lines for each message, so that
// frequent lines do not displace rare ones. It logs how many lines it has
// suppressed.
type Limit struct {
	Next slog.Handler
	// Clock returns the current time.
	Clock func() time.Time

	budgets *messageBudgets
}

// messageBudgets holds the budgets of a Limit by message. The handlers derived
// from the Limit share them.
type messageBudgets struct {
	mu         sync.Mutex
	byMessage  map[string]*budget
	lastReport time.Time
}

// budget is the rate limit of one message.
type budget struct {
	rate       *rate.Limiter
	suppressed int // lines since the last report
}

// Start prepares the handler.
func (l *Limit) Start() *Limit {
	l.budgets = &messageBudgets{byMessage: map[string]*budget{}, lastReport: l.Clock()}
	return l
}

// Enabled reports whether the next handler handles the level.
func (l *Limit) Enabled(ctx context.Context, level slog.Level) bool {
	return l.Next.Enabled(ctx, level)
}

// WithAttrs returns a handler that adds attributes and shares the budgets.
func (l *Limit) WithAttrs(as []slog.Attr) slog.Handler {
	return &Limit{Next: l.Next.WithAttrs(as), Clock: l.Clock, budgets: l.budgets}
}

// WithGroup returns a handler that opens a group and shares the budgets.
func (l *Limit) WithGroup(name string) slog.Handler {
	return &Limit{Next: l.Next.WithGroup(name), Clock: l.Clock, budgets: l.budgets}
}

// Handle passes a line to the next handler or suppresses it. It returns the
// errors of the next handler.
func (l *Limit) Handle(ctx context.Context, r slog.Record) error {
	now := l.Clock()
	allowed, report := l.budgets.allow(now, r.Message)
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

// allow reports whether a line with the message is within its budget, and counts
// it if it is not. At most once per reportInterval it also returns the numbers of
// suppressed lines by message.
func (s *messageBudgets) allow(now time.Time, msg string) (allowed bool, report map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.byMessage) >= maxMessages && s.byMessage[msg] == nil {
		msg = "other"
	}
	b := s.byMessage[msg]
	if b == nil {
		b = &budget{rate: rate.NewLimiter(linesPerSecond, lineBurst)}
		s.byMessage[msg] = b
	}
	allowed = b.rate.AllowN(now, 1)
	if !allowed {
		b.suppressed++
	}
	if now.Sub(s.lastReport) < reportInterval {
		return allowed, nil
	}
	s.lastReport = now
	for m, b := range s.byMessage {
		if b.suppressed > 0 {
			if report == nil {
				report = map[string]int{}
			}
			report[m], b.suppressed = b.suppressed, 0
		}
	}
	return allowed, report
}
