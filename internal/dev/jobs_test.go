package dev

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/jobapi"
	"github.com/pepperhatch/pepperhatch/internal/load"
	"github.com/pepperhatch/pepperhatch/internal/sched"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// transportFunc is a function that implements http.RoundTripper.
type transportFunc func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (tf transportFunc) RoundTrip(req *http.Request) (*http.Response, error) { return tf(req) }

// handlerTransport returns a transport that answers requests by a handler in the same process.
func handlerTransport(ha http.Handler) transportFunc {
	return func(req *http.Request) (*http.Response, error) {
		rec := httptest.NewRecorder()
		ha.ServeHTTP(rec, req)
		return rec.Result(), nil
	}
}

// revertSuccess returns a transport that reports jobs as running after it has reported their
// success.
func revertSuccess(next http.RoundTripper) transportFunc {
	reported := map[string]bool{}
	return func(req *http.Request) (*http.Response, error) {
		query, err := io.ReadAll(req.Body)
		if err != nil {
			return nil, err
		}
		req.Body = io.NopCloser(bytes.NewReader(query))
		resp, err := next.RoundTrip(req)
		if err != nil {
			return nil, err
		}
		answer, err := io.ReadAll(resp.Body)
		if err != nil {
			return nil, err
		}
		if bytes.Contains(answer, []byte(job.Succeeded)) {
			if reported[string(query)] {
				answer = bytes.ReplaceAll(answer, []byte(job.Succeeded), []byte(job.Running))
			}
			reported[string(query)] = true
		}
		resp.Body, resp.ContentLength = io.NopCloser(bytes.NewReader(answer)), int64(len(answer))
		return resp, nil
	}
}

// batchRun is a run of the batch cell alone.
type batchRun struct {
	*batchCell

	counts   jobCounts
	violated bool
	out      string
}

// runBatchCell runs the batch cell for a time, in a bubble of testing/synctest, after change
// was called with it, and reports its results.
func runBatchCell(t *testing.T, d time.Duration, change func(bc *batchCell)) batchRun {
	t.Helper()
	var out bytes.Buffer
	de := &deployment{set: Settings{Out: &out, Log: slog.New(slog.DiscardHandler)}}
	br := batchRun{batchCell: newBatchCell(de)}
	br.client = jobapi.Client{HTTP: &http.Client{Transport: handlerTransport(jobapi.Handler(br.frontEnd))}, Addr: "batch"}
	change(br.batchCell)
	hctx, stopHosts := context.WithCancel(context.Background())
	defer de.hostsWG.Wait()
	defer stopHosts()
	br.start(hctx)
	ctx, cancel := context.WithTimeout(hctx, d)
	defer cancel()
	br.counts = br.submitJobs(ctx)
	br.reportJobs(br.counts)
	violated, err := de.reportResults(load.Report{}, &sessionStats{}, taskStats{}, br.counts.violations)
	qt.Assert(t, err, qt.IsNil)
	br.violated, br.out = violated, out.String()
	return br
}

// runAgain starts the last task that was started at another worker too, and returns its ID.
func runAgain(t *testing.T, bc *batchCell) string {
	t.Helper()
	runs := bc.fleet.Runs()
	last := runs[len(runs)-1]
	list := bc.workerEntries()
	we := list[slices.IndexFunc(list, func(we sched.WorkerEntry) bool { return we.Incarnation != last.Worker })]
	la := worker.Launch{Attempt: last.Attempt, Fence: bc.fleet.FencingTokens()[last.Worker], LeaseUntilMS: time.Minute.Milliseconds()}
	_, err := bc.fleet.Agent().LaunchFunc(context.Background(), we.Addr, la)
	qt.Check(t, err, qt.IsNil)
	return last.Task
}

// jobID returns the ID of the nth job that is submitted.
func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// TestSucceededJobsAreForgottenDuringRun guards against jobs that count as lost once they are forgotten.
func TestSucceededJobsAreForgottenDuringRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		br := runBatchCell(t, 3*keepEnded, func(*batchCell) {})
		state, err := br.client.State(context.Background(), jobID(1))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(state), qt.Equals, "")
		qt.Check(t, br.violated, qt.IsFalse, qt.Commentf("%s", br.out))
		qt.Check(t, br.counts.accepted > 400, qt.IsTrue, qt.Commentf("%d accepted", br.counts.accepted))
		qt.Check(t, br.counts.done, qt.Equals, br.counts.accepted)
		qt.Check(t, br.out, qt.Contains, "no violated guarantee was found")
	})
}

// TestJobsWithoutSuccessAreNamed guards against violations that name no job.
func TestJobsWithoutSuccessAreNamed(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(bc *batchCell)
		// want follows the job's ID.
		want string
	}{
		"failed": {func(bc *batchCell) {
			bc.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return jobTaskTime, "failed" }
		}, " ended as failed"},
		"no longer succeeded": {func(bc *batchCell) {
			bc.client.HTTP = &http.Client{Transport: revertSuccess(bc.client.HTTP.Transport)}
		}, ` succeeded, then its state was "running"`},
		"unended": {func(bc *batchCell) {
			bc.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return -1, "" }
		}, ": its end was not seen"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				br := runBatchCell(t, 5*time.Second, tc.change)
				qt.Check(t, br.violated, qt.IsTrue)
				qt.Check(t, br.counts.done, qt.Equals, 0)
				qt.Check(t, br.counts.accepted > 0, qt.IsTrue)
				for n := range br.counts.accepted {
					qt.Check(t, br.out, qt.Contains, fmt.Sprintf("BROKEN: job %s%s\n", jobID(n+1), tc.want))
				}
				qt.Check(t, br.out, qt.Not(qt.Contains), "no violated guarantee was found")
			})
		})
	}
}

// TestForgottenJobsAreNamed guards against jobs whose end was never seen and that are not reported.
func TestForgottenJobsAreNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		br := runBatchCell(t, 2*keepEnded, func(bc *batchCell) {
			next := bc.client.HTTP.Transport
			bc.client.HTTP = &http.Client{Transport: transportFunc(func(req *http.Request) (*http.Response, error) {
				if strings.HasSuffix(req.URL.Path, "/state") && time.Since(start) < 2*keepEnded-time.Second {
					return nil, errors.New("connection refused")
				}
				return next.RoundTrip(req)
			})}
		})
		qt.Check(t, br.violated, qt.IsTrue)
		qt.Check(t, br.out, qt.Contains, "BROKEN: job "+jobID(1)+" was forgotten before its end was seen\n")
		forgotten := strings.Count(br.out, " was forgotten before its end was seen\n")
		qt.Check(t, forgotten, qt.Equals, br.counts.accepted-br.counts.done)
		qt.Check(t, forgotten < br.counts.accepted, qt.IsTrue)
	})
}

// TestTaskThatRunsTwiceIsNamed guards against tasks that run twice and are only counted.
func TestTaskThatRunsTwiceIsNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var task string
		br := runBatchCell(t, 5*time.Second, func(bc *batchCell) {
			bc.de.hostsWG.Go(func() {
				time.Sleep(3 * time.Second)
				task = runAgain(t, bc)
			})
		})
		qt.Check(t, br.violated, qt.IsTrue)
		qt.Check(t, br.counts.ranTwice > 0, qt.IsTrue)
		qt.Check(t, br.out, qt.Contains, "BROKEN: task "+task+": attempt 1 at ")
		qt.Check(t, br.out, qt.Not(qt.Contains), "no violated guarantee was found")
	})
}
