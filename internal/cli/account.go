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
	var bo account.Book
	if len(ac.Args.Files) == 0 {
		if err := bo.Read(os.Stdin); err != nil {
			return err
		}
	}
	for _, name := range ac.Args.Files {
		if err := readLog(&bo, name); err != nil {
			return err
		}
	}
	if bo.Lines == 0 {
		return errNoLines
	}
	return ac.print(&bo)
}

func (ac *accountCommand) print(bo *account.Book) error {
	if err := account.Print(ac.st.out, bo.Rows()); err != nil {
		return fmt.Errorf("print account: %w", err)
	}
	if bo.Unread > 0 {
		_, _ = fmt.Fprintf(ac.st.err, "%d lines could not be read\n", bo.Unread)
	}
	return nil
}

func readLog(bo *account.Book, name string) error {
	fi, err := os.Open(name)
	if err != nil {
		return &exitError{code: ExitUsage, err: err}
	}
	defer closeLog(fi)
	return bo.Read(fi)
}

// closeLog closes a file that was only read, whose error says nothing.
func closeLog(cl io.Closer) { _ = cl.Close() }
