// Package jobapi is the product's own interface to jobs: JSON over HTTP, on the
// port where entry hosts meet. The command line uses it; the users' platform
// has a form of its own.
package jobapi

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/door"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/sched"
	"github.com/pepperhatch/pepperhatch/internal/wire"
)

// Paths of the interface.
const (
	pathSubmit = "/jobs/submit"
	pathState  = "/jobs/state"
	pathCancel = "/jobs/cancel"
	pathList   = "/jobs/list"
)

// Submission is a job handed in.
type Submission struct {
	// ID has 16 hex digits and is the caller's; handed in twice it stays one
	// job.
	ID string `json:"id"`
	// Queue names a queue of the configuration.
	Queue string `json:"queue"`
	// Spec is the job.
	Spec job.Spec `json:"spec"`
}

// Reference names a job.
type Reference struct {
	// ID is the job's.
	ID string `json:"id"`
}

// State is a job's state.
type State struct {
	// State is empty if there is no such job.
	State job.State `json:"state,omitempty"`
}

// Listing has the jobs that the cell's owner remembers.
type Listing struct {
	// Jobs are in order of arrival.
	Jobs []sched.Summary `json:"jobs"`
}

// Handler serves the interface. The owner of the cell is asked for the list,
// which another host cannot give.
func Handler(do *door.FrontEnd) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+pathSubmit, wire.Handle(func(ctx context.Context, su Submission) (sched.Verdict, error) {
		return submit(ctx, do, su)
	}))
	mux.Handle("POST "+pathState, wire.Handle(func(ctx context.Context, re Reference) (State, error) {
		state, _, err := do.State(ctx, re.ID)
		return State{State: state}, err
	}))
	mux.Handle("POST "+pathCancel, wire.Handle(func(ctx context.Context, re Reference) (sched.Verdict, error) {
		return do.Cancel(ctx, re.ID), nil
	}))
	mux.Handle("POST "+pathList, wire.Handle(func(ctx context.Context, _ struct{}) (Listing, error) {
		jobs, err := do.List(ctx)
		return Listing{Jobs: jobs}, err
	}))
	return mux
}

func submit(ctx context.Context, do *door.FrontEnd, su Submission) (sched.Verdict, error) {
	co := do.Config()
	if co == nil {
		return sched.Verdict{}, &wire.Error{Status: http.StatusServiceUnavailable, Code: "not-ready", Message: "no configuration yet", RetryAfter: time.Second}
	}
	if !job.ValidID(su.ID) {
		return sched.Verdict{}, malformed(fmt.Errorf("id %q: want 16 hex digits", su.ID))
	}
	qu, ok := co.Queue(su.Queue)
	switch {
	case !ok && !do.RecordNoQueue("", su.Queue):
		return sched.Verdict{}, &wire.Error{Status: http.StatusServiceUnavailable, Code: door.CodeConfigNotConfirmed, Message: "no queue " + su.Queue + " as far as is known", RetryAfter: time.Second}
	case !ok:
		return sched.Verdict{}, &wire.Error{Status: http.StatusNotFound, Code: "no-queue", Message: "no queue " + su.Queue}
	}
	if err := do.Check(su.ID, qu, su.Spec); err != nil {
		return sched.Verdict{}, malformed(err)
	}
	return do.Submit(ctx, su.ID, qu.Terms(), su.Spec), nil
}

func malformed(err error) error {
	status := http.StatusBadRequest
	if errors.Is(err, job.ErrUnsupported) {
		status = http.StatusUnprocessableEntity
	}
	return &wire.Error{Status: status, Code: wire.CodeMalformed, Message: err.Error()}
}

// Client talks to an entry host.
type Client struct {
	// HTTP is the client used, Addr the host's IP number and port.
	HTTP *http.Client
	Addr string
}

// Submit hands a job in.
func (cl Client) Submit(ctx context.Context, su Submission) (sched.Verdict, error) {
	return wire.Post[Submission, sched.Verdict](ctx, cl.HTTP, cl.url(pathSubmit), su)
}

// State returns a job's state, empty if there is no such job.
func (cl Client) State(ctx context.Context, id string) (job.State, error) {
	st, err := wire.Post[Reference, State](ctx, cl.HTTP, cl.url(pathState), Reference{ID: id})
	return st.State, err
}

// Cancel ends a job.
func (cl Client) Cancel(ctx context.Context, id string) (sched.Verdict, error) {
	return wire.Post[Reference, sched.Verdict](ctx, cl.HTTP, cl.url(pathCancel), Reference{ID: id})
}

// List returns the jobs that the cell's owner remembers.
func (cl Client) List(ctx context.Context) ([]sched.Summary, error) {
	li, err := wire.Post[struct{}, Listing](ctx, cl.HTTP, cl.url(pathList), struct{}{})
	return li.Jobs, err
}

func (cl Client) url(path string) string { return "http://" + cl.Addr + path }
