package wait_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/wait"
)

// Guards against a wait that ends early, and against one that does not end with
// its context and so delays the stop of a program.
func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		assert.NilError(t, wait.For(t.Context(), time.Second))
		assert.Equal(t, time.Since(start), time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.ErrorIs(t, wait.For(ctx, time.Hour), context.DeadlineExceeded)
		assert.Equal(t, time.Since(start), 2*time.Second)
	})
}
