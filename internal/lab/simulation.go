package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/deferral"
	"github.com/pepperhatch/pepperhatch/internal/interfere"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/sched"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/tenure"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Times of a simulation.
const (
	// warmUpTime is how long services run before batch jobs arrive, drainTime how long
	// the simulation goes on after the last arrival.
	warmUpTime = 5 * time.Second
	drainTime  = 15 * time.Second
	// worldStep is the time step of the simulated workers.
	worldStep = 50 * time.Millisecond
	// usageWindow is the period that figures of workers cover, paceDelay the time until an order
	// to set a pace takes effect.
	usageWindow = 500 * time.Millisecond
	paceDelay   = 100 * time.Millisecond
	// harmAfter is how long fillers may keep a service over its latency target.
	harmAfter = 4 * time.Second
)

// Variant is a policy, or additional knowledge for it, to simulate.
type Variant struct {
	// Name is shown in the table.
	Name string
	// Without holds the mechanisms that are disabled.
	Without sched.Mechanism
	// KnowsDisturbance gives the owner the true disturbance of all pairs of images,
	// KnowsRunTimes the true run times. With Undisturbed fillers disturb no service.
	KnowsDisturbance, KnowsRunTimes, Undisturbed bool
}

// Bounds holds the real policy and variants that bound what more knowledge can gain. An
// owner that "knows pairs" starts with the true disturbance and goes on learning, one that
// is "told pairs" uses the given figures unchanged.
var Bounds = []Variant{
	{Name: "real"},
	{Name: "knows pairs", KnowsDisturbance: true},
	{Name: "knows run times", KnowsRunTimes: true},
	{Name: "told pairs", KnowsDisturbance: true, Without: sched.MechPairs},
	{Name: "knows both", KnowsDisturbance: true, KnowsRunTimes: true},
	{Name: "no disturbance", Undisturbed: true},
}

// simulation is the state of one simulated day.
type simulation struct {
	day       *day
	seed      uint64
	va        Variant
	log       *slog.Logger
	table     standin.Table
	fleet     standin.Fleet
	startTime time.Time
	racks     []string

	mu sync.Mutex
	// workers holds the current incarnation of each worker.
	workers []*standin.FleetWorker
}

// Simulate simulates a day of the mix and returns its result. It sleeps for the whole
// day, so it should be called in virtual time, see [testing/synctest].
func Simulate(ctx context.Context, mi Mix, seed uint64, va Variant) (Result, error) {
	return newSimulation(mi, seed, va).run(ctx)
}

// newSimulation samples a day and prepares its workers' behaviour.
func newSimulation(mi Mix, seed uint64, va Variant) *simulation {
	sm := &simulation{day: sampleDay(mi, seed), seed: seed, va: va, log: slog.New(slog.DiscardHandler), startTime: time.Now()}
	if va.KnowsRunTimes {
		sm.day.declareTrueRunTimes()
	}
	sm.fleet.Interference = sm.newWorld(seed)
	sm.fleet.ResourcesFunc = func(at worker.Attempt) worker.Resources { return sm.step(at).Reserved() }
	sm.fleet.RunFunc = sm.runTime
	return sm
}

// run simulates the day.
func (sm *simulation) run(ctx context.Context) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ow, err := sm.startOwner(ctx)
	if err != nil {
		return Result{}, err
	}
	go sm.fleet.AdvanceUntil(ctx, worldStep)
	if sm.day.mix.Restarts.IntervalS > 0 {
		go sm.restartWorkers(ctx, ow, rand.New(rand.NewPCG(sm.seed, 3)))
	}
	sm.submitAll(ctx, ow)
	time.Sleep(drainTime)
	return sm.result(), nil
}

// declareTrueRunTimes replaces the estimates of all jobs by their true run times.
func (da *day) declareTrueRunTimes() {
	for _, sj := range da.jobs {
		sj.spec = sj.trueJob().Spec
	}
}

// newWorld returns the model of how tasks on a worker disturb each other.
func (sm *simulation) newWorld(seed uint64) *standin.Interference {
	return &standin.Interference{
		StepFunc: sm.step,
		DropFunc: func(service, filler string) float64 {
			if sm.va.Undisturbed {
				return 0
			}
			return sm.day.drops[interfere.Pair{Service: service, Filler: filler}]
		},
		LoadFunc: func(at worker.Attempt, now time.Time) float64 {
			id, _, _ := job.ParseTaskID(at.Task)
			return sm.day.load(sm.day.byID[id], now.Sub(sm.startTime))
		},
		MaxHeadroom: sm.day.mix.Services.Headroom, Noise: sm.day.mix.MeasurementNoise, Rand: rand.New(rand.NewPCG(seed, 2)),
		Window: usageWindow, PaceDelay: paceDelay,
	}
}

// step returns the step that an attempt's task belongs to.
func (sm *simulation) step(at worker.Attempt) *job.Step {
	id, ref, _ := job.ParseTaskID(at.Task)
	return &sm.day.byID[id].spec.Steps[ref.Step]
}

// runTime returns how long an attempt runs and how it ends; a service runs forever,
// stated as a negative time.
func (sm *simulation) runTime(at worker.Attempt) (time.Duration, string) {
	id, ref, _ := job.ParseTaskID(at.Task)
	sj := sm.day.byID[id]
	if sj.spec.Steps[ref.Step].LongRunning {
		return -1, ""
	}
	return time.Duration(sj.runMS[ref.Step]) * time.Millisecond, "done"
}

// addWorkers adds the workers to the fleet and returns their list entries.
func (sm *simulation) addWorkers() []sched.WorkerEntry {
	mi := &sm.day.mix
	for i := range mi.Workers {
		capacity := worker.Resources{MilliCores: mi.MilliCores, MemMB: mi.MemMB}
		if i%3 == 2 {
			capacity = worker.Resources{MilliCores: mi.MilliCores * 3 / 2, MemMB: mi.MemMB * 3 / 2}
		}
		ad := worker.Addr{HostPort: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Incarnation: worker.Incarnation{ID: fmt.Sprintf("i-%03d", i)}}
		fw := &standin.FleetWorker{Addr: ad, Capacity: capacity}
		sm.fleet.Add(fw)
		sm.workers, sm.racks = append(sm.workers, fw), append(sm.racks, fmt.Sprintf("r%d", i/8))
	}
	list := make([]sched.WorkerEntry, len(sm.workers))
	for i := range list {
		list[i] = sm.entry(i)
	}
	return list
}

// entry returns the list entry of worker i.
func (sm *simulation) entry(i int) sched.WorkerEntry {
	fw, rack := sm.workers[i], sm.racks[i]
	return sched.WorkerEntry{Addr: fw.Addr, Service: service, Rack: rack, Labels: []string{"a", rack}, Capacity: fw.Capacity}
}

// restartWorkers restarts random workers until ctx ends.
func (sm *simulation) restartWorkers(ctx context.Context, ow *sched.Owner, rn *rand.Rand) {
	re := sm.day.mix.Restarts
	for clock.Sleep(ctx, time.Duration(re.IntervalS*float64(time.Second))) {
		for i := range sm.workers {
			if rn.Float64() < re.Fraction {
				go sm.restart(ctx, ow, i, time.Duration(rn.Int64N(re.MaxDowntimeMS+1))*time.Millisecond)
			}
		}
	}
}

// restart kills worker i and starts its next incarnation after the downtime.
func (sm *simulation) restart(ctx context.Context, ow *sched.Owner, i int, downtime time.Duration) {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	fw := sm.workers[i]
	sm.fleet.Kill(fw)
	time.AfterFunc(downtime, func() {
		if ctx.Err() != nil {
			return
		}
		sm.mu.Lock()
		defer sm.mu.Unlock()
		if sm.workers[i] == fw {
			sm.workers[i] = sm.fleet.Restart(fw, fw.Addr.HostPort, 0)
			ow.SetWorkers([]sched.WorkerEntry{sm.entry(i)}, nil, false)
		}
	})
}

// ownerKey is the key of the row that names the owner of the cell.
const ownerKey = "cells/c0/owner"

// startOwner starts the owner of the cell and returns once it has loaded the cell.
func (sm *simulation) startOwner(ctx context.Context) (*sched.Owner, error) {
	txn, err := store.NewTxn().WithPut(ownerKey, 0, tenure.OwnerRow{Owner: "host", Epoch: 1})
	if err != nil {
		return nil, err
	}
	version, err := sm.table.Client().Commit(ctx, txn)
	if err != nil {
		return nil, fmt.Errorf("claim the cell: %w", err)
	}
	if err := sm.writePairs(ctx); err != nil {
		return nil, err
	}
	te := tenure.Tenure{Epoch: 1, Key: ownerKey, Version: version, FormerEnded: time.Now, Confirmed: time.Now, HeartbeatWritten: time.Now, End: func(error) {}}
	ow := sched.New(&sched.Owner{
		Cell: "c0", Tenure: te, Table: sm.table.Client(), Agent: deferral.Wrap(sm.fleet.Agent()), Log: sm.log, Without: sm.va.Without,
		Limits: sched.Limits{MaxLease: 10 * time.Second, StopTime: 900 * time.Millisecond, HarmAfter: harmAfter, PaceTime: paceDelay, KeepEnded: 2 * time.Minute},
	})
	loaded := make(chan struct{})
	ended := make(chan error, 1)
	go func() { ended <- ow.Run(ctx, func() { close(loaded) }) }()
	select {
	case <-loaded:
	case err := <-ended:
		return nil, fmt.Errorf("owner ended: %w", err)
	}
	ow.SetWorkers(sm.addWorkers(), nil, true)
	return ow, nil
}

// writePairs stores the true disturbance of all pairs, if the variant knows it, in the
// row in which a former owner stores its estimates.
func (sm *simulation) writePairs(ctx context.Context) error {
	if !sm.va.KnowsDisturbance {
		return nil
	}
	var row struct {
		Pairs []interfere.PairEstimate `json:"pairs"`
	}
	for pa, drop := range sm.day.drops {
		row.Pairs = append(row.Pairs, interfere.PairEstimate{Pair: pa, Drop: drop})
	}
	value, err := json.Marshal(row)
	if err != nil {
		return fmt.Errorf("encode pairs: %w", err)
	}
	txn := store.NewTxn()
	txn.Puts = []store.Put{{Key: sched.InterferenceTable + "/c0/pairs", Value: value}}
	if _, err := sm.table.Client().Commit(ctx, txn); err != nil {
		return fmt.Errorf("write pairs: %w", err)
	}
	return nil
}

// submitAll submits the services, and after the warm-up each batch job at its arrival
// time. It returns when no more jobs arrive.
func (sm *simulation) submitAll(ctx context.Context, ow *sched.Owner) {
	time.Sleep(time.Second)
	for _, sj := range sm.day.jobs {
		if sj.batch == nil {
			sm.submit(ctx, ow, sj)
		}
	}
	time.Sleep(warmUpTime)
	start := time.Now()
	for _, sj := range sm.day.jobs {
		if sj.batch != nil {
			sj.at += start.Sub(sm.startTime)
			time.AfterFunc(time.Until(sm.startTime.Add(sj.at)), func() { sm.submit(ctx, ow, sj) })
		}
	}
	time.Sleep(time.Duration(sm.day.mix.Seconds) * time.Second)
}

// submit submits a job. One that is refused counts as never done.
func (sm *simulation) submit(ctx context.Context, ow *sched.Owner, sj *sampledJob) {
	_, _ = ow.Submit(ctx, sj.id, sj.terms, sj.spec)
}
