// Package sched runs the jobs of one cell on its workers, on the entry host
// that owns the cell.
//
// One goroutine holds the state of all jobs and workers and takes events in
// turn: jobs handed in, what workers were seen to run, writes that ended. A
// decision takes effect only after it is durable: an attempt is launched, a
// caller answered and an end acknowledged to its worker once the job's row
// that says so was written. Rows of many jobs share a write, and the ends of a
// step go along with the starts of the next. Every write is conditional on the
// owner's row and on the rows that it replaces, so it can be sent again until
// its outcome is known, and does nothing if it is carried out late.
//
// What a worker runs is settled by its own word. A new owner first raises the
// fencing token there; an attempt that the worker then lists neither as
// running nor as ended never ran and never will. A worker that cannot be
// reached counts as running all it was given until its leases have lapsed by
// the slowest clock.
package sched

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/interfere"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/tenure"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Limits are bounds that the users set.
type Limits struct {
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// StopTime is the longest that a worker takes to stop an attempt.
	StopTime time.Duration
	// HarmAfter is how long fillers may keep a service over its target.
	HarmAfter time.Duration
	// KeepEnded is how long the state of a job is told after its end.
	KeepEnded time.Duration
}

// Owner runs the jobs of a cell during one tenure. Set the fields, then call
// [Owner.Run]; the other methods may be called from any goroutine.
type Owner struct {
	// Cell names the cell.
	Cell string
	// Tenure is the host's time as owner.
	Tenure tenure.Tenure
	// Table is the store's.
	Table store.Table
	// Agent talks to workers.
	Agent worker.Agent
	// Limits are the users'.
	Limits Limits
	// ViaFunc names the entry host through which a worker is to be reached, empty
	// for directly, and DroppedFunc tells that a worker is not reached any more.
	// Both may be nil.
	ViaFunc     func(WorkerEntry) string
	DroppedFunc func(worker.Incarnation)
	// ListFunc returns when the list of workers was last known to be true, and since
	// when it has been read without an error. If nil it always is.
	ListFunc func() (last, since time.Time)
	// Without has the mechanisms that are switched off.
	Without Mechanism
	// Metrics counts.
	Metrics *telemetry.Metrics
	// Log gets decisions.
	Log *slog.Logger

	// silent is for the next owner; given is since when it is as the former owner
	// handed it on, or zero.
	handing sync.Mutex
	silent  map[string]int64
	given   time.Time

	events chan func()
	ended  chan struct{}

	// All below belongs to the loop.
	ctx     context.Context
	entries map[string]*entry
	active  []*entry
	seq     int64
	hosts   map[worker.Incarnation]*workerState
	// ways counts the ways to workers there ever were.
	ways int64
	// sorted has them in an order that does not change, or is nil.
	sorted []*workerState
	// byAddr has the workers whose processes are not known to have ended, by where they
	// listen: one of them does.
	byAddr map[string][]*workerState
	// byID has the workers by their ids: several are lives of one worker.
	byID map[string][]*workerState
	// due is set while something may be placed that could not before, rounds
	// counts the rounds of placement.
	due    bool
	rounds int
	dirty  []*entry
	writes int
	// window bounds the starts under way.
	window window
	// failing is since when writes have not succeeded, or zero.
	failing time.Time
	// orphans has the attempts on workers that no list named since the
	// takeover, by incarnation.
	orphans map[worker.Incarnation]int
	opened  time.Time
	// noted is what the next owner may read of workers that do not answer.
	noted noted
	// model is what was learnt of fillers and services.
	model interfere.Model
	// noPlace has what no place was found for.
	noPlace noPlace
	// likeness has what was worked out in this round of placement.
	likeness map[imagePair]float64
	// saved is when what was learnt was last written, saving is set while it is.
	saved  time.Time
	saving bool
	// scarceAt is when a line last told of tasks that last and find no room.
	scarceAt time.Time
	// promises are what is kept for lasting tasks that are to begin again.
	promises restartReservations
	// stuckAt is when it was last looked for tasks that are stuck.
	stuckAt time.Time
	// roll follows how far the list of workers can be believed.
	roll roll
	// outage has what was told of workers that get no orders.
	outage outage
}

// Times of the loop.
const (
	// tickEvery is the time between looks at what only time changes, such as
	// leases that lapse.
	tickEvery = 100 * time.Millisecond
	// eventsMost bounds the events that wait for the loop.
	eventsMost = 1024
	// clockDrift is how much slower a worker's clock may run, as the users
	// state it.
	clockDrift = 0.02
	// lapseMargin is added to computed ends of leases.
	lapseMargin = 100 * time.Millisecond
)

// New returns an owner that is ready for [Owner.Run].
func New(ow *Owner) *Owner {
	ow.events = make(chan func(), eventsMost)
	ow.ended = make(chan struct{})
	ow.entries = map[string]*entry{}
	ow.hosts = map[worker.Incarnation]*workerState{}
	ow.byAddr = map[string][]*workerState{}
	ow.byID = map[string][]*workerState{}
	ow.orphans = map[worker.Incarnation]int{}
	ow.likeness = map[imagePair]float64{}
	return ow
}

// Run reads the state of the cell, calls loaded, and serves it until ctx ends.
func (ow *Owner) Run(ctx context.Context, loaded func()) error {
	defer close(ow.ended)
	defer GaugeNoWorkers(ow.Metrics)
	ow.ctx = ctx
	ow.opened = time.Now()
	ow.roll.trouble = ow.opened
	ow.noteGiven(ow.opened)
	if err := ow.load(ctx); err != nil {
		return err
	}
	ow.loadNoted(ctx)
	ow.loadLearnt(ctx)
	ow.model.Fixed = !ow.uses(MechPairs)
	ow.Log.Info("cell loaded", "cell", ow.Cell, "epoch", ow.Tenure.Epoch, "jobs", len(ow.entries), "active", len(ow.active), "took", time.Since(ow.opened))
	loaded()
	go ow.ticks()
	for {
		select {
		case <-ctx.Done():
			return nil
		case fn := <-ow.events:
			fn()
			ow.drain()
		}
		// What is placed while a write is under way waits for its end anyway.
		if ow.due && ow.writes < writesAtOnce && !ow.window.full() {
			ow.place()
		}
		ow.flush()
	}
}

// ticks has the loop look at what time alone changes, until the tenure is over. It
// is an event like others, so that the loop waits for one thing only.
func (ow *Owner) ticks() {
	for clock.Sleep(ow.ctx, tickEvery) && ow.post(ow.tick) {
	}
}

// drain handles the events that wait already, so that they share a write.
func (ow *Owner) drain() {
	for range eventsMost {
		select {
		case fn := <-ow.events:
			fn()
		default:
			return
		}
	}
}

// post hands fn to the loop. It reports false if the tenure is over.
func (ow *Owner) post(fn func()) bool {
	select {
	case ow.events <- fn:
		return true
	case <-ow.ended:
		return false
	}
}

// tick looks at what time alone changes.
func (ow *Owner) tick() {
	now := time.Now()
	for _, ho := range ow.hosts {
		ho.tick(now)
	}
	ow.noteSilent(now)
	ow.noteLeases(now)
	ow.noteReach(now)
	ow.writeProofs(now)
	ow.accountTime(now)
	ow.reserveForRestarts(now)
	ow.tellScarcity(now)
	ow.noteStuck(now)
	ow.sortActive(now)
	ow.moveHeld(now)
	ow.noteList(now)
	ow.evacuate(now)
	ow.tickOrphans(now)
	ow.forgetEnded(now)
	ow.saveLearnt(now)
	ow.due = true
}

// storeDown reports whether writes have failed for so long that new work is
// refused.
func (ow *Owner) storeDown() bool {
	return !ow.failing.IsZero() && time.Since(ow.failing) > downAfter
}

// forgetEnded removes jobs whose state was told for long enough.
func (ow *Owner) forgetEnded(now time.Time) {
	for id, en := range ow.entries {
		if en.endedAt.IsZero() || en.dirty || en.writing || now.Sub(en.endedAt) < ow.Limits.KeepEnded {
			continue
		}
		en.removing = true
		ow.touch(en)
		en.effects = append(en.effects, func() { delete(ow.entries, id) })
		en.endedAt = time.Time{}
	}
}

// name returns the keys of a job's rows.
func (ow *Owner) specKey(id string) string     { return SpecTable + "/" + ow.Cell + "/" + id }
func (ow *Owner) progressKey(id string) string { return ProgressTable + "/" + ow.Cell + "/" + id }

// Tables of the store.
const (
	// SpecTable has what never changes of a job, ProgressTable the rest.
	SpecTable     = "jobs"
	ProgressTable = "progress"
	// IntakeTable has what entry hosts accepted while they could not reach
	// the owner.
	IntakeTable = "intake"
)

// visible is what callers are told of a job: its state as last written.
func (en *entry) visible() job.State { return en.shown }
