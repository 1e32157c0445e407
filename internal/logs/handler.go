package logs

import (
	"context"
	"log/slog"
)

// handler is a handler of text lines that leaves lines out before they are put
// together once the budget of its writer is spent: making a line takes more
// processor time than all else about it. Warnings and errors are always made, and
// left to the writer.
type handler struct {
	slog.Handler

	wr *Writer
}

// NewHandler returns a handler of lines of a level or above for the writer.
func NewHandler(wr *Writer, level slog.Leveler) slog.Handler {
	return handler{Handler: slog.NewTextHandler(wr, &slog.HandlerOptions{Level: level}), wr: wr}
}

// Enabled implements slog.Handler.
func (ha handler) Enabled(ctx context.Context, level slog.Level) bool {
	return ha.Handler.Enabled(ctx, level) && (level >= slog.LevelWarn || !ha.wr.spent())
}

// WithAttrs implements slog.Handler.
func (ha handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return handler{Handler: ha.Handler.WithAttrs(attrs), wr: ha.wr}
}

// WithGroup implements slog.Handler.
func (ha handler) WithGroup(name string) slog.Handler {
	return handler{Handler: ha.Handler.WithGroup(name), wr: ha.wr}
}
