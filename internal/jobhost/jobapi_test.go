package jobhost

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/jobapi"
	"github.com/pepperhatch/pepperhatch/internal/sched"
	"github.com/pepperhatch/pepperhatch/internal/wire"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// TestJobAPI checks the job API from submission to cancellation, and its error codes.
func TestJobAPI(t *testing.T) {
	th := newTestHost(t, 2)
	th.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return -1, "" }
	sv := httptest.NewServer(th.host.peerHandler())
	t.Cleanup(func() { sv.CloseClientConnections(); sv.Close() })
	cl := jobapi.Client{HTTP: http.DefaultClient, Addr: sv.Listener.Addr().String()}
	ctx := context.Background()
	id := "00000000000000aa"
	su := jobapi.Submission{ID: id, Queue: "q", Spec: job.Spec{Steps: []job.Step{{Tasks: 2, Each: worker.Resources{MilliCores: 100}, LongRunning: true}}}}
	_, err := cl.Submit(ctx, su)
	qt.Assert(t, wire.Code(err), qt.Equals, "not-ready")
	th.configure()

	ve, err := cl.Submit(ctx, su)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, ve.Outcome, qt.Equals, sched.Accepted)
	th.eventually("running", func() bool {
		jobs, err := cl.List(ctx)
		return err == nil && len(jobs) == 1 && jobs[0].Running == 2 && jobs[0].Tasks == 2 && jobs[0].State == job.Running
	})
	state, err := cl.State(ctx, id)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, state, qt.Equals, job.Running)
	ve, err = cl.Cancel(ctx, id)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, ve.Outcome, qt.Equals, sched.Accepted)
	state, err = cl.State(ctx, "00000000000000bb")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, state, qt.Equals, job.State(""))

	for _, tc := range []struct {
		name string
		edit func(*jobapi.Submission)
		code string
	}{
		{"queue", func(su *jobapi.Submission) { su.Queue = "none" }, "no-queue"},
		{"id", func(su *jobapi.Submission) { su.ID = "x" }, wire.CodeMalformed},
		{"spec", func(su *jobapi.Submission) { su.Spec.Steps = nil }, wire.CodeMalformed},
	} {
		t.Run("bad "+tc.name, func(t *testing.T) {
			bad := su
			tc.edit(&bad)
			_, err := cl.Submit(ctx, bad)
			qt.Assert(t, wire.Code(err), qt.Equals, tc.code)
		})
	}
}
