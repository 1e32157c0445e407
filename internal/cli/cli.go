// Package cli implements the pepperhatch command line. Each command is a struct
// whose fields are its flags; the work itself is done by other packages, so this
// one only parses arguments, prints results and maps errors to exit codes.
package cli

import (
	"errors"
	"fmt"
	"io"
	"log/slog"

	"github.com/jessevdk/go-flags"
)

// Exit codes, which are stable for scripts. ExitNotRun says that a request certainly
// did not run, ExitUnknown that it may have run.
const (
	ExitOK      = 0
	ExitFailed  = 1
	ExitUsage   = 2
	ExitNotRun  = 3
	ExitUnknown = 4
	// ExitConflict says that a plan was not applied, because the state it was made
	// for has changed.
	ExitConflict = 5
	// ExitViolation says that dev or load detected a violated guarantee, such as a
	// wrong answer or a run-once request that ran twice.
	ExitViolation = 6
)

// exitError is an error with a specific exit code.
type exitError struct {
	code int
	err  error
}

func (err *exitError) Error() string { return err.err.Error() }
func (err *exitError) Unwrap() error { return err.err }

// streams holds the standard output and standard error of the commands.
type streams struct {
	out io.Writer
	err io.Writer
}

// commandEntry describes a command. One without a command only groups its sub-commands.
type commandEntry struct {
	name, short, long string
	command           flags.Commander
	sub               []commandEntry
}

// commands returns all commands.
func commands(st *streams) []commandEntry {
	return []commandEntry{
		{name: "serve", short: "run an entry host", command: &serveCommand{st: st},
			long: "Runs an entry host until SIGINT or SIGTERM, and then shuts down gracefully, without cutting off requests in flight.\nExample: pepperhatch serve --name e1 --data-centre burnaby-hall --data-centres burnaby-hall --table http://10.0.0.1:7000 ..."},
		{name: "run", short: "run an entry host on the users' platform", command: &runCommand{st: st},
			long: "Runs an entry host that schedules jobs on the users' platform, until SIGINT or SIGTERM, and then shuts down gracefully.\nExample: PEPPERHATCH_BOOT=/etc/pepperhatch/boot.yaml pepperhatch run"},
		{name: "check", short: "check the settings of an entry host", command: &checkCommand{st: st},
			long: "Validates the flags and environment variables of serve, reports every error, and exits.\nExample: pepperhatch check --name e1 --data-centre burnaby-hall"},
		{name: "dev", short: "run a complete small system in one process, under load", command: &devCommand{st: st},
			long: "Runs three entry hosts and stand-ins for all other systems over loopback, sends a mixed load, and prints and checks the results.\nExample: pepperhatch dev --for 10s"},
		{name: "call", short: "send one request", command: &callCommand{st: st},
			long: "Sends one request and prints the answer. Exit code 3 means that the request did not run, 4 that it may have run.\nExample: pepperhatch call --service routedesk --method leg-recalc 'from the bridge'"},
		{name: "load", short: "send requests at a steady rate", command: &loadCommand{st: st},
			long: "Sends requests with open-loop arrivals and reports latency percentiles, outcomes and failure reasons.\nExample: pepperhatch load --service routedesk --rate 500 --for 30s --batch 0.3"},
		{name: "session", short: "sessions", sub: []commandEntry{
			{name: "watch", short: "open a session and print its events", command: &watchCommand{st: st},
				long: "Prints events until interrupted or until --events have been printed; resumes at another entry host if one fails.\nExample: pepperhatch session watch --service routedesk --topic bridge"},
		}},
		{name: "status", short: "show entry hosts, runners and cells", command: &statusCommand{st: st},
			long: "Shows the state as seen by the entry host at --admin.\nExample: pepperhatch status --output json"},
		{name: "plan", short: "plan an intent given as JSON", command: &planCommand{st: st},
			long: "Plans an intent in the JSON form of pepperhatch.v1.Intent.\nExample: pepperhatch plan '{\"drain\":{\"rack\":\"r1\"},\"cell\":\"burnaby-hall\"}'"},
		{name: "confirm", short: "apply a plan", command: &confirmCommand{st: st},
			long: "Applies a plan if the state it was made for is unchanged; otherwise the exit code is 5. Confirming a plan twice applies it once.\nExample: pepperhatch confirm 0190e8a1-..."},
		{name: "drain", short: "plan to drain a host, a rack or a data centre", command: &drainCommand{st: st},
			long: "Example: pepperhatch drain --cell burnaby-hall --rack r1"},
		{name: "declare-dead", short: "plan to take over from a lost entry host", command: &declareDeadCommand{st: st},
			long: "For an entry host whose process has certainly ended and that no other host can take over from by itself; send it to an entry host of the same data centre. If the process still runs, a cell can have two owners.\nExample: pepperhatch declare-dead e1-7b2d1303"},
		{name: "job", short: "batch jobs", sub: jobCommands(st, false)},
		{name: "batch", short: "multi-step jobs on the users' platform", sub: []commandEntry{
			{name: "submit", short: "submit a job", command: &batchSubmitCommand{st: st},
				long: "Prints the job ID. Exit code 3 means that the job was not accepted, 4 that it may have been: submit it again with the same --id.\nExample: pepperhatch batch submit --queue depot-plan job.json"},
			{name: "state", short: "show a job's state", command: &batchStateCommand{st: st},
				long: "Example: pepperhatch batch state --watch 5c0e7a21d94b36f8"},
			{name: "cancel", short: "cancel a job", command: &batchCancelCommand{st: st},
				long: "Example: pepperhatch batch cancel 5c0e7a21d94b36f8"},
			{name: "list", short: "list jobs", command: &batchListCommand{st: st},
				long: "Example: pepperhatch batch list"},
		}},
		{name: "account", short: "summarise from logs how job time was spent", command: &accountCommand{st: st},
			long: "Reads logs of entry hosts and prints, by queue and by whether jobs met their target duration, the share of job time by cause.\nExample: pepperhatch account e1.log e2.log"},
		{name: "service", short: "services", sub: jobCommands(st, true)},
		{name: "config", short: "configuration", sub: []commandEntry{
			{name: "get", short: "show the configuration in force", command: &configGetCommand{st: st},
				long: "Example: pepperhatch config get"},
			{name: "set", short: "plan a configuration change", command: &configSetCommand{st: st},
				long: "Example: pepperhatch config set route.batch-every=4 place.tail-target=80ms"},
			{name: "keys", short: "list all keys", command: &configKeysCommand{st: st},
				long: "Example: pepperhatch config keys"},
		}},
		{name: "quota", short: "plan a team's quota", command: &quotaCommand{st: st},
			long: "Example: pepperhatch quota depot cores:120,mem:480000"},
	}
}

// jobCommands returns the commands for jobs or for services; they differ only in the
// add command and in their texts.
func jobCommands(st *streams, service bool) []commandEntry {
	word := "job"
	var add flags.Commander = &jobAddCommand{st: st}
	example := "Example: pepperhatch job add --name depot-plan --tasks 10 --cores 2 --mem 4000 --run 5m"
	if service {
		word, add = "service", &serviceAddCommand{st: st}
		example = "Example: pepperhatch service add --name routedesk --tasks 6 --cores 4 --mem 8000"
	}
	return []commandEntry{
		{name: "add", short: "plan a new " + word, command: add, long: example},
		{name: "cancel", short: "plan to stop a " + word, command: &jobCancelCommand{st: st},
			long: "Example: pepperhatch " + word + " cancel --cell burnaby-hall NAME"},
		{name: "resize", short: "plan another number of tasks", command: &jobResizeCommand{st: st},
			long: "Example: pepperhatch " + word + " resize --cell burnaby-hall NAME 20"},
		{name: "tasks", short: "list tasks", command: &jobTasksCommand{st: st},
			long: "Example: pepperhatch " + word + " tasks --job depot-plan"},
	}
}

// Main runs the command line and returns the exit code.
func Main(args []string, out, errw io.Writer) int {
	st := &streams{out: out, err: errw}
	pa := flags.NewNamedParser("pepperhatch", flags.HelpFlag|flags.PassDoubleDash)
	pa.LongDescription = "A scheduler for latency-critical services and batch work on the same hosts.\n" +
		"Shell completion: GO_FLAGS_COMPLETION=1 pepperhatch ARGS... prints the possible completions."
	if err := addCommands(pa.Command, commands(st)); err != nil {
		_, _ = fmt.Fprintln(errw, "pepperhatch:", err)
		return ExitFailed
	}
	_, err := pa.ParseArgs(args)
	return exitCode(err, st)
}

// addCommands adds the commands and their sub-commands to the parent.
func addCommands(parent *flags.Command, entries []commandEntry) error {
	for _, en := range entries {
		data := any(en.command)
		if en.command == nil {
			data = &struct{}{}
		}
		co, err := parent.AddCommand(en.name, en.short, en.long, data)
		if err != nil {
			return fmt.Errorf("command %s: %w", en.name, err)
		}
		if err := addCommands(co, en.sub); err != nil {
			return err
		}
	}
	return nil
}

// exitCode prints help to standard output and other errors to standard error, and
// returns the exit code.
func exitCode(err error, st *streams) int {
	var usage *flags.Error
	var coded *exitError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(st.out, usage.Message)
		return ExitOK
	case errors.As(err, &usage):
		_, _ = fmt.Fprintln(st.err, "pepperhatch:", usage.Message)
		return ExitUsage
	case errors.As(err, &coded):
		_, _ = fmt.Fprintln(st.err, "pepperhatch:", err)
		return coded.code
	}
	_, _ = fmt.Fprintln(st.err, "pepperhatch:", err)
	return ExitFailed
}

// newLogger returns a logger that writes a line of key=value pairs for each event.
func newLogger(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}))
}
