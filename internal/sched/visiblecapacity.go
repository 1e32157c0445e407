package sched

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/capacitywait"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/transit"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// A worker uses capacity for an attempt from its start until it lists the end. The owner
// reserves the capacity from the placement on, and passes over workers for reasons of its own,
// such as failed attempts. So an interrupted task can wait while workers have the capacity for
// it by their own account. The waits recorded here show for how long.

// visibleCapacityLogInterval is the minimum time between log lines on interrupted tasks for
// which workers have capacity.
const visibleCapacityLogInterval = time.Second

// visibleCapacity measures how long interrupted tasks wait while workers have the capacity for
// them. The zero value is ready to use.
type visibleCapacity struct {
	waits    map[taskKey]*capacitywait.Wait
	loggedAt time.Time
	// ended counts the waits that ended since loggedAt, endedLongest holds the longest of their
	// times. missed counts the tasks missed since loggedAt, with each phase of the checks.
	ended        int
	endedLongest [capacitywait.MaxWorkers]time.Duration
	missed       int
	// transit adds up since loggedAt.
	transit transit.Sum
}

// taskKey identifies a task of the cell.
type taskKey struct {
	tj  *trackedJob
	ref job.TaskRef
}

func (tk taskKey) step() *job.Step { return &tk.tj.jo.Spec.Steps[tk.ref.Step] }

// measureVisibleCapacity measures the waits of the interrupted tasks that may start.
func (ow *Owner) measureVisibleCapacity(now time.Time) {
	vc := &ow.visibleCapacity
	tasks := ow.interruptedTasks(now)
	if len(tasks) == 0 && len(vc.waits) == 0 && vc.ended == 0 {
		return
	}
	workers := ow.visibleWorkers()
	counts := map[longRunningStep]int{}
	for _, tk := range tasks {
		ls := longRunningStep{tk.tj, tk.ref.Step}
		n, known := counts[ls]
		if !known {
			n = countVisible(workers, tk)
			counts[ls] = n
		}
		ow.recordVisible(tk, n, now)
	}
	ow.endVisibleWaits(now)
	ow.logVisibleCapacity(workers, now)
}

// recordVisible records that the given number of workers have the capacity for a task now.
func (ow *Owner) recordVisible(tk taskKey, workers int, now time.Time) {
	vc := &ow.visibleCapacity
	if vc.waits == nil {
		vc.waits = map[taskKey]*capacitywait.Wait{}
	}
	wa := vc.waits[tk]
	if wa == nil {
		wa = &capacitywait.Wait{}
		vc.waits[tk] = wa
	}
	elapsed, missed := wa.Observe(workers, now)
	ow.Metrics.Add(telemetry.InterruptedTime, elapsed.Milliseconds(), "workers", visibleNames[workers])
	if missed > 0 {
		vc.missed += missed
		ow.Metrics.Add(telemetry.InterruptedMissed, int64(missed))
	}
}

// visibleNames are the names of numbers of workers in metrics.
var visibleNames = [capacitywait.MaxWorkers + 1]string{"none", "one", "two"}

// endVisibleWaits passes the waits of the tasks that no longer wait to the metrics.
func (ow *Owner) endVisibleWaits(now time.Time) {
	vc := &ow.visibleCapacity
	for tk, wa := range vc.waits {
		if wa.ObservedAt().Equal(now) {
			continue
		}
		delete(vc.waits, tk)
		vc.ended++
		for i, d := range wa.Longest() {
			vc.endedLongest[i] = max(vc.endedLongest[i], d)
		}
		for i, d := range wa.Longest() {
			ow.Metrics.Observe(telemetry.VisibleCapacityWait, d, "workers", visibleNames[i+1])
		}
	}
}

// interruptedTasks returns the interrupted tasks that may start now: those that wait, and
// those whose worker has not confirmed the start.
func (ow *Owner) interruptedTasks(now time.Time) []taskKey {
	var list []taskKey
	for _, tj := range ow.waitingJobs {
		list = tj.appendInterrupted(list, now)
	}
	for at := range ow.unconfirmedRestarts {
		list = append(list, taskKey{at.tj, at.ref})
	}
	return list
}

// appendInterrupted appends the job's interrupted tasks that wait and may start now.
func (tj *trackedJob) appendInterrupted(list []taskKey, now time.Time) []taskKey {
	if !tj.jo.LongRunning() {
		return list
	}
	for step, tasks := range tj.jo.Tasks {
		if !tj.jo.Spec.Steps[step].LongRunning || !tj.jo.Ready(step) {
			continue
		}
		for index := range tasks {
			ref := job.TaskRef{Step: step, Index: index}
			if tasks[index].State == job.Waiting && tj.interrupted(ref) && !tj.backoffs.Active(ref, now) {
				list = append(list, taskKey{tj, ref})
			}
		}
	}
	return list
}

// visibleWorkers returns the workers that answer and are not about to leave, with the capacity
// that is free by their own account, the most free cores first.
func (ow *Owner) visibleWorkers() []candidate {
	var list []candidate
	for wk := range ow.allWorkers() {
		if wk.dead || wk.refusesStarts() || !wk.settled || !wk.failingSince.IsZero() {
			continue
		}
		ca := newCandidate(wk)
		ca.free = ca.free.Add(wk.unconfirmed())
		list = append(list, ca)
	}
	slices.SortStableFunc(list, func(a, b candidate) int { return cmp.Compare(b.free.MilliCores, a.free.MilliCores) })
	return list
}

// unconfirmed returns the resources reserved by attempts whose start the worker has not
// confirmed.
func (wk *workerState) unconfirmed() worker.Resources {
	var sum worker.Resources
	for at := range wk.allAttempts() {
		if at.launchedAt.IsZero() {
			sum = sum.Add(at.step().Reserved())
		}
	}
	return sum
}

// countVisible counts the workers that have the capacity for a task, up to capacitywait.MaxWorkers.
func countVisible(workers []candidate, tk taskKey) int {
	need := tk.step().Reserved()
	n := 0
	for i := range workers {
		ca := &workers[i]
		if n == capacitywait.MaxWorkers || ca.free.MilliCores < need.MilliCores {
			break
		}
		if need.Fits(ca.free) && ca.allowed(tk.tj, tk.ref, tk.step()) {
			n++
		}
	}
	return n
}

// logVisibleCapacity logs the task for which workers have had the capacity for longest.
func (ow *Owner) logVisibleCapacity(workers []candidate, now time.Time) {
	vc := &ow.visibleCapacity
	if now.Sub(vc.loggedAt) < visibleCapacityLogInterval {
		return
	}
	longest, waiting := vc.longestWait(now)
	if longest.tj == nil && vc.ended == 0 && vc.transit.Starts() == 0 {
		return
	}
	attrs := []slog.Attr{
		slog.Int("tasks", len(vc.waits)), slog.Int("visible", waiting),
		slog.Int("ended", vc.ended), slog.Duration("ended_one", vc.endedLongest[0]), slog.Duration("ended_two", vc.endedLongest[1]),
		slog.Int("missed", vc.missed),
	}
	attrs = append(attrs, vc.transit.Attrs(min(now.Sub(vc.loggedAt), maxTransitSpan))...)
	if longest.tj != nil {
		attrs = append(attrs, ow.visibleAttrs(workers, longest, now)...)
	}
	ow.Log.LogAttrs(ow.ctx, slog.LevelInfo, "capacity for interrupted tasks", attrs...)
	vc.loggedAt, vc.ended, vc.endedLongest, vc.missed, vc.transit = now, 0, [capacitywait.MaxWorkers]time.Duration{}, 0, transit.Sum{}
}

// longestWait returns the task for which at least two workers have had the capacity for
// longest, or else one worker, and the number of tasks for which any has it. The task is zero
// if none has it for any.
func (vc *visibleCapacity) longestWait(now time.Time) (longest taskKey, waiting int) {
	most := &capacitywait.Wait{}
	for tk, wa := range vc.waits {
		if !wa.HasCapacity() {
			continue
		}
		waiting++
		if longest.tj == nil || cmp.Or(cmp.Compare(wa.Current(2, now), most.Current(2, now)), cmp.Compare(wa.Current(1, now), most.Current(1, now))) > 0 {
			longest, most = tk, wa
		}
	}
	return longest, waiting
}

// visibleAttrs returns the wait of a task, and why the owner passes over the workers that have
// the capacity, as attributes of a log line.
func (ow *Owner) visibleAttrs(workers []candidate, tk taskKey, now time.Time) []slog.Attr {
	wa, need := ow.visibleCapacity.waits[tk], tk.step().Reserved()
	visible, usable, reasons := 0, 0, map[string]int{}
	for i := range workers {
		ca := &workers[i]
		if !need.Fits(ca.free) || !ca.allowed(tk.tj, tk.ref, tk.step()) {
			continue
		}
		visible++
		why := ca.wk.passedOverReason(tk, now)
		if why == "" {
			usable++
			continue
		}
		reasons[why]++
	}
	task := tk.tj.jo.Task(tk.ref)
	return []slog.Attr{
		slog.String("task", tk.tj.jo.TaskID(tk.ref)), slog.Int64("need_millicores", need.MilliCores), slog.Int64("need_mem_mb", need.MemMB),
		slog.Duration("one", wa.Current(1, now)), slog.Duration("two", wa.Current(2, now)),
		slog.Bool("placed", task.State != job.Waiting), slog.Bool("suspect", task.Suspect()),
		slog.Int("workers", visible), slog.Int("usable", usable), slog.String("barred", formatCounts(reasons)),
	}
}

// passedOverStarting: by the owner's account, attempts that are about to start use the
// capacity.
const passedOverStarting = "starting"

// passedOverReason returns why the owner starts no task of the step on a worker that has the
// capacity by its own account, or an empty string if it may.
func (wk *workerState) passedOverReason(tk taskKey, now time.Time) string {
	why := cmp.Or(wk.unavailableReason(now), wk.exclusionReason(tk.tj, tk.ref.Step))
	if why == "" && !tk.step().Reserved().Fits(wk.Capacity.Sub(wk.reserved)) {
		return passedOverStarting
	}
	return why
}
