package logs

import (
	"io"
	"log/slog"
	"testing"
	"time"
)

// BenchmarkLine measures the cost of a line to its caller: a line that is formatted, and
// one that is over the budget.
func BenchmarkLine(b *testing.B) {
	wr := New(io.Discard)
	defer wr.Close()
	for _, be := range []struct {
		name    string
		handler slog.Handler
	}{
		{"formatted", slog.NewTextHandler(discard{}, nil)},
		{"dropped", NewHandler(wr, slog.LevelInfo)},
	} {
		b.Run(be.name, func(b *testing.B) {
			log := slog.New(be.handler)
			b.ReportAllocs()
			for b.Loop() {
				log.Info("attempt launched", "task", "dd00997e24eb55c5.0.0.4", "attempt", 1, "worker", "i-c60fb2b102", "took", time.Millisecond)
			}
		})
	}
}

// discard discards what is written.
type discard struct{}

func (discard) Write(line []byte) (int, error) { return len(line), nil }
