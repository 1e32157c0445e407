package cli

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/pepperhatch/pepperhatch/internal/account"
)

// filesArg are log files on the command line.
type filesArg struct {
	Files []string `positional-arg-name:"FILE" description:"logs of entry hosts; standard input if none is given"`
}

// accountCommand says what the time of jobs went to.
type accountCommand struct {
	Args filesArg `positional-args:"yes"`

	st *streams
}

var errNoLines = errors.New("no line of the logs tells of a job's time")

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
		return errNoLines
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
	defer closeLog(fi)
	return ag.Read(fi)
}

// closeLog closes a file that was only read, whose error says nothing.
func closeLog(cl io.Closer) { _ = cl.Close() }
