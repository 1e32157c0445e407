package logs

import (
	"io"
	"log/slog"
	"testing"
	"time"
)

// BenchmarkLine is what a line costs who logs: one that is written, and one that is
// over the budget.
func BenchmarkLine(b *testing.B) {
	wr := New(io.Discard)
	defer wr.Close()
	for _, be := range []struct {
		name    string
		handler slog.Handler
	}{
		{"made", slog.NewTextHandler(nowhere{}, nil)},
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

// nowhere takes what is written and keeps nothing.
type nowhere struct{}

func (nowhere) Write(line []byte) (int, error) { return len(line), nil }
