// Package jobapi is the job API of the command line: JSON over HTTP, on the port for requests
// between entry hosts. Callers on the users' platform use the format of that platform
// instead; see package platform.
package jobapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/frontend"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/sched"
	"github.com/pepperhatch/pepperhatch/internal/wire"
)

// Paths of the API.
const (
	pathSubmit = "/jobs/submit"
	pathState  = "/jobs/state"
	pathCancel = "/jobs/cancel"
	pathList   = "/jobs/list"
)

// Submission is a request to submit a job.
type Submission struct {
	// ID is chosen by the caller and has 16 hex digits. Submitting the same id again
	// doesn't create another job.
	ID string `json:"id"`
	// Queue is the name of a queue of the configuration.
	Queue string `json:"queue"`
	// Spec describes the steps of the job and their resources.
	Spec job.Spec `json:"spec"`
}

// UnmarshalJSON implements json.Unmarshaler.
func (su *Submission) UnmarshalJSON(data []byte) error {
	type plain Submission
	body := struct {
		*plain

		Spec job.SubmittedSpec `json:"spec"`
	}{plain: (*plain)(su)}
	err := json.Unmarshal(data, &body)
	su.Spec = body.Spec.Spec
	return err
}

// Reference is a request about one job.
type Reference struct {
	// ID is the id of the job.
	ID string `json:"id"`
}

// State is the answer to a request for a job's state.
type State struct {
	// State is empty if there is no such job.
	State job.State `json:"state,omitempty"`
}

// Listing is the answer to a request for the jobs of the cell.
type Listing struct {
	// Jobs are the jobs that the owner of the cell retains, in order of arrival.
	Jobs []sched.Summary `json:"jobs"`
}

// Handler returns the handler of the API. A list needs a reachable owner of the cell; other
// requests are also answered without.
func Handler(fe *frontend.FrontEnd) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+pathSubmit, wire.Handle(func(ctx context.Context, su Submission) (sched.Verdict, error) {
		return submit(ctx, fe, su)
	}))
	mux.Handle("POST "+pathState, wire.Handle(func(ctx context.Context, re Reference) (State, error) {
		state, _, err := fe.State(ctx, re.ID)
		return State{State: state}, err
	}))
	mux.Handle("POST "+pathCancel, wire.Handle(func(ctx context.Context, re Reference) (sched.Verdict, error) {
		return fe.Cancel(ctx, re.ID), nil
	}))
	mux.Handle("POST "+pathList, wire.Handle(func(ctx context.Context, _ struct{}) (Listing, error) {
		jobs, err := fe.List(ctx)
		return Listing{Jobs: jobs}, err
	}))
	return mux
}

// submit validates a job and passes it to the front end. The errors are [wire.Error] values.
func submit(ctx context.Context, fe *frontend.FrontEnd, su Submission) (sched.Verdict, error) {
	co := fe.Config()
	if co == nil {
		return sched.Verdict{}, &wire.Error{Status: http.StatusServiceUnavailable, Code: "not-ready", Message: "no configuration yet", RetryAfter: time.Second}
	}
	if !job.ValidID(su.ID) {
		return sched.Verdict{}, malformed(fmt.Errorf("id %q: want 16 hex digits", su.ID))
	}
	qu, ok := co.Queue(su.Queue)
	switch {
	case !ok && !fe.RecordNoQueue("", su.Queue):
		return sched.Verdict{}, &wire.Error{Status: http.StatusServiceUnavailable, Code: frontend.CodeConfigNotConfirmed, Message: "no queue " + su.Queue + " in a configuration that was not confirmed recently", RetryAfter: time.Second}
	case !ok:
		return sched.Verdict{}, &wire.Error{Status: http.StatusNotFound, Code: "no-queue", Message: "no queue " + su.Queue}
	}
	if err := fe.Check(su.ID, qu, su.Spec); err != nil {
		return sched.Verdict{}, malformed(err)
	}
	return fe.Submit(ctx, su.ID, qu.Terms(), su.Spec), nil
}

// malformed returns the answer to an invalid or unsupported job.
func malformed(err error) error {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, job.ErrUnsupported):
		status = http.StatusUnprocessableEntity
	case errors.Is(err, job.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	}
	return &wire.Error{Status: status, Code: wire.CodeMalformed, Message: err.Error()}
}

// Client calls the API of an entry host.
type Client struct {
	// HTTP is the HTTP client, Addr the IP address and port of the host.
	HTTP *http.Client
	Addr string
}

// Submit submits a job.
func (cl Client) Submit(ctx context.Context, su Submission) (sched.Verdict, error) {
	return wire.Post[Submission, sched.Verdict](ctx, cl.HTTP, cl.url(pathSubmit), su)
}

// State returns the state of a job, empty if there is no such job.
func (cl Client) State(ctx context.Context, id string) (job.State, error) {
	st, err := wire.Post[Reference, State](ctx, cl.HTTP, cl.url(pathState), Reference{ID: id})
	return st.State, err
}

// Cancel cancels a job.
func (cl Client) Cancel(ctx context.Context, id string) (sched.Verdict, error) {
	return wire.Post[Reference, sched.Verdict](ctx, cl.HTTP, cl.url(pathCancel), Reference{ID: id})
}

// List returns the jobs that the owner of the cell retains.
func (cl Client) List(ctx context.Context) ([]sched.Summary, error) {
	li, err := wire.Post[struct{}, Listing](ctx, cl.HTTP, cl.url(pathList), struct{}{})
	return li.Jobs, err
}

func (cl Client) url(path string) string { return "http://" + cl.Addr + path }
