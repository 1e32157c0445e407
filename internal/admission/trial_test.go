package admission

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// The simulated deployment and its load.
const (
	trialWorkers  = 40
	trialCores    = 8_000 // for reserving tasks, beside services
	trialIdle     = 6_000 // idle processors of the services, for fillers
	trialTick     = 20 * time.Millisecond
	trialWarmUp   = 15 * time.Second
	trialBurst    = 8 * time.Second
	trialCoolDown = 30 * time.Second
	// trialLost is the part of the workers that is lost when the burst begins.
	trialLost  = 0.3
	trialTries = 5
)

// trialQueue is a queue of the trial.
type trialQueue struct {
	name     string
	kind     Kind
	priority int
	// load is the usual demand as a part of the capacity of all workers for the kind.
	load float64
	// tasks is the most tasks of a step, steps the most steps, each the most processors of a
	// task, estimate the mean time of a task.
	tasks, steps int
	each         int64
	estimate     time.Duration
	stretch      float64
	allowance    time.Duration
	// bias is the mean ratio of true to estimated time.
	bias float64
}

var trialQueues = []trialQueue{
	{name: "urgent", priority: 0, load: 0.25, tasks: 4, steps: 2, each: 2000, estimate: 300 * time.Millisecond, stretch: 2, allowance: 400 * time.Millisecond, bias: 0.8},
	{name: "bulk", priority: 1, load: 0.4, tasks: 16, steps: 3, each: 4000, estimate: 700 * time.Millisecond, stretch: 1.5, allowance: time.Second, bias: 1.2},
	{name: "fillers", kind: Filler, priority: 2, load: 0.65, tasks: 12, steps: 2, each: 2500, estimate: 900 * time.Millisecond, stretch: 1.5, allowance: time.Second, bias: 1.1},
}

// trialJob is a job of the trial.
type trialJob struct {
	qu       *trialQueue
	id       string
	steps    [][]time.Duration // true time of each task
	waiting  [][]time.Duration
	running  int
	each     int64
	estimate time.Duration
	work     int64
	left     int64
	firstTry time.Time
	endedAt  time.Time
	tries    int
	accepted bool
	recorded bool
	// group, sortCost, rank and sortKey order the jobs as they are started.
	group, rank, sortKey int
	sortCost             float64
}

func (qu *trialQueue) newJob(rng *rand.Rand, id string, now time.Time) *trialJob {
	tj := &trialJob{qu: qu, id: id, firstTry: now, each: qu.each/4 + rng.Int64N(qu.each*3/4), estimate: time.Duration((0.5 + rng.Float64()) * float64(qu.estimate))}
	for range 1 + rng.IntN(qu.steps) {
		// Squaring makes large jobs rare.
		n, times := 1+int(math.Pow(rng.Float64(), 2)*float64(qu.tasks)), []time.Duration(nil)
		for range n {
			// A single estimate is off by up to nine tenths.
			factor := qu.bias * (0.1 + 1.8*rng.Float64())
			times = append(times, time.Duration(factor*float64(tj.estimate)))
		}
		tj.steps = append(tj.steps, times)
		tj.work += int64(n) * tj.each * tj.estimate.Milliseconds()
	}
	tj.waiting, tj.left = slices.Clone(tj.steps), tj.work
	return tj
}

func (tj *trialJob) chain() time.Duration { return time.Duration(len(tj.steps)) * tj.estimate }

func (tj *trialJob) limit() time.Duration {
	return 3 * (time.Duration(tj.qu.stretch*float64(tj.chain())) + tj.qu.allowance)
}

func (tj *trialJob) inTime() bool {
	return !tj.endedAt.IsZero() && tj.endedAt.Sub(tj.firstTry) <= tj.limit()
}

func (tj *trialJob) tooLate(now time.Time) bool {
	return now.Sub(tj.firstTry)+time.Duration(len(tj.waiting))*tj.estimate > tj.limit()
}

// trialTask is a running task.
type trialTask struct {
	tj     *trialJob
	host   int
	took   time.Duration
	endsAt time.Time
}

// trialReturn is a refused job and the time of its return.
type trialReturn struct {
	tj *trialJob
	at time.Time
}

// trial simulates a deployment with one way to refuse jobs.
type trial struct {
	way   *trialWay
	rng   *rand.Rand
	now   time.Time
	hosts []Host
	jobs  []*trialJob
	// active are the accepted jobs, returning the refused ones by the time of their return.
	active     []*trialJob
	returning  []trialReturn
	arrivals   Arrivals
	tasks      []trialTask
	controller Controller
	done       [kinds]Throughput
	load       *Load
	// mean is the mean work of the jobs of each queue so far.
	mean map[string]float64
	last int
	// outcomes has whether the last accepted jobs of each queue were served, neglected the
	// queues that neglect their largest.
	outcomes  map[string][]sizedDecision
	neglected map[string]bool
}

// trialWay is a way to refuse jobs. It returns whether the job is accepted, and otherwise after
// which time its caller returns.
type trialWay struct {
	name   string
	decide func(tr *trial, tj *trialJob) (bool, time.Duration)
}

// maxQueue is the number of waiting jobs from which on jobs are refused by queue length. The usual
// load never reaches it.
const maxQueue = 30

// Names of the ways that are compared in every run.
const (
	admitAll  = "admit everything"
	withTurns = "forecast, turns"
)

var trialWays = []trialWay{
	{name: admitAll, decide: func(*trial, *trialJob) (bool, time.Duration) { return true, 0 }},
	{name: "queue length", decide: func(tr *trial, tj *trialJob) (bool, time.Duration) {
		n := 0
		for _, other := range tr.active {
			if other.qu.kind == tj.qu.kind && other.qu.priority <= tj.qu.priority && len(other.waiting[0]) > 0 && other.running == 0 {
				n++
			}
		}
		return n < maxQueue, time.Second
	}},
	{name: "forecast, no turns", decide: func(tr *trial, tj *trialJob) (bool, time.Duration) {
		de := tr.decide(tj)
		tr.controller.Forget(tj.id)
		return de.Admitted, de.RetryAfter
	}},
	{name: withTurns, decide: func(tr *trial, tj *trialJob) (bool, time.Duration) {
		de := tr.decide(tj)
		return de.Admitted, de.RetryAfter
	}},
}

func (tr *trial) cost(tj *trialJob) float64 {
	return float64(tj.left) / min(0.3+0.7*float64(tj.work)/max(tr.mean[tj.qu.name], 1), 4)
}

func (tr *trial) decide(tj *trialJob) Decision {
	re := Request{ID: tj.id, Queue: tj.qu.name, Kind: tj.qu.kind, Priority: tj.qu.priority, Cost: tr.cost(tj), Work: tj.work, LargestWork: tj.work,
		Chain: tj.chain(), Each: worker.Resources{MilliCores: tj.each}, Limit: tj.limit()}
	de := tr.controller.Decide(re, tr.load.Forecast(re), tr.now)
	if de.Admitted {
		wo := Work{Kind: re.Kind, Priority: re.Priority, Cost: re.Cost, Left: re.Work, Waiting: int64(len(tj.waiting[0])) * tj.each}
		tr.load.Add(wo)
		tr.arrivals.Add(wo, tr.now)
	}
	return de
}

func (tr *trial) submit(tj *trialJob) {
	tj.tries++
	ok, after := tr.way.decide(tr, tj)
	switch {
	case ok:
		tj.accepted = true
		tr.active = append(tr.active, tj)
	case tj.tries < trialTries:
		tr.returning = append(tr.returning, trialReturn{tj: tj, at: tr.now.Add(after)})
	}
}

// step advances the trial by one tick.
func (tr *trial) step(demand float64) {
	tr.now = tr.now.Add(trialTick)
	tr.endTasks()
	if tr.load == nil || tr.now.UnixMilli()%100 == 0 {
		tr.snapshot()
	}
	for qi := range trialQueues {
		qu := &trialQueues[qi]
		capacity := float64(trialWorkers * trialCores)
		if qu.kind == Filler {
			capacity = trialWorkers * trialIdle
		}
		due := demand * qu.load * capacity * float64(trialTick.Milliseconds())
		for budget := due; ; {
			tj := qu.newJob(tr.rng, fmt.Sprint(qu.name, tr.last), tr.now)
			// True work arrives at the rate of the load.
			work := float64(tj.work) * qu.bias
			if tr.rng.Float64() > budget/work {
				break
			}
			budget -= work
			tr.last++
			tr.mean[qu.name] += (float64(tj.work) - tr.mean[qu.name]) / 50
			tr.jobs = append(tr.jobs, tj)
			tr.submit(tj)
		}
	}
	returning := tr.returning
	tr.returning = nil
	for _, one := range returning {
		if tr.now.Before(one.at) {
			tr.returning = append(tr.returning, one)
			continue
		}
		tr.submit(one.tj)
	}
	tr.place()
}

func (tr *trial) endTasks() {
	tr.tasks = slices.DeleteFunc(tr.tasks, func(ta trialTask) bool {
		if ta.endsAt.After(tr.now) {
			return false
		}
		tj := ta.tj
		tr.release(ta)
		work := tj.each * tj.estimate.Milliseconds()
		tj.left -= work
		tj.running--
		tr.done[tj.qu.kind].Complete(work)
		if tj.running == 0 && len(tj.waiting[0]) == 0 {
			tj.waiting = tj.waiting[1:]
		}
		if len(tj.waiting) == 0 {
			tj.endedAt = tr.now
			tr.record(tj, tj.inTime())
		}
		return true
	})
	tr.active = slices.DeleteFunc(tr.active, func(tj *trialJob) bool { return !tj.endedAt.IsZero() })
}

// record records whether an accepted job was served, as the owner does to find queues that
// neglect their largest jobs.
func (tr *trial) record(tj *trialJob, inTime bool) {
	if tj.recorded {
		return
	}
	tj.recorded = true
	tr.outcomes[tj.qu.name] = append(tr.outcomes[tj.qu.name], sizedDecision{work: tj.work, admitted: inTime})
	list := tr.outcomes[tj.qu.name]
	list = list[max(0, len(list)-decisionsKept):]
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b sizedDecision) int { return cmp.Compare(b.work, a.work) })
	tenth, least := len(sorted)/10, 0.7*admittedShare(sorted)
	tr.neglected[tj.qu.name] = len(list) >= leastDecisions && (admittedShare(sorted[:tenth]) < least || admittedShare(sorted[tenth:3*tenth]) < least)
}

func (tr *trial) release(ta trialTask) {
	if ta.host >= len(tr.hosts) {
		return
	}
	if ta.tj.qu.kind == Filler {
		tr.hosts[ta.host].FreeIdle += ta.tj.each
		return
	}
	tr.hosts[ta.host].Free.MilliCores += ta.tj.each
}

// lose ends the last hosts; their tasks wait again.
func (tr *trial) lose(n int) {
	tr.hosts = tr.hosts[:len(tr.hosts)-n]
	tr.tasks = slices.DeleteFunc(tr.tasks, func(ta trialTask) bool {
		if ta.host < len(tr.hosts) {
			return false
		}
		ta.tj.running--
		ta.tj.waiting[0] = append(ta.tj.waiting[0], ta.took)
		return true
	})
}

func (tr *trial) snapshot() {
	var work []Work
	var running [kinds]int64
	for _, tj := range tr.active {
		// Half of the work of running tasks is done.
		done := int64(tj.running) * tj.each * tj.estimate.Milliseconds() / 2
		running[tj.qu.kind] += done
		if tj.tooLate(tr.now) {
			continue
		}
		left := tj.left - done
		work = append(work, Work{Kind: tj.qu.kind, Priority: tj.qu.priority, Cost: tr.cost(tj), Left: left, Waiting: int64(len(tj.waiting[0])) * tj.each})
	}
	tr.load = NewLoad(slices.Clone(tr.hosts), work, tr.arrivals.Recent(tr.now))
	for ki := range kinds {
		total, waiting := tr.load.Total(ki)
		tr.done[ki].SetRunning(running[ki])
		tr.done[ki].Observe(total, waiting, tr.now)
		tr.load.SetEfficiency(ki, tr.done[ki].Efficiency(total))
	}
}

// place starts waiting tasks in the order of the owner: by priority, those that can be in time
// first, by cost, and in queues that neglect their largest jobs every third the largest.
func (tr *trial) place() {
	for _, tj := range tr.active {
		tj.group, tj.sortCost = 2*tj.qu.priority, tr.cost(tj)
		if tj.tooLate(tr.now) {
			tj.group++
			tr.record(tj, false)
		}
	}
	tr.rank(func(a, b *trialJob) int { return cmp.Compare(a.sortCost, b.sortCost) })
	for _, tj := range tr.active {
		tj.sortKey = tj.rank
	}
	tr.rank(func(a, b *trialJob) int { return cmp.Compare(b.work, a.work) })
	for _, tj := range tr.active {
		if tr.neglected[tj.qu.name] {
			tj.sortKey = min(tj.sortKey, 2*tj.rank)
		}
	}
	slices.SortStableFunc(tr.active, func(a, b *trialJob) int {
		return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(a.sortKey, b.sortKey))
	})
	full := map[Kind]bool{}
	for _, tj := range tr.active {
		if full[tj.qu.kind] {
			continue
		}
		for len(tj.waiting[0]) > 0 {
			host := tr.hostFor(tj)
			if host < 0 {
				full[tj.qu.kind] = tj.each <= tj.qu.each/4+100
				break
			}
			took := tj.waiting[0][0]
			tj.waiting[0] = tj.waiting[0][1:]
			tj.running++
			tr.tasks = append(tr.tasks, trialTask{tj: tj, host: host, took: took, endsAt: tr.now.Add(took)})
		}
	}
}

// rank ranks the active jobs among those of their group.
func (tr *trial) rank(compare func(a, b *trialJob) int) {
	slices.SortFunc(tr.active, func(a, b *trialJob) int { return cmp.Or(cmp.Compare(a.group, b.group), compare(a, b)) })
	for i, tj := range tr.active {
		tj.rank = 0
		if i > 0 && tr.active[i-1].group == tj.group {
			tj.rank = tr.active[i-1].rank + 1
		}
	}
}

func (tr *trial) hostFor(tj *trialJob) int {
	for i := range tr.hosts {
		ho := &tr.hosts[i]
		if tj.qu.kind == Filler && ho.FreeIdle >= tj.each {
			ho.FreeIdle -= tj.each
			return i
		}
		if tj.qu.kind == Reserving && ho.Free.MilliCores >= tj.each {
			ho.Free.MilliCores -= tj.each
			return i
		}
	}
	return -1
}
