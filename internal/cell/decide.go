package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/config"
	"github.com/pepperhatch/pepperhatch/internal/place"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// quarantineTime is how long a quarantined worker gets no task; after it, the
// worker gets one task at a time until one succeeds.
const quarantineTime = time.Minute

// decide takes the decisions of package place, and returns the records of
// those that are journalled. Throttles are not journalled, so that a new owner
// starts without them.
func (ow *Owner) decide() []Record {
	now := time.Now()
	ow.dirty, ow.lastDecision = false, now
	var records []Record
	for _, dec := range place.Decide(ow.placeSnapshot(now)) {
		ta, ws := ow.st.Tasks[dec.Task], ow.status(dec.Worker)
		ws.lastAction = now
		switch dec.Verb {
		case place.Start:
			// The worker may still report an attempt of a deleted task of this id.
			attempt := max(ta.Attempt, ws.tasks[dec.Task].Attempt) + 1
			records = append(records, Record{
				Kind: KindStart, Task: dec.Task, Worker: dec.Worker,
				Incarnation: ws.incarnation, Attempt: attempt,
			})
			delete(ow.shares, dec.Task)
		case place.Throttle:
			ow.shares[dec.Task] = dec.Share
			ws.sendNow = true
			ow.Metrics.Add(telemetry.TaskEvents, 1, "event", "throttle")
		case place.Evict, place.Move:
			records = append(records, Record{Kind: KindStop, Task: dec.Task, Attempt: ta.Attempt})
			ow.Metrics.Add(telemetry.TaskEvents, 1, "event", "evict")
			if dec.Verb == place.Evict {
				ow.evictions.record(now)
			}
		}
	}
	records = append(records, ow.stopDropped()...)
	return records
}

// stopDropped returns records that stop the running tasks that were dropped.
func (ow *Owner) stopDropped() []Record {
	var records []Record
	for id, ta := range ow.st.Tasks {
		if ta.Dropped && ta.State == Running {
			records = append(records, Record{Kind: KindStop, Task: id, Attempt: ta.Attempt})
		}
	}
	return records
}

// placeSnapshot returns the state of the cell as package place needs it for a
// decision.
func (ow *Owner) placeSnapshot(now time.Time) place.Snapshot {
	doc := ow.Config()
	used := ow.st.ReservedByWorker()
	sn := place.Snapshot{Model: &ow.model, Policy: place.Policy{
		TailTargetMS:    float64(doc.Duration(config.TailTarget).Milliseconds()),
		WeightTail:      doc.Float(config.WeightTail),
		WeightEvictions: doc.Float(config.WeightEvictions),
		WeightBatch:     doc.Float(config.WeightBatch),
		Evictions:       ow.evictions.remaining(now, doc.Int(config.EvictionBudget)),
		Quotas:          doc.Quotas(),
		NoControl:       ow.NoControl,
	}}
	for id, wo := range ow.st.Workers {
		sn.Workers = append(sn.Workers, ow.placeWorker(id, wo, used[id], now))
	}
	slices.SortFunc(sn.Workers, func(a, b place.Worker) int { return cmp.Compare(a.ID, b.ID) })
	for id, ta := range ow.st.Tasks {
		if ta.State == Waiting || ta.Active() {
			sn.Tasks = append(sn.Tasks, ow.placeTask(id, ta))
		}
	}
	slices.SortFunc(sn.Tasks, func(a, b place.Task) int { return cmp.Compare(a.ID, b.ID) })
	return sn
}

func (ow *Owner) placeWorker(id string, wo *Worker, used worker.Resources, now time.Time) place.Worker {
	ws := ow.status(id)
	quarantined := len(wo.FailedJobs) >= quarantineAfter
	switch {
	case !quarantined:
		ws.quarantinedAt = time.Time{}
	case ws.quarantinedAt.IsZero():
		ws.quarantinedAt = now
	}
	onProbation := quarantined && now.Sub(ws.quarantinedAt) > quarantineTime
	// One task at a time.
	if onProbation && used != (worker.Resources{}) {
		onProbation = false
	}
	draining := wo.Drained || ws.leaving || ws.unlisted
	return place.Worker{
		ID: id, Rack: wo.Rack, Capacity: wo.Capacity, Used: used,
		Draining:      draining,
		Unschedulable: draining || now.Sub(ws.lastReport) > ow.Timing.UnresponsiveAfter || (quarantined && !onProbation),
		Probation:     onProbation,
	}
}

func (ow *Owner) placeTask(id string, ta *Task) place.Task {
	sp := ow.st.Jobs[ta.Job].Spec
	pt := place.Task{
		ID: id, Job: ta.Job, Team: sp.Team, Kind: sp.Kind, Service: sp.Service, Urgent: sp.Urgent,
		Each: sp.Each, Order: ta.Order, Evictions: ta.Evictions, Share: 1,
	}
	for _, wo := range ta.FailedOn {
		if pt.Avoid == nil {
			pt.Avoid = map[string]bool{}
		}
		pt.Avoid[wo] = true
	}
	if !ta.Active() {
		return pt
	}
	pt.Worker, pt.Stopping = ta.Worker, ta.State == Stopping
	if share, ok := ow.shares[id]; ok {
		pt.Share = share
	}
	ws := ow.status(ta.Worker)
	pt.TailMS = ws.tasks[id].TailMS
	pt.Fresh = ws.lastReport.Add(-ow.Timing.UsageLag).After(ws.lastAction)
	return pt
}

// updateModel trains the interference model with the tail latencies of a
// worker's report and the usage of its batch tasks. The usage in a report was
// measured [Timing.UsageLag] earlier; the report counts only if no task of the
// worker was started, stopped or throttled since then. At most two reports per
// UsageLag are used.
func (ow *Owner) updateModel(ws *workerStatus) {
	if !ws.lastReport.Add(-ow.Timing.UsageLag).After(ws.lastAction) || ws.lastReport.Sub(ws.modelUpdated) < ow.Timing.UsageLag/2 {
		return
	}
	ws.modelUpdated = ws.lastReport
	target := float64(ow.Config().Duration(config.TailTarget).Milliseconds())
	var neighbours []place.Neighbour
	for tid, tr := range ws.tasks {
		ta := ow.st.Tasks[tid]
		if ta == nil || tr.State != worker.StateRunning {
			continue
		}
		if sp := ow.st.Jobs[ta.Job].Spec; !sp.Service {
			neighbours = append(neighbours, place.Neighbour{Kind: sp.Kind, Cores: float64(tr.UsedMilliCores) / 1000})
		}
	}
	for tid, tr := range ws.tasks {
		ta := ow.st.Tasks[tid]
		if ta == nil || tr.TailMS == 0 {
			continue
		}
		sp := ow.st.Jobs[ta.Job].Spec
		ow.model.LearnTail(sp.Kind, tr.TailMS/target, neighbours)
	}
}

// evictionBudget limits the evictions per minute; evictedAt has the times of
// those in the last minute.
type evictionBudget struct{ evictedAt []time.Time }

func (bu *evictionBudget) remaining(now time.Time, perMinute int) int {
	bu.evictedAt = slices.DeleteFunc(bu.evictedAt, func(at time.Time) bool { return now.Sub(at) > time.Minute })
	return perMinute - len(bu.evictedAt)
}

func (bu *evictionBudget) record(now time.Time) { bu.evictedAt = append(bu.evictedAt, now) }
