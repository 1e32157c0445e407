package sched

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
)

// Limits on the reports of stuck tasks.
const (
	// stuckAfter is how long a task must wait, or be assumed to run without confirmation by
	// its worker, to count as stuck.
	stuckAfter = 5 * time.Second
	// stuckCheckInterval is the time between two searches for stuck tasks.
	stuckCheckInterval = time.Second
	// stuckJobsLogged is the largest number of jobs that a log line names.
	stuckJobsLogged = 8
)

// obstacle is the reason why a task is stuck.
type obstacle string

const (
	// obstacleBackoff: it failed several times in a row and must not start yet.
	obstacleBackoff obstacle = "rest"
	// obstacleIsolation: it is suspected of crashing workers and waits for a worker where it
	// runs isolated, or spread from other such tasks.
	obstacleIsolation obstacle = "trial"
	// obstacleCapacity, obstacleHeadroom, obstaclePlacement, obstacleOrder and obstacleStore
	// equal the names of CauseRoom, CauseHeadroom, CausePlace, CauseOrder and CauseStore.
	obstacleCapacity  obstacle = "room"
	obstacleHeadroom  obstacle = "headroom"
	obstaclePlacement obstacle = "place"
	obstacleOrder     obstacle = "order"
	obstacleStore     obstacle = "store"
	// obstacleUnresponsive: it is assumed to run on a worker that does not answer.
	obstacleUnresponsive obstacle = "silent-worker"
	// obstacleStopping: a stop of its attempt was ordered, but the worker has not reported
	// its end.
	obstacleStopping obstacle = "stopping"
)

// obstacles has all values, for the gauges.
var obstacles = []obstacle{
	obstacleBackoff, obstacleIsolation, obstacleCapacity, obstacleHeadroom, obstaclePlacement, obstacleOrder, obstacleStore, obstacleUnresponsive, obstacleStopping,
}

// stuckJob holds the stuck tasks of one job, counted by obstacle, and the longest wait
// among them.
type stuckJob struct {
	tj     *trackedJob
	counts map[obstacle]int
	wait   time.Duration
}

// reportStuck sets the gauges of stuck tasks and of cores, and logs the jobs with the
// longest waits.
func (ow *Owner) reportStuck(now time.Time) {
	list := ow.stuckJobs(now)
	counts := map[bool]map[obstacle]int{true: {}, false: {}}
	for _, sj := range list {
		for ob, n := range sj.counts {
			counts[sj.tj.jo.LongRunning()][ob] += n
		}
	}
	held, reserved, excluded := ow.capacity(now)
	setStuckGauge(ow.Metrics, counts)
	setCoresGauge(ow.Metrics, held, reserved)
	if len(list) == 0 {
		return
	}
	ow.Log.Info("tasks are stuck", "jobs", len(list), "lasting", formatCounts(counts[true]), "ending", formatCounts(counts[false]),
		"reserved_share", share(reserved, held), "barred", formatCounts(excluded), "longest", formatLongest(list))
}

// setStuckGauge sets the gauge of stuck tasks; the key of counts is whether the job is
// long-running.
func setStuckGauge(me *telemetry.Metrics, counts map[bool]map[obstacle]int) {
	for _, ob := range obstacles {
		me.Set(telemetry.StuckTasks, int64(counts[true][ob]), "kind", "lasting", "why", string(ob))
		me.Set(telemetry.StuckTasks, int64(counts[false][ob]), "kind", "ending", "why", string(ob))
	}
}

// setCoresGauge sets the gauge of cores from the held and reserved processor time, in
// thousandths of a core.
func setCoresGauge(me *telemetry.Metrics, held, reserved int64) {
	me.Set(telemetry.CellCores, held/1000, "part", "held")
	me.Set(telemetry.CellCores, reserved/1000, "part", "reserved")
}

// capacity returns the processor time of the workers that accept new tasks and the part of
// it that is reserved, in thousandths of a core, and counts the other workers by the reason
// why they accept none.
func (ow *Owner) capacity(now time.Time) (held, reserved int64, excluded map[string]int) {
	excluded = map[string]int{}
	for wk := range ow.allWorkers() {
		if why := wk.unavailableReason(now); why != "" {
			excluded[why]++
			continue
		}
		held += wk.Capacity.MilliCores
		reserved += wk.reserved.MilliCores
	}
	return held, reserved, excluded
}

// stuckJobs returns the jobs with stuck tasks: those that wait, and those with attempts that were
// ordered to stop or whose workers get no orders.
func (ow *Owner) stuckJobs(now time.Time) []stuckJob {
	byJob := map[*trackedJob]*stuckJob{}
	of := func(tj *trackedJob) *stuckJob {
		if byJob[tj] == nil {
			byJob[tj] = &stuckJob{tj: tj, counts: map[obstacle]int{}}
		}
		return byJob[tj]
	}
	for _, tj := range ow.waitingJobs {
		if wait := now.Sub(tj.waitingSince); wait >= stuckAfter {
			sj := of(tj)
			sj.wait = wait
			tj.countObstacles(sj.counts, now)
		}
	}
	add := func(at *attempt) {
		ob, since := at.obstacle()
		if wait := now.Sub(since); ob != "" && wait >= stuckAfter && at.tj.endedAt.IsZero() {
			sj := of(at.tj)
			sj.wait = max(sj.wait, wait)
			sj.counts[ob]++
		}
	}
	for _, wk := range ow.scan.silent {
		for at := range wk.allAttempts() {
			if !ow.halted[at] {
				add(at)
			}
		}
	}
	for at := range ow.halted {
		add(at)
	}
	list := make([]stuckJob, 0, len(byJob))
	for _, sj := range byJob {
		list = append(list, *sj)
	}
	return list
}

// countObstacles counts the job's waiting tasks by obstacle.
func (tj *trackedJob) countObstacles(counts map[obstacle]int, now time.Time) {
	cause := obstacle(tj.currentCause(tj.ow.storeDown()).String())
	for step, tasks := range tj.jo.Tasks {
		if !tj.jo.Ready(step) {
			continue
		}
		for index := range tasks {
			if tasks[index].State != job.Waiting {
				continue
			}
			switch {
			case tj.backoffs.Active(job.TaskRef{Step: step, Index: index}, now):
				counts[obstacleBackoff]++
			case tasks[index].Suspect():
				counts[obstacleIsolation]++
			default:
				counts[cause]++
			}
		}
	}
}

// obstacle returns why an attempt that is assumed to run may not be running, and since
// when, or an empty string if nothing suggests that it is not.
func (at *attempt) obstacle() (obstacle, time.Time) {
	switch {
	case !at.wk.failingSince.IsZero():
		return obstacleUnresponsive, at.wk.failingSince
	case !at.wk.settled:
		return obstacleUnresponsive, at.wk.firstSeen
	case !at.haltSentAt.IsZero():
		return obstacleStopping, at.haltSentAt
	}
	return "", time.Time{}
}

// formatLongest formats the jobs with the longest waits, stuckJobsLogged at most.
func formatLongest(list []stuckJob) string {
	slices.SortFunc(list, func(a, b stuckJob) int {
		return cmp.Or(cmp.Compare(b.wait, a.wait), cmp.Compare(a.tj.jo.ID, b.tj.jo.ID))
	})
	var named []string
	for _, sj := range list[:min(len(list), stuckJobsLogged)] {
		named = append(named, fmt.Sprintf("%s %s %.1fs", sj.tj.jo.ID, formatCounts(sj.counts), sj.wait.Seconds()))
	}
	return strings.Join(named, "; ")
}
