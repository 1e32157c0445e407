// Package frontend implements the front end of jobs: every entry host accepts job
// requests and forwards them to the owner of the cell.
//
// Callers can connect to any entry host, whichever host owns the cell. While no
// owner can be reached, a job is written to the intake table, which makes it
// durable and unique, and the next owner imports it; a job's state is then read
// from the rows that the last owner wrote. A request is refused only if nothing
// that was tried can still take effect; otherwise its outcome is unknown. Lists
// of jobs and counts of waiting jobs need a reachable owner.
package frontend

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
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

// Timeouts of a request.
const (
	// ownerTimeout bounds one request to the owner, except for the submission of a job. A
	// request takes 3 ms on the network and 12 to 25 ms for the write, which can become 25
	// times slower.
	ownerTimeout = 700 * time.Millisecond
	// storeTimeout bounds one call of the store. Together with ownerTimeout it stays under
	// half of the 3 s that callers wait, so that a caller whose request fails here
	// has time to try another host.
	storeTimeout = 700 * time.Millisecond
	// storeRetryDelay is how long this host does not write jobs to the store for the
	// owner after such a write failed, and writes them without trying one first after
	// one succeeded: two heartbeats, after which the host knows whether the store
	// answers.
	storeRetryDelay = time.Second
	// retryAfter is the delay after which a refused caller is asked to retry.
	retryAfter = time.Second
	// maxConfirmedAge is the age up to which a confirmed configuration counts as the
	// latest. Two answers of the store are up to 3 s apart, two waits of 1.5 s; one
	// more wait is added for a connection that stopped answering.
	maxConfirmedAge = 4500 * time.Millisecond
)

// CodeConfigNotConfirmed is the reason of a refusal by a host that knows no queue for the
// request, and whose configuration the store has not confirmed recently.
const CodeConfigNotConfirmed = "config-not-confirmed"

// FrontEnd accepts job requests. Set the exported fields before the first call; its
// methods are safe for concurrent use.
type FrontEnd struct {
	// Cell is the name of the cell.
	Cell string
	// Table is the client of the store.
	Table store.Table
	// Keeper tracks the owner of the cell.
	Keeper *tenure.Keeper
	// Peers is the HTTP client for requests to other entry hosts.
	Peers *http.Client
	// Local returns the owner of the cell if it runs on this host, or nil.
	Local func() *sched.Owner
	// ConfigFunc returns the configuration in force, or nil.
	ConfigFunc func() *queue.Config
	// ContactFunc returns when the call was sent with which the store last confirmed
	// the configuration, and since when it has done so without an error; see
	// [watch.Watch.Contact]. If it is nil, the configuration counts as never confirmed.
	ContactFunc func() (last, since time.Time)
	// Metrics counts requests by outcome; Log receives each decision.
	Metrics *telemetry.Metrics
	Log     *slog.Logger

	// reported holds the last reported state of each job.
	reported reportedStates
	// intakeGate limits the jobs that this host writes to the store for the owner.
	intakeGate intakeGate
}

// Config returns the configuration in force, or nil if none was received yet.
func (fe *FrontEnd) Config() *queue.Config { return fe.ConfigFunc() }

// RecordMalformed logs and counts a job that cannot be decoded or is invalid.
func (fe *FrontEnd) RecordMalformed(id string, err error) {
	fe.Log.Info("job refused", "job", id, "reason", "malformed", "err", truncate(err.Error()))
	fe.Metrics.Add(telemetry.JobRequests, 1, "kind", "submit", "outcome", "malformed")
}

// maxQuoted bounds the text of a request that a log line quotes, in bytes.
const maxQuoted = 200

// RecordNoQueue logs and counts a request for which the configuration in force has no
// queue. It reports whether the store confirmed that configuration recently enough to
// answer that the queue does not exist. Callers don't retry after that answer, so a host
// without recent contact with the store must ask them to retry: the queue may have been
// added since the last answer of the store, which can be 5 s old and more.
func (fe *FrontEnd) RecordNoQueue(host, name string) bool {
	age := watch.Age(fe.confirmed())
	certain := age < maxConfirmedAge
	fe.Log.Info("no queue for a request", "host", truncate(host), "path", truncate(name), "config", fe.ConfigVersion(), "confirmed_age", age, "certain", certain)
	reason := "no-queue"
	if !certain {
		reason = CodeConfigNotConfirmed
	}
	fe.Metrics.Add(telemetry.JobRequests, 1, "kind", "any", "outcome", "refused", "reason", reason)
	return certain
}

// confirmed returns when the call was sent with which the store last confirmed the
// configuration, or the zero time if it never did.
func (fe *FrontEnd) confirmed() time.Time {
	if fe.ContactFunc == nil {
		return time.Time{}
	}
	last, _ := fe.ContactFunc()
	return last
}

// truncate returns the first maxQuoted bytes of a text.
func truncate(text string) string { return text[:min(len(text), maxQuoted)] }

// Check returns an error for a job that is invalid, needs what is not supported or doesn't fit into
// the store; see [job.ErrInvalid], [job.ErrUnsupported] and [job.ErrTooLarge]. It also logs and
// counts such a job.
func (fe *FrontEnd) Check(id string, qu queue.Queue, sp job.Spec) error {
	err := errors.Join(sp.Check(), job.CheckSize(qu.Terms(), sp, store.MaxRowBytes))
	if qu.Advised {
		err = errors.Join(err, fmt.Errorf("%w: queue %s requires advice", job.ErrUnsupported, qu.Name))
	}
	if err != nil {
		fe.RecordMalformed(id, err)
	}
	return err
}

// call sends a request to the owner, on this host or another. The error wraps
// [errNotDelivered] if the request certainly had no effect.
func call[Req, Resp any](ctx context.Context, fe *FrontEnd, path string, req Req, local func(context.Context, *sched.Owner) (Resp, error)) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	return callUntilDone(ctx, fe, path, req, local)
}

// callUntilDone is like [call] without a timeout of its own.
func callUntilDone[Req, Resp any](ctx context.Context, fe *FrontEnd, path string, req Req, local func(context.Context, *sched.Owner) (Resp, error)) (Resp, error) {
	var zero Resp
	if ow := fe.Local(); ow != nil {
		resp, err := local(ctx, ow)
		// A request has no effect if the tenure was over before it, so the next owner is tried.
		// If the tenure ended during it, only the store shows the outcome.
		if !errors.Is(err, sched.ErrTenureOver) {
			return resp, err
		}
	}
	row, ok := fe.Keeper.Current()
	if !ok || row.Process == fe.Keeper.Process {
		return zero, fmt.Errorf("cell %s has no owner: %w", fe.Cell, errNotDelivered)
	}
	resp, err := wire.Post[Req, Resp](ctx, fe.Peers, "http://"+row.Addr+path, req)
	if err == nil {
		return resp, nil
	}
	if wire.ConnectionRefused(err) {
		fe.Keeper.NotifyPortRefused(row.Process)
	}
	if code := wire.Code(err); wire.NotConnected(err) || code == codeNotOwner || code == wire.CodeBusy {
		return zero, fmt.Errorf("call owner %s: %w: %w", row.Owner, errNotDelivered, err)
	}
	return zero, fmt.Errorf("call owner %s: %w", row.Owner, err)
}

var errNotDelivered = errors.New("owner did not receive the request")

// submission is the request that submits a job to the owner.
type submission struct {
	ID    string            `json:"id"`
	Terms job.Terms         `json:"terms"`
	Spec  job.SubmittedSpec `json:"spec"`
}

// canWriteForOwner reports whether the owner refused a job because its writes to the
// store fail, while the store answers this host, so that this host can write the job.
func (fe *FrontEnd) canWriteForOwner(ve sched.Verdict) bool {
	if ve.Outcome != sched.Refused || ve.Reason != sched.ReasonStoreUnavailable || fe.Local() != nil {
		return false
	}
	return fe.Keeper.StoreAnswers()
}

// record logs and counts the answer to a request.
func (fe *FrontEnd) record(kind, id, qu, via string, ve sched.Verdict, start time.Time, err error) {
	fe.Log.Info("request answered", "kind", kind, "job", id, "queue", qu, "way", via, "outcome", ve.Outcome, "reason", ve.Reason,
		"took", time.Since(start), "config", fe.ConfigVersion(), "err", err)
	fe.Metrics.Add(telemetry.JobRequests, 1, "kind", kind, "outcome", string(ve.Outcome), "reason", string(ve.Reason))
}

// ConfigVersion returns the version of the configuration in force, or 0 if none was
// received yet.
func (fe *FrontEnd) ConfigVersion() int64 {
	if co := fe.Config(); co != nil {
		return co.Version
	}
	return 0
}

// writeIntake writes a row to the intake table, which the owner imports. noEffect says
// that no earlier attempt at the request can take effect, so that a failure here is a
// definite refusal.
func (fe *FrontEnd) writeIntake(ctx context.Context, key, id string, row sched.IntakeRow, noEffect bool) sched.Verdict {
	value, err := json.Marshal(row)
	if err != nil {
		fe.Log.Error("intake row cannot be encoded", "job", id, "err", err)
		return fe.unreachableVerdict(noEffect)
	}
	txn := store.NewTxn()
	txn.Conds = []store.Cond{{Key: key}}
	txn.Puts = []store.Put{{Key: key, Value: value}}
	cctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err = fe.Table.CommitFunc(cctx, txn)
	switch {
	case err == nil, errors.Is(err, store.ErrConflict):
		// The condition fails only if this row exists already. If the owner has the
		// job already, importing the row changes nothing.
		return sched.Verdict{Outcome: sched.Accepted}
	case errors.Is(err, store.ErrRefused) && noEffect:
		fe.Log.Error("store refuses an intake row", "job", id, "bytes", len(value), "err", err)
		return sched.Verdict{Outcome: sched.Refused, Reason: sched.ReasonTooLarge}
	case errors.Is(err, store.ErrBusy):
		fe.Log.Info("intake row not written", "job", id, "err", err)
		return fe.unreachableVerdict(noEffect)
	}
	fe.Log.Info("intake row may not have been written", "job", id, "err", err)
	return fe.unreachableVerdict(noEffect && wire.NotConnected(err))
}

// unreachableVerdict is the answer if neither the owner nor the store could be reached:
// refused if nothing that was tried can take effect, otherwise unknown.
func (fe *FrontEnd) unreachableVerdict(noEffect bool) sched.Verdict {
	if noEffect {
		return sched.Verdict{Outcome: sched.Refused, Reason: sched.ReasonUnreachable, RetryAfter: retryAfter}
	}
	return sched.Verdict{Outcome: sched.Unknown, Reason: sched.ReasonUnreachable, RetryAfter: retryAfter}
}

func (fe *FrontEnd) progressKey(id string) string {
	return sched.ProgressTable + "/" + fe.Cell + "/" + id
}

// reference is a request to the owner about one job.
type reference struct {
	ID string `json:"id"`
}

// Cancel cancels a job. If the owner can't be reached or doesn't know the job, the store
// is consulted, and the cancellation is written to the intake table if the job isn't over.
func (fe *FrontEnd) Cancel(ctx context.Context, id string) sched.Verdict {
	start := time.Now()
	via := "owner"
	ve, err := call(ctx, fe, pathCancel, reference{ID: id}, func(ctx context.Context, ow *sched.Owner) (sched.Verdict, error) {
		return ow.Cancel(ctx, id)
	})
	if err == nil && ve.Outcome != sched.NoJob {
		fe.record("cancel", id, "", via, ve, start, nil)
		return ve
	}
	via = "store"
	state, known, rerr := fe.storedState(ctx, id)
	switch {
	case rerr != nil:
		ve = sched.Verdict{Outcome: sched.Unknown, Reason: sched.ReasonStoreUnavailable, RetryAfter: retryAfter}
	case !known:
		ve = sched.Verdict{Outcome: sched.NoJob}
	case state.Final():
		ve = sched.Verdict{Outcome: sched.Accepted}
	default:
		ve = fe.writeIntake(ctx, sched.CancelKey(fe.Cell, id), id, sched.IntakeRow{Cancel: true}, false)
	}
	fe.record("cancel", id, "", via, ve, start, errors.Join(err, rerr))
	return ve
}

// stateReply is the owner's answer about the state of a job.
type stateReply struct {
	State job.State `json:"state"`
	Known bool      `json:"known"`
}

// State returns the state of a job from its owner, or else from the store; known is false
// if there is no such job.
func (fe *FrontEnd) State(ctx context.Context, id string) (state job.State, known bool, err error) {
	re, err := call(ctx, fe, pathState, reference{ID: id}, func(ctx context.Context, ow *sched.Owner) (stateReply, error) {
		state, ok, err := ow.State(ctx, id)
		return stateReply{State: state, Known: ok}, err
	})
	via := "owner"
	if err != nil || !re.Known {
		via = "store"
		re.State, re.Known, err = fe.storedState(ctx, id)
	}
	level := slog.LevelDebug
	if via != "owner" || err != nil || fe.reported.changed(id, re.State) {
		level = slog.LevelInfo
	}
	fe.Log.Log(ctx, level, "job state requested", "job", id, "way", via, "state", re.State, "known", re.Known, "err", err)
	return re.State, re.Known, err
}

// storedState returns the state of a job from the store, and whether the store has it.
func (fe *FrontEnd) storedState(ctx context.Context, id string) (job.State, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	// The intake row is read first: an owner that imports the job in between removes it
	// and writes a progress row.
	var in sched.IntakeRow
	waiting, err := fe.Table.Get(ctx, sched.IntakeKey(fe.Cell, id), &in)
	if err != nil {
		return "", false, err
	}
	var pr job.ProgressRow
	written, err := fe.Table.Get(ctx, fe.progressKey(id), &pr)
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

// List returns the jobs that the owner of the cell retains, ended ones included.
func (fe *FrontEnd) List(ctx context.Context) ([]sched.Summary, error) {
	re, err := call(ctx, fe, pathList, struct{}{}, func(ctx context.Context, ow *sched.Owner) (listReply, error) {
		jobs, err := ow.List(ctx)
		return listReply{Jobs: jobs}, err
	})
	return re.Jobs, err
}

// listReply is the owner's answer to a request for its jobs.
type listReply struct {
	Jobs []sched.Summary `json:"jobs"`
}

// pendingRequest asks the owner for the number of pending jobs of a queue.
type pendingRequest struct {
	Queue string `json:"queue"`
}

type pendingReply struct {
	Pending int `json:"pending"`
}

// Pending returns the number of jobs of a queue of which no task has started yet.
func (fe *FrontEnd) Pending(ctx context.Context, qu string) (int, error) {
	re, err := call(ctx, fe, pathPending, pendingRequest{Queue: qu}, func(ctx context.Context, ow *sched.Owner) (pendingReply, error) {
		n, err := ow.Pending(ctx, qu)
		return pendingReply{Pending: n}, err
	})
	if err != nil {
		fe.Log.Info("pending jobs of a queue not counted", "queue", qu, "err", err)
	}
	return re.Pending, err
}
