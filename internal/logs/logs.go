// Package logs writes log lines without ever holding up who logs: lines wait
// in a bounded buffer, and those that find it full, or are over the budget of
// lines a second, are dropped and counted. Whoever reads the output slowly, or
// not at all, costs lines and nothing else.
package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

// Bounds on what is written.
const (
	// waitMost is how many bytes of lines wait to be written.
	waitMost = 512 << 10
	// perSecondMost is the budget of lines a second: a busy owner writes four
	// for each attempt, some 1,200 a second.
	perSecondMost = 3000
	// flushEvery gathers lines, as each write of the process has its price.
	flushEvery = 50 * time.Millisecond
	// closeWait bounds the wait for the last lines at the end.
	closeWait = 500 * time.Millisecond
)

// Writer is an [io.Writer] of lines. Make one with [New].
type Writer struct {
	out  io.Writer
	wake chan struct{}
	done chan struct{}

	mu      sync.Mutex
	waiting bytes.Buffer
	second  int64
	lines   int
	dropped int64
	told    int64
	closed  bool
}

// New returns a writer that writes to out.
func New(out io.Writer) *Writer {
	wr := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go wr.run()
	return wr
}

// Write takes one line in. It never blocks and never fails.
func (wr *Writer) Write(line []byte) (int, error) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	if now := time.Now().Unix(); now != wr.second {
		wr.second, wr.lines = now, 0
	}
	wr.lines++
	if wr.closed || wr.lines > perSecondMost || wr.waiting.Len()+len(line) > waitMost {
		wr.dropped++
		return len(line), nil
	}
	wr.waiting.Write(line)
	wr.nudge()
	return len(line), nil
}

// spent reports whether the budget of this second is spent, and counts a line that
// is not written if it is.
func (wr *Writer) spent() bool {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	if wr.lines < perSecondMost || time.Now().Unix() != wr.second {
		return false
	}
	wr.dropped++
	return true
}

func (wr *Writer) nudge() {
	select {
	case wr.wake <- struct{}{}:
	default:
	}
}

// Dropped returns how many lines were dropped.
func (wr *Writer) Dropped() int64 {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	return wr.dropped
}

// Close writes what waits, if that can be done soon.
func (wr *Writer) Close() {
	wr.mu.Lock()
	wr.closed = true
	wr.mu.Unlock()
	wr.nudge()
	select {
	case <-wr.done:
	case <-time.After(closeWait):
	}
}

func (wr *Writer) run() {
	defer close(wr.done)
	var chunk []byte
	for range wr.wake {
		time.Sleep(flushEvery)
		var last bool
		chunk, last = wr.take(chunk[:0])
		// Nobody is left to be told of an error of the log itself.
		_, _ = wr.out.Write(chunk)
		if last {
			return
		}
	}
}

// take moves what waits to chunk, with a line on what was dropped.
func (wr *Writer) take(chunk []byte) ([]byte, bool) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	chunk = append(chunk, wr.waiting.Bytes()...)
	wr.waiting.Reset()
	if wr.dropped > wr.told {
		chunk = fmt.Appendf(chunk, "level=WARN msg=\"log lines dropped\" lines=%d total=%d\n", wr.dropped-wr.told, wr.dropped)
		wr.told = wr.dropped
	}
	return chunk, wr.closed
}
