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

// Owner runs one cell while its host owns it. Set the exported fields before
// [Owner.Run]; other methods may be called concurrently with it.
type Owner struct {
	// Cell is the name of the cell, Self the id of this host.
	Cell string
	Self string
	// Epoch is the epoch of the assignment that made this host the owner.
	Epoch int64
	// Owns reports whether this host owns the cell now.
	Owns func() bool
	// Journal is the journal of the cell.
	Journal *Journal
	// Workers sends exchanges to workers.
	Workers worker.Client
	// Hosts returns the platform's list of the cell's workers as last read; ok
	// is false before the first read.
	Hosts func() (hosts []store.Host, ok bool)
	// Config returns the configuration in force.
	Config func() config.Doc
	// Timing has the intervals; the zero value means [DefaultTiming].
	Timing Timing
	// Metrics counts journal rows and task events.
	Metrics *telemetry.Metrics
	// Log receives events; nil discards them.
	Log *slog.Logger
	// NoControl disables throttling and evictions for tail latencies, for
	// comparison.
	NoControl bool

	mu sync.Mutex
	// st is the state as journalled. closed is set when this owner stops
	// serving it. journalErr is the error of a failed append, after which the
	// owner ends.
	st         *State
	closed     bool
	journalErr error
	// statuses is keyed by worker id. shares has the processor share of each
	// throttled task, by task id.
	statuses map[string]*workerStatus
	shares   map[string]float64
	// model is the interference model, evictions the use of the eviction
	// budget.
	model     place.Model
	evictions evictionBudget
	// commands wait for a batch; inFlight wait for the append of their batch.
	commands []*command
	inFlight []*command
	// appendStarted is when the append in progress began, or zero. lastAppend
	// is when the last append began.
	appendStarted time.Time
	lastAppend    time.Time
	// ending has the ids of the tasks whose end the append in progress records.
	ending map[string]bool
	// dirty is set when something has changed since lastDecision.
	dirty        bool
	lastDecision time.Time
	// snapshotStarted is when the last snapshot was started, snapshotSeq the
	// number of the last batch that a written snapshot includes.
	snapshotStarted time.Time
	snapshotSeq     int64
	// inheritedLeaseEnd is when all leases that a former owner gave have
	// expired.
	inheritedLeaseEnd time.Time
	// term is the fencing token of the journal's opening. wake starts the next
	// step of the loop at once.
	term int64
	wake chan struct{}
}

// Timing has the intervals and time limits of an owner.
type Timing struct {
	// Tick is the time between steps of the loop.
	Tick time.Duration
	// BatchInterval is the minimum time between batches; it limits the writes
	// to the table.
	BatchInterval time.Duration
	// ExchangeInterval is the time between exchanges with a worker that has no
	// new orders.
	ExchangeInterval time.Duration
	// UnresponsiveAfter is the time without a report after which a worker gets
	// no new tasks.
	UnresponsiveAfter time.Duration
	// Margin is added to the end of leases, as clocks run at different rates.
	Margin time.Duration
	// UsageLag is the age of the usage measurements in a report.
	UsageLag time.Duration
}

// DefaultTiming suits cells of up to a thousand workers.
var DefaultTiming = Timing{
	Tick:              50 * time.Millisecond,
	BatchInterval:     100 * time.Millisecond,
	ExchangeInterval:  time.Second,
	UnresponsiveAfter: 3 * time.Second,
	Margin:            500 * time.Millisecond,
	UsageLag:          2 * time.Second,
}

// maxLease limits the lease settings. A new owner waits this long for leases of
// the former owner, whose settings it does not know.
const maxLease = time.Minute

// decideInterval is the time between decisions while nothing has changed.
const decideInterval = 500 * time.Millisecond

// openTimeout limits opening the journal, so that a host that waits long for
// the table checks whether it still owns the cell before it tries again.
const openTimeout = 10 * time.Second

// ErrNotOwner is returned by calls on a host that does not run the cell.
var ErrNotOwner = errors.New("not the owner of the cell")

// Run opens the journal and runs the cell. It returns nil when ctx ends, and
// otherwise an error: [ErrNotOwner] when the host no longer owns the cell, or
// the error of opening the journal or of an append.
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
	ow.Log.Info("opened journal of the cell", "cell", ow.Cell, "epoch", ow.Epoch, "seq", st.Seq, "tasks", len(st.Tasks))
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

// signal starts the next step of the loop at once.
func (ow *Owner) signal() {
	select {
	case ow.wake <- struct{}{}:
	default:
	}
}

// step sends due exchanges. Unless an append is in progress, it also journals
// events and decisions.
func (ow *Owner) step(ctx context.Context) {
	if ow.appendStarted.IsZero() && time.Since(ow.lastAppend) >= ow.Timing.BatchInterval {
		ow.startAppend(ctx)
	}
	ow.sendDueExchanges(ctx)
}

// startAppend collects the records of the next batch and starts its append.
func (ow *Owner) startAppend(ctx context.Context) {
	// A pass over all workers and tasks takes milliseconds for a thousand
	// workers. It runs when something has changed, and at decideInterval for
	// changes that come with time alone, such as the expiry of leases.
	if !ow.dirty && len(ow.commands) == 0 && time.Since(ow.lastDecision) < decideInterval {
		return
	}
	records := ow.workerRecords()
	records = append(records, ow.endRecords()...)
	records = append(records, ow.commandRecords()...)
	// Decisions use the state before the records above. A start that those
	// records invalidate has no effect when the batch is applied; resources
	// that they free are used by the next decision.
	records = append(records, ow.decide()...)
	if len(records) == 0 {
		return
	}
	ow.appendStarted = time.Now()
	ow.lastAppend = ow.appendStarted
	ow.ending = endedTasks(records)
	ow.Journal.RecordSnapshot(ow.snapshotSeq)
	go ow.appendBatch(ctx, records)
}

// appendBatch writes a batch, applies it, and requests exchanges with the
// workers that it concerns.
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
	ow.ending = nil
	ow.dirty = true
	ow.completeCommands(nil)
	ow.expedite(records)
	ow.snapshot(ctx)
	ow.signal()
}

// snapshot starts to write a snapshot if one is due. Nothing waits for it, as
// the object store may hang; the next append writes its number to the head row.
func (ow *Owner) snapshot(ctx context.Context) {
	if !ow.Journal.SnapshotDue() || time.Since(ow.snapshotStarted) < snapshotRetryInterval {
		return
	}
	ow.snapshotStarted = time.Now()
	seq := ow.st.Seq
	data, err := json.Marshal(ow.st)
	if err != nil {
		ow.Log.Error("cannot encode snapshot of the cell", "cell", ow.Cell, "err", err)
		return
	}
	go func() {
		sctx, cancel := context.WithTimeout(ctx, snapshotRetryInterval)
		defer cancel()
		if err := ow.Journal.WriteSnapshot(sctx, seq, data); err != nil {
			ow.Log.Warn("cannot write snapshot of the cell", "cell", ow.Cell, "err", err)
			return
		}
		ow.mu.Lock()
		defer ow.mu.Unlock()
		ow.snapshotSeq = max(ow.snapshotSeq, seq)
	}()
}

// expedite requests an exchange at once with each worker that has a new order,
// and counts the starts and stops.
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

// workerRecords adds or changes workers as listed by the platform, and removes
// those that are no longer listed and have no active task.
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

// endRecords records attempts that have ended: those that the worker reports as
// ended, and those whose lease has certainly expired.
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

// endedTasks returns the ids of the tasks whose attempts end by these records.
func endedTasks(records []Record) map[string]bool {
	ended := map[string]bool{}
	for _, rec := range records {
		if rec.Kind == KindEnd {
			ended[rec.Task] = true
		}
	}
	return ended
}

// endRecord returns the record of an attempt's end, or false if the attempt may
// still run.
func (ow *Owner) endRecord(id string, ta *Task, now time.Time) (Record, bool) {
	rec := Record{Kind: KindEnd, Task: id, Attempt: ta.Attempt, End: worker.StateLapsed}
	ws := ow.status(ta.Worker)
	if ws.incarnation != "" && ws.incarnation != ta.Incarnation {
		ow.logLapsed(id, ta, ws, "the worker's process was replaced")
		return rec, true
	}
	if tr, ok := ws.tasks[id]; ok && tr.Attempt == ta.Attempt {
		rec.CheckpointMS = tr.CheckpointMS
		if tr.State != worker.StateRunning {
			rec.End, rec.Result = tr.State, tr.Result
			return rec, true
		}
	}
	if !now.After(ow.leaseExpiry(ws, ow.st.Jobs[ta.Job].Spec.Service)) {
		return rec, false
	}
	ow.logLapsed(id, ta, ws, "its lease has expired")
	return rec, true
}

func (ow *Owner) logLapsed(id string, ta *Task, ws *workerStatus, reason string) {
	ow.Log.Info("attempt lapsed", "cell", ow.Cell, "task", id, "attempt", ta.Attempt, "worker", ta.Worker, "why", reason, "last_report", ws.lastReport)
}

// leaseExpiry returns the time after which a worker's batch or service leases
// have certainly expired if no further message arrives from it. Before its first
// report, the leases that a former owner gave count.
func (ow *Owner) leaseExpiry(ws *workerStatus, service bool) time.Time {
	end := ws.leaseEnd[leaseIndex(service)]
	if ws.incarnation == "" {
		end = ow.inheritedLeaseEnd
	}
	return end.Add(ow.Timing.Margin)
}

// leaseIndex returns the index in leaseEnd.
func leaseIndex(service bool) int {
	if service {
		return 1
	}
	return 0
}

// Summary has the counts of a cell.
type Summary struct {
	// Cell is the cell's name, Owner the id of its owner, Epoch that of the
	// owner's assignment.
	Cell  string `json:"cell"`
	Owner string `json:"owner"`
	Epoch int64  `json:"epoch"`
	// Seq is the number of the last journal batch.
	Seq int64 `json:"seq"`
	// Workers and Tasks are counts by state.
	Workers map[string]int `json:"workers"`
	Tasks   map[string]int `json:"tasks"`
	// Capacity is the total of all workers, Reserved what active tasks
	// reserve of it.
	Capacity worker.Resources `json:"holds"`
	Reserved worker.Resources `json:"used"`
}

// Summary returns the counts of the cell, or [ErrNotOwner].
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

// serving reports whether this owner may answer calls on the cell.
func (ow *Owner) serving() bool {
	return ow.st != nil && !ow.closed && ow.Owns()
}

// workerState returns the state of a worker as shown to operators.
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

// NamedTask is a [Task] with its id.
type NamedTask struct {
	ID string `json:"id"`
	Task
}

// Tasks returns the tasks of a job, or of all jobs if job is empty, in no
// particular order. It returns [ErrNotOwner] on a host that does not run the
// cell.
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
