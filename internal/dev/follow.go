package dev

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/jobapi"
)

// jobCounts counts accepted and succeeded jobs, and tasks that ran twice.
type jobCounts struct {
	accepted, done, ranTwice int
	// violations names the accepted jobs that did not succeed and the tasks that ran twice.
	violations []string
}

// jobFollower queries the states of accepted jobs until their ends, as the owner forgets jobs
// some time after their end.
type jobFollower struct {
	client jobapi.Client
	counts jobCounts
	// open holds the jobs whose end was not seen.
	open []followedJob
	// succeeded holds the jobs that succeeded, except those that the owner may have forgotten.
	succeeded []followedJob
}

// followedJob is an accepted job.
type followedJob struct {
	id        string
	submitted time.Time
}

// mayBeForgotten reports whether the owner may have forgotten the job after its end.
func (fj followedJob) mayBeForgotten() bool { return time.Since(fj.submitted) >= keepEnded }

// add adds an accepted job.
func (jf *jobFollower) add(fj followedJob) {
	jf.counts.accepted++
	jf.open = append(jf.open, fj)
}

// poll queries the state of each job whose end was not seen.
func (jf *jobFollower) poll(ctx context.Context) {
	var open []followedJob
	for _, fj := range jf.open {
		state, err := jf.client.State(ctx, fj.id)
		switch {
		case err != nil:
			open = append(open, fj)
		case state == job.Succeeded:
			jf.counts.done++
			jf.succeeded = append(jf.succeeded, fj)
		case state == "":
			jf.violation("job %s was forgotten before its end was seen", fj.id)
		case state.Final():
			jf.violation("job %s ended as %s", fj.id, state)
		default:
			open = append(open, fj)
		}
	}
	jf.open = open
	jf.succeeded = slices.DeleteFunc(jf.succeeded, followedJob.mayBeForgotten)
}

// finish queries the states for the last time and returns the counts. Jobs must have ended by
// now, and those that succeeded must still be reported as such.
func (jf *jobFollower) finish(ctx context.Context, ranTwice []string) jobCounts {
	jf.poll(ctx)
	for _, fj := range jf.open {
		jf.violation("job %s: its end was not seen", fj.id)
	}
	for _, fj := range jf.succeeded {
		switch state, err := jf.client.State(ctx, fj.id); {
		case err != nil:
			jf.counts.done--
			jf.violation("job %s succeeded, then its state could not be queried: %v", fj.id, err)
		case state != job.Succeeded && (state != "" || !fj.mayBeForgotten()):
			jf.counts.done--
			jf.violation("job %s succeeded, then its state was %q", fj.id, state)
		}
	}
	jf.counts.ranTwice = len(ranTwice)
	jf.counts.violations = append(jf.counts.violations, ranTwice...)
	return jf.counts
}

func (jf *jobFollower) violation(format string, args ...any) {
	jf.counts.violations = append(jf.counts.violations, fmt.Sprintf(format, args...))
}
