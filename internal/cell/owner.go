package cell

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/config"
	"github.com/pepperhatch/pepperhatch/internal/place"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Owner runs one cell while its host owns it. Set the fields, then call
// [Owner.Run].
type Owner struct {
	// Cell names the cell, Self the host.
	Cell string
	Self string
	// Epoch is that of the assignment that made the host the owner.
	Epoch int64
	// Owns reports whether the host owns the cell at this moment.
	Owns func() bool
	// Journal is the cell's.
	Journal *Journal
	// Workers talks to workers.
	Workers worker.Client
	// Hosts returns the platform's list of the cell's workers, as last read;
	// ok is false if it was never read.
	Hosts func() (hosts []store.Host, ok bool)
	// Config returns the configuration in force.
	Config func() config.Doc
	// Timing has the intervals; the zero value takes [DefaultTiming].
	Timing Timing
	// Metrics counts.
	Metrics *telemetry.Metrics
	// Log gets events; nil gets none.
	Log *slog.Logger
	// NoControl turns control of tails off, for comparison.
	NoControl bool

	mu sync.Mutex
	// st is the state as journalled; closed is set when it is no longer ours
	// to serve, failed once the journal cannot be appended to.
	st         *State
	closed     bool
	journalErr error
	// contacts are the workers by id, shares the throttled tasks.
	statuses map[string]*workerStatus
	shares   map[string]float64
	// model and evictions are what was learnt and spent.
	model     place.Model
	evictions evictionBudget
	// commands wait for a batch, inFlight for the append of theirs.
	commands []*command
	inFlight []*command
	// appending is since when an append is under way, or zero; appended is
	// when the last one began.
	appendStarted time.Time
	lastAppend    time.Time
	// dirty is set when something has changed since the last decision, at
	// decided.
	dirty        bool
	lastDecision time.Time
	// snapTried is when a snapshot was last begun, snapSeq the last written.
	snapshotStarted time.Time
	snapshotSeq     int64
	// inherited is when the leases that a former owner gave have lapsed.
	inheritedLeaseEnd time.Time
	// term is that of the journal's opening; wake has the loop look at once.
	term int64
	wake chan struct{}
}

// Timing has the intervals of an owner.
type Timing struct {
	// Tick is the time between looks at what there is to do.
	Tick time.Duration
	// Batch is the least time between batches, which bounds the writes.
	BatchInterval time.Duration
	// Exchange is the time between messages to a worker without orders.
	ExchangeInterval time.Duration
	// Silent is how long a worker may be silent before it gets nothing new.
	UnresponsiveAfter time.Duration
	// Margin is added to leases, for clocks of different rates.
	Margin time.Duration
	// UsageLag is how old the usage in reports is.
	UsageLag time.Duration
}

// DefaultTiming is for a thousand workers.
var DefaultTiming = Timing{
	Tick:              50 * time.Millisecond,
	BatchInterval:     100 * time.Millisecond,
	ExchangeInterval:  time.Second,
	UnresponsiveAfter: 3 * time.Second,
	Margin:            500 * time.Millisecond,
	UsageLag:          2 * time.Second,
}

// maxLease bounds the lease settings; a new owner waits for leases that the
// former one may have given, whatever its settings were.
const maxLease = time.Minute

// decideEvery is how often decisions are looked for when nothing changed.
const decideInterval = 500 * time.Millisecond

// openTime bounds opening the journal, so that a host that waited long for the
// table looks first whether it still owns the cell.
const openTimeout = 10 * time.Second

// ErrNotOwner is returned by calls on a cell that this host does not run.
var ErrNotOwner = errors.New("not the owner of the cell")

// Run opens the journal and runs the cell until ctx ends or the host ceases
// to own it.
func (ow *Owner) Run(ctx context.Context) error {
	if ow.Timing == (Timing{}) {
		ow.Timing = DefaultTiming
	}
	if ow.Log == nil {
		ow.Log = slog.New(slog.DiscardHandler)
	}
	octx, cancel := context.WithTimeout(ctx, openTimeout)
	st, err := ow.Journal.Open(octx, ow.Self, ow.Epoch)
	cancel()
	if err != nil {
		return err
	}
	ow.mu.Lock()
	ow.st = st
	ow.statuses = map[string]*workerStatus{}
	ow.shares = map[string]float64{}
	ow.wake = make(chan struct{}, 1)
	ow.inheritedLeaseEnd = time.Now().Add(maxLease + ow.Timing.Margin)
	ow.term = ow.Journal.Term()
	ow.dirty = true
	ow.mu.Unlock()
	ow.Log.Info("cell opened", "cell", ow.Cell, "epoch", ow.Epoch, "seq", st.Seq, "tasks", len(st.Tasks))
	return ow.loop(ctx)
}

func (ow *Owner) loop(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer ow.rejectCommands()
	ti := time.NewTicker(ow.Timing.Tick)
	defer ti.Stop()
	for {
		if !ow.Owns() {
			return fmt.Errorf("cell %s: %w", ow.Cell, ErrNotOwner)
		}
		ow.mu.Lock()
		err := ow.journalErr
		if err == nil {
			ow.step(ctx)
		}
		ow.mu.Unlock()
		if err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ow.wake:
		case <-ti.C:
		}
	}
}

// nudge has the loop look again at once.
func (ow *Owner) signal() {
	select {
	case ow.wake <- struct{}{}:
	default:
	}
}

// step sends what is due and, unless an append is under way, journals what
// has happened and what is decided.
func (ow *Owner) step(ctx context.Context) {
	if ow.appendStarted.IsZero() && time.Since(ow.lastAppend) >= ow.Timing.BatchInterval {
		ow.startAppend(ctx)
	}
	ow.sendDueExchanges(ctx)
}

// journal starts the append of all that is to be noted now.
func (ow *Owner) startAppend(ctx context.Context) {
	// Going through all workers and tasks costs milliseconds for a thousand
	// workers; it is done when something has changed, and now and then for
	// what only time brings.
	if !ow.dirty && len(ow.commands) == 0 && time.Since(ow.lastDecision) < decideInterval {
		return
	}
	records := ow.workerRecords()
	records = append(records, ow.endRecords()...)
	records = append(records, ow.commandRecords()...)
	// Decided on the state before the records above. A start that they make
	// void is left out when the batch is applied; room that they make is
	// found the next time.
	records = append(records, ow.decide()...)
	if len(records) == 0 {
		return
	}
	ow.appendStarted = time.Now()
	ow.lastAppend = ow.appendStarted
	ow.Journal.RecordSnapshot(ow.snapshotSeq)
	go ow.appendBatch(ctx, records)
}

// append writes a batch, applies it, and lets workers hear of it.
func (ow *Owner) appendBatch(ctx context.Context, records []Record) {
	ba, err := ow.Journal.Append(ctx, records)
	ow.mu.Lock()
	defer ow.mu.Unlock()
	ow.appendStarted = time.Time{}
	if err != nil {
		ow.journalErr = err
		ow.completeCommands(err)
		ow.signal()
		return
	}
	ow.Metrics.Add(telemetry.JournalRows, 1, "cell", ow.Cell)
	ow.st.Apply(ba)
	ow.dirty = true
	ow.completeCommands(nil)
	ow.expedite(records)
	ow.snapshot(ctx)
	ow.signal()
}

// snapshot begins to write a snapshot, if one is due. The object store may
// hang, so that nothing waits for it; the next append makes it known.
func (ow *Owner) snapshot(ctx context.Context) {
	if !ow.Journal.SnapshotDue() || time.Since(ow.snapshotStarted) < snapshotRetryInterval {
		return
	}
	ow.snapshotStarted = time.Now()
	seq := ow.st.Seq
	data, err := json.Marshal(ow.st)
	if err != nil {
		ow.Log.Error("snapshot", "cell", ow.Cell, "err", err)
		return
	}
	go func() {
		sctx, cancel := context.WithTimeout(ctx, snapshotRetryInterval)
		defer cancel()
		if err := ow.Journal.WriteSnapshot(sctx, seq, data); err != nil {
			ow.Log.Warn("snapshot", "cell", ow.Cell, "err", err)
			return
		}
		ow.mu.Lock()
		defer ow.mu.Unlock()
		ow.snapshotSeq = max(ow.snapshotSeq, seq)
	}()
}

// hurry has workers with new orders contacted at once.
func (ow *Owner) expedite(records []Record) {
	for _, rec := range records {
		if rec.Kind != KindStart && rec.Kind != KindStop {
			continue
		}
		ow.Metrics.Add(telemetry.TaskEvents, 1, "event", string(rec.Kind))
		if ta := ow.st.Tasks[rec.Task]; ta != nil {
			if ws := ow.statuses[ta.Worker]; ws != nil {
				ws.sendNow = true
			}
		}
	}
}

// hostRecords enters workers that are new on the list and removes those that
// are gone and run nothing.
func (ow *Owner) workerRecords() []Record {
	hosts, ok := ow.Hosts()
	if !ok {
		return nil
	}
	var records []Record
	listed := map[string]bool{}
	for _, ho := range hosts {
		listed[ho.ID] = true
		wo := Worker{
			ID: ho.ID, Rack: ho.Rack, Addr: ho.Addr,
			Capacity: worker.Resources{MilliCores: ho.MilliCores, MemMB: ho.MemMB, Accels: ho.Accels},
		}
		ws := ow.status(ho.ID)
		ws.leaving = ho.State == store.HostLeaving
		old := ow.st.Workers[ho.ID]
		if old == nil || old.Addr != wo.Addr || old.Capacity != wo.Capacity || old.Rack != wo.Rack {
			records = append(records, Record{Kind: KindWorker, Host: &wo})
		}
	}
	for id := range ow.st.Workers {
		ws := ow.status(id)
		ws.unlisted = !listed[id]
		if ws.unlisted && len(ow.st.activeTasks[id]) == 0 {
			records = append(records, Record{Kind: KindRemove, Worker: id})
		}
	}
	return records
}

// endRecords notes attempts that have ended: on the worker's word, or because
// their lease has surely lapsed.
func (ow *Owner) endRecords() []Record {
	var records []Record
	now := time.Now()
	for _, tasks := range ow.st.activeTasks {
		for id, ta := range tasks {
			if rec, ended := ow.endRecord(id, ta, now); ended {
				records = append(records, rec)
				ow.Metrics.Add(telemetry.TaskEvents, 1, "event", string(rec.End))
			}
		}
	}
	return records
}

func (ow *Owner) endRecord(id string, ta *Task, now time.Time) (Record, bool) {
	rec := Record{Kind: KindEnd, Task: id, Attempt: ta.Attempt, End: worker.StateLapsed}
	ws := ow.status(ta.Worker)
	if ws.incarnation != "" && ws.incarnation != ta.Incarnation {
		// Another process: the one that had the task is no more.
		return rec, true
	}
	if tr, ok := ws.tasks[id]; ok && tr.Attempt == ta.Attempt {
		rec.CheckpointMS = tr.CheckpointMS
		if tr.State != worker.StateRunning {
			rec.End, rec.Result = tr.State, tr.Result
			return rec, true
		}
	}
	return rec, now.After(ow.leaseExpiry(ws, ow.st.Jobs[ta.Job].Spec.Service))
}

// lapse returns when a worker's leases of a class have surely lapsed, if it
// is not heard of again.
func (ow *Owner) leaseExpiry(ws *workerStatus, service bool) time.Time {
	end := ws.leaseEnd[leaseIndex(service)]
	if ws.incarnation == "" {
		end = ow.inheritedLeaseEnd
	}
	return end.Add(ow.Timing.Margin)
}

func leaseIndex(service bool) int {
	if service {
		return 1
	}
	return 0
}

// Summary counts what a cell has.
type Summary struct {
	// Cell, Owner and Epoch say whose it is.
	Cell  string `json:"cell"`
	Owner string `json:"owner"`
	Epoch int64  `json:"epoch"`
	// Seq is the last batch.
	Seq int64 `json:"seq"`
	// Workers and Tasks count by state.
	Workers map[string]int `json:"workers"`
	Tasks   map[string]int `json:"tasks"`
	// Holds is what all workers have, Used what tasks are given.
	Capacity worker.Resources `json:"holds"`
	Reserved worker.Resources `json:"used"`
}

// Summary returns the cell's counts.
func (ow *Owner) Summary() (Summary, error) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if !ow.serving() {
		return Summary{}, ErrNotOwner
	}
	su := Summary{
		Cell: ow.Cell, Owner: ow.Self, Epoch: ow.Epoch, Seq: ow.st.Seq,
		Workers: map[string]int{}, Tasks: map[string]int{},
	}
	for id, wo := range ow.st.Workers {
		su.Workers[ow.workerState(id, wo)]++
		su.Capacity = su.Capacity.Add(wo.Capacity)
	}
	for _, ta := range ow.st.Tasks {
		su.Tasks[string(ta.State)]++
	}
	for _, used := range ow.st.ReservedByWorker() {
		su.Reserved = su.Reserved.Add(used)
	}
	return su, nil
}

// serving reports whether calls on the cell can be answered here.
func (ow *Owner) serving() bool {
	return ow.st != nil && !ow.closed && ow.Owns()
}

// workerState names the state of a worker, for people.
func (ow *Owner) workerState(id string, wo *Worker) string {
	ws := ow.status(id)
	switch {
	case wo.Drained:
		return "drained"
	case ws.leaving, ws.unlisted:
		return "leaving"
	case time.Since(ws.lastReport) > ow.Timing.UnresponsiveAfter:
		return "silent"
	case len(wo.FailedJobs) >= quarantineAfter:
		return "aside"
	}
	return "live"
}

// NamedTask is a task with its id.
type NamedTask struct {
	ID string `json:"id"`
	Task
}

// Tasks returns the tasks of a job, or of all jobs.
func (ow *Owner) Tasks(job string) ([]NamedTask, error) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if !ow.serving() {
		return nil, ErrNotOwner
	}
	var tasks []NamedTask
	for id, ta := range ow.st.Tasks {
		if job == "" || ta.Job == job {
			tasks = append(tasks, NamedTask{ID: id, Task: *ta})
		}
	}
	return tasks, nil
}
