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
	compareHours = flag.Int("compare-hours", 6, "modelled hours of each trial")
)

// Sizes of a user of today.
const (
	trialWorkers  = 50
	trialRack     = 8
	trialCores    = 30_000
	trialMem      = 125_000
	trialServices = 75
	serviceCores  = 6_000
	trialTarget   = 100.0
	trialBase     = 40.0
	// trialLag is the age of reported usage in seconds.
	trialLag = 3
	// trialCheckpoint is the time between a task's own checkpoints.
	trialCheckpoint = 60
)

// trueDisturbance is what a core of a batch kind adds to the tail of a service
// kind, as a part of the target. Nobody tells the policy.
var trueDisturbance = map[pair]float64{
	{"turns", "quiet"}: 0.005, {"turns", "cache"}: 0.06, {"turns", "disk"}: 0.03,
	{"portal", "quiet"}: 0.005, {"portal", "cache"}: 0.02, {"portal", "disk"}: 0.07,
}

var batchKinds = []string{"quiet", "cache", "disk"}

// fakeTask is a task with what is true of it.
type fakeTask struct {
	Task

	// runFor is its true run time, done its progress, kept its checkpoint.
	runFor, done, kept float64
	// uses is the part of its declared cores that it uses.
	uses float64
}

// policy is a way to place and to control.
type policy struct {
	name string
	// decide returns decisions.
	decide func(Snapshot) []Decision
	// model is whether measurements are learnt.
	learns bool
}

// baseline places each waiting task by a plain rule, and evicts a batch task
// at random order from a worker whose service is over the target.
func baseline(better func(a, b *seat) bool) func(Snapshot) []Decision {
	return func(sn Snapshot) []Decision {
		de := newDecider(sn)
		for _, se := range de.order {
			de.evictWhenOver(se)
		}
		for i := range sn.Tasks {
			ta := &sn.Tasks[i]
			if ta.Worker != "" || ta.Stopping {
				continue
			}
			if best := de.byRule(ta, better); best != nil {
				de.seatTask(best, ta)
			}
		}
		return de.out
	}
}

func (de *decider) evictWhenOver(se *seat) {
	worst := de.worst(se)
	if worst == nil || worst.TailMS <= de.sn.Policy.TailTargetMS {
		return
	}
	if batch := de.disturbers(se, worst); len(batch) > 0 {
		de.add(Decision{Verb: Evict, Task: batch[0].ID, Worker: se.ID})
	}
}

func (de *decider) byRule(ta *Task, better func(a, b *seat) bool) *seat {
	var best *seat
	for _, se := range de.order {
		if !se.Unschedulable && ta.Each.Fits(se.free) && (best == nil || better(se, best)) {
			best = se
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
		{"first fit, evict when over", baseline(func(_, _ *seat) bool { return false }), false},
		{"least loaded, evict when over", baseline(func(a, b *seat) bool { return a.free.MilliCores > b.free.MilliCores }), false},
	}
}

// fakeCell is workers and tasks, second by second.
type fakeCell struct {
	rnd     *rand.Rand
	pol     Policy
	model   *Model
	workers []Worker
	tasks   map[string]*fakeTask
	acted   map[string]int
	now     int
	made    int
	// services counts those added, failed is the last worker that failed.
	services, failed int
	history          map[string][]float64

	over, samples, evictions, starts int
	// useful, wasted, cores and served are core seconds of batch done, lost,
	// given to batch, and given to services; left is the bound for batch.
	useful, wasted, cores, served, left float64
}

func newFakeCell(seed uint64, pol Policy) *fakeCell {
	fc := &fakeCell{
		rnd: rand.New(rand.NewPCG(seed, 1)), pol: pol, model: &Model{}, tasks: map[string]*fakeTask{},
		acted: map[string]int{}, history: map[string][]float64{},
	}
	for i := range trialWorkers {
		fc.workers = append(fc.workers, Worker{
			ID: fmt.Sprintf("w%02d", i), Rack: fmt.Sprintf("r%d", i/trialRack),
			Capacity: worker.Resources{MilliCores: trialCores, MemMB: trialMem},
		})
	}
	return fc
}

func (fc *fakeCell) addService() {
	kind := []string{"turns", "portal"}[fc.services%2]
	fc.services++
	fc.add(&fakeTask{Task: Task{
		Job: kind, Kind: kind, Service: true, Each: worker.Resources{MilliCores: serviceCores, MemMB: 16_000},
	}, runFor: math.Inf(1), uses: 1})
}

// scene is how a trial begins and what goes wrong in it.
type scene struct {
	name string
	// every is the seconds between services; 0 has all there at the start.
	every int
	// failEvery and failFor have a worker fail, in seconds.
	failEvery, failFor int
}

var scenes = []scene{
	{name: "services first"},
	{name: "services arrive on a full cell, workers fail", every: 20, failEvery: 600, failFor: 300},
}

// happen has services arrive and workers fail and come back.
func (fc *fakeCell) happen(sc scene) {
	for fc.services < trialServices && (sc.every == 0 || fc.now%sc.every == 0) {
		fc.addService()
		if sc.every > 0 {
			break
		}
	}
	if sc.failEvery == 0 || fc.now == 0 {
		return
	}
	if fc.now%sc.failEvery == 0 {
		fc.failed = fc.rnd.IntN(len(fc.workers))
		fc.fail(&fc.workers[fc.failed])
	}
	if fc.now%sc.failEvery == sc.failFor {
		fc.workers[fc.failed].Unschedulable = false
	}
}

func (fc *fakeCell) fail(wo *Worker) {
	wo.Unschedulable = true
	for _, ta := range fc.tasks {
		if ta.Worker != wo.ID {
			continue
		}
		fc.wasted += cores(&ta.Task) * (ta.done - ta.kept)
		if !ta.Service {
			fc.useful -= cores(&ta.Task) * (ta.done - ta.kept)
		}
		ta.Worker, ta.done, ta.Share = "", ta.kept, 1
	}
}

func (fc *fakeCell) add(ta *fakeTask) {
	fc.made++
	ta.ID, ta.Order, ta.Share = fmt.Sprintf("t%06d", fc.made), int64(fc.made), 1
	fc.tasks[ta.ID] = ta
}

// arrive adds batch tasks: enough to keep the cell full, in noisy waves, with
// declared sizes off by up to four times, and now and then one that fits no
// worker.
func (fc *fakeCell) arrive() {
	waiting := 0
	for _, ta := range fc.tasks {
		if !ta.Service && ta.Worker == "" {
			waiting++
		}
	}
	if waiting > 40 {
		return
	}
	kind := batchKinds[fc.rnd.IntN(len(batchKinds))]
	if fc.now/1800%2 == 1 {
		// A wave of one kind.
		kind = batchKinds[fc.now/3600%len(batchKinds)]
	}
	for range 10 {
		each := worker.Resources{MilliCores: int64(1+fc.rnd.IntN(4)) * 1000, MemMB: 3000}
		if fc.rnd.IntN(200) == 0 {
			each.MilliCores = 2 * trialCores
		}
		declared := 120 + 600*fc.rnd.Float64()
		fc.add(&fakeTask{Task: Task{Job: kind, Kind: kind, Each: each}, uses: 0.25 + 0.75*fc.rnd.Float64(),
			runFor: declared * math.Exp2(4*fc.rnd.Float64()-2)})
	}
}

// load is the services' own load, which shifts over the day.
func (fc *fakeCell) load() float64 {
	return 1 + 0.25*math.Sin(2*math.Pi*float64(fc.now)/7200)
}

func (fc *fakeCell) byWorker() map[string][]*fakeTask {
	by := map[string][]*fakeTask{}
	for _, ta := range fc.tasks {
		if ta.Worker != "" {
			by[ta.Worker] = append(by[ta.Worker], ta)
		}
	}
	for _, tasks := range by {
		slices.SortFunc(tasks, func(a, b *fakeTask) int { return cmp.Compare(a.ID, b.ID) })
	}
	return by
}

// run lets a second pass.
func (fc *fakeCell) run() {
	fc.now++
	for _, wo := range fc.workers {
		if !wo.Unschedulable {
			fc.left += trialCores / 1000
		}
	}
	for _, tasks := range fc.byWorker() {
		for _, ta := range tasks {
			if ta.Service {
				fc.serve(ta, tasks)
			} else {
				fc.work(ta)
			}
		}
	}
}

func (fc *fakeCell) serve(ta *fakeTask, tasks []*fakeTask) {
	tail := trialBase * fc.load() * (0.95 + 0.1*fc.rnd.Float64())
	for _, other := range tasks {
		if !other.Service {
			tail += trialTarget * trueDisturbance[pair{ta.Kind, other.Kind}] * cores(&other.Task) * other.uses * other.Share
		}
	}
	fc.served += cores(&ta.Task)
	fc.left -= cores(&ta.Task)
	fc.history[ta.ID] = append(fc.history[ta.ID], tail)
	fc.samples++
	if tail > trialTarget {
		fc.over++
	}
}

func (fc *fakeCell) work(ta *fakeTask) {
	ta.done += ta.Share
	fc.cores += cores(&ta.Task)
	fc.useful += cores(&ta.Task) * ta.Share
	if int(ta.done)/trialCheckpoint > int(ta.kept)/trialCheckpoint {
		ta.kept = math.Floor(ta.done/trialCheckpoint) * trialCheckpoint
	}
	if ta.done >= ta.runFor {
		delete(fc.tasks, ta.ID)
	}
}

// decide has the policy decide on what was measured a while ago.
func (fc *fakeCell) decide(po policy) {
	sn := Snapshot{Policy: fc.pol, Model: fc.model}
	by := fc.byWorker()
	for _, wo := range fc.workers {
		for _, ta := range by[wo.ID] {
			wo.Used = wo.Used.Add(ta.Each)
		}
		sn.Workers = append(sn.Workers, wo)
	}
	for _, ta := range fc.tasks {
		pt := ta.Task
		if hist := fc.history[ta.ID]; ta.Service && len(hist) > trialLag {
			pt.TailMS = hist[len(hist)-1-trialLag]
			pt.Fresh = fc.now-trialLag > fc.acted[ta.Worker]
		}
		pt.LostMS = int64(1000 * (ta.done - ta.kept))
		sn.Tasks = append(sn.Tasks, pt)
	}
	slices.SortFunc(sn.Tasks, func(a, b Task) int { return cmp.Compare(a.ID, b.ID) })
	if po.learns {
		fc.learn(sn, by)
	}
	for _, dec := range po.decide(sn) {
		fc.apply(dec)
	}
}

func (fc *fakeCell) learn(sn Snapshot, by map[string][]*fakeTask) {
	if fc.now%2 == 1 {
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
		fc.model.LearnTail(ta.Kind, ta.TailMS/fc.pol.TailTargetMS, neighbours)
	}
}

func (fc *fakeCell) apply(dec Decision) {
	ta := fc.tasks[dec.Task]
	fc.acted[dec.Worker] = fc.now
	switch dec.Verb {
	case Start:
		ta.Worker, ta.Share = dec.Worker, 1
		fc.starts++
	case Throttle:
		ta.Share = dec.Share
	case Evict, Move:
		fc.evictions++
		// A stop checkpoints; what it costs is the restart.
		fc.wasted += restartCost * cores(&ta.Task)
		fc.useful -= restartCost * cores(&ta.Task)
		ta.Worker, ta.Evictions, ta.Share = "", ta.Evictions+1, 1
	}
}

// restartCost is the seconds of work that a stop and start takes.
const restartCost = 15

// row is a line of the comparison. The bound for batch is what a run with
// true sizes and no services would do on the left-over cores.
func (fc *fakeCell) row(name string) string {
	left := fc.left
	return fmt.Sprintf("%s\t%.2f%%\t%.1f%%\t%.1f%%\t%d\t%.0f\t%d", name,
		100*(1-float64(fc.over)/float64(fc.samples)), 100*(fc.cores+fc.served)/(float64(trialWorkers*trialCores)/1000*float64(fc.now)),
		100*fc.useful/left, fc.evictions, fc.wasted, fc.starts)
}

func trialOf(po policy, pol Policy, sc scene, seconds int) *fakeCell {
	fc := newFakeCell(7, pol)
	for range seconds {
		fc.happen(sc)
		if fc.now%5 == 0 {
			fc.arrive()
		}
		fc.decide(po)
		fc.run()
	}
	return fc
}

// users are the two users' weights.
var users = []struct {
	name string
	pol  Policy
}{
	{"Halvorsen", Policy{TailTargetMS: trialTarget, WeightTail: 3, WeightEvictions: 1, WeightBatch: 1, Evictions: 1}},
	{"Rentenblick", Policy{TailTargetMS: trialTarget, WeightTail: 1, WeightEvictions: 3, WeightBatch: 2, Evictions: 1}},
}

// TestComparePolicies prints the comparison behind docs/DESIGN.md with
// -compare; on its own it runs a short one.
func TestComparePolicies(t *testing.T) {
	c := qt.New(t)
	if !*compare {
		ours := trialOf(policies()[0], users[0].pol, scenes[1], 2400)
		least := trialOf(policies()[4], users[0].pol, scenes[1], 2400)
		c.Assert(ours.evictions*10 <= least.evictions, qt.IsTrue, qt.Commentf("%d against %d evictions", ours.evictions, least.evictions))
		c.Assert(ours.over < least.over, qt.IsTrue, qt.Commentf("%d against %d seconds over", ours.over, least.over))
		return
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(out, "SCENE\tUSER\tPOLICY\tIN TARGET\tCORES GIVEN\tBATCH OF BOUND\tEVICTIONS\tWASTED CORE S\tSTARTS")
	for _, sc := range scenes {
		for _, us := range users {
			for _, po := range policies() {
				_, _ = fmt.Fprintln(out, trialOf(po, us.pol, sc, *compareHours*3600).row(sc.name+"\t"+us.name+"\t"+po.name))
			}
		}
	}
	c.Assert(out.Flush(), qt.IsNil)
}
