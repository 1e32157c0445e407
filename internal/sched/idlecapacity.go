package sched

import (
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
)

// fillerObstacle is why a worker takes no filler, the nearest to taking one first.
type fillerObstacle int8

// The obstacles.
const (
	// obstacleNone: the worker takes the filler.
	obstacleNone fillerObstacle = iota
	// obstacleHeld: a service there has been over its target for too long.
	obstacleHeld
	// obstacleTarget: a service there would get too close to its target.
	obstacleTarget
	// obstacleIdle: too little processor time is idle there.
	obstacleIdle
	// obstacleMemory: the worker lacks the memory.
	obstacleMemory

	fillerObstacles
)

// obstacleNames are the names of the obstacles in logs and metrics.
var obstacleNames = [fillerObstacles]string{"none", "held", "target", "little", "memory"}

// fillerObstacle returns why the worker does not take a filler of the step without harm to its
// services.
func (ca *candidate) fillerObstacle(st *job.Step) fillerObstacle {
	if !ca.hasCapacity(st, false) {
		return obstacleMemory
	}
	if ca.idle < int64(minIdlePart*float64(st.Each.MilliCores)) {
		return obstacleIdle
	}
	_, over := ca.interferencePenalty(st)
	switch {
	case over > 0:
		return obstacleTarget
	case ca.wk.fillers.held:
		return obstacleHeld
	}
	return obstacleNone
}

// idleCapacityInterval is the time between two figures of idle capacity.
const idleCapacityInterval = time.Second

// idleCapacity is the processor time that no task is expected to use while fillers wait, in
// thousandths of a core. A worker counts under the least obstacle that it has for any of the
// images that wait.
type idleCapacity struct {
	// jobs and tasks count the fillers that wait, needMilliCores is what they declare.
	jobs, tasks    int
	needMilliCores int64
	// steps has a waiting step of each image, the one that needs least processor time.
	steps map[string]*job.Step
	// byObstacle is the idle processor time by obstacle.
	byObstacle [fillerObstacles]int64
}

// reportIdleCapacity logs how much processor time is idle while fillers wait, and why they do not
// use it.
func (ow *Owner) reportIdleCapacity(now time.Time) {
	ic := ow.idleCapacity(now)
	setIdleGauge(ow.Metrics, ic.byObstacle)
	if ic.tasks == 0 {
		return
	}
	ow.Log.Info("idle capacity while fillers wait", "jobs", ic.jobs, "tasks", ic.tasks, "images", len(ic.steps), "need_millicores", ic.needMilliCores,
		"none", ic.byObstacle[obstacleNone], "held", ic.byObstacle[obstacleHeld], "target", ic.byObstacle[obstacleTarget],
		"little", ic.byObstacle[obstacleIdle], "memory", ic.byObstacle[obstacleMemory])
}

// setIdleGauge sets the gauge of idle capacity.
func setIdleGauge(me *telemetry.Metrics, byObstacle [fillerObstacles]int64) {
	for ob, idle := range byObstacle {
		me.Set(telemetry.FillerIdleCores, idle/1000, "obstacle", obstacleNames[ob])
	}
}

// idleCapacity sums up the fillers that wait, and the idle processor time of the workers that
// accept new tasks.
func (ow *Owner) idleCapacity(now time.Time) idleCapacity {
	ic := idleCapacity{steps: map[string]*job.Step{}}
	for _, tj := range ow.waitingJobs {
		ic.add(tj)
	}
	if ic.tasks == 0 {
		return ic
	}
	for wk := range ow.allWorkers() {
		if wk.unavailableReason(now) != "" {
			continue
		}
		ca := newCandidate(wk)
		least := obstacleMemory
		for _, st := range ic.steps {
			least = min(least, ca.fillerObstacle(st))
		}
		ic.byObstacle[least] += max(ca.idle, 0)
	}
	return ic
}

// add adds the waiting fillers of a job.
func (ic *idleCapacity) add(tj *trackedJob) {
	if !slices.ContainsFunc(tj.jo.Spec.Steps, func(st job.Step) bool { return st.Filler }) {
		return
	}
	ic.jobs++
	for i := range tj.jo.Spec.Steps {
		st := &tj.jo.Spec.Steps[i]
		n := tj.waitingIn(i)
		if !st.Filler || n == 0 {
			continue
		}
		ic.tasks += n
		ic.needMilliCores += int64(n) * st.Each.MilliCores
		if known := ic.steps[st.Image]; known == nil || st.Each.MilliCores < known.Each.MilliCores {
			ic.steps[st.Image] = st
		}
	}
}
