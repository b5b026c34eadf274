package logs

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// asyncBuffer bounds in bytes what waits for a slow reader.
	asyncBuffer = 256 << 10
	// maxWrite is the size in bytes up to which a write to a pipe is not
	// split on Linux.
	maxWrite = 4096
	// flushEvery gathers lines into one write.
	flushEvery = 100 * time.Millisecond
)

// Async writes in the background and never blocks its callers: what a slow
// reader does not take in time is dropped and counted.
type Async struct {
	Out io.Writer
	// Dropped counts lines that did not fit, Failed writes that failed.
	Dropped, Failed atomic.Uint64

	mu   sync.Mutex
	buf  []byte
	wake chan struct{}
	done chan struct{}
}

// Start begins to write. Close ends it.
func (a *Async) Start() *Async {
	a.wake, a.done = make(chan struct{}, 1), make(chan struct{})
	go a.run()
	return a
}

// Write takes one line. It never fails.
func (a *Async) Write(b []byte) (int, error) {
	a.mu.Lock()
	fits := len(a.buf)+len(b) <= asyncBuffer
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
		time.Sleep(flushEvery)
	}
	a.flush(out)
}

// flush writes what waits, and returns its buffer for the next time.
func (a *Async) flush(out []byte) []byte {
	a.mu.Lock()
	out, a.buf = a.buf, out[:0]
	a.mu.Unlock()
	for rest := out; len(rest) > 0; {
		n := len(rest)
		if n > maxWrite {
			// Whole lines, unless one line is longer.
			if n = bytes.LastIndexByte(rest[:maxWrite], '\n') + 1; n == 0 {
				n = maxWrite
			}
		}
		if _, err := a.Out.Write(rest[:n]); err != nil {
			a.Failed.Add(1)
		}
		rest = rest[n:]
	}
	return out
}

// Map returns the counters by name, for a program to publish.
func (a *Async) Map() any {
	return map[string]uint64{"dropped": a.Dropped.Load(), "failed": a.Failed.Load()}
}

// Close writes what waits, for at most wait. No Write may follow.
func (a *Async) Close(wait time.Duration) {
	close(a.wake)
	select {
	case <-a.done:
	case <-time.After(wait):
	}
}
