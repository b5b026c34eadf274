// Package wait lets goroutines that do I/O wait until a time has passed or a
// context ends. Packages that make decisions, such as pkg/core, never wait; they
// receive the current time as an argument.
package wait

import (
	"context"
	"time"
)

// For waits for d. If ctx ends first, it returns the error of ctx at once.
func For(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// Pause waits like For but returns no error. It is for loops that check ctx
// themselves.
func Pause(ctx context.Context, d time.Duration) {
	_ = For(ctx, d) // the calling loop checks ctx
}
