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

// Times of telling of tasks that are stuck.
const (
	// stuckAfter is how long a task waits, or is taken to run without its worker's word,
	// until it counts as stuck.
	stuckAfter = 5 * time.Second
	// stuckEvery is the time between two looks for such tasks.
	stuckEvery = time.Second
	// stuckNamed bounds the jobs that a line names.
	stuckNamed = 8
)

// obstacle is what holds back a task that is stuck.
type obstacle string

const (
	// obstacleRest: it failed several times in a row and is not to begin yet.
	obstacleRest obstacle = "rest"
	// obstacleTrial: it waits to be tried alone on a worker, or apart from others.
	obstacleTrial obstacle = "trial"
	// obstacleRoom, obstaclePlace, obstacleOrder and obstacleStore are the causes of
	// those names.
	obstacleRoom  obstacle = "room"
	obstaclePlace obstacle = "place"
	obstacleOrder obstacle = "order"
	obstacleStore obstacle = "store"
	// obstacleSilent: it is taken to run on a worker that does not answer.
	obstacleSilent obstacle = "silent-worker"
	// obstacleStopping: the end of its attempt was ordered and is not listed.
	obstacleStopping obstacle = "stopping"
)

var obstacles = []obstacle{
	obstacleRest, obstacleTrial, obstacleRoom, obstaclePlace, obstacleOrder, obstacleStore, obstacleSilent, obstacleStopping,
}

// stuckJob are the stuck tasks of one job.
type stuckJob struct {
	en     *entry
	counts map[obstacle]int
	wait   time.Duration
}

// noteStuck counts the tasks that are stuck by what holds them back, and tells of the
// longest.
func (ow *Owner) noteStuck(now time.Time) {
	if now.Sub(ow.stuckAt) < stuckEvery {
		return
	}
	ow.stuckAt = now
	var list []stuckJob
	counts := map[bool]map[obstacle]int{true: {}, false: {}}
	for _, en := range ow.entries {
		sj := en.stuck(now)
		if len(sj.counts) == 0 {
			continue
		}
		list = append(list, sj)
		for ob, n := range sj.counts {
			counts[en.jo.Endless()][ob] += n
		}
	}
	held, reserved, barred := ow.capacityNow(now)
	gaugeStuck(ow.Metrics, counts)
	gaugeCores(ow.Metrics, held, reserved)
	if len(list) == 0 {
		return
	}
	ow.Log.Info("tasks are stuck", "jobs", len(list), "lasting", listCounts(counts[true]), "ending", listCounts(counts[false]),
		"reserved_share", share(reserved, held), "barred", listCounts(barred), "longest", nameLongest(list))
}

// gaugeStuck sets the gauge of stuck tasks, by whether they last.
func gaugeStuck(me *telemetry.Metrics, counts map[bool]map[obstacle]int) {
	for _, ob := range obstacles {
		me.Set(telemetry.StuckTasks, int64(counts[true][ob]), "kind", "lasting", "why", string(ob))
		me.Set(telemetry.StuckTasks, int64(counts[false][ob]), "kind", "ending", "why", string(ob))
	}
}

// gaugeCores sets the gauge of cores, of which some are held and reserved in thousandths.
func gaugeCores(me *telemetry.Metrics, held, reserved int64) {
	me.Set(telemetry.CellCores, held/1000, "part", "held")
	me.Set(telemetry.CellCores, reserved/1000, "part", "reserved")
}

// capacityNow sums up what workers that get tasks hold and what is reserved there, in
// thousandths of a core, and counts the others by why they get none.
func (ow *Owner) capacityNow(now time.Time) (held, reserved int64, barred map[string]int) {
	barred = map[string]int{}
	for _, ho := range ow.hosts {
		if why := ho.unavailableReason(now); why != "" {
			barred[why]++
			continue
		}
		held += ho.Capacity.MilliCores
		reserved += ho.reserved.MilliCores
	}
	return held, reserved, barred
}

// stuck returns the job's tasks that are stuck.
func (en *entry) stuck(now time.Time) stuckJob {
	sj := stuckJob{en: en, counts: map[obstacle]int{}}
	if !en.endedAt.IsZero() {
		return sj
	}
	if wait := now.Sub(en.waitingSince); en.waiting > 0 && wait >= stuckAfter {
		sj.wait = wait
		en.countObstacles(sj.counts, now)
	}
	for _, at := range en.attempts {
		ob, since := at.obstacle()
		if wait := now.Sub(since); ob != "" && wait >= stuckAfter {
			sj.wait = max(sj.wait, wait)
			sj.counts[ob]++
		}
	}
	return sj
}

// countObstacles counts the waiting tasks by what holds them back.
func (en *entry) countObstacles(counts map[obstacle]int, now time.Time) {
	lack := obstacle(en.currentCause(en.ow.storeDown()).String())
	for step, tasks := range en.jo.Tasks {
		if !en.jo.Ready(step) {
			continue
		}
		for index := range tasks {
			if tasks[index].State != job.Waiting {
				continue
			}
			switch {
			case en.rests.resting(job.TaskRef{Step: step, Index: index}, now):
				counts[obstacleRest]++
			case tasks[index].Suspect():
				counts[obstacleTrial]++
			default:
				counts[lack]++
			}
		}
	}
}

// obstacle returns why an attempt that is taken to run may not, and since when.
func (at *attempt) obstacle() (obstacle, time.Time) {
	switch {
	case !at.ho.failingSince.IsZero():
		return obstacleSilent, at.ho.failingSince
	case !at.ho.settled:
		return obstacleSilent, at.ho.firstSeen
	case !at.halted.IsZero():
		return obstacleStopping, at.halted
	}
	return "", time.Time{}
}

// nameLongest names the jobs whose tasks are stuck for longest.
func nameLongest(list []stuckJob) string {
	slices.SortFunc(list, func(a, b stuckJob) int {
		return cmp.Or(cmp.Compare(b.wait, a.wait), cmp.Compare(a.en.jo.ID, b.en.jo.ID))
	})
	var named []string
	for _, sj := range list[:min(len(list), stuckNamed)] {
		named = append(named, fmt.Sprintf("%s %s %.1fs", sj.en.jo.ID, listCounts(sj.counts), sj.wait.Seconds()))
	}
	return strings.Join(named, "; ")
}
