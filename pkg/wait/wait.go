// Package wait pauses goroutines of the shells. Decisions get the time instead.
package wait

import (
	"context"
	"time"
)

// For returns after d, or with the error of ctx when that ends first.
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

// Pause waits like For, in loops that look at ctx themselves.
func Pause(ctx context.Context, d time.Duration) {
	_ = For(ctx, d) // the loop ends with ctx
}
