package logs

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// asyncBufferBytes bounds the lines that wait to be written.
	asyncBufferBytes = 256 << 10
	// maxWriteBytes is the largest write to a pipe that Linux does not split.
	maxWriteBytes = 4096
	// flushInterval is the wait after a write, so that the lines of that time
	// are written together.
	flushInterval = 100 * time.Millisecond
)

// Async is a writer that writes lines in the background and never blocks its
// callers. If the reader of Out is too slow and the buffer is full, lines are
// dropped and counted.
type Async struct {
	Out io.Writer
	// Dropped counts lines that did not fit into the buffer, Failed counts
	// writes to Out that returned an error.
	Dropped, Failed atomic.Uint64

	mu   sync.Mutex
	buf  []byte
	wake chan struct{}
	done chan struct{}
}

// Start starts the background writer. Close stops it.
func (a *Async) Start() *Async {
	a.wake, a.done = make(chan struct{}, 1), make(chan struct{})
	go a.run()
	return a
}

// Write queues one line, or drops it if the buffer is full. It never fails.
func (a *Async) Write(b []byte) (int, error) {
	a.mu.Lock()
	fits := len(a.buf)+len(b) <= asyncBufferBytes
	if fits {
		a.buf = append(a.buf, b...)
	}
	a.mu.Unlock()
	if !fits {
		a.Dropped.Add(1)
		return len(b), nil
	}
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return len(b), nil
}

func (a *Async) run() {
	defer close(a.done)
	var out []byte
	for range a.wake {
		out = a.flush(out)
		time.Sleep(flushInterval)
	}
	a.flush(out)
}

// flush writes the queued lines. It takes a buffer for the lines that follow and
// returns the one that it has written, to be passed to the next call.
func (a *Async) flush(out []byte) []byte {
	a.mu.Lock()
	out, a.buf = a.buf, out[:0]
	a.mu.Unlock()
	for rest := out; len(rest) > 0; {
		n := len(rest)
		if n > maxWriteBytes {
			// Split between lines, unless a single line is longer.
			if n = bytes.LastIndexByte(rest[:maxWriteBytes], '\n') + 1; n == 0 {
				n = maxWriteBytes
			}
		}
		if _, err := a.Out.Write(rest[:n]); err != nil {
			a.Failed.Add(1)
		}
		rest = rest[n:]
	}
	return out
}

// Map returns the counters by name, to be published with expvar.
func (a *Async) Map() any {
	return map[string]uint64{"dropped": a.Dropped.Load(), "failed": a.Failed.Load()}
}

// Close writes the queued lines and stops the background writer. It returns
// after at most wait. Write must not be called afterwards.
func (a *Async) Close(wait time.Duration) {
	close(a.wake)
	select {
	case <-a.done:
	case <-time.After(wait):
	}
}
