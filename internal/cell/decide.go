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

// asideFor is how long a worker that fails everything gets nothing.
const asideFor = time.Minute

// decide asks package place what to do and returns the records of it.
// Throttles are not journalled: a new owner begins with none.
func (ow *Owner) decide() []Record {
	now := time.Now()
	ow.dirty, ow.decided = false, now
	var records []Record
	for _, dec := range place.Decide(ow.placeSnapshot(now)) {
		ta, co := ow.st.Tasks[dec.Task], ow.contact(dec.Worker)
		co.acted = now
		switch dec.Verb {
		case place.Start:
			records = append(records, Record{
				Kind: KindStart, Task: dec.Task, Worker: dec.Worker,
				Incarnation: co.incarnation, Attempt: ta.Attempt + 1,
			})
			delete(ow.shares, dec.Task)
		case place.Throttle:
			ow.shares[dec.Task] = dec.Share
			co.hurry = true
			ow.Metrics.Add(telemetry.TaskEvents, 1, "event", "throttle")
		case place.Evict, place.Move:
			records = append(records, Record{Kind: KindStop, Task: dec.Task, Attempt: ta.Attempt})
			ow.Metrics.Add(telemetry.TaskEvents, 1, "event", "evict")
			if dec.Verb == place.Evict {
				ow.evictions.spend(now)
			}
		}
	}
	records = append(records, ow.dropped()...)
	return records
}

// dropped returns the stops of tasks that are no longer wanted.
func (ow *Owner) dropped() []Record {
	var records []Record
	for id, ta := range ow.st.Tasks {
		if ta.Dropped && ta.State == Running {
			records = append(records, Record{Kind: KindStop, Task: id, Attempt: ta.Attempt})
		}
	}
	return records
}

// placeSnapshot makes the snapshot for a decision.
func (ow *Owner) placeSnapshot(now time.Time) place.Snapshot {
	doc := ow.Config()
	used := ow.st.Used()
	sn := place.Snapshot{Model: &ow.model, Policy: place.Policy{
		TailTargetMS:    float64(doc.Duration(config.TailTarget).Milliseconds()),
		WeightTail:      doc.Float(config.WeightTail),
		WeightEvictions: doc.Float(config.WeightEvictions),
		WeightBatch:     doc.Float(config.WeightBatch),
		Evictions:       ow.evictions.left(now, doc.Int(config.EvictionBudget)),
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
	co := ow.contact(id)
	aside := len(wo.FailedJobs) >= asideAfter
	switch {
	case !aside:
		co.asideAt = time.Time{}
	case co.asideAt.IsZero():
		co.asideAt = now
	}
	onProbation := aside && now.Sub(co.asideAt) > asideFor
	if onProbation && used != (worker.Resources{}) {
		onProbation = false
	}
	emptying := wo.Drained || co.leaving || co.unlisted
	return place.Worker{
		ID: id, Rack: wo.Rack, Capacity: wo.Capacity, Used: used,
		Draining:      emptying,
		Unschedulable: emptying || now.Sub(co.heard) > ow.Timing.Silent || (aside && !onProbation),
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
	co := ow.contact(ta.Worker)
	pt.TailMS = co.tasks[id].TailMS
	pt.Fresh = co.heard.Add(-ow.Timing.UsageLag).After(co.acted)
	return pt
}

// learn takes what a report says of services and their neighbours, if nothing
// was changed on the worker since what was measured.
func (ow *Owner) learn(co *contact) {
	if !co.heard.Add(-ow.Timing.UsageLag).After(co.acted) || co.heard.Sub(co.learnt) < ow.Timing.UsageLag/2 {
		return
	}
	co.learnt = co.heard
	target := float64(ow.Config().Duration(config.TailTarget).Milliseconds())
	var neighbours []place.Neighbour
	for tid, tr := range co.tasks {
		ta := ow.st.Tasks[tid]
		if ta == nil || tr.State != worker.StateRunning {
			continue
		}
		if sp := ow.st.Jobs[ta.Job].Spec; !sp.Service {
			neighbours = append(neighbours, place.Neighbour{Kind: sp.Kind, Cores: float64(tr.UsedMilliCores) / 1000})
		}
	}
	for tid, tr := range co.tasks {
		ta := ow.st.Tasks[tid]
		if ta == nil || tr.TailMS == 0 {
			continue
		}
		sp := ow.st.Jobs[ta.Job].Spec
		ow.model.LearnTail(sp.Kind, tr.TailMS/target, neighbours)
	}
}

// budget bounds evictions to so many a minute.
type budget struct{ spent []time.Time }

func (bu *budget) left(now time.Time, perMinute int) int {
	bu.spent = slices.DeleteFunc(bu.spent, func(at time.Time) bool { return now.Sub(at) > time.Minute })
	return perMinute - len(bu.spent)
}

func (bu *budget) spend(now time.Time) { bu.spent = append(bu.spent, now) }
