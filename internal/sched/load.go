package sched

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/pepperhatch/pepperhatch/internal/headroom"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/tenure"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// load reads all jobs of the cell. It has no overall timeout: with one, an owner whose
// cell takes longer to read would start over forever while it keeps the cell. Each read
// has one, and [loadMonitor] ends the tenure of an owner that makes no progress.
func (ow *Owner) load(ctx context.Context) error {
	lm := &loadMonitor{ow: ow}
	mctx, stop := context.WithCancel(ctx)
	defer stop()
	go lm.run(mctx)
	table := lm.observe(ow.Table)
	read := func() (struct{}, error) {
		err := ow.loadOnce(ctx, table)
		if err != nil {
			ow.Log.Warn("cell not loaded yet", "cell", ow.Cell, "epoch", ow.Tenure.Epoch, "err", err)
		}
		return struct{}{}, err
	}
	bo := backoff.NewExponentialBackOff()
	bo.InitialInterval, bo.MaxInterval = initialRewriteDelay, maxRewriteDelay
	_, err := backoff.Retry(ctx, read, backoff.WithBackOff(bo), backoff.WithMaxElapsedTime(0))
	switch {
	case err != nil && ctx.Err() != nil:
		return fmt.Errorf("load cell %s: %w", ow.Cell, err)
	case err != nil:
		return fmt.Errorf("load cell %s: %w: %w", ow.Cell, tenure.ErrNotLoaded, err)
	}
	return nil
}

func (ow *Owner) loadOnce(ctx context.Context, table store.Table) error {
	if err := ow.loadWriteMark(ctx, table); err != nil {
		return err
	}
	evacuated := ow.readEvacuated(ctx)
	progress, err := table.List(ctx, ow.progressKey(""))
	if err != nil {
		return err
	}
	specs, err := table.List(ctx, ow.specKey(""))
	if err != nil {
		return err
	}
	if ow.evacuated, err = evacuated(); err != nil {
		return err
	}
	clear(ow.jobs)
	clear(ow.finiteJobs)
	ow.endedJobs = nil
	clear(ow.unowned)
	clear(ow.restartLeases)
	clear(ow.unownedByID)
	clear(ow.ordersAt)
	clear(ow.unreadable)
	ow.waitingJobs = nil
	ow.demands = headroom.Demands{}
	byID := map[string]store.Row{}
	for _, row := range specs {
		byID[lastKeySegment(row.Key)] = row
	}
	for _, row := range progress {
		id := lastKeySegment(row.Key)
		jo, err := job.Restore(id, byID[id].Value, row.Value)
		if err != nil {
			ow.recordUnreadable(id, row, err)
			continue
		}
		ow.restore(jo, row.Version).specStored = byID[id].Version > 0
	}
	return nil
}

// recordUnreadable records a job whose rows cannot be decoded: they are damaged, or a later version
// wrote them. Its rows stay as they are, and what runs of it goes on, so that an owner which can read
// them finds it. Ends of its attempts are lost meanwhile.
func (ow *Owner) recordUnreadable(id string, row store.Row, err error) {
	ow.unreadable[id] = true
	ow.invalidRows.Report("jobs", row.Key, row.Version, err, "the job is left as it is")
}

func lastKeySegment(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }

// restore creates the owner's state of a job that was read from the store.
func (ow *Owner) restore(jo *job.Job, progVer int64) *trackedJob {
	tj := ow.addJob(jo)
	tj.progressVersion, tj.writtenState = progVer, jo.State()
	if tj.writtenState.Final() {
		ow.recordJobEnd(tj, time.Now())
	}
	ceased, _ := ow.formerLeaseBounds()
	for step, tasks := range jo.Tasks {
		for index := range tasks {
			for _, ra := range tasks[index].Running() {
				ow.recordUnowned(tj, ra.Worker)
				ow.recordRowLeases(jo, ra.Worker)
				tj.unowned = append(tj.unowned, attemptKey{job.TaskRef{Step: step, Index: index}, ra.Number})
			}
			tj.inheritOrders(job.TaskRef{Step: step, Index: index}, ceased)
		}
	}
	ow.recountWaiting(tj)
	// How long it has waited for former owners is not known.
	tj.orderSince = ow.startedAt.Add(-maxOrderWait)
	ow.seedDemand(tj)
	return tj
}

// unownedWorker is what former owners ordered at the incarnations of a worker that has not been seen.
type unownedWorker struct {
	incarnations map[worker.Incarnation]bool
	jobs         map[*trackedJob]bool
}

// recordUnowned records an attempt of a job at an incarnation that has not been seen.
func (ow *Owner) recordUnowned(tj *trackedJob, incarnation worker.Incarnation) {
	ow.unowned[incarnation]++
	uw := ow.unownedByID[incarnation.ID]
	if uw == nil {
		uw = &unownedWorker{incarnations: map[worker.Incarnation]bool{}, jobs: map[*trackedJob]bool{}}
		ow.unownedByID[incarnation.ID] = uw
	}
	uw.incarnations[incarnation], uw.jobs[tj] = true, true
}

// adopt assigns to a newly seen worker the attempts that former owners ordered there.
func (ow *Owner) adopt(wk *workerState) {
	uw := ow.unownedByID[wk.incarnation.ID]
	if uw == nil {
		return
	}
	found := false
	for incarnation := range uw.incarnations {
		if _, ok := ow.unowned[incarnation]; !ok {
			continue
		}
		found = true
		delete(ow.unowned, incarnation)
	}
	if !found {
		return
	}
	ow.lag.RecordVisits(len(uw.jobs))
	for tj := range uw.jobs {
		tj.unowned = tj.adoptOn(wk)
	}
	delete(ow.unownedByID, wk.incarnation.ID)
}

// adoptOn assigns a job's unowned attempts on the worker to it and returns those on others.
func (tj *trackedJob) adoptOn(wk *workerState) []attemptKey {
	remaining := tj.unowned[:0]
	for _, key := range tj.unowned {
		ra, ok := tj.runningAttempt(key)
		if !ok {
			continue
		}
		if ra.Worker.ID != wk.incarnation.ID {
			remaining = append(remaining, key)
			continue
		}
		at := &attempt{ref: key.ref, number: key.number, wk: wk, tj: tj, inherited: true, inheritedRunTime: minRunTime(ra.Phase), rowIncarnation: ra.Worker, pace: unknownPace}
		if ra.Worker.IsOtherIncarnation(wk.incarnation) {
			at.inheritedRunTime, at.endIfNotRun = 0, unseenEnd(ra.Phase, wk.ow.listReliable(time.Now()))
			at.earlier = &earlierOrder{addressee: ra.Worker}
		}
		wk.addAttempt(at)
		wk.ow.adoptSuperseded(at)
	}
	return remaining
}

// unknownPace is the pace of attempts that a former owner ordered.
const unknownPace = -1

// endExpiredUnowned ends the attempts on workers that this owner never saw, once their leases
// have expired.
func (ow *Owner) endExpiredUnowned(now time.Time) {
	for incarnation := range ow.unowned {
		if ow.formerLeasesLapsed(incarnation, now) && ow.endUnowned(incarnation, now) {
			delete(ow.unowned, incarnation)
			delete(ow.restartLeases, incarnation)
		}
	}
}

// unseenReason is the logged reason for ending attempts on a worker that was never seen.
const unseenReason = "its worker was not seen since the takeover"

// endUnowned ends the attempts on a worker that was never seen, but for those that outstanding
// orders may still start. It reports whether that were all.
func (ow *Owner) endUnowned(incarnation worker.Incarnation, now time.Time) bool {
	reliable, all := ow.listReliable(now), true
	var le lostEnds
	uw := ow.unownedByID[incarnation.ID]
	if uw == nil {
		return true
	}
	ow.lag.RecordVisits(len(uw.jobs))
	for tj := range uw.jobs {
		remaining := tj.unowned[:0]
		for _, key := range tj.unowned {
			ra, ok := tj.runningAttempt(key)
			if !ok {
				continue
			}
			if ra.Worker != incarnation {
				remaining = append(remaining, key)
				continue
			}
			if !now.After(ow.orderLeases(tj, key.ref).until) {
				remaining, all = append(remaining, key), false
				continue
			}
			end := unseenEnd(ra.Phase, reliable)
			le.add(&tj.jo.Spec.Steps[key.ref.Step], end)
			ow.recordEnd(tj, key.ref, key.number, end, "", unseenReason)
		}
		tj.unowned = remaining
	}
	ow.logLost(incarnation, le, unseenReason, now.Sub(ow.startedAt), ow.incarnationLeases(incarnation).logArgs(incarnation, now)...)
	return all
}
