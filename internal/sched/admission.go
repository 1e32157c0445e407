package sched

import (
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/admission"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// admissionGrace is how long an owner refuses nothing for capacity once it has loaded the cell.
// Until its workers have answered it, it does not know the capacity, and it has measured no
// throughput.
const admissionGrace = 3 * time.Second

// observeInterval is the time between two observations of the throughput while no job is
// submitted. A load of 1,000 workers with 8,000 attempts takes about 1.5 ms, which is too long
// for each tick on a host of a tenth of a core.
const observeInterval = 500 * time.Millisecond

// admissionState is what the owner keeps to decide about submitted jobs. The zero value is
// ready.
type admissionState struct {
	controller admission.Controller
	// services has the state by service, as of takenAt.
	services map[string]*serviceLoad
	takenAt  time.Time
	// took is how long the last load took.
	took time.Duration
}

// loadCost is how many times as long as it took a load is used, so that loads take at most a
// fiftieth of the owner's time where there are many workers and attempts.
const loadCost = 50

// loadInterval returns the least time between two loads for decisions.
func (as *admissionState) loadInterval() time.Duration { return max(tickInterval, loadCost*as.took) }

// serviceLoad is the state of one service.
type serviceLoad struct {
	load       *admission.Load
	arrivals   admission.Arrivals
	throughput [2]admission.Throughput
	// hosts and work are collected for the next load, running is what running tasks have done.
	hosts   []admission.Host
	work    []admission.Work
	running [2]int64
}

// of returns the state of a service.
func (as *admissionState) of(service string) *serviceLoad {
	sl := as.services[service]
	if sl == nil {
		if as.services == nil {
			as.services = map[string]*serviceLoad{}
		}
		sl = &serviceLoad{load: &admission.Load{}}
		as.services[service] = sl
	}
	return sl
}

// decide decides about a submitted job, and logs a refusal and the return of a
// refused caller.
func (ow *Owner) decide(jo *job.Job, now time.Time) admission.Decision {
	if !ow.enabled(MechAdmission) || jo.LongRunning() {
		return admission.Decision{Admitted: true, FirstTry: now}
	}
	if now.Sub(ow.admission.takenAt) >= ow.admission.loadInterval() {
		ow.takeLoad(now)
	}
	sl, re := ow.admission.of(jo.Terms.Service), ow.admissionRequest(jo)
	fo := sl.load.Forecast(re)
	if now.Sub(ow.loadedAt) < admissionGrace {
		fo = admission.Forecast{}
	}
	de := ow.admission.controller.Decide(re, fo, now)
	if de.Admitted {
		for _, wo := range ow.admissionWork(jo) {
			sl.load.Add(wo)
			sl.arrivals.Add(wo, now)
		}
	}
	ow.reportDecision(re, fo, de, now)
	return de
}

// reportDecision logs and counts a decision.
func (ow *Owner) reportDecision(re admission.Request, fo admission.Forecast, de admission.Decision, now time.Time) {
	outcome := "admitted"
	if !de.Admitted {
		outcome = "refused"
	}
	ow.Metrics.Add(telemetry.AdmissionDecisions, 1, "outcome", outcome, "why", string(de.Cause))
	if fo.Total > 0 {
		ow.Metrics.Observe(telemetry.AdmissionWait, de.Wait)
	}
	if de.Admitted && !de.FirstTry.Before(now) {
		return
	}
	ow.Log.Info("decision on capacity", "job", re.ID, "outcome", outcome, "why", de.Cause, "retry_after", de.RetryAfter, "turn", de.HasTurn,
		"since_first_try", now.Sub(de.FirstTry), "queue", re.Queue, "service", re.Service, "kind", re.Kind, "priority", re.Priority,
		"work", re.Work, "chain", re.Chain, "limit", re.Limit, "task_millicores", re.Each.MilliCores,
		"capacity_millicores", fo.Capacity, "free_millicores", fo.Free, "total_millicores", fo.Total, "efficiency", fo.Efficiency,
		"ahead", fo.Ahead, "waiting_millicores", fo.Waiting, "arriving_millicores", fo.Arriving, "promised", de.Promised,
		"wait", de.Wait, "end", de.End, "load_age", now.Sub(ow.admission.takenAt))
}

// likelyTaskWork returns the work of a task, by the learnt ratio, in thousandths of a core times
// milliseconds.
func (ow *Owner) likelyTaskWork(te *job.Terms, st *job.Step) int64 {
	return ow.expectedMS(te, st) * st.Each.MilliCores
}

func kindOf(st *job.Step) admission.Kind {
	if st.Filler {
		return admission.Filler
	}
	return admission.Reserving
}

// admissionWork returns the remaining work of a job by kind. Long-running jobs have none.
func (ow *Owner) admissionWork(jo *job.Job) [2]admission.Work {
	cost := 0.0
	if ow.enabled(MechLeastWork) {
		cost = ow.costPerValue(jo, jo.Work())
	}
	var list [2]admission.Work
	for ki := range list {
		list[ki] = admission.Work{Kind: admission.Kind(ki), Priority: jo.Terms.Priority, Cost: cost}
	}
	for i := range jo.Spec.Steps {
		st := &jo.Spec.Steps[i]
		wo := &list[kindOf(st)]
		wo.Left += int64(jo.Remaining(i)) * ow.likelyTaskWork(&jo.Terms, st)
		wo.Waiting += int64(jo.WaitingTasks(i)) * st.Each.MilliCores
	}
	return list
}

// admissionRequest describes a new job. Its kind is that of most of its work.
func (ow *Owner) admissionRequest(jo *job.Job) admission.Request {
	list := ow.admissionWork(jo)
	wo := list[admission.Reserving]
	if list[admission.Filler].Left > wo.Left {
		wo = list[admission.Filler]
	}
	re := admission.Request{
		ID: jo.ID, Queue: jo.Terms.Queue, Service: jo.Terms.Service, Kind: wo.Kind, Priority: wo.Priority, Cost: wo.Cost, Work: wo.Left,
		Chain: time.Duration(jo.RemainingMS(func(st *job.Step) int64 { return ow.expectedMS(&jo.Terms, st) })) * time.Millisecond,
		Limit: maxLateFactor * time.Duration(jo.TargetDurationMS()) * time.Millisecond,
	}
	for i := range jo.Spec.Steps {
		st := &jo.Spec.Steps[i]
		if kindOf(st) != re.Kind {
			continue
		}
		if st.Each.MilliCores > re.Each.MilliCores {
			re.Each, re.Label, re.LargestWork = st.Each, st.Label, 0
		}
		if st.Each == re.Each && st.Label == re.Label {
			re.LargestWork += int64(st.Tasks) * ow.likelyTaskWork(&jo.Terms, st)
		}
	}
	return re
}

// observeThroughput measures the throughput while tasks wait, and reports the turns.
func (ow *Owner) observeThroughput(now time.Time) {
	if !ow.enabled(MechAdmission) {
		return
	}
	ow.Metrics.Set(telemetry.AdmissionTurns, int64(ow.admission.controller.Turns(now)))
	if slices.ContainsFunc(ow.waitingJobs, func(tj *trackedJob) bool { return !tj.jo.LongRunning() }) {
		if now.Sub(ow.admission.takenAt) >= observeInterval {
			ow.takeLoad(now)
		}
		return
	}
	for _, sl := range ow.admission.services {
		for ki := range sl.throughput {
			sl.throughput[ki].Observe(0, false, now)
		}
	}
}

// recordThroughput records the work of a task that has succeeded.
func (ow *Owner) recordThroughput(tj *trackedJob, step int) {
	if st := &tj.jo.Spec.Steps[step]; !st.LongRunning {
		ow.admission.of(tj.jo.Terms.Service).throughput[kindOf(st)].Complete(ow.likelyTaskWork(&tj.jo.Terms, st))
	}
}

// takeLoad takes a snapshot of the workers and the accepted work. Decisions use it for a tick.
func (ow *Owner) takeLoad(now time.Time) {
	as, began := &ow.admission, time.Now()
	as.takenAt = now
	defer func() { as.took = time.Since(began) }()
	for wk := range ow.allWorkers() {
		if wk.unavailableReason(now) == "" {
			sl := as.of(wk.Service)
			sl.hosts = append(sl.hosts, wk.admissionHost())
		}
	}
	ow.lag.RecordVisits(len(ow.finiteJobs))
	for tj := range ow.finiteJobs {
		if tj.jo.State().Final() {
			continue
		}
		sl, ofValue := as.of(tj.jo.Terms.Service), tj.evaluateFeasibility(now) != tooLate
		list, running := tj.remainingWork(now)
		for i, wo := range list {
			sl.running[i] += running[i]
			if ofValue && wo.Left > 0 {
				sl.work = append(sl.work, wo)
			}
		}
	}
	for _, sl := range as.services {
		sl.take(now, ow.writesFailingSince.IsZero())
	}
}

// take replaces the load by one of the collected hosts and work. measure is set if the
// throughput is that of the workers; while writes to the store fail, it is not.
func (sl *serviceLoad) take(now time.Time, measure bool) {
	sl.load = admission.NewLoad(sl.hosts, sl.work, sl.arrivals.Recent(now))
	sl.hosts, sl.work = make([]admission.Host, 0, len(sl.hosts)), make([]admission.Work, 0, len(sl.work))
	for i := range sl.throughput {
		ki := admission.Kind(i)
		total, waiting := sl.load.Total(ki)
		sl.throughput[i].SetRunning(sl.running[i])
		sl.throughput[i].Observe(total, waiting && measure, now)
		sl.load.SetEfficiency(ki, sl.throughput[i].Efficiency(total))
	}
	sl.running = [2]int64{}
}

// admissionHost returns the capacity of a worker. Capacity that is reserved for interrupted
// long-running tasks is free until they start, but not usable for long.
func (wk *workerState) admissionHost() admission.Host {
	free := wk.Capacity.Sub(wk.reserved)
	usable := free.Add(wk.finiteReserved)
	if wk.restartReserved != (worker.Resources{}) && wk.restartReserved.Fits(usable) {
		usable = usable.Sub(wk.restartReserved)
	}
	return admission.Host{
		Usable: usable, Free: free, Labels: wk.Labels,
		Idle: wk.Capacity.MilliCores - wk.expectedUse + wk.fillerUse, FreeIdle: wk.Capacity.MilliCores - wk.expectedUse,
	}
}

// remainingWork returns the remaining work of a job by kind, without what its running attempts
// have done by their progress, or by their age if they have reported none; running is that part.
// Tasks that run on workers which do not count as capacity and still answer are left out of the
// remaining work: they end there.
func (tj *trackedJob) remainingWork(now time.Time) (list [2]admission.Work, running [2]int64) {
	list = tj.ow.admissionWork(tj.jo)
	for _, at := range tj.attempts {
		st := at.step()
		if at.launchedAt.IsZero() || st.EstimateMS == 0 || at.task().State != job.Started || at.isCopy() {
			continue
		}
		likelyMS := float64(tj.expectedMS(st))
		done := float64(at.progress) / 100
		if at.progress == 0 {
			done = min(float64(now.Sub(at.launchedAt).Milliseconds())/max(likelyMS, 1), maxAssumedProgress)
		}
		work := likelyMS * float64(st.Each.MilliCores)
		running[kindOf(st)] += int64(done * work)
		if at.wk.answersWithoutCapacity(now) {
			done = 1
		}
		list[kindOf(st)].Left -= int64(done * work)
	}
	return list, running
}

// answersWithoutCapacity reports whether the worker runs what it has, but gets no new attempts.
func (wk *workerState) answersWithoutCapacity(now time.Time) bool {
	return !wk.dead && wk.settled && wk.failingSince.IsZero() && !wk.leaseRecorded() && wk.unavailableReason(now) != ""
}

// maxAssumedProgress bounds the progress that is assumed by the age of an attempt, as estimates
// are off by up to nine tenths.
const maxAssumedProgress = 0.9
