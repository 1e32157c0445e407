// Package cli is the command line. Each command is a struct whose fields are
// its flags; what a command does is in the package of that duty.
package cli

import (
	"errors"
	"fmt"
	"io"
	"log/slog"

	"github.com/jessevdk/go-flags"
)

// Exit codes, on which scripts can rely.
const (
	ExitOK      = 0
	ExitFailed  = 1
	ExitUsage   = 2
	ExitNotRun  = 3
	ExitUnknown = 4
	// ExitConflict: a plan was not carried out since its basis has changed.
	ExitConflict = 5
	// ExitViolation: `dev` or `load` saw a promise broken.
	ExitViolation = 6
)

// exitError is an error with an exit code of its own.
type exitError struct {
	code int
	err  error
}

func (err *exitError) Error() string { return err.err.Error() }
func (err *exitError) Unwrap() error { return err.err }

// streams are where commands write.
type streams struct {
	out io.Writer
	err io.Writer
}

// commandEntry is one command of the command line.
type commandEntry struct {
	name, short, long string
	command           flags.Commander
	sub               []commandEntry
}

// commands lists all commands.
func commands(st *streams) []commandEntry {
	return []commandEntry{
		{name: "serve", short: "run an entry host", command: &serveCommand{st: st},
			long: "Runs an entry host until SIGINT or SIGTERM, and then makes a planned stop: no request in flight is cut off.\nExample: pepperhatch serve --name e1 --data-centre burnaby-hall --data-centres burnaby-hall --table http://10.0.0.1:7000 ..."},
		{name: "run", short: "run an entry host on the users' platform", command: &runCommand{st: st},
			long: "Runs an entry host that schedules jobs on the users' platform, until SIGINT or SIGTERM, and then makes a planned stop.\nExample: PEPPERHATCH_BOOT=/etc/pepperhatch/boot.yaml pepperhatch run"},
		{name: "check", short: "check the settings of an entry host", command: &checkCommand{st: st},
			long: "Takes the flags and variables of serve, names every mistake, and ends.\nExample: pepperhatch check --name e1 --data-centre burnaby-hall"},
		{name: "dev", short: "run all of it in one process, with a little load", command: &devCommand{st: st},
			long: "Runs three entry hosts and stand-ins for everything else over loopback, drives a mixed load and shows what happens.\nExample: pepperhatch dev --for 10s"},
		{name: "call", short: "send one request", command: &callCommand{st: st},
			long: "Sends one request and prints the answer. Exit code 3 says that it did not run, 4 that it may have.\nExample: pepperhatch call --service routedesk --method leg-recalc 'from the bridge'"},
		{name: "load", short: "send requests at a steady rate", command: &loadCommand{st: st},
			long: "Sends requests at open-loop arrivals and reports percentiles, outcomes and reasons.\nExample: pepperhatch load --service routedesk --rate 500 --for 30s --batch 0.3"},
		{name: "session", short: "sessions", sub: []commandEntry{
			{name: "watch", short: "open a session and print its events", command: &watchCommand{st: st},
				long: "Prints events until interrupted, or --events have come; resumes at other entry hosts.\nExample: pepperhatch session watch --service routedesk --topic bridge"},
		}},
		{name: "status", short: "show entry hosts, runners and cells", command: &statusCommand{st: st},
			long: "Shows the state as the entry host asked sees it.\nExample: pepperhatch status --output json"},
		{name: "plan", short: "plan any intent, given as JSON", command: &planCommand{st: st},
			long: "Plans an intent in the JSON form of pepperhatch.v1.Intent.\nExample: pepperhatch plan '{\"drain\":{\"rack\":\"r1\"},\"cell\":\"burnaby-hall\"}'"},
		{name: "confirm", short: "carry out a plan", command: &confirmCommand{st: st},
			long: "Carries out a plan if what it rests on still holds; exit code 5 says that it does not. Confirming twice does it once.\nExample: pepperhatch confirm 0190e8a1-..."},
		{name: "drain", short: "plan to empty a host, a rack or a data centre", command: &drainCommand{st: st},
			long: "Example: pepperhatch drain --cell burnaby-hall --rack r1"},
		{name: "declare-dead", short: "plan to take over from an entry host that is gone", command: &deadCommand{st: st},
			long: "For an entry host whose process is certainly gone and that nobody is left to take over from; ask one of the same data centre. A wrong word can make two owners.\nExample: pepperhatch declare-dead e1-7b2d1303"},
		{name: "job", short: "batch jobs", sub: jobEntries(st, false)},
		{name: "batch", short: "jobs with steps, on the users' platform", sub: []commandEntry{
			{name: "submit", short: "hand a job in", command: &batchSubmitCommand{st: st},
				long: "Prints the job's id. Exit code 3 says that it was not taken, 4 that it may have been: hand it in again with --id.\nExample: pepperhatch batch submit --queue depot-plan job.json"},
			{name: "state", short: "show a job's state", command: &batchStateCommand{st: st},
				long: "Example: pepperhatch batch state --watch 5c0e7a21d94b36f8"},
			{name: "cancel", short: "end a job", command: &batchCancelCommand{st: st},
				long: "Example: pepperhatch batch cancel 5c0e7a21d94b36f8"},
			{name: "list", short: "list jobs", command: &batchListCommand{st: st},
				long: "Example: pepperhatch batch list"},
		}},
		{name: "account", short: "say what the time of jobs went to, from logs", command: &accountCommand{st: st},
			long: "Reads logs of entry hosts and prints, by queue and by how jobs did, the share of their time by cause.\nExample: pepperhatch account e1.log e2.log"},
		{name: "service", short: "services", sub: jobEntries(st, true)},
		{name: "config", short: "configuration", sub: []commandEntry{
			{name: "get", short: "show the configuration in force", command: &configGetCommand{st: st},
				long: "Example: pepperhatch config get"},
			{name: "set", short: "plan a change", command: &configSetCommand{st: st},
				long: "Example: pepperhatch config set route.batch-every=4 place.tail-target=80ms"},
			{name: "keys", short: "list all keys", command: &configKeysCommand{st: st},
				long: "Example: pepperhatch config keys"},
		}},
		{name: "quota", short: "plan a team's quota", command: &quotaCommand{st: st},
			long: "Example: pepperhatch quota depot cores:120,mem:480000"},
	}
}

// jobEntries are the commands of jobs and of services, which differ in what
// can be added.
func jobEntries(st *streams, service bool) []commandEntry {
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
		"Shell completion: GO_FLAGS_COMPLETION=1 pepperhatch ARGS... prints what can follow."
	if err := add(pa.Command, commands(st)); err != nil {
		_, _ = fmt.Fprintln(errw, "pepperhatch:", err)
		return ExitFailed
	}
	_, err := pa.ParseArgs(args)
	return exitCode(err, st)
}

func add(parent *flags.Command, entries []commandEntry) error {
	for _, en := range entries {
		data := any(en.command)
		if en.command == nil {
			data = &struct{}{}
		}
		co, err := parent.AddCommand(en.name, en.short, en.long, data)
		if err != nil {
			return fmt.Errorf("command %s: %w", en.name, err)
		}
		if err := add(co, en.sub); err != nil {
			return err
		}
	}
	return nil
}

// exitCode prints an error where it belongs and returns the code for it.
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

// newLog returns the log: one line of key=value pairs for each event.
func newLog(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}))
}
