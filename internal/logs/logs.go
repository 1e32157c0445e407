// Package logs writes log lines without ever holding up who logs: lines wait
// in a bounded buffer, and those that find it full, or are over the budget of
// lines a second, are dropped and counted. Whoever reads the output slowly, or
// not at all, costs lines and nothing else. Lines of kinds that are rare come
// through behind those of frequent ones.
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
	// waitMost is how many bytes of lines wait to be written, and waitReserve how
	// many more may be of rare kinds.
	waitMost    = 512 << 10
	waitReserve = 64 << 10
	// perSecondMost is the budget of lines a second: a busy owner writes four
	// for each attempt, some 1,200 a second.
	perSecondMost = 3000
	// flushEvery gathers lines, as each write of the process has its price.
	flushEvery = 50 * time.Millisecond
	// closeWait bounds the wait for the last lines at the end.
	closeWait = 500 * time.Millisecond
	// tellEvery is the least time between lines on what was dropped.
	tellEvery = time.Second
)

// Writer is an [io.Writer] of lines. Make one with [New].
type Writer struct {
	out  io.Writer
	wake chan struct{}
	done chan struct{}

	mu      sync.Mutex
	waiting bytes.Buffer
	budget  budget
	dropped int64
	told    int64
	toldAt  time.Time
	closed  bool
}

// New returns a writer that writes to out.
func New(out io.Writer) *Writer {
	wr := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go wr.run()
	return wr
}

// Write takes one line in, of no kind. It never blocks and never fails.
func (wr *Writer) Write(line []byte) (int, error) {
	if !wr.admit(otherKind) {
		return len(line), nil
	}
	return wr.put(line)
}

// admit reports whether a line of a kind is to be made and [Writer.put], and counts
// it as dropped if not.
func (wr *Writer) admit(name string) bool {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	ki := wr.budget.kind(name)
	ok := wr.budget.spend(ki, time.Now().Unix())
	room := waitMost
	if ki.rare() {
		room += waitReserve
	}
	if !ok || wr.closed || wr.waiting.Len() >= room {
		wr.drop(ki)
		return false
	}
	return true
}

// put takes in a line that was admitted. What was admitted meanwhile may have
// filled the buffer.
func (wr *Writer) put(line []byte) (int, error) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	if wr.closed || wr.waiting.Len()+len(line) > waitMost+waitReserve {
		wr.drop(wr.budget.kind(otherKind))
		return len(line), nil
	}
	wr.waiting.Write(line)
	wr.nudge()
	return len(line), nil
}

func (wr *Writer) drop(ki *kind) {
	wr.dropped++
	ki.dropped++
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
	if wr.dropped > wr.told && (wr.closed || time.Since(wr.toldAt) >= tellEvery) {
		chunk = fmt.Appendf(chunk, "level=WARN msg=\"log lines dropped\" lines=%d total=%d most=%q\n", wr.dropped-wr.told, wr.dropped, wr.budget.most())
		wr.told, wr.toldAt = wr.dropped, time.Now()
	}
	return chunk, wr.closed
}
