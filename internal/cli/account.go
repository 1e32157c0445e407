package cli

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/pepperhatch/pepperhatch/internal/account"
)

// logFilesArg holds the log files named on the command line.
type logFilesArg struct {
	Files []string `positional-arg-name:"FILE" description:"logs of entry hosts; standard input if none is given"`
}

// accountCommand summarises how the time of jobs was spent, by cause.
type accountCommand struct {
	Args logFilesArg `positional-args:"yes"`

	st *streams
}

var errNoJobTimes = errors.New("the logs contain no \"job time\" or \"job waits\" lines")

// Execute implements flags.Commander.
func (ac *accountCommand) Execute([]string) error {
	var ag account.Aggregator
	if len(ac.Args.Files) == 0 {
		if err := ag.Read(os.Stdin); err != nil {
			return err
		}
	}
	for _, name := range ac.Args.Files {
		if err := readLog(&ag, name); err != nil {
			return err
		}
	}
	if ag.Lines == 0 {
		return errNoJobTimes
	}
	return ac.print(&ag)
}

func (ac *accountCommand) print(ag *account.Aggregator) error {
	if err := account.Print(ac.st.out, ag.Rows()); err != nil {
		return fmt.Errorf("print account: %w", err)
	}
	if ag.Malformed > 0 {
		_, _ = fmt.Fprintf(ac.st.err, "%d lines could not be read\n", ag.Malformed)
	}
	return nil
}

func readLog(ag *account.Aggregator, name string) error {
	fi, err := os.Open(name)
	if err != nil {
		return &exitError{code: ExitUsage, err: err}
	}
	defer closeQuietly(fi)
	return ag.Read(fi)
}

// closeQuietly closes a file that was only read: a close error loses no data.
func closeQuietly(cl io.Closer) { _ = cl.Close() }
