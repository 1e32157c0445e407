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
	"github.com/pepperhatch/pepperhatch/internal/interfere"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/sched"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/tenure"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Times of a play.
const (
	// warmUp is how long services run before batch jobs come, coolDown how long
	// jobs may take after the last came.
	warmUp   = 5 * time.Second
	coolDown = 15 * time.Second
	// advanceEvery is the time between two steps of the world.
	advanceEvery = 50 * time.Millisecond
)

// Variant is a policy or a piece of knowledge to play.
type Variant struct {
	// Name names it in reports.
	Name string
	// Without has mechanisms that are switched off.
	Without sched.Mechanism
	// KnowsPairs gives the owner the true disturbance of all pairs, KnowsTimes
	// true run times; Undisturbed has fillers disturb nothing.
	KnowsPairs, KnowsTimes, Undisturbed bool
}

// Bounds are the real policy and what more knowledge would give.
var Bounds = []Variant{
	{Name: "real"},
	{Name: "knows pairs", KnowsPairs: true},
	{Name: "knows run times", KnowsTimes: true},
	{Name: "told pairs", KnowsPairs: true, Without: sched.MechPairs},
	{Name: "knows both", KnowsPairs: true, KnowsTimes: true},
	{Name: "no disturbance", Undisturbed: true},
}

// play is one day under way.
type play struct {
	day   *day
	seed  uint64
	va    Variant
	log   *slog.Logger
	table standin.Table
	fleet standin.Fleet
	began time.Time
	racks []string

	mu sync.Mutex
	// crew are the workers now.
	crew []*standin.FleetWorker
}

// Play plays a day of the mix and returns what it came to. Call it where time is
// virtual: it sleeps for the whole day.
func Play(ctx context.Context, mi Mix, seed uint64, va Variant) (Result, error) {
	return newPlay(mi, seed, va).run(ctx)
}

// newPlay draws a day.
func newPlay(mi Mix, seed uint64, va Variant) *play {
	pl := &play{day: drawDay(mi, seed), seed: seed, va: va, log: slog.New(slog.DiscardHandler), began: time.Now()}
	if va.KnowsTimes {
		pl.day.declareTrueTimes()
	}
	pl.fleet.Interference = pl.world(seed)
	pl.fleet.ResourcesFunc = func(at worker.Attempt) worker.Resources { return pl.step(at).Reserved() }
	pl.fleet.RunFunc = pl.runOf
	return pl
}

// run plays the day.
func (pl *play) run(ctx context.Context) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ow, err := pl.own(ctx)
	if err != nil {
		return Result{}, err
	}
	go pl.advance(ctx)
	if pl.day.mix.Restarts.EveryS > 0 {
		go pl.restarts(ctx, ow, rand.New(rand.NewPCG(pl.seed, 3)))
	}
	pl.submitAll(ctx, ow)
	time.Sleep(coolDown)
	return pl.result(), nil
}

// declareTrueTimes has all jobs declare their true run times.
func (da *day) declareTrueTimes() {
	for _, dr := range da.jobs {
		dr.spec = dr.trueJob().Spec
	}
}

// world is how tasks disturb each other.
func (pl *play) world(seed uint64) *standin.Interference {
	return &standin.Interference{
		StepFunc: pl.step,
		DropFunc: func(service, filler string) float64 {
			if pl.va.Undisturbed {
				return 0
			}
			return pl.day.drops[interfere.Pair{Service: service, Filler: filler}]
		},
		LoadFunc: func(at worker.Attempt, now time.Time) float64 {
			id, _, _ := job.ParseTaskID(at.Task)
			return pl.day.load(pl.day.byID[id], now.Sub(pl.began))
		},
		MaxHeadroom: pl.day.mix.Services.Headroom, Noise: pl.day.mix.Rough, Rand: rand.New(rand.NewPCG(seed, 2)),
	}
}

// step is what a task is.
func (pl *play) step(at worker.Attempt) *job.Step {
	id, ref, _ := job.ParseTaskID(at.Task)
	return &pl.day.byID[id].spec.Steps[ref.Step]
}

// runOf is how long a task runs; services have no end.
func (pl *play) runOf(at worker.Attempt) (time.Duration, string) {
	id, ref, _ := job.ParseTaskID(at.Task)
	dr := pl.day.byID[id]
	if dr.spec.Steps[ref.Step].LongRunning {
		return -1, ""
	}
	return time.Duration(dr.runMS[ref.Step]) * time.Millisecond, "done"
}

// workers enters the workers and returns the list of them.
func (pl *play) workers() []sched.WorkerEntry {
	mi := &pl.day.mix
	for i := range mi.Workers {
		holds := worker.Resources{MilliCores: mi.MilliCores, MemMB: mi.MemMB}
		if i%3 == 2 {
			holds = worker.Resources{MilliCores: mi.MilliCores * 3 / 2, MemMB: mi.MemMB * 3 / 2}
		}
		ad := worker.Addr{HostPort: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Incarnation: worker.Incarnation{ID: fmt.Sprintf("i-%03d", i)}}
		fw := &standin.FleetWorker{Addr: ad, Capacity: holds}
		pl.fleet.Add(fw)
		pl.crew, pl.racks = append(pl.crew, fw), append(pl.racks, fmt.Sprintf("r%d", i/8))
	}
	list := make([]sched.WorkerEntry, len(pl.crew))
	for i := range list {
		list[i] = pl.entry(i)
	}
	return list
}

// entry is a worker as it is listed.
func (pl *play) entry(i int) sched.WorkerEntry {
	fw, rack := pl.crew[i], pl.racks[i]
	return sched.WorkerEntry{Addr: fw.Addr, Service: service, Rack: rack, Labels: []string{"a", rack}, Capacity: fw.Capacity}
}

// restarts has workers restart until ctx ends.
func (pl *play) restarts(ctx context.Context, ow *sched.Owner, rn *rand.Rand) {
	re := pl.day.mix.Restarts
	for clock.Sleep(ctx, time.Duration(re.EveryS*float64(time.Second))) {
		for i := range pl.crew {
			if rn.Float64() < re.Share {
				go pl.restart(ctx, ow, i, time.Duration(rn.Int64N(re.AwayMS+1))*time.Millisecond)
			}
		}
	}
}

// restart has a worker restart after a while.
func (pl *play) restart(ctx context.Context, ow *sched.Owner, i int, away time.Duration) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	fw := pl.crew[i]
	pl.fleet.Kill(fw)
	time.AfterFunc(away, func() {
		if ctx.Err() != nil {
			return
		}
		pl.mu.Lock()
		defer pl.mu.Unlock()
		if pl.crew[i] == fw {
			pl.crew[i] = pl.fleet.Restart(fw, fw.Addr.HostPort, 0)
			ow.SetWorkers([]sched.WorkerEntry{pl.entry(i)}, nil, false)
		}
	})
}

// ownerKey is the row that says who owns the cell.
const ownerKey = "cells/c0/owner"

// own starts the owner of the cell.
func (pl *play) own(ctx context.Context) (*sched.Owner, error) {
	txn, err := store.NewTxn().WithPut(ownerKey, 0, tenure.OwnerRow{Owner: "host", Epoch: 1})
	if err != nil {
		return nil, err
	}
	version, err := pl.table.Client().Commit(ctx, txn)
	if err != nil {
		return nil, fmt.Errorf("claim the cell: %w", err)
	}
	if err := pl.tellPairs(ctx); err != nil {
		return nil, err
	}
	te := tenure.Tenure{Epoch: 1, Key: ownerKey, Version: version, FormerEnded: time.Now, Confirmed: time.Now, HeartbeatWritten: time.Now, End: func(error) {}}
	ow := sched.New(&sched.Owner{
		Cell: "c0", Tenure: te, Table: pl.table.Client(), Agent: pl.fleet.Agent(), Log: pl.log, Without: pl.va.Without,
		Limits: sched.Limits{MaxLease: 10 * time.Second, StopTime: 900 * time.Millisecond, HarmAfter: 4 * time.Second, KeepEnded: 2 * time.Minute},
	})
	loaded := make(chan struct{})
	ended := make(chan error, 1)
	go func() { ended <- ow.Run(ctx, func() { close(loaded) }) }()
	select {
	case <-loaded:
	case err := <-ended:
		return nil, fmt.Errorf("owner ended: %w", err)
	}
	ow.SetWorkers(pl.workers(), nil, true)
	return ow, nil
}

// tellPairs writes the true disturbance of all pairs where a former owner would
// have written what it learnt.
func (pl *play) tellPairs(ctx context.Context) error {
	if !pl.va.KnowsPairs {
		return nil
	}
	var row struct {
		Pairs []interfere.PairEstimate `json:"pairs"`
	}
	for pa, drop := range pl.day.drops {
		row.Pairs = append(row.Pairs, interfere.PairEstimate{Pair: pa, Drop: drop})
	}
	value, err := json.Marshal(row)
	if err != nil {
		return fmt.Errorf("encode pairs: %w", err)
	}
	txn := store.NewTxn()
	txn.Puts = []store.Put{{Key: sched.InterferenceTable + "/c0/pairs", Value: value}}
	if _, err := pl.table.Client().Commit(ctx, txn); err != nil {
		return fmt.Errorf("tell pairs: %w", err)
	}
	return nil
}

// advance lets time pass in the world.
func (pl *play) advance(ctx context.Context) {
	ti := time.NewTicker(advanceEvery)
	defer ti.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ti.C:
			pl.fleet.Advance(advanceEvery)
		}
	}
}

// submitAll hands the jobs in at their times.
func (pl *play) submitAll(ctx context.Context, ow *sched.Owner) {
	time.Sleep(time.Second)
	for _, dr := range pl.day.jobs {
		if dr.batch == nil {
			pl.submit(ctx, ow, dr)
		}
	}
	time.Sleep(warmUp)
	start := time.Now()
	for _, dr := range pl.day.jobs {
		if dr.batch != nil {
			dr.at += start.Sub(pl.began)
			time.AfterFunc(time.Until(pl.began.Add(dr.at)), func() { pl.submit(ctx, ow, dr) })
		}
	}
	time.Sleep(time.Duration(pl.day.mix.Seconds) * time.Second)
}

// submit hands a job in; one that is not taken counts as never done.
func (pl *play) submit(ctx context.Context, ow *sched.Owner, dr *drawn) {
	_, _ = ow.Submit(ctx, dr.id, dr.terms, dr.spec)
}
