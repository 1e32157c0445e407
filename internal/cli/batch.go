package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/jobapi"
	"github.com/pepperhatch/pepperhatch/internal/sched"
)

// entryFlags select the entry host that serves the job commands.
type entryFlags struct {
	Addr    string        `long:"addr" env:"PEPPERHATCH_ENTRY" default:"127.0.0.1:7401" description:"IP address and port of any entry host's peer listener"`
	Timeout time.Duration `long:"timeout" default:"3s" description:"timeout of the request"`
}

func (ef entryFlags) client() jobapi.Client {
	return jobapi.Client{HTTP: http.DefaultClient, Addr: ef.Addr}
}

func (ef entryFlags) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), ef.Timeout)
}

// fileArg is the path of a job file.
type fileArg struct {
	File string `positional-arg-name:"FILE" description:"job as JSON: payload and steps"`
}

// idArg is a job ID.
type idArg struct {
	ID string `positional-arg-name:"ID" description:"16 hex digits"`
}

type batchSubmitCommand struct {
	entryFlags

	Queue string  `long:"queue" required:"true" description:"name of a queue in the configuration"`
	ID    string  `long:"id" description:"16 hex digits; default is a random ID"`
	Args  fileArg `positional-args:"yes" required:"yes"`

	st *streams
}

// Execute implements flags.Commander.
func (bc *batchSubmitCommand) Execute([]string) error {
	sp, err := readJob(bc.Args.File)
	if err != nil {
		return &exitError{code: ExitUsage, err: err}
	}
	if bc.ID == "" {
		id := uuid.New()
		bc.ID = fmt.Sprintf("%x", id[:8])
	}
	ctx, cancel := bc.context()
	defer cancel()
	ve, err := bc.client().Submit(ctx, jobapi.Submission{ID: bc.ID, Queue: bc.Queue, Spec: sp})
	if err != nil {
		return err
	}
	return printVerdict(bc.st, bc.ID, ve)
}

// readJob reads and validates a job file.
func readJob(path string) (job.Spec, error) {
	var sp job.Spec
	data, err := os.ReadFile(path)
	if err != nil {
		return sp, fmt.Errorf("read job: %w", err)
	}
	if err := json.Unmarshal(data, &sp); err != nil {
		return sp, fmt.Errorf("decode job %s: %w", path, err)
	}
	if err := sp.Check(); err != nil {
		return sp, fmt.Errorf("job %s: %w", path, err)
	}
	return sp, nil
}

var errNotAccepted = errors.New("not accepted")

// printVerdict prints the job ID if the request was accepted. Otherwise it returns an
// error with the exit code of the outcome.
func printVerdict(st *streams, id string, ve sched.Verdict) error {
	if ve.Outcome == sched.Accepted {
		_, err := fmt.Fprintln(st.out, id)
		return err
	}
	code := ExitNotRun
	if ve.Outcome == sched.Unknown {
		code = ExitUnknown
	}
	return &exitError{code: code, err: fmt.Errorf("job %s: %w: %s %s, retry after %v", id, errNotAccepted, ve.Outcome, ve.Reason, ve.RetryAfter)}
}

type batchStateCommand struct {
	entryFlags

	Watch bool  `long:"watch" description:"print each change of state until the job ends"`
	Args  idArg `positional-args:"yes" required:"yes"`

	st *streams
}

// pollInterval is the time between two state requests of --watch.
const pollInterval = 500 * time.Millisecond

// Execute implements flags.Commander.
func (bc *batchStateCommand) Execute([]string) error {
	var last job.State
	for {
		state, err := bc.queryState()
		if err != nil {
			return err
		}
		if state == "" {
			return &exitError{code: ExitFailed, err: fmt.Errorf("no job %s", bc.Args.ID)}
		}
		if state != last {
			if _, err := fmt.Fprintln(bc.st.out, state); err != nil {
				return err
			}
		}
		if last = state; !bc.Watch || state.Final() {
			return nil
		}
		clock.Sleep(context.Background(), pollInterval)
	}
}

func (bc *batchStateCommand) queryState() (job.State, error) {
	ctx, cancel := bc.context()
	defer cancel()
	return bc.client().State(ctx, bc.Args.ID)
}

type batchCancelCommand struct {
	entryFlags

	Args idArg `positional-args:"yes" required:"yes"`

	st *streams
}

// Execute implements flags.Commander.
func (bc *batchCancelCommand) Execute([]string) error {
	ctx, cancel := bc.context()
	defer cancel()
	ve, err := bc.client().Cancel(ctx, bc.Args.ID)
	if err != nil {
		return err
	}
	return printVerdict(bc.st, bc.Args.ID, ve)
}

type batchListCommand struct {
	entryFlags

	st *streams
}

// Execute implements flags.Commander.
func (bc *batchListCommand) Execute([]string) error {
	ctx, cancel := bc.context()
	defer cancel()
	jobs, err := bc.client().List(ctx)
	if err != nil {
		return err
	}
	tw := tabwriter.NewWriter(bc.st.out, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(tw, "JOB\tQUEUE\tSTATE\tDONE\tRUNNING"); err != nil {
		return err
	}
	for _, su := range jobs {
		if _, err := fmt.Fprintf(tw, "%s\t%s\t%s\t%d/%d\t%d\n", su.ID, su.Queue, su.State, su.Done, su.Tasks, su.Running); err != nil {
			return err
		}
	}
	return tw.Flush()
}
