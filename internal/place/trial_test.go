package place

import (
	"cmp"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"text/tabwriter"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

var (
	compare      = flag.Bool("compare", false, "print the comparison of placement policies")
	compareHours = flag.Int("compare-hours", 6, "simulated hours of each trial")
)

// Sizes of a typical installation.
const (
	trialWorkers      = 50
	workersPerRack    = 8
	trialMilliCores   = 30_000
	trialMemMB        = 125_000
	trialServices     = 75
	serviceMilliCores = 6_000
	trialTargetMS     = 100.0
	trialBaseMS       = 40.0
	// trialLagS is the delay of measurements, in seconds.
	trialLagS = 3
	// trialCheckpointS is the time between checkpoints of a task, in seconds.
	trialCheckpointS = 60
)

// trueInterference is what one core of a batch kind adds to the tail latency of a service
// kind, as a fraction of the target. The policies do not know it.
var trueInterference = map[pair]float64{
	{"turns", "quiet"}: 0.005, {"turns", "cache"}: 0.06, {"turns", "disk"}: 0.03,
	{"portal", "quiet"}: 0.005, {"portal", "cache"}: 0.02, {"portal", "disk"}: 0.07,
}

var batchKinds = []string{"quiet", "cache", "disk"}

// simTask is a simulated task with properties that the policies do not know.
type simTask struct {
	Task

	// runFor is the actual run time, done the progress and checkpointed the progress of
	// the last checkpoint, in seconds.
	runFor, done, checkpointed float64
	// uses is the fraction of its requested cores that the task uses.
	uses float64
}

// policy is a method of placement and of control.
type policy struct {
	name string
	// decide returns the decisions for a snapshot.
	decide func(Snapshot) []Decision
	// learns is set if the model learns from measurements.
	learns bool
}

// baseline returns a simple policy: it places each waiting task by the given rule, and
// evicts one batch task from every worker whose service is over the target.
func baseline(better func(a, b *workerState) bool) func(Snapshot) []Decision {
	return func(sn Snapshot) []Decision {
		de := newDecider(sn)
		for _, ws := range de.ordered {
			de.evictWhenOver(ws)
		}
		for i := range sn.Tasks {
			ta := &sn.Tasks[i]
			if ta.Worker != "" || ta.Stopping {
				continue
			}
			if best := de.byRule(ta, better); best != nil {
				de.assign(best, ta)
			}
		}
		return de.decisions
	}
}

func (de *decider) evictWhenOver(ws *workerState) {
	worst := de.highestTail(ws)
	if worst == nil || worst.TailMS <= de.sn.Policy.TailTargetMS {
		return
	}
	if batch := de.batchByInterference(ws, worst); len(batch) > 0 {
		de.add(Decision{Verb: Evict, Task: batch[0].ID, Worker: ws.ID})
	}
}

func (de *decider) byRule(ta *Task, better func(a, b *workerState) bool) *workerState {
	var best *workerState
	for _, ws := range de.ordered {
		if !ws.Unschedulable && ta.Each.Fits(ws.free) && (best == nil || better(ws, best)) {
			best = ws
		}
	}
	return best
}

func policies() []policy {
	noControl := func(sn Snapshot) []Decision {
		sn.Policy.NoControl = true
		return Decide(sn)
	}
	return []policy{
		{"pepperhatch", Decide, true},
		{"pepperhatch, no control", noControl, true},
		{"pepperhatch, nothing learnt", Decide, false},
		{"first fit, evict when over", baseline(func(_, _ *workerState) bool { return false }), false},
		{"least loaded, evict when over", baseline(func(a, b *workerState) bool { return a.free.MilliCores > b.free.MilliCores }), false},
	}
}

// simCell simulates workers and tasks in steps of one second.
type simCell struct {
	rnd     *rand.Rand
	pol     Policy
	model   *Model
	workers []Worker
	tasks   map[string]*simTask
	// actedAt is when a decision was last applied to a worker, now the simulated time, both
	// in seconds.
	actedAt map[string]int
	now     int
	// added counts the tasks added.
	added int
	// services counts the services added, failed is the index of the last worker that
	// failed.
	services, failed int
	// history has the tail latencies of each service task, one per second, in
	// milliseconds.
	history map[string][]float64

	// samples counts the tail latencies in history, over those that were over the target.
	over, samples, evictions, starts int
	// useful, wasted, cores and served are in core seconds: batch work done, work lost,
	// given to batch tasks, and given to services. batchBound is the upper bound for batch
	// work.
	useful, wasted, cores, served, batchBound float64
}

func newSimCell(seed uint64, pol Policy) *simCell {
	ce := &simCell{
		rnd: rand.New(rand.NewPCG(seed, 1)), pol: pol, model: &Model{}, tasks: map[string]*simTask{},
		actedAt: map[string]int{}, history: map[string][]float64{},
	}
	for i := range trialWorkers {
		ce.workers = append(ce.workers, Worker{
			ID: fmt.Sprintf("w%02d", i), Rack: fmt.Sprintf("r%d", i/workersPerRack),
			Capacity: worker.Resources{MilliCores: trialMilliCores, MemMB: trialMemMB},
		})
	}
	return ce
}

func (ce *simCell) addService() {
	kind := []string{"turns", "portal"}[ce.services%2]
	ce.services++
	ce.add(&simTask{Task: Task{
		Job: kind, Kind: kind, Service: true, Each: worker.Resources{MilliCores: serviceMilliCores, MemMB: 16_000},
	}, runFor: math.Inf(1), uses: 1})
}

// scenario describes how a trial begins and which failures occur in it.
type scenario struct {
	name string
	// serviceEvery is the time between arrivals of services in seconds; 0 has all services
	// present at the start.
	serviceEvery int
	// failEvery and failFor are the time between failures of workers and their duration,
	// in seconds.
	failEvery, failFor int
}

var scenarios = []scenario{
	{name: "services first"},
	{name: "services arrive on a full cell, workers fail", serviceEvery: 20, failEvery: 600, failFor: 300},
}

// inject adds services and has workers fail and recover.
func (ce *simCell) inject(sc scenario) {
	for ce.services < trialServices && (sc.serviceEvery == 0 || ce.now%sc.serviceEvery == 0) {
		ce.addService()
		if sc.serviceEvery > 0 {
			break
		}
	}
	if sc.failEvery == 0 || ce.now == 0 {
		return
	}
	if ce.now%sc.failEvery == 0 {
		ce.failed = ce.rnd.IntN(len(ce.workers))
		ce.fail(&ce.workers[ce.failed])
	}
	if ce.now%sc.failEvery == sc.failFor {
		ce.workers[ce.failed].Unschedulable = false
	}
}

func (ce *simCell) fail(wo *Worker) {
	wo.Unschedulable = true
	for _, ta := range ce.tasks {
		if ta.Worker != wo.ID {
			continue
		}
		ce.wasted += cores(&ta.Task) * (ta.done - ta.checkpointed)
		if !ta.Service {
			ce.useful -= cores(&ta.Task) * (ta.done - ta.checkpointed)
		}
		ta.Worker, ta.done, ta.Share = "", ta.checkpointed, 1
	}
}

func (ce *simCell) add(ta *simTask) {
	ce.added++
	ta.ID, ta.Order, ta.Share = fmt.Sprintf("t%06d", ce.added), int64(ce.added), 1
	ce.tasks[ta.ID] = ta
}

// addBatch adds batch tasks: enough to keep the cell full, in waves of one kind between
// mixed ones, with actual run times off from the declared ones by up to four times, and
// occasionally one that fits no worker.
func (ce *simCell) addBatch() {
	waiting := 0
	for _, ta := range ce.tasks {
		if !ta.Service && ta.Worker == "" {
			waiting++
		}
	}
	if waiting > 40 {
		return
	}
	kind := batchKinds[ce.rnd.IntN(len(batchKinds))]
	if ce.now/1800%2 == 1 {
		// Waves of a single kind alternate with mixed load.
		kind = batchKinds[ce.now/3600%len(batchKinds)]
	}
	for range 10 {
		each := worker.Resources{MilliCores: int64(1+ce.rnd.IntN(4)) * 1000, MemMB: 3000}
		if ce.rnd.IntN(200) == 0 {
			each.MilliCores = 2 * trialMilliCores
		}
		declared := 120 + 600*ce.rnd.Float64()
		ce.add(&simTask{Task: Task{Job: kind, Kind: kind, Each: each}, uses: 0.25 + 0.75*ce.rnd.Float64(),
			runFor: declared * math.Exp2(4*ce.rnd.Float64()-2)})
	}
}

// load is the load of the services relative to its mean, which changes over time.
func (ce *simCell) load() float64 {
	return 1 + 0.25*math.Sin(2*math.Pi*float64(ce.now)/7200)
}

func (ce *simCell) byWorker() map[string][]*simTask {
	by := map[string][]*simTask{}
	for _, ta := range ce.tasks {
		if ta.Worker != "" {
			by[ta.Worker] = append(by[ta.Worker], ta)
		}
	}
	for _, tasks := range by {
		slices.SortFunc(tasks, func(a, b *simTask) int { return cmp.Compare(a.ID, b.ID) })
	}
	return by
}

// step advances the simulation by one second.
func (ce *simCell) step() {
	ce.now++
	for _, wo := range ce.workers {
		if !wo.Unschedulable {
			ce.batchBound += trialMilliCores / 1000
		}
	}
	for _, tasks := range ce.byWorker() {
		for _, ta := range tasks {
			if ta.Service {
				ce.serve(ta, tasks)
			} else {
				ce.work(ta)
			}
		}
	}
}

func (ce *simCell) serve(ta *simTask, tasks []*simTask) {
	tail := trialBaseMS * ce.load() * (0.95 + 0.1*ce.rnd.Float64())
	for _, other := range tasks {
		if !other.Service {
			tail += trialTargetMS * trueInterference[pair{ta.Kind, other.Kind}] * cores(&other.Task) * other.uses * other.Share
		}
	}
	ce.served += cores(&ta.Task)
	ce.batchBound -= cores(&ta.Task)
	ce.history[ta.ID] = append(ce.history[ta.ID], tail)
	ce.samples++
	if tail > trialTargetMS {
		ce.over++
	}
}

func (ce *simCell) work(ta *simTask) {
	ta.done += ta.Share
	ce.cores += cores(&ta.Task)
	ce.useful += cores(&ta.Task) * ta.Share
	if int(ta.done)/trialCheckpointS > int(ta.checkpointed)/trialCheckpointS {
		ta.checkpointed = math.Floor(ta.done/trialCheckpointS) * trialCheckpointS
	}
	if ta.done >= ta.runFor {
		delete(ce.tasks, ta.ID)
	}
}

// decide applies the decisions of a policy, which sees measurements with a delay of
// trialLagS.
func (ce *simCell) decide(po policy) {
	sn := Snapshot{Policy: ce.pol, Model: ce.model}
	by := ce.byWorker()
	for _, wo := range ce.workers {
		for _, ta := range by[wo.ID] {
			wo.Used = wo.Used.Add(ta.Each)
		}
		sn.Workers = append(sn.Workers, wo)
	}
	for _, ta := range ce.tasks {
		pt := ta.Task
		if hist := ce.history[ta.ID]; ta.Service && len(hist) > trialLagS {
			pt.TailMS = hist[len(hist)-1-trialLagS]
			pt.Fresh = ce.now-trialLagS > ce.actedAt[ta.Worker]
		}
		pt.LostMS = int64(1000 * (ta.done - ta.checkpointed))
		sn.Tasks = append(sn.Tasks, pt)
	}
	slices.SortFunc(sn.Tasks, func(a, b Task) int { return cmp.Compare(a.ID, b.ID) })
	if po.learns {
		ce.learn(sn, by)
	}
	for _, dec := range po.decide(sn) {
		ce.apply(dec)
	}
}

func (ce *simCell) learn(sn Snapshot, by map[string][]*simTask) {
	if ce.now%2 == 1 {
		return
	}
	for _, ta := range sn.Tasks {
		if !ta.Service || ta.TailMS == 0 || !ta.Fresh {
			continue
		}
		var neighbours []Neighbour
		for _, other := range by[ta.Worker] {
			if !other.Service {
				neighbours = append(neighbours, Neighbour{Kind: other.Kind, Cores: cores(&other.Task) * other.uses * other.Share})
			}
		}
		ce.model.LearnTail(ta.Kind, ta.TailMS/ce.pol.TailTargetMS, neighbours)
	}
}

func (ce *simCell) apply(dec Decision) {
	ta := ce.tasks[dec.Task]
	ce.actedAt[dec.Worker] = ce.now
	switch dec.Verb {
	case Start:
		ta.Worker, ta.Share = dec.Worker, 1
		ce.starts++
	case Throttle:
		ta.Share = dec.Share
	case Evict, Move:
		ce.evictions++
		// A stopped task writes a checkpoint, so an eviction costs only the restart.
		ce.wasted += restartCostS * cores(&ta.Task)
		ce.useful -= restartCostS * cores(&ta.Task)
		ta.Worker, ta.Evictions, ta.Share = "", ta.Evictions+1, 1
	}
}

// restartCostS is the time lost by a stop and a start, in seconds.
const restartCostS = 15

// row returns a line of the comparison. The upper bound for batch work is the time of all
// cores that services leave free.
func (ce *simCell) row(name string) string {
	bound := ce.batchBound
	return fmt.Sprintf("%s\t%.2f%%\t%.1f%%\t%.1f%%\t%d\t%.0f\t%d", name,
		100*(1-float64(ce.over)/float64(ce.samples)), 100*(ce.cores+ce.served)/(float64(trialWorkers*trialMilliCores)/1000*float64(ce.now)),
		100*ce.useful/bound, ce.evictions, ce.wasted, ce.starts)
}

func runTrial(po policy, pol Policy, sc scenario, seconds int) *simCell {
	ce := newSimCell(7, pol)
	for range seconds {
		ce.inject(sc)
		if ce.now%5 == 0 {
			ce.addBatch()
		}
		ce.decide(po)
		ce.step()
	}
	return ce
}

// users are the weights of two users.
var users = []struct {
	name string
	pol  Policy
}{
	{"Halvorsen", Policy{TailTargetMS: trialTargetMS, WeightTail: 3, WeightEvictions: 1, WeightBatch: 1, Evictions: 1}},
	{"Rentenblick", Policy{TailTargetMS: trialTargetMS, WeightTail: 1, WeightEvictions: 3, WeightBatch: 2, Evictions: 1}},
}

// TestComparePolicies checks in a short trial that pepperhatch evicts fewer tasks and
// violates targets less than a simple policy. With -compare it prints the full comparison
// of policies, see docs/DESIGN.md.
func TestComparePolicies(t *testing.T) {
	c := qt.New(t)
	if !*compare {
		ours := runTrial(policies()[0], users[0].pol, scenarios[1], 2400)
		least := runTrial(policies()[4], users[0].pol, scenarios[1], 2400)
		c.Assert(ours.evictions*10 <= least.evictions, qt.IsTrue, qt.Commentf("%d against %d evictions", ours.evictions, least.evictions))
		c.Assert(ours.over < least.over, qt.IsTrue, qt.Commentf("%d against %d seconds over", ours.over, least.over))
		return
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(out, "SCENARIO\tUSER\tPOLICY\tIN TARGET\tCORES GIVEN\tBATCH OF BOUND\tEVICTIONS\tWASTED CORE S\tSTARTS")
	for _, sc := range scenarios {
		for _, us := range users {
			for _, po := range policies() {
				_, _ = fmt.Fprintln(out, runTrial(po, us.pol, sc, *compareHours*3600).row(sc.name+"\t"+us.name+"\t"+po.name))
			}
		}
	}
	c.Assert(out.Flush(), qt.IsNil)
}
