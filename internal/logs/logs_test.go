package logs

import (
	"fmt"
	"log/slog"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// sink collects what is written.
type sink struct {
	mu   sync.Mutex
	text strings.Builder
}

func (si *sink) Write(data []byte) (int, error) {
	si.mu.Lock()
	defer si.mu.Unlock()
	return si.text.Write(data)
}

func (si *sink) String() string {
	si.mu.Lock()
	defer si.mu.Unlock()
	return si.text.String()
}

func write(wr *Writer, lines int) {
	for i := range lines {
		_, _ = fmt.Fprintf(wr, "line %d\n", i)
	}
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var si sink
		wr := New(&si)
		write(wr, 3)
		wr.Close()
		qt.Assert(t, si.String(), qt.Equals, "line 0\nline 1\nline 2\n")
	})
}

func TestLinesOverBudgetAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var si sink
		wr := New(&si)
		write(wr, maxLinesPerSecond+10)
		qt.Assert(t, wr.Dropped(), qt.Equals, int64(10))
		time.Sleep(2 * time.Second)
		write(wr, 1)
		wr.Close()
		qt.Assert(t, wr.Dropped(), qt.Equals, int64(10))
		qt.Assert(t, strings.Contains(si.String(), "lines=10 total=10"), qt.IsTrue)
	})
}

// TestUnreadPipeDoesNotBlock fills a pipe that is not read and checks that no write
// blocks.
func TestUnreadPipeDoesNotBlock(t *testing.T) {
	reader, writer, err := os.Pipe()
	qt.Assert(t, err, qt.IsNil)
	wr := New(writer)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 2000 {
			_, _ = wr.Write(line)
		}
		wr.Close()
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("a write was blocked by the unread pipe")
	}
	qt.Assert(t, wr.Dropped() > 0, qt.IsTrue)
	qt.Assert(t, reader.Close(), qt.IsNil)
	qt.Assert(t, writer.Close(), qt.IsNil)
}

func TestLinesOverBudgetAreNotFormatted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var si sink
		wr := New(&si)
		log := slog.New(NewHandler(wr, slog.LevelInfo))
		formatted := 0
		for range maxLinesPerSecond + 10 {
			log.Info("line", "n", counted{&formatted})
		}
		qt.Assert(t, formatted, qt.Equals, maxLinesPerSecond)
		qt.Assert(t, wr.Dropped(), qt.Equals, int64(10))
		time.Sleep(time.Second)
		log.With("a", 1).Info("line", "n", counted{&formatted})
		qt.Assert(t, formatted, qt.Equals, maxLinesPerSecond+1)
		log.Debug("too low", "n", counted{&formatted})
		qt.Assert(t, formatted, qt.Equals, maxLinesPerSecond+1)
		wr.Close()
	})
}

// counted counts how often it is formatted.
type counted struct{ formatted *int }

func (co counted) LogValue() slog.Value {
	*co.formatted++
	return slog.IntValue(*co.formatted)
}
