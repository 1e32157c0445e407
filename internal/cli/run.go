package cli

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/pepperhatch/pepperhatch/internal/jobhost"
	"github.com/pepperhatch/pepperhatch/internal/logs"
	"github.com/pepperhatch/pepperhatch/internal/sched"
	"github.com/pepperhatch/pepperhatch/internal/settings"
)

// runCommand runs an entry host on the users' platform.
type runCommand struct {
	settings.Machine

	Settings string `long:"settings" env:"PEPPERHATCH_BOOT" required:"true" description:"settings file written by the platform"`
	LogLevel string `long:"log-level" env:"PEPPERHATCH_LOG_LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"lowest level that is logged"`
	Without  string `long:"without" env:"PEPPERHATCH_WITHOUT" description:"comma-separated scheduling mechanisms to disable, to measure their effect"`

	st *streams
}

// Execute implements flags.Commander.
func (rc *runCommand) Execute([]string) error {
	var level slog.Level
	if err := level.UnmarshalText([]byte(rc.LogLevel)); err != nil {
		return &exitError{code: ExitUsage, err: err}
	}
	without, err := sched.ParseMechanisms(rc.Without)
	if err != nil {
		return &exitError{code: ExitUsage, err: fmt.Errorf("--without: %w", err)}
	}
	lw := logs.New(rc.st.out)
	defer lw.Close()
	log := slog.New(logs.NewHandler(lw, level))
	se, err := jobhost.ReadSettings(rc.Settings)
	if err != nil {
		return &exitError{code: ExitUsage, err: err}
	}
	ho, err := jobhost.New(se, log)
	if err != nil {
		return err
	}
	if ho.Machine, err = rc.Size(); err != nil {
		return &exitError{code: ExitUsage, err: err}
	}
	limitCollector(ho.Machine)
	ho.Without = without
	if without != 0 {
		log.Warn("scheduling mechanisms disabled", "without", rc.Without)
	}
	ctx, stop := untilSignal()
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go ho.WatchSettings(ctx, rc.Settings, hup)
	return ho.Run(ctx)
}
