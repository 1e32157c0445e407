package logs

import (
	"context"
	"log/slog"
)

// handler is a text handler that drops lines over the budget of its writer before they
// are formatted, because formatting takes most of a line's processor time. It decides in
// Handle, where the kind of a line is known. Enabled would also save the line's record,
// but does not know the kind.
type handler struct {
	slog.Handler

	wr *Writer
}

// NewHandler returns a handler that writes lines of the level or above to wr.
func NewHandler(wr *Writer, level slog.Leveler) slog.Handler {
	return handler{Handler: slog.NewTextHandler(admittedWriter{wr}, &slog.HandlerOptions{Level: level}), wr: wr}
}

// admittedWriter writes lines that the budget has admitted.
type admittedWriter struct{ wr *Writer }

func (ad admittedWriter) Write(line []byte) (int, error) { return ad.wr.enqueue(line) }

// Handle implements slog.Handler.
func (ha handler) Handle(ctx context.Context, rec slog.Record) error {
	if !ha.wr.admit(rec.Message) {
		return nil
	}
	return ha.Handler.Handle(ctx, rec)
}

// WithAttrs implements slog.Handler.
func (ha handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return handler{Handler: ha.Handler.WithAttrs(attrs), wr: ha.wr}
}

// WithGroup implements slog.Handler.
func (ha handler) WithGroup(name string) slog.Handler {
	return handler{Handler: ha.Handler.WithGroup(name), wr: ha.wr}
}
