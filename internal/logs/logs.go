// Package logs writes log lines without blocking the caller: lines wait in a bounded buffer,
// and those that find it full, or that are over the budget of lines a second, are dropped and
// counted. An output that is read slowly or not at all costs lines and nothing else. Rare kinds
// of lines have a reserve, so that frequent ones do not displace them.
package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

// Limits on what is written.
const (
	// maxBuffered is the number of buffered bytes above which lines are dropped, and
	// bufferReserve the additional bytes for rare kinds.
	maxBuffered   = 512 << 10
	bufferReserve = 64 << 10
	// maxLinesPerSecond is the budget of lines a second: a busy owner writes four for
	// each attempt, 1,200 a second.
	maxLinesPerSecond = 3000
	// flushInterval collects lines into fewer writes, as each write of the process costs
	// processor time.
	flushInterval = 50 * time.Millisecond
	// closeTimeout bounds the wait for the last lines at the end.
	closeTimeout = 500 * time.Millisecond
	// reportInterval is the minimum interval between reports of dropped lines.
	reportInterval = time.Second
)

// Writer is an [io.Writer] of log lines. Create one with [New].
type Writer struct {
	out  io.Writer
	wake chan struct{}
	done chan struct{}

	mu         sync.Mutex
	buffered   bytes.Buffer
	budget     budget
	dropped    int64
	reported   int64
	reportedAt time.Time
	closed     bool
}

// New returns a writer that writes to out.
func New(out io.Writer) *Writer {
	wr := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go wr.run()
	return wr
}

// Write accepts one line of otherKind. It never blocks and never fails.
func (wr *Writer) Write(line []byte) (int, error) {
	if !wr.admit(otherKind) {
		return len(line), nil
	}
	return wr.enqueue(line)
}

// admit reports whether a line of a kind is to be formatted and passed to
// [Writer.enqueue]. If not, it counts the line as dropped.
func (wr *Writer) admit(name string) bool {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	ki := wr.budget.kind(name)
	ok := wr.budget.allow(ki, time.Now().Unix())
	capacity := maxBuffered
	if ki.rare() {
		capacity += bufferReserve
	}
	if !ok || wr.closed || wr.buffered.Len() >= capacity {
		wr.countDropped(ki)
		return false
	}
	return true
}

// enqueue buffers a line that was admitted. Lines admitted at the same time may have
// filled the buffer in between.
func (wr *Writer) enqueue(line []byte) (int, error) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	if wr.closed || wr.buffered.Len()+len(line) > maxBuffered+bufferReserve {
		wr.countDropped(wr.budget.kind(otherKind))
		return len(line), nil
	}
	wr.buffered.Write(line)
	wr.signal()
	return len(line), nil
}

func (wr *Writer) countDropped(ki *kind) {
	wr.dropped++
	ki.dropped++
}

func (wr *Writer) signal() {
	select {
	case wr.wake <- struct{}{}:
	default:
	}
}

// Dropped returns the number of lines dropped.
func (wr *Writer) Dropped() int64 {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	return wr.dropped
}

// Close writes the buffered lines, within closeTimeout.
func (wr *Writer) Close() {
	wr.mu.Lock()
	wr.closed = true
	wr.mu.Unlock()
	wr.signal()
	select {
	case <-wr.done:
	case <-time.After(closeTimeout):
	}
}

func (wr *Writer) run() {
	defer close(wr.done)
	var chunk []byte
	for range wr.wake {
		time.Sleep(flushInterval)
		var last bool
		chunk, last = wr.drain(chunk[:0])
		// An error of the log's own output cannot be logged.
		_, _ = wr.out.Write(chunk)
		if last {
			return
		}
	}
}

// drain moves the buffered lines to chunk, with a line that reports dropped lines. It
// also reports whether the writer is closed.
func (wr *Writer) drain(chunk []byte) ([]byte, bool) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	chunk = append(chunk, wr.buffered.Bytes()...)
	wr.buffered.Reset()
	if wr.dropped > wr.reported && (wr.closed || time.Since(wr.reportedAt) >= reportInterval) {
		chunk = fmt.Appendf(chunk, "level=WARN msg=\"log lines dropped\" lines=%d total=%d most=%q\n", wr.dropped-wr.reported, wr.dropped, wr.budget.report())
		wr.reported, wr.reportedAt = wr.dropped, time.Now()
	}
	return chunk, wr.closed
}
