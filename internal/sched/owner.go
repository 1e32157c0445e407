// Package sched runs the jobs of one cell on its workers. It runs on the entry host that owns
// the cell.
//
// One goroutine, the loop, holds the state of all jobs and workers and handles events one at
// a time: submitted jobs, answers of workers to polls, and completed writes. A decision takes
// effect only after it is durable: an attempt is launched, a caller answered and an end
// acknowledged to its worker once the job's row that says so was written. Rows of many jobs
// share a write, and the ends of a step are written together with the starts of the next one.
// Every write is conditional on the owner's row and on the rows that it replaces. It can
// therefore be sent again until its outcome is known, and has no effect if it is carried out
// late.
//
// The worker decides what it runs. A new owner first raises the fencing token at the worker;
// an attempt that the worker then lists neither as running nor as ended never ran and never
// will in that process, provided that the list is whole: workers list a limited number of ends,
// see [worker.WholeList]. A process that replaces it may still carry out an order without an
// answer, see outstandingorder.go. A worker that cannot be reached counts as running everything it was
// given until its leases have expired by the slowest clock that the drift bound allows.
//
// Limits: an owner refuses submitted jobs while it has 20,000 jobs in memory, recently ended
// ones included, and the state of a cell has to fit into the memory of one host.
package sched

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/answers"
	"github.com/pepperhatch/pepperhatch/internal/background"
	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/congestion"
	"github.com/pepperhatch/pepperhatch/internal/evacuation"
	"github.com/pepperhatch/pepperhatch/internal/headroom"
	"github.com/pepperhatch/pepperhatch/internal/interfere"
	"github.com/pepperhatch/pepperhatch/internal/invalidrow"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/looplag"
	"github.com/pepperhatch/pepperhatch/internal/nofit"
	"github.com/pepperhatch/pepperhatch/internal/queuestats"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/tenure"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Limits holds the bounds that the users set.
type Limits struct {
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// StopTime is the longest time that a worker takes to stop an attempt.
	StopTime time.Duration
	// HarmAfter is how long fillers may keep a service over its latency target. PaceTime is how
	// long a worker takes until an ordered pace is in effect.
	HarmAfter, PaceTime time.Duration
	// MaxRowBytes is the largest row that the store takes; 0 means [store.MaxRowBytes].
	MaxRowBytes int
	// KeepEnded is how long the state of a job can be queried after its end.
	KeepEnded time.Duration
}

// Owner runs the jobs of a cell during one tenure. Set the exported fields, then call
// [Owner.Run]; the other methods may be called from any goroutine.
type Owner struct {
	// Cell names the cell.
	Cell string
	// Tenure is this host's tenure as owner of the cell.
	Tenure tenure.Tenure
	// Table accesses the store.
	Table store.Table
	// Agent is the client of the workers.
	Agent worker.Agent
	// Limits holds the bounds that the users set.
	Limits Limits
	// ViaFunc returns the entry host that relays requests to a worker, or "" if the worker is
	// reached directly. DroppedFunc is called when a worker is no longer polled. Both may be
	// nil.
	ViaFunc     func(WorkerEntry) string
	DroppedFunc func(worker.Incarnation)
	// ListFunc returns when the list of workers was last known to be current, and since when
	// it has been read without an error. If nil, the list is always current.
	ListFunc func() (last, since time.Time)
	// EvacuatedFunc reads the requests to evacuate data centres that are in force when the owner
	// loads the cell; see [Owner.SetEvacuated] for later ones. If nil, there are none.
	EvacuatedFunc func(context.Context) (evacuation.Set, error)
	// Without is the set of mechanisms that are switched off.
	Without Mechanism
	// Metrics receives counters and gauges.
	Metrics *telemetry.Metrics
	// Log receives decisions and errors.
	Log *slog.Logger

	// handoverMu guards handoverLeaseMS and inheritedAt. handoverLeaseMS is what
	// [Owner.Handover] returns, in milliseconds; inheritedAt is the time from which its
	// values count if they are still those of the former owner, else zero.
	handoverMu      sync.Mutex
	handoverLeaseMS map[string]int64
	inheritedAt     time.Time

	// chargeFunc, if set, is called at the end of each part of the loop's work with the workload
	// since the last tick. Tests use it to let the work take virtual time.
	chargeFunc func(looplag.Workload)

	// events queues the events for the loop; ended is closed when Run returns.
	events chan event
	ended  chan struct{}

	// The loop owns all fields below.
	ctx context.Context
	// jobs has all jobs in memory by id, waitingJobs those with tasks that may start now, in
	// order of placement, and seq the arrival number of the latest job.
	jobs        map[string]*trackedJob
	waitingJobs []*trackedJob
	seq         int64
	// unreadable has the ids of jobs whose rows cannot be decoded; see [Owner.recordUnreadable].
	// invalidRows reports these and other such rows.
	unreadable  map[string]bool
	invalidRows invalidrow.Reporter
	// finiteJobs has the jobs that end by themselves and have not ended, endedJobs those that have
	// ended, in that order. dueProofs has the jobs whose proofs are to be written, likewise.
	finiteJobs map[*trackedJob]bool
	endedJobs  []*trackedJob
	dueProofs  []dueWrite
	// dueAcks has the same for acknowledgements.
	dueAcks []dueWrite
	// throttled has the fillers whose pace is at most heldMaxPace, unconfirmedRestarts the
	// attempts of interrupted tasks that their workers have not confirmed, and halted those that
	// were ordered to stop. copyable counts the attempts of steps that allow copies.
	throttled, unconfirmedRestarts, halted map[*attempt]bool
	copyable                               int
	// slowWorkers has the workers that count as slow.
	slowWorkers map[*workerState]bool
	// scan is the result of the scan of the workers by the last tick.
	scan workerScan
	// queueStats has what is known of the jobs of each queue.
	queueStats map[string]*queuestats.Queue
	workers    map[worker.Incarnation]*workerState
	// pathCount counts the paths to workers created so far.
	pathCount int64
	// sortedWorkerCache has the workers in a stable order; nil if out of date.
	sortedWorkerCache []*workerState
	// workersByAddr has the workers whose processes are not known to have ended, by listen
	// address. Only one process listens on an address at a time.
	workersByAddr map[string][]*workerState
	// workersByID has the workers by id. Several entries under one id are incarnations of one
	// worker.
	workersByID map[string][]*workerState
	// rateFrom is where the next ranking of workers begins, modulo their number.
	rateFrom int
	// placementDue is set if a task may have become placeable since the last round of
	// placement; placementRounds counts the rounds. dirtyJobs are the jobs with changes that
	// wait to be written, writesInFlight counts the writes in flight.
	placementDue    bool
	placementRounds int
	dirtyJobs       []*trackedJob
	writesInFlight  int
	// writeMarkVersion is the version of the mark row, writeCount counts the writes so far.
	writeMarkVersion int64
	writeCount       int64
	// window bounds the starts in flight. agedJobs are the jobs that have waited for it for long,
	// the one that has waited for longest first.
	window   congestion.Window
	agedJobs []*trackedJob
	// writesFailingSince is the start of the first of the writes that have failed in a row,
	// or zero while writes succeed.
	writesFailingSince time.Time
	// unowned counts the attempts of former owners on workers that no list has named since
	// the takeover, by incarnation.
	unowned map[worker.Incarnation]int
	// unownedByID has the incarnations among them, and the jobs of the attempts, by worker id.
	unownedByID map[string]*unownedWorker
	// restartLeases has, by incarnation, until when leases may run that calls to an earlier
	// incarnation extended; zero if none does. It lacks incarnations of which this is not known.
	// restartLeasesEnd is when all of them have ended, also those of which it is not known.
	restartLeases    map[worker.Incarnation]time.Time
	restartLeasesEnd time.Time
	// ordersAt has the tasks with outstanding orders by the id of the worker.
	ordersAt map[string]map[taskKey]bool
	// startedAt is when Run was called, loadedAt when it had read the state of the cell.
	startedAt, loadedAt time.Time
	// leaseRecord tracks the stored lease expiries of unresponsive workers.
	leaseRecord leaseRecord
	// model predicts the interference of fillers with services.
	model interfere.Model
	// noFit has the shapes of tasks for which no worker was found, in this round of
	// placement or recently.
	noFit nofit.Cache
	// similarity caches the similarity of pairs of images for one round of placement.
	similarity map[imagePair]float64
	// modelSavedAt is when the model was last written; savingModel is set while a write of it
	// is in flight.
	modelSavedAt time.Time
	savingModel  bool
	// durations has how long tasks take, compared with their estimates.
	durations durations
	// copiesDecidedAt is when it was last considered which tasks get copies, copiesTook how long
	// that took.
	copiesDecidedAt time.Time
	copiesTook      time.Duration
	// demands measures the arriving short work, headroomReport is the state of its reports.
	demands        headroom.Demands
	headroomReport headroomReport
	// dataCentreCapacity has the capacity by data centre and service.
	dataCentreCapacity dataCentreCapacity
	// answers has the last answer and the last order without one by data centre.
	answers map[string]*answers.Record
	// reservations holds the capacity reserved for long-running tasks that are to restart.
	reservations restartReservations
	// listTrust tracks whether the list of workers can be relied on.
	listTrust listTrust
	// outage tracks an outage of workers that receive no orders.
	outage outage
	// evacuated are the data centres on whose workers nothing may start, evacuationMonitor
	// reports on them.
	evacuated         evacuation.Set
	evacuationMonitor evacuation.Monitor
	// lag measures how far the owner is behind, background runs what gives way meanwhile.
	lag        looplag.Meter
	background background.Schedule
	// visibleCapacity measures how long interrupted tasks wait while workers have capacity.
	visibleCapacity visibleCapacity
	// admission decides which submitted jobs are accepted.
	admission admissionState
}

// Timing of the loop.
const (
	// tickInterval is the time between checks of what depends on time alone, such as the
	// expiry of leases.
	tickInterval = 100 * time.Millisecond
	// maxEvents bounds the events queued for the loop.
	maxEvents = 1024
	// clockDrift is how much slower or faster than true time a worker's clock may run, as a
	// fraction; the users specify it.
	clockDrift = clock.Drift
	// lapseMargin is added to computed lease expiries before attempts count as ended.
	lapseMargin = 100 * time.Millisecond
)

// New initializes ow for [Owner.Run] and returns it.
func New(ow *Owner) *Owner {
	ow.events = make(chan event, maxEvents)
	ow.ended = make(chan struct{})
	ow.jobs = map[string]*trackedJob{}
	ow.queueStats = map[string]*queuestats.Queue{}
	ow.workers = map[worker.Incarnation]*workerState{}
	ow.workersByAddr = map[string][]*workerState{}
	ow.workersByID = map[string][]*workerState{}
	ow.unowned = map[worker.Incarnation]int{}
	ow.restartLeases = map[worker.Incarnation]time.Time{}
	ow.unownedByID = map[string]*unownedWorker{}
	ow.ordersAt = map[string]map[taskKey]bool{}
	ow.similarity = map[imagePair]float64{}
	ow.answers = map[string]*answers.Record{}
	ow.finiteJobs = map[*trackedJob]bool{}
	ow.throttled = map[*attempt]bool{}
	ow.unconfirmedRestarts = map[*attempt]bool{}
	ow.halted = map[*attempt]bool{}
	ow.slowWorkers = map[*workerState]bool{}
	ow.background.RanFunc = ow.recordBackground
	ow.unreadable = map[string]bool{}
	ow.invalidRows.Metrics, ow.invalidRows.Log = ow.Metrics, ow.Log
	ow.evacuationMonitor = evacuation.Monitor{Metrics: ow.Metrics, Log: ow.Log}
	return ow
}

// Run reads the state of the cell, calls loaded, and serves the cell until ctx ends. It
// returns an error if the state cannot be read.
func (ow *Owner) Run(ctx context.Context, loaded func()) error {
	defer close(ow.ended)
	defer ResetGauges(ow.Metrics)
	defer ow.resetCapacityGauges()
	defer ow.evacuationMonitor.Reset()
	ow.ctx = ctx
	ow.startedAt = time.Now()
	ow.listTrust.untrustedAt = ow.startedAt
	ow.restartLeasesEnd = ow.wholeLeaseAfter(ow.startedAt.Add(maxDriftDuration(tenure.WitnessedLeaseLimit)))
	ow.dropInvalidLeases()
	ow.recordInheritedLeases(ow.startedAt)
	if err := ow.load(ctx); err != nil {
		return err
	}
	ow.loadLeaseRecord(ctx)
	stored := ow.readDurations(ctx)
	ow.loadInterference(ctx)
	ow.restoreDurations(<-stored)
	ow.model.Fixed = !ow.enabled(MechPairs)
	ow.Log.Info("cell loaded", "cell", ow.Cell, "epoch", ow.Tenure.Epoch, "jobs", len(ow.jobs), "active", len(ow.waitingJobs), "took", time.Since(ow.startedAt))
	ow.loadedAt = time.Now()
	ow.logRestartLeases(ow.loadedAt)
	ow.background.Add(ow.loadedAt, ow.backgroundWork()...)
	loaded()
	go ow.ticks()
	for {
		select {
		case <-ctx.Done():
			return nil
		case ev := <-ow.events:
			ow.handle(ev)
			ow.drainEvents()
		}
		ow.beginPart(looplag.Placement)
		// Starts placed during a write have to wait for its end anyway.
		if ow.placementDue && ow.writesInFlight < maxConcurrentWrites && ow.mayStart() {
			ow.place()
		}
		ow.beginPart(looplag.Encoding)
		ow.flush()
		ow.beginPart(looplag.Idle)
	}
}

// ticks posts a tick every tickInterval until the tenure ends. Ticks are events like all
// others, so the loop waits on one channel only.
func (ow *Owner) ticks() {
	for clock.Sleep(ow.ctx, tickInterval) && ow.postTo(looplag.Ticks, ow.tick) {
	}
}

// drainEvents handles the events that are already queued, so that their changes share a
// write.
func (ow *Owner) drainEvents() {
	for range maxEvents {
		select {
		case ev := <-ow.events:
			ow.handle(ev)
		default:
			return
		}
	}
}

func (ow *Owner) handle(ev event) {
	ow.lag.RecordEvent(ow.beginPart(ev.part).Sub(ev.queuedAt))
	ev.fn()
}

// post queues fn for the loop, unless the tenure is over.
func (ow *Owner) post(fn func()) { ow.postTo(looplag.Other, fn) }

// postTo queues fn as a part of the loop's work. It reports false if the tenure is over.
func (ow *Owner) postTo(pa looplag.Part, fn func()) bool {
	select {
	case ow.events <- event{part: pa, fn: fn, queuedAt: time.Now()}:
		return true
	case <-ow.ended:
		return false
	}
}

// tick updates what depends on time alone and must not be late.
func (ow *Owner) tick() {
	now := time.Now()
	ow.reportLag(now)
	ow.scanWorkers(now)
	ow.recordUnresponsive(now)
	ow.recordLeases(now)
	ow.reportContactStates(now)
	ow.writeDueProofs(now)
	ow.reserveForRestarts(now)
	ow.sortWaitingJobs(now)
	ow.findAgedJobs(now)
	ow.checkWorkerList(now)
	ow.evacuate(now)
	ow.endExpiredUnowned(now)
	ow.expireOrders(now)
	ow.runBackground()
	ow.placementDue = true
}

// storeDown reports whether writes have failed for so long that new jobs are refused.
func (ow *Owner) storeDown() bool {
	return !ow.writesFailingSince.IsZero() && time.Since(ow.writesFailingSince) > storeDownAfter
}

// forgetEnded removes jobs that ended longer than Limits.KeepEnded ago.
func (ow *Owner) forgetEnded(now time.Time) {
	n := 0
	var kept []*trackedJob
	for _, tj := range ow.endedJobs {
		if now.Sub(tj.endedAt) < ow.Limits.KeepEnded {
			break
		}
		n++
		if tj.dirty || tj.writing {
			kept = append(kept, tj)
			continue
		}
		tj.removing = true
		ow.markDirty(tj)
		tj.onWritten = append(tj.onWritten, func() { delete(ow.jobs, tj.jo.ID) })
		tj.endedAt = time.Time{}
	}
	if n > 0 {
		ow.endedJobs = append(kept, ow.endedJobs[n:]...)
	}
}

// recordJobEnd records that a job has ended.
func (ow *Owner) recordJobEnd(tj *trackedJob, now time.Time) {
	tj.endedAt = now
	delete(ow.finiteJobs, tj)
	ow.endedJobs = append(ow.endedJobs, tj)
}

// specKey and progressKey return the keys of a job's rows; an empty id gives their common
// prefix.
func (ow *Owner) specKey(id string) string     { return SpecTable + "/" + ow.Cell + "/" + id }
func (ow *Owner) progressKey(id string) string { return ProgressTable + "/" + ow.Cell + "/" + id }

// Tables in the store.
const (
	// SpecTable has the immutable part of each job, ProgressTable the mutable part.
	SpecTable     = "jobs"
	ProgressTable = "progress"
	// IntakeTable has the requests that entry hosts accepted while they could not reach the
	// owner.
	IntakeTable = "intake"
)

// reportedState returns the state that callers see: the last one written.
func (tj *trackedJob) reportedState() job.State { return tj.writtenState }
