// Package door takes jobs in on any entry host, and answers for them.
//
// Whatever host takes a request, the cell's owner answers it. While no owner
// can be reached, a job is written to the intake table, which makes it durable
// and unique, and the next owner takes it over; a job's state is then read
// from the rows that the last owner wrote. A request is refused only if
// nothing that was tried can still take effect.
package door

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/queue"
	"github.com/pepperhatch/pepperhatch/internal/sched"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/tenure"
	"github.com/pepperhatch/pepperhatch/internal/watch"
	"github.com/pepperhatch/pepperhatch/internal/wire"
)

// Times of a request.
const (
	// ownerTimeout bounds one request to the owner: 3 ms of way and 12 to 25 ms
	// of a write, up to 25 times slower.
	ownerTimeout = 700 * time.Millisecond
	// storeTimeout bounds one call of the store. Both together stay under half
	// of the 3 s that callers wait: what is held longer and not served costs
	// them the chance to go elsewhere.
	storeTimeout = 700 * time.Millisecond
	// doubtFor is how long the store is not tried in an owner's place once it failed:
	// two heartbeats, by which a host has news of it.
	doubtFor = time.Second
	// retryAfter is when a refused caller is told to come back.
	retryAfter = time.Second
	// confirmedMost is how old the confirmation of the configuration may be where it
	// is taken for the last: between two answers up to 3 s, two waits of 1.5 s, and one
	// more where a connection went silent.
	confirmedMost = 4500 * time.Millisecond
)

// CodeUnconfirmed is the reason given to callers for whose request there is no queue as
// far as a host knows that is out of touch.
const CodeConfigNotConfirmed = "config-not-confirmed"

// FrontEnd takes jobs in. Set the fields, then use it from any goroutine.
type FrontEnd struct {
	// Cell names the cell.
	Cell string
	// Table is the store's.
	Table store.Table
	// Keeper knows the cell's owner.
	Keeper *tenure.Keeper
	// Peers is the client for other entry hosts.
	Peers *http.Client
	// Local returns this host's owner of the cell, or nil.
	Local func() *sched.Owner
	// ConfigFunc returns the configuration in force, or nil.
	ConfigFunc func() *queue.Config
	// ContactFunc returns when the call was sent by which the store last confirmed the
	// configuration, and since when it has done so without an error; see
	// [watch.Watch.Contact]. Nil knows of none.
	ContactFunc func() (last, since time.Time)
	// Metrics counts, Log gets decisions.
	Metrics *telemetry.Metrics
	Log     *slog.Logger

	// told has the states last told of jobs.
	told toldStates
	// doubtUntil is until when the store is not tried in an owner's place, in
	// nanoseconds since 1970, as it failed just now.
	doubtUntil atomic.Int64
}

// Config returns the configuration in force, or nil before the first.
func (do *FrontEnd) Config() *queue.Config { return do.ConfigFunc() }

// RecordMalformed notes a job that cannot be read.
func (do *FrontEnd) RecordMalformed(id string, err error) {
	do.Log.Info("job refused", "job", id, "reason", "malformed", "err", err)
	do.Metrics.Add(telemetry.JobRequests, 1, "kind", "submit", "outcome", "malformed")
}

// textMost bounds what a line quotes of a request, in bytes.
const textMost = 200

// RecordNoQueue notes a request that the configuration in force has no queue for, and reports
// whether that can be said: callers do not come back after it, so a host that is out of
// touch with the store has them come back instead. One added since would be refused for
// good, 5 s and more after the store last answered.
func (do *FrontEnd) RecordNoQueue(host, name string) bool {
	age := watch.Age(do.confirmed())
	certain := age < confirmedMost
	do.Log.Info("no queue for a request", "host", cut(host), "path", cut(name), "config", do.ConfigVersion(), "confirmed_age", age, "certain", certain)
	reason := "no-queue"
	if !certain {
		reason = CodeConfigNotConfirmed
	}
	do.Metrics.Add(telemetry.JobRequests, 1, "kind", "any", "outcome", "refused", "reason", reason)
	return certain
}

// confirmed returns when the call was sent by which the store last confirmed the
// configuration, or zero.
func (do *FrontEnd) confirmed() time.Time {
	if do.ContactFunc == nil {
		return time.Time{}
	}
	last, _ := do.ContactFunc()
	return last
}

func cut(text string) string { return text[:min(len(text), textMost)] }

// Check returns an error for a job that is not taken whatever happens.
func (do *FrontEnd) Check(id string, qu queue.Queue, sp job.Spec) error {
	err := sp.Check()
	if qu.Advised {
		err = errors.Join(err, fmt.Errorf("%w: queue %s wants advice", job.ErrUnsupported, qu.Name))
	}
	if err != nil {
		do.RecordMalformed(id, err)
	}
	return err
}

// call asks the owner, on this host or another. The error is [errNotDelivered]
// in the chain if the request certainly had no effect.
func call[Req, Resp any](ctx context.Context, do *FrontEnd, path string, req Req, local func(context.Context, *sched.Owner) (Resp, error)) (Resp, error) {
	var zero Resp
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	if ow := do.Local(); ow != nil {
		resp, err := local(ctx, ow)
		// What the tenure's end left unsettled is for the store to tell.
		if !errors.Is(err, sched.ErrTenureOver) {
			return resp, err
		}
	}
	row, ok := do.Keeper.Current()
	if !ok || row.Process == do.Keeper.Process {
		return zero, fmt.Errorf("cell %s has no owner: %w", do.Cell, errNotDelivered)
	}
	resp, err := wire.Post[Req, Resp](ctx, do.Peers, "http://"+row.Addr+path, req)
	if err == nil {
		return resp, nil
	}
	if wire.PortRefused(err) {
		do.Keeper.NotifyPortRefused(row.Process)
	}
	if wire.NotConnected(err) || wire.Code(err) == codeNotOwner {
		return zero, fmt.Errorf("ask owner %s: %w: %w", row.Owner, errNotDelivered, err)
	}
	return zero, fmt.Errorf("ask owner %s: %w", row.Owner, err)
}

var errNotDelivered = errors.New("owner did not get the request")

// submission is a job on its way to the owner.
type submission struct {
	ID    string    `json:"id"`
	Terms job.Terms `json:"terms"`
	Spec  job.Spec  `json:"spec"`
}

// Submit takes a job in.
func (do *FrontEnd) Submit(ctx context.Context, id string, te job.Terms, sp job.Spec) sched.Verdict {
	start := time.Now()
	ve, err := call(ctx, do, pathSubmit, submission{ID: id, Terms: te, Spec: sp}, func(ctx context.Context, ow *sched.Owner) (sched.Verdict, error) {
		return ow.Submit(ctx, id, te, sp)
	})
	way := "owner"
	take := func(clean bool) sched.Verdict {
		way = "intake"
		return do.intake(ctx, sched.IntakeKey(do.Cell, id), id, sched.IntakeRow{Terms: te, Spec: sp}, clean)
	}
	switch {
	case err != nil:
		ve = take(errors.Is(err, errNotDelivered))
	case do.inItsPlace(ve):
		// The owner's refusal is definite.
		ve = take(true)
		do.doubt(ve)
	}
	do.note("submit", id, te.Queue, way, ve, start, err)
	return ve
}

// inItsPlace reports whether a job that the owner refused, as the store does not
// take its writes, can be written by this host: if the store answers it.
func (do *FrontEnd) inItsPlace(ve sched.Verdict) bool {
	if ve.Outcome != sched.Refused || ve.Reason != sched.ReasonStoreUnavailable || do.Local() != nil {
		return false
	}
	return do.Keeper.StoreAnswers() && time.Now().UnixNano() >= do.doubtUntil.Load()
}

// doubt keeps from trying the store in an owner's place for a while, if it did not
// take a job: it may be away for all.
func (do *FrontEnd) doubt(ve sched.Verdict) {
	if ve.Outcome != sched.Accepted {
		do.doubtUntil.Store(time.Now().Add(doubtFor).UnixNano())
	}
}

// note logs and counts the answer to a request.
func (do *FrontEnd) note(kind, id, qu, way string, ve sched.Verdict, start time.Time, err error) {
	do.Log.Info("request answered", "kind", kind, "job", id, "queue", qu, "way", way, "outcome", ve.Outcome, "reason", ve.Reason,
		"took", time.Since(start), "config", do.ConfigVersion(), "err", err)
	do.Metrics.Add(telemetry.JobRequests, 1, "kind", kind, "outcome", string(ve.Outcome), "reason", string(ve.Reason))
}

// ConfigVersion returns the version in force, or 0 before the first.
func (do *FrontEnd) ConfigVersion() int64 {
	if co := do.Config(); co != nil {
		return co.Version
	}
	return 0
}

// intake writes a row for the next owner. Clean is set if nothing tried before
// can take effect.
func (do *FrontEnd) intake(ctx context.Context, key, id string, row sched.IntakeRow, clean bool) sched.Verdict {
	value, err := json.Marshal(row)
	if err != nil {
		do.Log.Error("row cannot be encoded", "job", id, "err", err)
		return do.giveUp(clean)
	}
	txn := store.NewTxn()
	txn.Conds = []store.Cond{{Key: key}}
	txn.Puts = []store.Put{{Key: key, Value: value}}
	cctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err = do.Table.CommitFunc(cctx, txn)
	switch {
	case err == nil, errors.Is(err, store.ErrConflict):
		// The condition fails only if this row is there already. A job that the
		// owner has already is left as it is.
		return sched.Verdict{Outcome: sched.Accepted}
	case errors.Is(err, store.ErrBusy):
		do.Log.Info("intake not written", "job", id, "err", err)
		return do.giveUp(clean)
	}
	do.Log.Info("intake not known to be written", "job", id, "err", err)
	return do.giveUp(clean && wire.NotConnected(err))
}

// giveUp is the answer when nothing worked.
func (do *FrontEnd) giveUp(clean bool) sched.Verdict {
	if clean {
		return sched.Verdict{Outcome: sched.Refused, Reason: sched.ReasonUnreachable, RetryAfter: retryAfter}
	}
	return sched.Verdict{Outcome: sched.Unknown, Reason: sched.ReasonUnreachable, RetryAfter: retryAfter}
}

func (do *FrontEnd) progressKey(id string) string {
	return sched.ProgressTable + "/" + do.Cell + "/" + id
}

// reference names a job on its way to the owner.
type reference struct {
	ID string `json:"id"`
}

// Cancel ends a job for its caller.
func (do *FrontEnd) Cancel(ctx context.Context, id string) sched.Verdict {
	start := time.Now()
	way := "owner"
	ve, err := call(ctx, do, pathCancel, reference{ID: id}, func(ctx context.Context, ow *sched.Owner) (sched.Verdict, error) {
		return ow.Cancel(ctx, id)
	})
	if err == nil && ve.Outcome != sched.NoJob {
		do.note("cancel", id, "", way, ve, start, nil)
		return ve
	}
	way = "store"
	state, known, rerr := do.stored(ctx, id)
	switch {
	case rerr != nil:
		ve = sched.Verdict{Outcome: sched.Unknown, Reason: sched.ReasonStoreUnavailable, RetryAfter: retryAfter}
	case !known:
		ve = sched.Verdict{Outcome: sched.NoJob}
	case state.Final():
		ve = sched.Verdict{Outcome: sched.Accepted}
	default:
		ve = do.intake(ctx, sched.CancelKey(do.Cell, id), id, sched.IntakeRow{Cancel: true}, false)
	}
	do.note("cancel", id, "", way, ve, start, errors.Join(err, rerr))
	return ve
}

// stateReply is the owner's word on a job.
type stateReply struct {
	State job.State `json:"state"`
	Known bool      `json:"known"`
}

// State returns a job's state; known is false if there is no such job.
func (do *FrontEnd) State(ctx context.Context, id string) (state job.State, known bool, err error) {
	re, err := call(ctx, do, pathState, reference{ID: id}, func(ctx context.Context, ow *sched.Owner) (stateReply, error) {
		state, ok, err := ow.State(ctx, id)
		return stateReply{State: state, Known: ok}, err
	})
	way := "owner"
	if err != nil || !re.Known {
		way = "store"
		re.State, re.Known, err = do.stored(ctx, id)
	}
	level := slog.LevelDebug
	if way != "owner" || err != nil || do.told.news(id, re.State) {
		level = slog.LevelInfo
	}
	do.Log.Log(ctx, level, "state asked", "job", id, "way", way, "state", re.State, "known", re.Known, "err", err)
	return re.State, re.Known, err
}

// stored returns a job's state as the store has it.
func (do *FrontEnd) stored(ctx context.Context, id string) (job.State, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	// The intake first: an owner that takes the job over moves it on.
	var in sched.IntakeRow
	waiting, err := do.Table.Get(ctx, sched.IntakeKey(do.Cell, id), &in)
	if err != nil {
		return "", false, err
	}
	var pr job.ProgressRow
	written, err := do.Table.Get(ctx, do.progressKey(id), &pr)
	switch {
	case err != nil:
		return "", false, err
	case written > 0:
		return pr.State, true, nil
	case waiting > 0:
		return job.Queued, true, nil
	}
	return "", false, nil
}

// List returns the jobs that the cell's owner remembers.
func (do *FrontEnd) List(ctx context.Context) ([]sched.Summary, error) {
	re, err := call(ctx, do, pathList, struct{}{}, func(ctx context.Context, ow *sched.Owner) (listReply, error) {
		jobs, err := ow.List(ctx)
		return listReply{Jobs: jobs}, err
	})
	return re.Jobs, err
}

// listReply has the owner's jobs.
type listReply struct {
	Jobs []sched.Summary `json:"jobs"`
}

// pendingRequest asks for a queue's count.
type pendingRequest struct {
	Queue string `json:"queue"`
}

type pendingReply struct {
	Pending int `json:"pending"`
}

// Pending counts the jobs of a queue none of whose tasks has begun.
func (do *FrontEnd) Pending(ctx context.Context, qu string) (int, error) {
	re, err := call(ctx, do, pathPending, pendingRequest{Queue: qu}, func(ctx context.Context, ow *sched.Owner) (pendingReply, error) {
		n, err := ow.Pending(ctx, qu)
		return pendingReply{Pending: n}, err
	})
	if err != nil {
		do.Log.Info("count of a queue not known", "queue", qu, "err", err)
	}
	return re.Pending, err
}
