package sched

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/headroom"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
)

// isShort reports whether the step's tasks reserve processors and end by themselves.
func isShort(st *job.Step) bool {
	return !st.LongRunning && !st.Filler && st.Each.MilliCores > 0
}

// headroomKey returns the key under which the demand of a job's short tasks is measured.
func (tj *trackedJob) headroomKey() headroom.Key {
	return headroom.Key{Service: tj.jo.Terms.Service, Priority: tj.jo.Terms.Priority}
}

// forEachNewShortStep calls fn with each step of short tasks that may start, once per step.
func (tj *trackedJob) forEachNewShortStep(fn func(step int, st *job.Step)) {
	for step := range tj.jo.Spec.Steps {
		st, bit := &tj.jo.Spec.Steps[step], uint64(1)<<step
		if tj.demandSteps&bit == 0 && isShort(st) && tj.jo.Ready(step) {
			tj.demandSteps |= bit
			fn(step, st)
		}
	}
}

// observeArrivals adds the steps that may start since the last call to the demand.
func (ow *Owner) observeArrivals(tj *trackedJob) {
	tj.forEachNewShortStep(func(_ int, st *job.Step) {
		ow.demands.Of(tj.headroomKey()).Arrive(st.Tasks, st.Each.MilliCores, estimate(st), time.Now())
	})
}

// seedDemand adds a job that was read from the store to the demand. Such jobs did not arrive now,
// but their tasks that run or wait are a sample of the demand.
func (ow *Owner) seedDemand(tj *trackedJob) {
	tj.forEachNewShortStep(func(step int, st *job.Step) {
		n := 0
		for _, ta := range tj.jo.Tasks[step] {
			if ta.State == job.Waiting || ta.State == job.Started {
				n++
			}
		}
		if n > 0 {
			ow.demands.Of(tj.headroomKey()).Seed(n, st.Each.MilliCores, time.Now())
		}
	})
}

// observeDuration records for how long a short attempt that has ended reserved its capacity.
func (ow *Owner) observeDuration(at *attempt, now time.Time) {
	if st := at.step(); isShort(st) && !at.placedAt.IsZero() {
		ow.demands.Of(at.tj.headroomKey()).End(st.Each.MilliCores, estimate(st), now.Sub(at.placedAt), now)
	}
}

func estimate(st *job.Step) time.Duration { return time.Duration(st.EstimateMS) * time.Millisecond }

// headroomPlan is the workers that get no new long-running task of jobs of one service and
// priority in a round of placement.
type headroomPlan struct {
	headroom.Selection

	// selected are the candidates among them, most is the largest free capacity of one when the
	// round began, in thousandths of a core.
	selected []*candidate
	most     int64
}

// headroomPlan returns the plan for a job, computed once per round.
func (pl *placer) headroomPlan(tj *trackedJob) *headroomPlan {
	ke := tj.headroomKey()
	if hp, ok := pl.headrooms[ke]; ok {
		return hp
	}
	hp := &headroomPlan{}
	if lo := pl.ow.demands.Load(ke, pl.now); lo.Need() > 0 {
		list := make([]headroom.Worker, len(pl.candidates))
		for i, ca := range pl.candidates {
			list[i] = ca.wk.headroomWorker(ke.Service)
		}
		hp.Selection = headroom.Select(list, lo)
	}
	for _, ca := range pl.candidates {
		if hp.Contains(ca.index) {
			hp.selected = append(hp.selected, ca)
			hp.most = max(hp.most, ca.free.MilliCores)
		}
	}
	if pl.headrooms == nil {
		pl.headrooms = map[headroom.Key]*headroomPlan{}
	}
	pl.headrooms[ke] = hp
	return hp
}

// headroomWorker returns the worker's capacity for a selection, none if it belongs to another
// service.
func (wk *workerState) headroomWorker(service string) headroom.Worker {
	if wk.Service != service {
		return headroom.Worker{}
	}
	return headroom.Worker{
		Capacity: wk.Capacity.MilliCores, Reserved: wk.reserved.MilliCores,
		LongRunning: wk.reserved.MilliCores - wk.finiteReserved.MilliCores,
		Cold:        wk.isCold(),
	}
}

// leaveHeadroom makes the ranking leave out the workers with headroom, if it is for long-running
// tasks that never ran. They may use these workers if no other could take them even when empty, as
// they would otherwise wait for as long as short work arrives.
func (rk *ranking) leaveHeadroom() {
	if !rk.st.LongRunning || rk.interrupted || !rk.pl.ow.enabled(MechHeadroom) {
		return
	}
	hp := rk.pl.headroomPlan(rk.tj)
	if hp.Workers == 0 {
		return
	}
	for _, ca := range rk.pl.candidates {
		if !hp.Contains(ca.index) && rk.suits(ca) && rk.st.Reserved().Fits(ca.wk.Capacity) {
			rk.headroom = hp
			return
		}
	}
}

// keeps reports whether the worker is kept for short work. A nil plan keeps none.
func (hp *headroomPlan) keeps(ca *candidate) bool { return hp != nil && hp.Contains(ca.index) }

// allows reports whether a long-running task of the step may use the worker. A nil plan allows all.
func (hp *headroomPlan) allows(ca *candidate, st *job.Step) bool {
	return hp == nil || hp.Allows(ca.index, st.Reserved().MilliCores)
}

// recordStart records that a long-running task of the step was placed on the worker.
func (hp *headroomPlan) recordStart(ca *candidate, st *job.Step) {
	if hp != nil {
		hp.Selection = hp.With(ca.index, st.Reserved().MilliCores)
	}
}

// waitsForHeadroom reports whether one of the workers that the ranking leaves out could take a
// task now.
func (rk *ranking) waitsForHeadroom() bool {
	if rk.headroom == nil || rk.st.Reserved().MilliCores > rk.headroom.most {
		return false
	}
	for _, ca := range rk.headroom.selected {
		if ca.hasCapacity(rk.st, rk.interrupted) && rk.suits(ca) && rk.leavesReservations(ca) {
			return true
		}
	}
	return false
}

// headroomLogInterval is the time between two reports of headroom.
const headroomLogInterval = 2 * time.Second

// headroomReport is the state of the reports of headroom.
type headroomReport struct {
	// loggedWorkers is the number of selected workers that was last logged, by service.
	loggedWorkers map[string]int
}

// reportHeadroom sets the gauges of headroom. It logs the headroom of a service with its inputs if
// the number of selected workers has changed by a quarter or long-running tasks wait for it.
func (ow *Owner) reportHeadroom(now time.Time) {
	hr := &ow.headroomReport
	if !ow.enabled(MechHeadroom) {
		return
	}
	var demand, need, covered int64
	workers := 0
	for _, ke := range ow.demands.Lowest() {
		lo := ow.demands.Load(ke, now)
		list := ow.headroomWorkers(ke.Service, now)
		se := headroom.Select(list, lo)
		demand, need, covered, workers = demand+int64(lo.Mean), need+lo.Need(), covered+se.Covered, workers+se.Workers
		jobs, tasks := ow.waitingForHeadroom(ke.Service)
		if change := se.Workers - hr.loggedWorkers[ke.Service]; 4*max(change, -change) <= hr.loggedWorkers[ke.Service] && tasks == 0 {
			continue
		}
		if hr.loggedWorkers == nil {
			hr.loggedWorkers = map[string]int{}
		}
		hr.loggedWorkers[ke.Service] = se.Workers
		ow.Log.Info("headroom for short work", "service", ke.Service, "priority", ke.Priority, "demand_millicores", int64(lo.Mean),
			"recent_millicores", int64(lo.Recent), "need_millicores", lo.Need(), "task_millicores", lo.Task(), "listed", len(list),
			"workers", se.Workers, "covered_millicores", se.Covered, "waiting_jobs", jobs, "waiting_tasks", tasks)
	}
	setHeadroomGauges(ow.Metrics, demand, need, covered, workers)
}

// headroomWorkers returns the workers of a service that accept new tasks.
func (ow *Owner) headroomWorkers(service string, now time.Time) []headroom.Worker {
	var list []headroom.Worker
	for wk := range ow.allWorkers() {
		if wk.Service == service && wk.unavailableReason(now) == "" {
			list = append(list, wk.headroomWorker(service))
		}
	}
	return list
}

// waitingForHeadroom counts the jobs of a service that wait only for headroom, and their tasks.
func (ow *Owner) waitingForHeadroom(service string) (jobs, tasks int) {
	for _, tj := range ow.waitingJobs {
		if tj.waitCause == CauseHeadroom && tj.jo.Terms.Service == service {
			jobs++
			tasks += tj.waitingTasks
		}
	}
	return jobs, tasks
}

// setHeadroomGauges sets the gauges of headroom from figures in thousandths of a core and a number
// of workers.
func setHeadroomGauges(me *telemetry.Metrics, demand, need, covered int64, workers int) {
	me.Set(telemetry.HeadroomCores, demand/1000, "part", "demand")
	me.Set(telemetry.HeadroomCores, need/1000, "part", "need")
	me.Set(telemetry.HeadroomCores, covered/1000, "part", "covered")
	me.Set(telemetry.HeadroomWorkers, int64(workers))
}
