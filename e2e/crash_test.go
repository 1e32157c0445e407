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

// startsMost is how often a task may be started that crashes each worker, as the users
// state it.
const startsMost = 5

// TestTaskCrashesWorkersWhileOwnersChange has a task crash each worker that starts it,
// among processes, and the owner freeze just after a crash: its job fails within the
// starts that users bear, also over the takeover, and all that it took along runs again.
func TestTaskCrashesWorkersWhileOwnersChange(t *testing.T) {
	c := qt.New(t)
	cl := startJobCluster(c)
	const id = "00000000000000ff"
	crashes := job.New(id, job.Terms{}, job.Spec{Steps: []job.Step{{Tasks: 1}}}).TaskID(job.TaskRef{})
	cl.fleet.SetRunFunc(func(at worker.Attempt) (time.Duration, string) {
		if at.Task == crashes {
			return 10 * time.Millisecond, standin.OutcomeCrash
		}
		return -1, ""
	})
	su := jobapi.Submission{ID: id, Queue: "q", Spec: job.Spec{Payload: "crash", Steps: []job.Step{{
		Tasks: 1, Each: worker.Resources{MilliCores: 500, MemMB: 100}, EstimateMS: 500,
	}}}}
	cl.handIn(su)
	starts := func() int {
		n := 0
		for _, ru := range cl.fleet.Runs() {
			if ru.Task == crashes {
				n++
			}
		}
		return n
	}
	cl.await("a worker crashed", func() bool { return starts() > 0 })
	frozen := cl.owner()
	cl.freeze(frozen, frozenFor, time.Now())
	cl.await("the job has failed", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		st, err := jobapi.Client{HTTP: cl.web, Addr: cl.hosts[0].addrs[1]}.State(ctx, id)
		return err == nil && st == job.Failed
	})
	c.Check(starts() <= startsMost, qt.IsTrue, qt.Commentf("%d starts", starts()))
	c.Logf("%d starts", starts())
	cl.assertWhole()
}

// handIn hands a job in, with the same id until it is taken.
func (cl *jobCluster) handIn(su jobapi.Submission) {
	api := jobapi.Client{HTTP: cl.web, Addr: cl.hosts[0].addrs[1]}
	cl.await("job is accepted", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		ve, err := api.Submit(ctx, su)
		return err == nil && ve.Outcome == sched.Accepted
	})
}
