package cli

import (
	"context"
	"fmt"
	"log/slog"
	"os/signal"
	"syscall"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/dev"
	"github.com/pepperhatch/pepperhatch/internal/entry"
	"github.com/pepperhatch/pepperhatch/internal/settings"
)

// untilSignal returns a context that ends at SIGINT or SIGTERM.
func untilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}

type serveCommand struct {
	settings.Serve

	st *streams
}

// Execute implements flags.Commander.
func (sc *serveCommand) Execute([]string) error {
	if err := sc.Check(); err != nil {
		return &exitError{code: ExitUsage, err: err}
	}
	log := newLog(sc.st.err, sc.Level())
	slog.SetDefault(log)
	ho, err := entry.New(sc.Serve, log)
	if err != nil {
		return err
	}
	ctx, stop := untilSignal()
	defer stop()
	return ho.Run(ctx)
}

type checkCommand struct {
	settings.Serve

	st *streams
}

// Execute implements flags.Commander.
func (cc *checkCommand) Execute([]string) error {
	if err := cc.Check(); err != nil {
		return &exitError{code: ExitUsage, err: err}
	}
	_, err := fmt.Fprintln(cc.st.out, "settings are good")
	return err
}

type devCommand struct {
	For  time.Duration `long:"for" description:"end by itself after this time; without it, at Ctrl-C"`
	Rate float64       `long:"rate" default:"150" description:"requests a second"`
	Log  bool          `long:"log" description:"print the entry hosts' logs"`

	st *streams
}

// Execute implements flags.Commander.
func (dc *devCommand) Execute([]string) error {
	level := slog.LevelError
	if dc.Log {
		level = slog.LevelInfo
	}
	log := newLog(dc.st.err, level)
	slog.SetDefault(log)
	ctx, stop := untilSignal()
	defer stop()
	broken, err := dev.Run(ctx, dev.Settings{Duration: dc.For, Rate: dc.Rate, Out: dc.st.out, Log: log})
	if err != nil {
		return err
	}
	if broken {
		return &exitError{code: ExitViolation, err: dev.ErrViolation}
	}
	return nil
}
