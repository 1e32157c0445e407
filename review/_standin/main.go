// Command review-standin plays one case of the review against entry hosts that it starts as
// separate processes. It serves the platform's store and the runners, and is the only client.
package main

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

type options struct {
	Program  string `long:"program" default:"target/pepperhatch" description:"program of an entry host"`
	Template string `long:"template" default:"deploy/settings.json.tmpl" description:"template of its settings"`
	Record   string `long:"record" required:"true" description:"file to write what was sent, answered and run"`
	Trouble  string `long:"trouble" default:"1" description:"0 leaves the disruption out"`
	Args     struct {
		Case string `positional-arg-name:"case" required:"true"`
	} `positional-args:"true"`
}

// maxTime bounds a case.
const maxTime = 115 * time.Second

// cases has the cases by name. Each returns what broke the rule, or nothing.
var cases = map[string]func(*cluster, bool) ([]string, error){
	"silent-read":    silentRead,
	"large-rows":     largeRows,
	"truncated-ends": truncatedEnds,
}

func main() { os.Exit(runCase(os.Args[1:], os.Stderr)) }

func runCase(args []string, errw io.Writer) int {
	var op options
	if _, err := flags.NewParser(&op, flags.Default).ParseArgs(args); err != nil {
		return exitCannotRun
	}
	play, ok := cases[op.Args.Case]
	if !ok {
		_, _ = fmt.Fprintln(errw, "no such case:", op.Args.Case)
		return exitCannotRun
	}
	file, err := os.Create(op.Record)
	if err != nil {
		_, _ = fmt.Fprintln(errw, err)
		return exitCannotRun
	}
	defer func() { _ = file.Close() }()
	log := slog.New(slog.NewTextHandler(file, nil))
	cl, err := newCluster(op, log)
	if err != nil {
		_, _ = fmt.Fprintln(errw, err)
		return exitCannotRun
	}
	defer cl.close()
	stopEarly(cl)
	broken, err := play(cl, op.Trouble != "0")
	if err != nil {
		log.Error("case could not run", "err", err)
		_, _ = fmt.Fprintln(errw, err)
		return exitCannotRun
	}
	for _, text := range broken {
		log.Error("rule broken", "what", text)
		_, _ = fmt.Fprintln(errw, text)
	}
	log.Info("case ended", "trouble", op.Trouble, "broken", len(broken))
	if len(broken) > 0 {
		return exitBroken
	}
	return exitHeld
}

// stopEarly ends the case and its processes on a signal, and after maxTime.
func stopEarly(cl *cluster) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxTime):
		}
		cl.log.Error("case stopped early")
		cl.close()
		os.Exit(exitCannotRun)
	}()
}
