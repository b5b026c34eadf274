package wait_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/wait"
)

// Guards against a shell that cannot be stopped while it waits, and a wait that
// ends early.
func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		assert.NilError(t, wait.For(t.Context(), time.Second))
		assert.Equal(t, time.Since(began), time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.ErrorIs(t, wait.For(ctx, time.Hour), context.DeadlineExceeded)
		assert.Equal(t, time.Since(began), 2*time.Second)
	})
}
