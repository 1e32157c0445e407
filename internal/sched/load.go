package sched

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// load reads all jobs of the cell. It has no time limit as a whole: one that the rows of
// the cell do not keep to would have the owner begin anew for ever, and keep the cell.
func (ow *Owner) load(ctx context.Context) error {
	read := func() (struct{}, error) {
		err := ow.loadOnce(ctx)
		if err != nil {
			ow.Log.Warn("cell not loaded yet", "cell", ow.Cell, "epoch", ow.Tenure.Epoch, "err", err)
		}
		return struct{}{}, err
	}
	bo := backoff.NewExponentialBackOff()
	bo.InitialInterval, bo.MaxInterval = rewriteFirst, rewriteMost
	if _, err := backoff.Retry(ctx, read, backoff.WithBackOff(bo), backoff.WithMaxElapsedTime(0)); err != nil {
		return fmt.Errorf("load cell %s: %w", ow.Cell, err)
	}
	return nil
}

func (ow *Owner) loadOnce(ctx context.Context) error {
	progress, err := ow.Table.List(ctx, ow.progressKey(""))
	if err != nil {
		return err
	}
	specs, err := ow.Table.List(ctx, ow.specKey(""))
	if err != nil {
		return err
	}
	clear(ow.entries)
	clear(ow.orphans)
	ow.active = nil
	byID := map[string]store.Row{}
	for _, row := range specs {
		byID[lastPart(row.Key)] = row
	}
	for _, row := range progress {
		id := lastPart(row.Key)
		jo, err := job.Restore(id, byID[id].Value, row.Value)
		if err != nil {
			// Reading it again would say the same.
			return backoff.Permanent(err)
		}
		ow.restore(jo, row.Version).specKept = byID[id].Version > 0
	}
	return nil
}

func lastPart(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }

// restore enters a job as it was read.
func (ow *Owner) restore(jo *job.Job, progVer int64) *entry {
	en := ow.add(jo)
	en.progVer, en.shown = progVer, jo.State()
	if en.shown.Final() {
		en.endedAt = time.Now()
	}
	for step, tasks := range jo.Tasks {
		for index := range tasks {
			if tasks[index].State == job.Started {
				ow.orphans[tasks[index].Worker]++
				en.orphans = append(en.orphans, job.TaskRef{Step: step, Index: index})
			}
		}
	}
	ow.recount(en)
	return en
}

// adopt gives a worker that was just seen the attempts that former owners
// ordered there.
func (ow *Owner) adopt(ho *workerState) {
	found := false
	for incarnation := range ow.orphans {
		if incarnation.ID != ho.incarnation.ID {
			continue
		}
		found = true
		delete(ow.orphans, incarnation)
		if incarnation.OtherLife(ho.incarnation) {
			ho.formerIncarnations = append(ho.formerIncarnations, incarnation)
		}
	}
	if !found {
		return
	}
	for _, en := range ow.entries {
		en.orphans = en.adopted(ho)
	}
}

// adopted enters a job's attempts on the worker and returns those elsewhere.
func (en *entry) adopted(ho *workerState) []job.TaskRef {
	rest := en.orphans[:0]
	for _, ref := range en.orphans {
		ta := en.jo.Task(ref)
		if ta.Worker.ID != ho.incarnation.ID {
			rest = append(rest, ref)
			continue
		}
		at := &attempt{ref: ref, number: ta.Attempt, ho: ho, en: en, inherited: true, worked: minRunTime(ta.Proof), pace: unknownPace}
		if ta.Worker.OtherLife(ho.incarnation) {
			at.worked, at.ends = 0, unseenEnd(ta.Proof, ho.ow.listSound(time.Now()))
		}
		ho.addAttempt(at)
	}
	return rest
}

// unknownPace is that of attempts a former owner ordered.
const unknownPace = -1

// tickOrphans ends attempts on workers that were never seen, once their
// leases have lapsed.
func (ow *Owner) tickOrphans(now time.Time) {
	for incarnation := range ow.orphans {
		if ow.formerLeasesLapsed(incarnation, now) {
			delete(ow.orphans, incarnation)
			ow.endOrphans(incarnation, now)
		}
	}
}

// unseenWhy is why attempts end on a worker that was never seen.
const unseenWhy = "its worker was not seen since the takeover"

// endOrphans ends the attempts on a worker that was never seen.
func (ow *Owner) endOrphans(incarnation worker.Incarnation, now time.Time) {
	sound := ow.listSound(now)
	var le lostEnds
	for _, en := range ow.entries {
		rest := en.orphans[:0]
		for _, ref := range en.orphans {
			ta := en.jo.Task(ref)
			if ta.Worker != incarnation {
				rest = append(rest, ref)
				continue
			}
			end := unseenEnd(ta.Proof, sound)
			le.add(&en.jo.Spec.Steps[ref.Step], end)
			ow.end(en, ref, ta.Attempt, end, "", unseenWhy)
		}
		en.orphans = rest
	}
	ow.logLost(incarnation, le, unseenWhy, now.Sub(ow.opened))
}
