package e2e

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/jobapi"
	"github.com/pepperhatch/pepperhatch/internal/sched"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// maxStarts is how often a task that crashes every worker may be started, as the
// platform's users state it.
const maxStarts = 5

// TestTaskCrashesWorkersDuringTakeover guards against a new owner that doesn't know how
// often a task has crashed its worker, and goes on starting it. A task crashes each
// worker that starts it, and the owner freezes just after a crash. Its job must fail
// within maxStarts starts, counted across the takeover, and the tasks that ran on the
// crashed workers must run again.
func TestTaskCrashesWorkersDuringTakeover(t *testing.T) {
	c := qt.New(t)
	cl := startJobCluster(c)
	const id = "00000000000000ff"
	crashTask := job.New(id, job.Terms{}, job.Spec{Steps: []job.Step{{Tasks: 1}}}).TaskID(job.TaskRef{})
	cl.fleet.SetRunFunc(func(at worker.Attempt) (time.Duration, string) {
		if at.Task == crashTask {
			return 10 * time.Millisecond, standin.OutcomeCrash
		}
		return -1, ""
	})
	su := jobapi.Submission{ID: id, Queue: "q", Spec: job.Spec{Payload: "crash", Steps: []job.Step{{
		Tasks: 1, Each: worker.Resources{MilliCores: 500, MemMB: 100}, EstimateMS: 500,
	}}}}
	cl.submitUntilAccepted(su)
	starts := func() int {
		n := 0
		for _, ru := range cl.fleet.Runs() {
			if ru.Task == crashTask {
				n++
			}
		}
		return n
	}
	cl.await("a worker crashed", func() bool { return starts() > 0 })
	frozen := cl.owner()
	cl.freeze(frozen, freezeTime, time.Now())
	cl.await("the job has failed", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		st, err := jobapi.Client{HTTP: cl.web, Addr: cl.hosts[0].addrs[1]}.State(ctx, id)
		return err == nil && st == job.Failed
	})
	c.Check(starts() <= maxStarts, qt.IsTrue, qt.Commentf("%d starts", starts()))
	c.Logf("%d starts", starts())
	cl.assertRecovered()
}

// submitUntilAccepted submits a job under one ID until it is accepted.
func (cl *jobCluster) submitUntilAccepted(su jobapi.Submission) {
	api := jobapi.Client{HTTP: cl.web, Addr: cl.hosts[0].addrs[1]}
	cl.await("job is accepted", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		ve, err := api.Submit(ctx, su)
		return err == nil && ve.Outcome == sched.Accepted
	})
}
