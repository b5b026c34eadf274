package logs_test

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/logs"
)

// Guards against a flood of lines with one message that displaces rare lines or
// fills the disk that stores the logs.
func TestLimitCountsSuppressedLines(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	var out bytes.Buffer
	l := &logs.Limit{Next: slog.NewTextHandler(&out, nil), Clock: func() time.Time { return now }}
	log := slog.New(l.Start())
	for range 10_000 {
		log.Info("frequent")
	}
	log.Info("rare")
	assert.Equal(t, strings.Count(out.String(), "msg=frequent"), 200)
	assert.Equal(t, strings.Count(out.String(), "msg=rare"), 1)
	out.Reset()
	now = now.Add(time.Second)
	log.Info("frequent")
	assert.Assert(t, strings.Contains(out.String(), "lines left out"))
	assert.Assert(t, strings.Contains(out.String(), "frequent:9800"), out.String())
	out.Reset()
	for range 10 {
		now = now.Add(time.Second)
		for range 100 {
			log.Info("frequent")
		}
	}
	// 20 lines a second for 11 s, less the one written above.
	assert.Equal(t, strings.Count(out.String(), "msg=frequent"), 11*20-1)
}

// Guards against a reader of standard output that stops reading and thereby
// blocks the handling of packets.
func TestAsyncNeverBlocks(t *testing.T) {
	r, w := io.Pipe()
	a := (&logs.Async{Out: w}).Start()
	line := bytes.Repeat([]byte("x"), 1000)
	for range 10_000 {
		n, err := a.Write(line)
		assert.NilError(t, err)
		assert.Equal(t, n, len(line))
	}
	assert.Assert(t, a.Dropped.Load() > 9000)
	assert.NilError(t, r.Close())
	a.Close(time.Minute)
	assert.Assert(t, a.Failed.Load() > 0)
}

// Guards against lines that are lost at the end of the process.
func TestAsyncWritesAllAtClose(t *testing.T) {
	var out bytes.Buffer
	a := (&logs.Async{Out: &out}).Start()
	for range 100 {
		_, err := a.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	a.Close(time.Minute)
	assert.Equal(t, strings.Count(out.String(), "line\n"), 100)
}
