package cli

import (
	"context"
	"fmt"
	"log/slog"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/dev"
	"github.com/pepperhatch/pepperhatch/internal/entry"
	"github.com/pepperhatch/pepperhatch/internal/port"
	"github.com/pepperhatch/pepperhatch/internal/settings"
)

// untilSignal returns a context that is cancelled on SIGINT or SIGTERM.
func untilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}

// limitCollector makes the garbage collector of this process keep within the machine's memory.
func limitCollector(ma port.Machine) { debug.SetMemoryLimit(ma.CollectorLimit()) }

type serveCommand struct {
	settings.Serve

	st *streams
}

// Execute implements flags.Commander.
func (sc *serveCommand) Execute([]string) error {
	if err := sc.Check(); err != nil {
		return &exitError{code: ExitUsage, err: err}
	}
	log := newLogger(sc.st.err, sc.Level())
	slog.SetDefault(log)
	ma, err := sc.Size()
	if err != nil {
		return &exitError{code: ExitUsage, err: err}
	}
	limitCollector(ma)
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
	settings.Machine

	Duration time.Duration `long:"for" description:"how long to run; default is until Ctrl-C"`
	Rate     float64       `long:"rate" default:"150" description:"requests per second"`
	Log      bool          `long:"log" description:"print the logs of the entry hosts"`

	st *streams
}

// Execute implements flags.Commander.
func (dc *devCommand) Execute([]string) error {
	level := slog.LevelError
	if dc.Log {
		level = slog.LevelInfo
	}
	log := newLogger(dc.st.err, level)
	slog.SetDefault(log)
	ctx, stop := untilSignal()
	defer stop()
	ma, err := dc.Size()
	if err != nil {
		return &exitError{code: ExitUsage, err: err}
	}
	limitCollector(ma)
	violated, err := dev.Run(ctx, dev.Settings{Machine: ma, Duration: dc.Duration, Rate: dc.Rate, Out: dc.st.out, Log: log})
	if err != nil {
		return err
	}
	if violated {
		return &exitError{code: ExitViolation, err: dev.ErrViolation}
	}
	return nil
}
