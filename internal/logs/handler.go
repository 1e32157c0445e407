package logs

import (
	"context"
	"log/slog"
)

// handler is a handler of text lines that leaves lines out before they are put
// together if they are over the budget of its writer: making a line takes more
// processor time than all else about it. It decides in Handle, where a line's kind
// is known, and not in Enabled, which would be cheaper by the record of the line.
type handler struct {
	slog.Handler

	wr *Writer
}

// NewHandler returns a handler of lines of a level or above for the writer.
func NewHandler(wr *Writer, level slog.Leveler) slog.Handler {
	return handler{Handler: slog.NewTextHandler(admitted{wr}, &slog.HandlerOptions{Level: level}), wr: wr}
}

// admitted writes lines that the writer has admitted.
type admitted struct{ wr *Writer }

func (ad admitted) Write(line []byte) (int, error) { return ad.wr.put(line) }

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
